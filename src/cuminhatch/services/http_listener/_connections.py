"""Connection handling: flow control, timeouts, closing."""

from cuminhatch.messages import CallerDisconnected
from cuminhatch.services.http_listener._state import Connection, ListenerState

# Above this many unsent bytes the source of a response is paused; the daemon
# has 256 MB of memory in all.
WRITE_HIGH_WATER_BYTES = 64 * 1024
# Parsed events of later requests that are buffered per connection before
# reading stops.
MAX_PARSED_EVENTS = 64
MAX_PARSED_BODY_BYTES = 64 * 1024
# Body bytes forwarded before the target service has sent
# ``RequestReadResumed``.
MAX_UNREQUESTED_BODY_BYTES = 256 * 1024


def is_write_buffer_full(connection: Connection) -> bool:
    """Tell whether too much of earlier responses is still unsent."""
    return connection.stream.pending_bytes > WRITE_HIGH_WATER_BYTES


def update_reading(connection: Connection) -> None:
    """Start or stop reading from a connection, as flow control demands."""
    exchange = connection.exchange
    if connection.is_closing:
        is_wanted = True
    elif exchange is not None and not exchange.is_request_complete:
        is_wanted = not exchange.is_read_paused and (
            exchange.is_body_requested
            or exchange.forwarded_bytes < MAX_UNREQUESTED_BODY_BYTES
        )
    elif connection.is_request_buffered:
        is_wanted = True
    else:
        is_wanted = (
            len(connection.parsed_events) <= MAX_PARSED_EVENTS
            and connection.parsed_body_bytes <= MAX_PARSED_BODY_BYTES
        )
    if is_wanted:
        connection.stream.start_reading()
    else:
        connection.stream.stop_reading()


def end_exchange(state: ListenerState, connection: Connection) -> None:
    """Remove the current request of a connection."""
    del state.connections_by_request[connection.exchange.request_id]
    connection.exchange = None
    connection.last_progress_ms = state.clock.now_ms


def cancel_pipelined_exchanges(state: ListenerState, connection: Connection) -> None:
    """Cancel the requests behind the current one."""
    while connection.pipelined_exchanges:
        exchange = connection.pipelined_exchanges.popleft()
        del state.connections_by_request[exchange.request_id]
        state.send(state.target, CallerDisconnected(exchange.request_id))


def close_after_flush(state: ListenerState, connection: Connection) -> None:
    """Close a connection once its last response is sent."""
    connection.is_closing = True
    connection.parsed_events.clear()
    connection.stream.start_reading()
    if connection.stream.pending_bytes == 0:
        start_lingering_close(state, connection)


def start_lingering_close(state: ListenerState, connection: Connection) -> None:
    """Shut down writing, and read until the peer closes its side."""
    if connection.linger_started_ms is None:
        connection.linger_started_ms = state.clock.now_ms
        # All bytes of the last response have been sent.
        connection.stream.set_reset_on_close(False)
        connection.stream.finish_writing()


def abort_connection(state: ListenerState, connection: Connection) -> None:
    """Reset a connection whose response cannot be completed."""
    connection.stream.abort()
    remove_connection(state, connection)


def remove_connection(state: ListenerState, connection: Connection) -> None:
    """Close a connection; report ``CallerDisconnected`` for its requests."""
    connection.stream.close()
    state.connections.discard(connection)
    exchange = connection.exchange
    if exchange is not None:
        end_exchange(state, connection)
        state.send(state.target, CallerDisconnected(exchange.request_id))
    cancel_pipelined_exchanges(state, connection)
    state.on_connection_closed()


def is_timed_out(state: ListenerState, connection: Connection, now_ms: float) -> bool:
    """Tell whether a connection has made no progress for too long."""
    limits = state.limits
    exchange = connection.exchange
    waited_ms = now_ms - connection.last_progress_ms
    if connection.stream.pending_bytes:
        return waited_ms > limits.response_progress_timeout_ms
    if connection.linger_started_ms is not None:
        return now_ms - connection.linger_started_ms > limits.linger_timeout_ms
    if connection.head_started_ms is not None:
        # Measured from the first byte, so that a head sent byte by byte does
        # not keep its connection open for hours.
        return now_ms - connection.head_started_ms > limits.head_timeout_ms
    if connection.is_request_buffered:
        return waited_ms > limits.body_progress_timeout_ms
    if exchange is None:
        return is_idle_for_too_long(state, connection, now_ms)
    if not exchange.is_request_complete and connection.stream.is_reading:
        return waited_ms > limits.body_progress_timeout_ms
    # The target service applies its own deadline to the request.
    return False


def is_idle_for_too_long(
    state: ListenerState, connection: Connection, now_ms: float
) -> bool:
    """Tell whether a connection without a request is to be closed."""
    limits = state.limits
    idle_ms = now_ms - connection.last_progress_ms
    if state.drain_started_ms is None:
        return idle_ms > limits.idle_timeout_ms
    if not connection.request_count:
        return idle_ms > limits.drain_first_request_timeout_ms
    draining_ms = now_ms - state.drain_started_ms
    return min(idle_ms, draining_ms) > limits.drain_idle_timeout_ms
