"""Writes responses to callers, in the order of their requests."""

from cuminhatch.clock import MS_PER_SECOND
from cuminhatch.codecs.http1 import (
    LAST_CHUNK,
    Header,
    ResponseHead,
    encode_chunk,
    encode_response_head,
)
from cuminhatch.messages import (
    CallerResumed,
    CallerStalled,
    DrainLimitReached,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    Outcome,
)
from cuminhatch.services.http_listener._connections import (
    WRITE_HIGH_WATER_BYTES,
    abort_connection,
    cancel_pipelined_exchanges,
    close_after_flush,
    end_exchange,
    start_lingering_close,
)
from cuminhatch.services.http_listener._reason_phrases import REASON_PHRASES
from cuminhatch.services.http_listener._requests import process_next_request
from cuminhatch.services.http_listener._state import (
    Connection,
    Exchange,
    ListenerState,
    ResponseMessage,
)

# Responses with these statuses have no body, whatever length they declare.
BODILESS_STATUSES = frozenset({204, 304})


def buffer_if_pipelined(
    state: ListenerState, connection: Connection, message: ResponseMessage
) -> bool:
    """Buffer a message of a pipelined request; return True if it is one."""
    exchange = connection.find_pipelined(message.request_id)
    if exchange is None:
        return False
    exchange.buffer(message)
    if exchange.buffered_bytes > WRITE_HIGH_WATER_BYTES and not exchange.is_stalled:
        exchange.is_stalled = True
        state.send(state.target, CallerStalled(exchange.request_id))
    return True


def send_buffered(state: ListenerState, connection: Connection) -> None:
    """Make the next request current, and send its buffered messages."""
    exchange = connection.pipelined_exchanges.popleft()
    connection.exchange = exchange
    for message in exchange.take_buffered():
        state.deliver(message)
    is_above_high_water = connection.stream.pending_bytes > WRITE_HIGH_WATER_BYTES
    if exchange.is_stalled and not is_above_high_water:
        exchange.is_stalled = False
        state.send(state.target, CallerResumed(exchange.request_id))


def on_response_started(state: ListenerState, message: ResponseStarted) -> None:
    """Send the head of a response, with the body so far."""
    connection = state.connections_by_request.get(message.request_id)
    if connection is None or buffer_if_pipelined(state, connection, message):
        return
    exchange = connection.exchange
    if exchange.is_response_started:
        # A second head would end up in the body of the first response.
        abort_connection(state, connection)
        return
    exchange.is_response_started = True
    if not exchange.is_head_request and message.head.status not in BODILESS_STATUSES:
        exchange.body_bytes_left = message.body_length
    if not exchange.is_request_complete:
        # The rest of the request's body may never be read.
        exchange.is_keep_alive = False
    elif state.is_draining and not connection.pipelined_exchanges:
        # No later request of this connection has started. Callers resend
        # those that follow a response that closes the connection.
        exchange.is_keep_alive = False
    exchange.is_chunked = message.body_length is None and not exchange.is_http_1_0
    if message.body_length is None and exchange.is_http_1_0:
        exchange.is_keep_alive = False
        # The caller takes a regular close for the end of the body.
        connection.stream.set_reset_on_close(True)
    head = encode_response_head(
        message.head,
        message.body_length,
        exchange.is_keep_alive,
        exchange.is_chunked,
    )
    write_body(state, connection, exchange, message.data, message.is_complete, head)


def on_response_body(state: ListenerState, message: ResponseBody) -> None:
    """Send a part of a response body."""
    connection = state.connections_by_request.get(message.request_id)
    if connection is None or buffer_if_pipelined(state, connection, message):
        return
    exchange = connection.exchange
    if not exchange.is_response_started:
        # The caller would take the body for a response head.
        abort_connection(state, connection)
        return
    write_body(state, connection, exchange, message.data, message.is_complete)


