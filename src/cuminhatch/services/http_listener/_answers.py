"""Writes answers to callers, in the order of their requests."""

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
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.outcomes import OUTCOME_HEADER, REASON_HEADER, REQUEST_ID_HEADER
from cuminhatch.services.http_listener._connections import (
    WRITE_HIGH_BYTES,
    abort,
    close_when_drained,
    drop_ahead,
    end_exchange,
    linger,
)
from cuminhatch.services.http_listener._phrases import PHRASES
from cuminhatch.services.http_listener._requests import start_next
from cuminhatch.services.http_listener._state import (
    Answer,
    Connection,
    Exchange,
    PortState,
)


def hold_ahead(port: PortState, connection: Connection, message: Answer) -> bool:
    """Tell whether an answer has to wait for earlier ones, and keep it."""
    exchange = connection.find_ahead(message.request_id)
    if exchange is None:
        return False
    exchange.hold(message)
    if exchange.held_bytes > WRITE_HIGH_BYTES and not exchange.is_stalled:
        exchange.is_stalled = True
        port.send(port.target, CallerStalled(exchange.request_id))
    return True


def send_held(port: PortState, connection: Connection) -> None:
    """Send what is there of the next answer."""
    exchange = connection.ahead.popleft()
    connection.exchange = exchange
    for message in exchange.take_held():
        port.deliver(message)
    is_pending = connection.stream.pending_bytes > WRITE_HIGH_BYTES
    if exchange.is_stalled and not is_pending:
        exchange.is_stalled = False
        port.send(port.target, CallerResumed(exchange.request_id))


def on_response_started(port: PortState, message: ResponseStarted) -> None:
    """Send the head of an answer."""
    connection = port.by_request.get(message.request_id)
    if connection is None or hold_ahead(port, connection, message):
        return
    exchange = connection.exchange
    exchange.is_response_started = True
    if not exchange.is_request_complete:
        # The rest of the request's body may not be read.
        exchange.is_keep_alive = False
    elif port.is_draining and not connection.ahead:
        # Callers send again what they sent behind an answer that closes
        # its connection.
        exchange.is_keep_alive = False
    exchange.is_chunked = message.body_length is None and not exchange.is_http_1_0
    if message.body_length is None and exchange.is_http_1_0:
        exchange.is_keep_alive = False
    head = encode_response_head(
        message.head,
        message.body_length,
        exchange.is_keep_alive,
        exchange.is_chunked,
    )
    write_body(port, connection, exchange, message.data, message.is_complete, head)


def on_response_body(port: PortState, message: ResponseBody) -> None:
    """Send a part of an answer."""
    connection = port.by_request.get(message.request_id)
    if connection is not None and not hold_ahead(port, connection, message):
        write_body(
            port, connection, connection.exchange, message.data, message.is_complete
        )


def write_body(
    port: PortState,
    connection: Connection,
    exchange: Exchange,
    data: bytes,
    is_complete: bool,
    head: bytes = b"",
) -> None:
    """Write a part of an answer, framed as its head says."""
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
        finish_exchange(port, connection, exchange)
    elif connection.stream.pending_bytes > WRITE_HIGH_BYTES:
        if not exchange.is_stalled:
            exchange.is_stalled = True
            port.send(port.target, CallerStalled(exchange.request_id))


def finish_exchange(
    port: PortState, connection: Connection, exchange: Exchange
) -> None:
    """Go on behind an answer that is complete."""
    end_exchange(port, connection)
    if not exchange.is_keep_alive:
        drop_ahead(port, connection)
        close_when_drained(port, connection)
        return
    if connection.ahead:
        send_held(port, connection)
        if not connection.stream.is_open or connection.is_closing:
            return
    start_next(port, connection)
    if port.is_draining and connection.is_idle:
        close_when_drained(port, connection)


def on_response_aborted(port: PortState, message: ResponseAborted) -> None:
    """Cut an answer so that it cannot look complete."""
    connection = port.by_request.get(message.request_id)
    if connection is not None and not hold_ahead(port, connection, message):
        end_exchange(port, connection)
        abort(port, connection)


def on_request_refused(port: PortState, message: RequestRefused) -> None:
    """Send an answer of the service itself."""
    connection = port.by_request.get(message.request_id)
    if connection is None or hold_ahead(port, connection, message):
        return
    if connection.exchange.is_response_started:
        # A handler failed after the head; a second head would be taken
        # for the next answer.
        on_response_aborted(port, ResponseAborted(message.request_id))
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
    phrase = PHRASES.get(message.status, b"Unknown")
    head = ResponseHead(message.status, phrase, headers)
    on_response_started(
        port, ResponseStarted(message.request_id, head, len(body), body, True)
    )


def on_drained(port: PortState, connection: Connection) -> None:
    """Go on when all written bytes have left."""
    connection.progress_ms = port.clock.now_ms
    exchange = connection.exchange
    if connection.is_closing:
        linger(port, connection)
    elif exchange is None:
        start_next(port, connection)
    elif exchange.is_stalled:
        exchange.is_stalled = False
        port.send(port.target, CallerResumed(exchange.request_id))
