"""Reads requests and passes them to the answering service."""

from cuminhatch.codecs.http1 import (
    BodyParsed,
    FramingError,
    Header,
    HeadParsed,
    MessageParsed,
    ResponseHead,
    encode_response_head,
)
from cuminhatch.messages import (
    CallerLeft,
    RequestBody,
    RequestReadPaused,
    RequestReadResumed,
    RequestReceived,
)
from cuminhatch.outcomes import OUTCOME_HEADER, REASON_HEADER, Outcome
from cuminhatch.services.http_listener._connections import (
    abort,
    close_when_drained,
    end_exchange,
    is_answer_pending,
    update_reading,
)
from cuminhatch.services.http_listener._phrases import PHRASES
from cuminhatch.services.http_listener._state import Connection, Exchange, PortState

# A chunked body is kept until it is complete or has one of these sizes, so
# that usual requests with a broken chunk are refused before they are passed
# on.
MAX_HELD_EVENTS = 1024
MAX_HELD_BYTES = 16 * 1024
# Requests without effects, which callers may pipeline.
READ_METHODS = frozenset({b"GET", b"HEAD"})
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def on_data(port: PortState, connection: Connection, data: bytes) -> None:
    """Take bytes of a caller."""
    if connection.is_closing:
        return
    connection.progress_ms = port.clock.now_ms
    if connection.exchange is None and not connection.is_held:
        if connection.head_begun_ms is None:
            connection.head_begun_ms = connection.progress_ms
    for event in connection.parser.feed(data):
        connection.backlog.append(event)
        if isinstance(event, BodyParsed):
            connection.backlog_bytes += len(event.data)
        elif isinstance(event, MessageParsed):
            connection.backlog_ends += 1
    advance(port, connection)
    update_reading(connection)


def advance(port: PortState, connection: Connection) -> None:
    """Pass on what has been parsed, up to the end of one request."""
    while connection.backlog and not connection.is_closing:
        exchange = connection.exchange
        if exchange is None:
            if is_answer_pending(connection) or is_body_awaited(connection):
                break
            start_exchange(port, connection)
        elif exchange.is_request_complete:
            if not may_start_ahead(port, connection):
                return
            start_ahead(port, connection)
        else:
            pass_body(port, connection, exchange)
    error = connection.parser.error
    if error is None or connection.is_closing:
        return
    if connection.exchange is None:
        if not connection.backlog_ends:
            refuse_framing(port, connection, error)
    elif not connection.exchange.is_request_complete:
        refuse_framing(port, connection, error)


def is_body_awaited(connection: Connection) -> bool:
    """Tell whether the next request is kept until more of it is there."""
    parsed = connection.backlog[0]
    if connection.backlog_ends:
        is_awaited = False
    elif connection.parser.error is not None:
        is_awaited = True
    else:
        is_awaited = (
            parsed.body_length is None
            and not parsed.is_continue_expected
            and connection.backlog_bytes < MAX_HELD_BYTES
            and len(connection.backlog) < MAX_HELD_EVENTS
        )
    connection.is_held = is_awaited
    if is_awaited:
        connection.head_begun_ms = None
    return is_awaited


def may_start_ahead(port: PortState, connection: Connection) -> bool:
    """
    Tell whether the next request is passed on before earlier ones end.

    Only whole requests that may run twice are, since one whose connection
    ends is sent again by the caller.
    """
    latest = connection.latest
    is_next_known = (
        latest.is_keep_alive and not latest.is_http_1_0 and connection.backlog_ends
    )
    if not is_next_known or port.is_draining:
        return False
    if len(connection.ahead) + 1 >= port.limits.pipelined:
        return False
    parsed = connection.backlog[0]
    is_read = parsed.head.method in READ_METHODS and parsed.body_length == 0
    return is_read and not is_answer_pending(connection)


def start_ahead(port: PortState, connection: Connection) -> None:
    """Pass on a request whose answer waits for those of earlier ones."""
    parsed = connection.backlog.popleft()
    exchange = Exchange(next(port.request_ids), parsed)
    connection.ahead.append(exchange)
    pass_head(port, connection, exchange, parsed)