def write_body(
    state: ListenerState,
    connection: Connection,
    exchange: Exchange,
    data: bytes,
    is_complete: bool,
    head: bytes = b"",
) -> None:
    """Write a part of a response, in the framing that its head declares."""
    if not exchange.take_body_bytes(len(data), is_complete):
        # The caller would take what follows for a part of this body, or a part
        # of this body for the next response.
        abort_connection(state, connection)
        return
    if exchange.is_head_request:
        connection.stream.write(head)
    elif exchange.is_chunked:
        end = LAST_CHUNK if is_complete else b""
        connection.stream.write(head + encode_chunk(data) + end)
    else:
        connection.stream.write(head + data)
    if not connection.stream.is_open:
        return
    if is_complete:
        finish_exchange(state, connection, exchange)
    elif connection.stream.pending_bytes > WRITE_HIGH_WATER_BYTES:
        if not exchange.is_stalled:
            exchange.is_stalled = True
            state.send(state.target, CallerStalled(exchange.request_id))


def finish_exchange(
    state: ListenerState, connection: Connection, exchange: Exchange
) -> None:
    """Continue with the next request, or close the connection."""
    end_exchange(state, connection)
    if not exchange.is_keep_alive:
        cancel_pipelined_exchanges(state, connection)
        close_after_flush(state, connection)
        return
    if connection.pipelined_exchanges:
        send_buffered(state, connection)
        if not connection.stream.is_open or connection.is_closing:
            return
    # In a drain the caller may already have sent its next request if the head
    # of this response did not announce the close.
    process_next_request(state, connection)


def on_response_aborted(state: ListenerState, message: ResponseAborted) -> None:
    """Reset the connection, so that the response cannot look complete."""
    connection = state.connections_by_request.get(message.request_id)
    if connection is not None and not buffer_if_pipelined(state, connection, message):
        end_exchange(state, connection)
        abort_connection(state, connection)


def on_request_refused(state: ListenerState, message: RequestRefused) -> None:
    """Send a response that cuminhatch itself generates."""
    connection = state.connections_by_request.get(message.request_id)
    if connection is None or buffer_if_pipelined(state, connection, message):
        return
    if connection.exchange.is_response_started:
        # A handler failed after the head was sent; the caller would take a
        # second head for the next response.
        on_response_aborted(state, ResponseAborted(message.request_id))
        return
    body = f"{message.reason}\n".encode()
    headers = (
        Header(OUTCOME_HEADER, message.outcome.encode()),
        Header(REASON_HEADER, message.reason.encode()),
        Header(b"content-type", b"text/plain"),
    )
    if message.trace_id:
        headers += (Header(REQUEST_ID_HEADER, message.trace_id),)
    if message.retry_after_ms is not None:
        seconds = b"%.3f" % (message.retry_after_ms / MS_PER_SECOND)
        headers += (Header(b"retry-after", seconds),)
    phrase = REASON_PHRASES.get(message.status, b"Unknown")
    head = ResponseHead(message.status, phrase, headers)
    on_response_started(
        state, ResponseStarted(message.request_id, head, len(body), body, True)
    )


def on_drain_limit_reached(state: ListenerState, message: DrainLimitReached) -> None:
    """
    Send the complete responses that wait for an earlier one.

    Requests before them whose response has not begun end with an unknown
    outcome. A streamed response to HTTP/1.0, which may have no length, is
    aborted: the end of the process would close its connection, and it would
    look complete.
    """
    for connection in list(state.connections):
        while any(e.is_response_buffered for e in connection.pipelined_exchanges):
            if connection.exchange.is_response_started:
                # The rest of this response would have to be sent first.
                break
            request_id = connection.exchange.request_id
            refusal = RequestRefused(request_id, 504, Outcome.UNKNOWN, "stopping")
            on_request_refused(state, refusal)
        exchange = connection.exchange
        if exchange and exchange.is_response_started and exchange.is_http_1_0:
            on_response_aborted(state, ResponseAborted(exchange.request_id))


def on_write_buffer_drained(state: ListenerState, connection: Connection) -> None:
    """Finish closing, start the next request or resume the response."""
    connection.last_progress_ms = state.clock.now_ms
    exchange = connection.exchange
    if connection.is_closing:
        start_lingering_close(state, connection)
    elif exchange is None:
        process_next_request(state, connection)
    elif exchange.is_stalled:
        exchange.is_stalled = False
        state.send(state.target, CallerResumed(exchange.request_id))
