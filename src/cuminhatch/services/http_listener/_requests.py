"""Reads requests and forwards them to the target service."""

from cuminhatch.codecs.http1 import Header, ResponseHead, encode_response_head
from cuminhatch.codecs.http1_parsers import (
    BodyParsed,
    FramingError,
    HeadParsed,
    MessageParsed,
)
from cuminhatch.messages import (
    CallerDisconnected,
    PipeliningAllowed,
    PipeliningRequested,
    RequestBody,
    RequestReadPaused,
    RequestReadResumed,
    RequestReceived,
)
from cuminhatch.outcomes import OUTCOME_HEADER, REASON_HEADER, Outcome
from cuminhatch.services.http_listener._connections import (
    abort_connection,
    close_after_flush,
    end_exchange,
    is_write_buffer_full,
    update_reading,
)
from cuminhatch.services.http_listener._reason_phrases import REASON_PHRASES
from cuminhatch.services.http_listener._state import Connection, Exchange, ListenerState

# A request with a chunked body is buffered until it is complete or reaches
# one of these sizes, so that requests of usual size with a malformed chunk are
# refused before they are forwarded.
MAX_BUFFERED_REQUEST_EVENTS = 1024
MAX_BUFFERED_REQUEST_BYTES = 16 * 1024
# Methods without side effects; only these are handled concurrently when
# callers pipeline them.
SAFE_METHODS = frozenset({b"GET", b"HEAD"})
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def on_data(state: ListenerState, connection: Connection, data: bytes) -> None:
    """Parse bytes from a caller and forward the result."""
    if connection.is_closing:
        return
    connection.last_progress_ms = state.clock.now_ms
    if connection.exchange is None and not connection.is_request_buffered:
        if connection.head_started_ms is None:
            connection.head_started_ms = connection.last_progress_ms
    for event in connection.parser.feed(data):
        connection.parsed_events.append(event)
        if isinstance(event, BodyParsed):
            connection.parsed_body_bytes += len(event.data)
        elif isinstance(event, MessageParsed):
            connection.message_end_count += 1
    process_events(state, connection)
    update_reading(connection)


def process_events(state: ListenerState, connection: Connection) -> None:
    """Forward parsed events, as far as flow control and order allow."""
    while connection.parsed_events and not connection.is_closing:
        exchange = connection.exchange
        if exchange is None:
            if is_write_buffer_full(connection) or must_buffer_request(
                state, connection
            ):
                break
            start_exchange(state, connection)
        elif exchange.is_request_complete:
            if not may_pipeline_next(state, connection):
                return
            start_pipelined_exchange(state, connection)
        else:
            forward_body(state, connection, exchange)
    error = connection.parser.error
    if error is None or connection.is_closing:
        return
    if connection.exchange is None:
        if not connection.message_end_count:
            refuse_malformed_request(state, connection, error)
    elif not connection.exchange.is_request_complete:
        refuse_malformed_request(state, connection, error)


def must_buffer_request(state: ListenerState, connection: Connection) -> bool:
    """
    Decide whether to wait for more of the next request's body.

    The wait is limited: the deadline of a request starts once it is forwarded.
    """
    now_ms = state.clock.now_ms
    since_ms = connection.buffering_since_ms
    if since_ms is None:
        since_ms = now_ms
    parsed = connection.parsed_events[0]
    if connection.message_end_count:
        is_buffered = False
    elif connection.parser.error is not None:
        is_buffered = True
    else:
        is_buffered = (
            parsed.body_length is None
            and not parsed.is_continue_expected
            and connection.parsed_body_bytes < MAX_BUFFERED_REQUEST_BYTES
            and len(connection.parsed_events) < MAX_BUFFERED_REQUEST_EVENTS
            and now_ms - since_ms < state.limits.head_timeout_ms
        )
    connection.buffering_since_ms = since_ms if is_buffered else None
    if is_buffered:
        connection.head_started_ms = None
    return is_buffered


def may_pipeline_next(state: ListenerState, connection: Connection) -> bool:
    """
    Tell whether the next request may start before earlier ones end.

    Only complete requests with a safe method may: if the connection closes,
    callers resend pipelined requests, and these may then run twice. None may
    behind a response that is or may be streamed: it could wait for longer than
    a planned stop takes.
    """
    last_exchange = connection.last_exchange
    is_next_allowed = (
        last_exchange.is_keep_alive
        and not last_exchange.is_http_1_0
        and connection.message_end_count
    )
    if not is_next_allowed or state.is_stop_announced:
        return False
    if connection.exchange.is_response_started:
        return False
    if len(connection.pipelined_exchanges) + 1 >= state.limits.pipelined:
        return False
    parsed = connection.parsed_events[0]
    is_safe = parsed.head.method in SAFE_METHODS and parsed.body_length == 0
    if not is_safe or is_write_buffer_full(connection):
        return False
    request_pipelining(state, last_exchange)
    return last_exchange.is_pipelining_allowed