def start_exchange(port: PortState, connection: Connection) -> None:
    """Pass on the next request of a connection."""
    parsed = connection.backlog.popleft()
    exchange = Exchange(next(port.request_ids), parsed)
    connection.exchange = exchange
    connection.head_begun_ms = None
    pass_head(port, connection, exchange, parsed)


def pass_head(
    port: PortState, connection: Connection, exchange: Exchange, parsed: HeadParsed
) -> None:
    """Pass on the head of a request, with what is there of its body."""
    connection.exchange_count += 1
    port.by_request[exchange.request_id] = connection
    data = take_body(connection, exchange)
    port.send(
        port.target,
        RequestReceived(
            exchange.request_id,
            parsed.head,
            parsed.body_length,
            data,
            exchange.is_request_complete,
            connection.progress_ms,
        ),
    )


def pass_body(port: PortState, connection: Connection, exchange: Exchange) -> None:
    """Pass on a further part of a body."""
    data = take_body(connection, exchange)
    port.send(
        port.target,
        RequestBody(exchange.request_id, data, exchange.is_request_complete),
    )


def take_body(connection: Connection, exchange: Exchange) -> bytes:
    """Take the parsed parts of the body and note its end."""
    parts = []
    while connection.backlog and not exchange.is_request_complete:
        event = connection.backlog.popleft()
        if isinstance(event, MessageParsed):
            connection.backlog_ends -= 1
            exchange.is_request_complete = True
        else:
            parts.append(event.data)
    data = b"".join(parts)
    connection.backlog_bytes -= len(data)
    exchange.passed_bytes += len(data)
    if data or exchange.is_request_complete:
        exchange.is_continue_due = False
    return data


def refuse_framing(
    port: PortState, connection: Connection, error: FramingError
) -> None:
    """Answer bytes that are no request, and close the connection."""
    outcome = Outcome.NOT_RUN
    exchange = connection.exchange
    if exchange is not None:
        # The answering service has part of the request already.
        outcome = Outcome.UNKNOWN
        end_exchange(port, connection)
        port.send(port.target, CallerLeft(exchange.request_id))
        if exchange.is_response_started:
            abort(port, connection)
            return
    body = f"{error}\n".encode()
    head = ResponseHead(
        error.status,
        PHRASES[error.status],
        (
            Header(OUTCOME_HEADER, outcome.encode()),
            Header(REASON_HEADER, b"bad-framing"),
            Header(b"content-type", b"text/plain"),
        ),
    )
    connection.stream.write(encode_response_head(head, len(body), False, False) + body)
    close_when_drained(port, connection)


def start_next(port: PortState, connection: Connection) -> None:
    """Go on with what has been read behind the last request."""
    is_head_due = connection.backlog or not connection.parser.is_between_messages
    if connection.exchange is None and is_head_due:
        connection.head_begun_ms = port.clock.now_ms
    advance(port, connection)
    update_reading(connection)


def on_read_paused(port: PortState, message: RequestReadPaused) -> None:
    """Stop to read a body that nobody takes now."""
    connection = port.by_request.get(message.request_id)
    if connection is None or connection.find_ahead(message.request_id):
        # Only whole requests are ahead of their turn.
        return
    connection.exchange.is_read_paused = True
    update_reading(connection)


def on_read_resumed(port: PortState, message: RequestReadResumed) -> None:
    """Read on, and ask the caller for a body that it holds back."""
    connection = port.by_request.get(message.request_id)
    if connection is None or connection.find_ahead(message.request_id):
        return
    exchange = connection.exchange
    exchange.is_read_paused = False
    exchange.is_body_asked_for = True
    if not exchange.is_request_complete:
        # The time for the caller to go on starts here.
        connection.progress_ms = port.clock.now_ms
    if exchange.is_continue_due and not exchange.is_response_started:
        exchange.is_continue_due = False
        connection.stream.write(CONTINUE)
    update_reading(connection)
