"""The life of a connection: reading, flow control, its end."""

from cuminhatch.messages import CallerLeft
from cuminhatch.services.http_listener._state import Connection, PortState

# Above this the source of an answer is paused; the daemon's whole memory is
# 256 MB.
WRITE_HIGH_BYTES = 64 * 1024
# Parsed parts of later requests kept per connection before reading stops.
MAX_BACKLOG_EVENTS = 64
MAX_BACKLOG_BYTES = 64 * 1024
# Body passed on before the answering service has asked for it.
MAX_UNASKED_BYTES = 256 * 1024


def is_answer_pending(connection: Connection) -> bool:
    """Tell whether the caller must take earlier answers first."""
    return connection.stream.pending_bytes > WRITE_HIGH_BYTES


def update_reading(connection: Connection) -> None:
    """Read from a connection, or hold its peer back."""
    exchange = connection.exchange
    if connection.is_closing:
        is_wanted = True
    elif exchange is not None and not exchange.is_request_complete:
        is_wanted = not exchange.is_read_paused and (
            exchange.is_body_asked_for or exchange.passed_bytes < MAX_UNASKED_BYTES
        )
    elif connection.is_held:
        is_wanted = True
    else:
        is_wanted = (
            len(connection.backlog) <= MAX_BACKLOG_EVENTS
            and connection.backlog_bytes <= MAX_BACKLOG_BYTES
        )
    if is_wanted:
        connection.stream.start_reading()
    else:
        connection.stream.stop_reading()


def end_exchange(port: PortState, connection: Connection) -> None:
    """Forget the request whose answer was sent."""
    del port.by_request[connection.exchange.request_id]
    connection.exchange = None
    connection.progress_ms = port.clock.now_ms


def drop_ahead(port: PortState, connection: Connection) -> None:
    """Cancel the requests whose answers can't be sent any more."""
    while connection.ahead:
        exchange = connection.ahead.popleft()
        del port.by_request[exchange.request_id]
        port.send(port.target, CallerLeft(exchange.request_id))


def close_when_drained(port: PortState, connection: Connection) -> None:
    """Close a connection once its last answer has left."""
    connection.is_closing = True
    connection.backlog.clear()
    connection.stream.start_reading()
    if connection.stream.pending_bytes == 0:
        linger(port, connection)


def linger(port: PortState, connection: Connection) -> None:
    """End the own side, and read until the peer has ended its side."""
    if connection.linger_begun_ms is None:
        connection.linger_begun_ms = port.clock.now_ms
        connection.stream.finish_writing()


def abort(port: PortState, connection: Connection) -> None:
    """Reset a connection whose answer cannot be completed."""
    connection.stream.abort()
    forget(port, connection)


def forget(port: PortState, connection: Connection) -> None:
    """Close a connection, and report the callers that it had."""
    connection.stream.close()
    port.connections.discard(connection)
    exchange = connection.exchange
    if exchange is not None:
        end_exchange(port, connection)
        port.send(port.target, CallerLeft(exchange.request_id))
    drop_ahead(port, connection)
    port.on_connection_closed()


def is_overdue(port: PortState, connection: Connection, now_ms: float) -> bool:
    """Tell whether a connection has made no progress for too long."""
    limits = port.limits
    exchange = connection.exchange
    waited_ms = now_ms - connection.progress_ms
    if connection.stream.pending_bytes:
        return waited_ms > limits.answer_progress_ms
    if connection.linger_begun_ms is not None:
        return now_ms - connection.linger_begun_ms > limits.linger_ms
    if connection.head_begun_ms is not None:
        # From the first byte, so that a head sent byte by byte does not
        # hold its connection for hours.
        return now_ms - connection.head_begun_ms > limits.head_ms
    if connection.is_held:
        return waited_ms > limits.body_progress_ms
    if exchange is None:
        if port.is_draining:
            return waited_ms > limits.drain_first_request_ms
        return waited_ms > limits.idle_age_ms
    if not exchange.is_request_complete and connection.stream.is_reading:
        return waited_ms > limits.body_progress_ms
    # The answering service bounds its own time.
    return False