def request_pipelining(state: ListenerState, exchange: Exchange) -> None:
    """Ask once whether a request behind another may be forwarded."""
    if not exchange.is_pipelining_requested:
        exchange.is_pipelining_requested = True
        state.send(state.target, PipeliningRequested(exchange.request_id))


def on_pipelining_allowed(state: ListenerState, message: PipeliningAllowed) -> None:
    """Forward the request behind another one."""
    connection = state.connections_by_request.get(message.request_id)
    if connection is None:
        return
    exchange = connection.last_exchange
    if exchange.request_id == message.request_id:
        exchange.is_pipelining_allowed = True
        process_events(state, connection)
        update_reading(connection)


def start_pipelined_exchange(state: ListenerState, connection: Connection) -> None:
    """Forward a request whose response must wait for earlier ones."""
    parsed = connection.parsed_events.popleft()
    exchange = Exchange(next(state.request_ids), parsed)
    connection.pipelined_exchanges.append(exchange)
    forward_head(state, connection, exchange, parsed)


def start_exchange(state: ListenerState, connection: Connection) -> None:
    """Forward the next request and make it the current one."""
    parsed = connection.parsed_events.popleft()
    exchange = Exchange(next(state.request_ids), parsed)
    connection.exchange = exchange
    connection.head_started_ms = None
    forward_head(state, connection, exchange, parsed)


def forward_head(
    state: ListenerState, connection: Connection, exchange: Exchange, parsed: HeadParsed
) -> None:
    """Forward the head of a request, with the body so far."""
    connection.request_count += 1
    state.connections_by_request[exchange.request_id] = connection
    data = take_body(connection, exchange)
    state.send(
        state.target,
        RequestReceived(
            exchange.request_id,
            parsed.head,
            parsed.body_length,
            data,
            exchange.is_request_complete,
            connection.last_progress_ms,
        ),
    )


def forward_body(
    state: ListenerState, connection: Connection, exchange: Exchange
) -> None:
    """Forward a further part of a request body."""
    data = take_body(connection, exchange)
    state.send(
        state.target,
        RequestBody(exchange.request_id, data, exchange.is_request_complete),
    )


def take_body(connection: Connection, exchange: Exchange) -> bytes:
    """Remove and return the parsed body parts of a request."""
    parts = []
    while connection.parsed_events and not exchange.is_request_complete:
        event = connection.parsed_events.popleft()
        if isinstance(event, MessageParsed):
            connection.message_end_count -= 1
            exchange.is_request_complete = True
        else:
            parts.append(event.data)
    data = b"".join(parts)
    connection.parsed_body_bytes -= len(data)
    exchange.forwarded_bytes += len(data)
    if data or exchange.is_request_complete:
        exchange.is_continue_pending = False
    return data


def refuse_malformed_request(
    state: ListenerState, connection: Connection, error: FramingError
) -> None:
    """Refuse bytes that are not a valid request, and close."""
    outcome = Outcome.NOT_RUN
    exchange = connection.exchange
    if exchange is not None:
        # Part of the request has been forwarded already.
        outcome = Outcome.UNKNOWN
        end_exchange(state, connection)
        state.send(state.target, CallerDisconnected(exchange.request_id))
        if exchange.is_response_started:
            abort_connection(state, connection)
            return
    body = f"{error}\n".encode()
    head = ResponseHead(
        error.status,
        REASON_PHRASES[error.status],
        (
            Header(OUTCOME_HEADER, outcome.encode()),
            Header(REASON_HEADER, b"bad-framing"),
            Header(b"content-type", b"text/plain"),
        ),
    )
    connection.stream.write(encode_response_head(head, len(body), False, False) + body)
    close_after_flush(state, connection)


def process_next_request(state: ListenerState, connection: Connection) -> None:
    """Continue with the bytes that follow the last request."""
    is_head_started = (
        connection.parsed_events or not connection.parser.is_between_messages
    )
    if connection.exchange is None and is_head_started:
        connection.head_started_ms = state.clock.now_ms
    process_events(state, connection)
    update_reading(connection)


def on_read_paused(state: ListenerState, message: RequestReadPaused) -> None:
    """Stop reading a body whose receiver cannot take more."""
    connection = state.connections_by_request.get(message.request_id)
    if connection is None or connection.find_pipelined(message.request_id):
        # Pipelined requests are complete; there is no body to pause.
        return
    connection.exchange.is_read_paused = True
    update_reading(connection)


def on_read_resumed(state: ListenerState, message: RequestReadResumed) -> None:
    """Resume reading, and send ``100 Continue`` if the caller expects it."""
    connection = state.connections_by_request.get(message.request_id)
    if connection is None or connection.find_pipelined(message.request_id):
        return
    exchange = connection.exchange
    exchange.is_read_paused = False
    exchange.is_body_requested = True
    if not exchange.is_request_complete:
        # The body timeout of the caller starts here.
        connection.last_progress_ms = state.clock.now_ms
    if exchange.is_continue_pending and not exchange.is_response_started:
        exchange.is_continue_pending = False
        connection.stream.write(CONTINUE)
    update_reading(connection)
