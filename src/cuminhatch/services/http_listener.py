"""
An HTTP/1.1 port: owns its connections and passes requests on as messages.

The daemon's port for callers and the ports of the stand-ins are of this
class; they differ in the service that answers.
"""

from collections import deque
from itertools import count
from socket import SO_REUSEADDR, SOL_SOCKET, socket
from typing import NamedTuple

from cuminhatch.codecs.http1 import (
    LAST_CHUNK,
    BodyParsed,
    FramingError,
    Header,
    HeadParsed,
    MessageParsed,
    ParserEvent,
    RequestParser,
    ResponseHead,
    encode_chunk,
    encode_response_head,
)
from cuminhatch.errors import ServiceError
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    Address,
    CallerLeft,
    CallerResumed,
    CallerStalled,
    RequestBody,
    RequestReadPaused,
    RequestReadResumed,
    RequestReceived,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.outcomes import OUTCOME_HEADER, REASON_HEADER, Outcome
from cuminhatch.services._stream import Stream, set_stream_options

LISTEN_BACKLOG = 512
ACCEPTS_PER_EVENT = 64
MAX_CONNECTIONS = 4000
# Above this the source of an answer is paused; the daemon's whole memory is
# 256 MB.
WRITE_HIGH_BYTES = 256 * 1024
# Parsed parts of later requests kept per connection before reading stops.
MAX_BACKLOG_EVENTS = 64
SWEEP_INTERVAL_MS = 1000
# Time for a peer to make progress: idle between requests, in the middle of
# sending a request, or taking an answer.
IDLE_AGE_MS = 60_000
REQUEST_PROGRESS_MS = 10_000
ANSWER_PROGRESS_MS = 30_000

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    422: b"Unprocessable Content",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class SweepDue(NamedTuple):
    """Connections without progress are to be closed."""


class _Exchange:
    """The request of a connection that is being answered."""

    def __init__(self, request_id: int, parsed: HeadParsed) -> None:
        self.request_id = request_id
        self.is_head_request = parsed.head.method == b"HEAD"
        self.is_http_1_0 = parsed.is_http_1_0
        self.is_keep_alive = parsed.is_keep_alive
        self.is_continue_due = parsed.is_continue_expected
        self.is_request_complete = False
        self.is_response_started = False
        self.is_chunked = False


class _Connection:
    """State of one connection; requests are answered one at a time."""

    def __init__(self, now_ms: float) -> None:
        self.stream: Stream
        self.parser = RequestParser()
        self.backlog: deque[ParserEvent] = deque()
        self.exchange: _Exchange | None = None
        self.is_read_paused = False
        self.is_stalled = False
        self.is_closing = False
        self.is_request_begun = False
        self.progress_ms = now_ms


class HttpListener(Service):
    """Accepts connections and turns requests into messages and back."""

    name = "callers"

    def __init__(
        self,
        kernel: Kernel,
        address: Address,
        target: str,
        name: str | None = None,
    ) -> None:
        """
        Create the port without opening it.

        :param kernel: kernel of the process.
        :param address: address to listen on; port 0 takes any.
        :param target: name of the service that answers the requests.
        :param name: name of this service.
        """
        super().__init__(kernel, name)
        self._address = address
        self._target = target
        self._sock: socket | None = None
        self._connections: set[_Connection] = set()
        self._by_request: dict[int, _Connection] = {}
        self._request_ids = count(1)
        self._is_draining = False

    def message_handlers(self) -> MessageTable:
        """Return the messages of the answering service."""
        return {
            ResponseStarted: self._on_response_started,
            ResponseBody: self._on_response_body,
            ResponseAborted: self._on_response_aborted,
            RequestRefused: self._on_request_refused,
            RequestReadPaused: self._on_read_paused,
            RequestReadResumed: self._on_read_resumed,
            SweepDue: self._on_sweep_due,
        }

    @property
    def address(self) -> Address:
        """Return the address in use, with the real port once open."""
        if self._sock is not None and self._sock.fileno() >= 0:
            return Address(*self._sock.getsockname()[:2])
        return self._address

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def exchange_count(self) -> int:
        """Return the number of requests being answered."""
        return len(self._by_request)

    def open(self) -> None:
        """
        Start to listen.

        :raises ServiceError: the address cannot be bound.
        """
        sock = socket()
        sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        try:
            sock.bind(self._address)
            sock.listen(LISTEN_BACKLOG)
        except OSError as error:
            sock.close()
            host, port = self._address
            raise ServiceError(
                f"cannot listen on {host}:{port}: {error.strerror}"
            ) from error
        sock.setblocking(False)
        self._sock = sock
        self.watch_read(sock, self._accept)
        self.call_after(SWEEP_INTERVAL_MS, SweepDue())

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_EVENT):
            if len(self._connections) >= MAX_CONNECTIONS:
                # Further callers wait in the listen queue until one leaves.
                self.unwatch_read(self._sock)
                return
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            set_stream_options(sock)
            self._add_connection(sock)

    def _add_connection(self, sock: socket) -> None:
        connection = _Connection(self.kernel.clock.now_ms)
        connection.stream = Stream(
            self,
            sock,
            on_data=lambda data: self._on_data(connection, data),
            on_lost=lambda reason: self._forget(connection),
            on_drained=lambda: self._on_drained(connection),
        )
        self._connections.add(connection)
        connection.stream.start_reading()

    # Requests

    def _on_data(self, connection: _Connection, data: bytes) -> None:
        connection.progress_ms = self.kernel.clock.now_ms
        connection.is_request_begun = True
        if connection.is_closing:
            return
        connection.backlog.extend(connection.parser.feed(data))
        self._advance(connection)
        if len(connection.backlog) > MAX_BACKLOG_EVENTS:
            self._update_reading(connection)

    def _advance(self, connection: _Connection) -> None:
        """Pass on what has been parsed, up to the end of one request."""
        backlog = connection.backlog
        while backlog and not connection.is_closing:
            exchange = connection.exchange
            if exchange is None:
                self._start_exchange(connection, backlog.popleft())
            elif exchange.is_request_complete:
                return
            else:
                self._pass_body(connection, exchange)
        error = connection.parser.error
        if error is None or connection.is_closing:
            return
        if connection.exchange is None:
            self._refuse_framing(connection, error)
        elif not connection.exchange.is_request_complete:
            # The body of the current request is broken.
            self._forget(connection)

    def _start_exchange(self, connection: _Connection, parsed: HeadParsed) -> None:
        exchange = _Exchange(next(self._request_ids), parsed)
        connection.exchange = exchange
        self._by_request[exchange.request_id] = connection
        data, is_complete = self._take_body(connection)
        exchange.is_request_complete = is_complete
        if is_complete or data:
            exchange.is_continue_due = False
        self.send(
            self._target,
            RequestReceived(
                exchange.request_id,
                parsed.head,
                parsed.body_length,
                data,
                is_complete,
                connection.progress_ms,
            ),
        )

    def _pass_body(self, connection: _Connection, exchange: _Exchange) -> None:
        data, is_complete = self._take_body(connection)
        exchange.is_request_complete = is_complete
        exchange.is_continue_due = False
        self.send(self._target, RequestBody(exchange.request_id, data, is_complete))

    def _take_body(self, connection: _Connection) -> tuple[bytes, bool]:
        """Take the parsed parts of the body and whether it is complete."""
        parts = []
        while connection.backlog:
            event = connection.backlog.popleft()
            if isinstance(event, MessageParsed):
                connection.is_request_begun = bool(connection.backlog)
                return b"".join(parts), True
            if isinstance(event, BodyParsed):
                parts.append(event.data)
        return b"".join(parts), False

    def _refuse_framing(self, connection: _Connection, error: FramingError) -> None:
        body = f"{error}\n".encode()
        head = ResponseHead(
            error.status,
            PHRASES[error.status],
            (
                Header(OUTCOME_HEADER, Outcome.NOT_RUN.encode()),
                Header(REASON_HEADER, b"bad-framing"),
                Header(b"content-type", b"text/plain"),
            ),
        )
        connection.stream.write(
            encode_response_head(head, len(body), False, False) + body
        )
        self._close_when_drained(connection)

    # Answers

    def _on_response_started(self, message: ResponseStarted) -> None:
        connection = self._by_request.get(message.request_id)
        if connection is None:
            return
        exchange = connection.exchange
        exchange.is_response_started = True
        if not exchange.is_request_complete or self._is_draining:
            # The rest of the request's body will not be read.
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
        self._write_body(connection, exchange, message.data, message.is_complete, head)

    def _on_response_body(self, message: ResponseBody) -> None:
        connection = self._by_request.get(message.request_id)
        if connection is not None:
            self._write_body(
                connection, connection.exchange, message.data, message.is_complete
            )

    def _write_body(
        self,
        connection: _Connection,
        exchange: _Exchange,
        data: bytes,
        is_complete: bool,
        head: bytes = b"",
    ) -> None:
        connection.progress_ms = self.kernel.clock.now_ms
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
            self._finish_exchange(connection, exchange)
        elif connection.stream.pending_bytes > WRITE_HIGH_BYTES:
            if not connection.is_stalled:
                connection.is_stalled = True
                self.send(self._target, CallerStalled(exchange.request_id))

    def _finish_exchange(self, connection: _Connection, exchange: _Exchange) -> None:
        del self._by_request[exchange.request_id]
        connection.exchange = None
        connection.is_read_paused = False
        if not exchange.is_keep_alive:
            self._close_when_drained(connection)
            return
        self._advance(connection)
        self._update_reading(connection)

    def _on_response_aborted(self, message: ResponseAborted) -> None:
        connection = self._by_request.get(message.request_id)
        if connection is not None:
            del self._by_request[message.request_id]
            connection.exchange = None
            self._forget(connection)

    def _on_request_refused(self, message: RequestRefused) -> None:
        body = f"{message.reason}\n".encode()
        head = ResponseHead(
            message.status,
            PHRASES[message.status],
            (
                Header(OUTCOME_HEADER, message.outcome.encode()),
                Header(REASON_HEADER, message.reason.encode()),
                Header(b"content-type", b"text/plain"),
            ),
        )
        self._on_response_started(
            ResponseStarted(message.request_id, head, len(body), body, True)
        )

    # Flow control and ends

    def _on_read_paused(self, message: RequestReadPaused) -> None:
        connection = self._by_request.get(message.request_id)
        if connection is not None:
            connection.is_read_paused = True
            self._update_reading(connection)

    def _on_read_resumed(self, message: RequestReadResumed) -> None:
        connection = self._by_request.get(message.request_id)
        if connection is None:
            return
        exchange = connection.exchange
        if exchange.is_continue_due and not exchange.is_response_started:
            exchange.is_continue_due = False
            connection.stream.write(CONTINUE)
        connection.is_read_paused = False
        self._update_reading(connection)

    def _update_reading(self, connection: _Connection) -> None:
        if connection.is_read_paused or len(connection.backlog) > MAX_BACKLOG_EVENTS:
            connection.stream.stop_reading()
        else:
            connection.stream.start_reading()

    def _on_drained(self, connection: _Connection) -> None:
        connection.progress_ms = self.kernel.clock.now_ms
        if connection.is_closing:
            self._forget(connection)
        elif connection.is_stalled:
            connection.is_stalled = False
            if connection.exchange is not None:
                self.send(self._target, CallerResumed(connection.exchange.request_id))

    def _close_when_drained(self, connection: _Connection) -> None:
        connection.is_closing = True
        connection.backlog.clear()
        if connection.stream.pending_bytes == 0:
            self._forget(connection)

    def _forget(self, connection: _Connection) -> None:
        connection.stream.close()
        self._connections.discard(connection)
        exchange = connection.exchange
        if exchange is not None:
            connection.exchange = None
            self._by_request.pop(exchange.request_id, None)
            self.send(self._target, CallerLeft(exchange.request_id))
        if self._sock is not None and len(self._connections) < MAX_CONNECTIONS:
            self.watch_read(self._sock, self._accept)

    def _on_sweep_due(self, message: SweepDue) -> None:
        now_ms = self.kernel.clock.now_ms
        for connection in list(self._connections):
            if now_ms - connection.progress_ms > self._progress_limit_ms(connection):
                self._forget(connection)
        self.call_after(SWEEP_INTERVAL_MS, SweepDue())

    def _progress_limit_ms(self, connection: _Connection) -> float:
        exchange = connection.exchange
        if connection.stream.pending_bytes:
            return ANSWER_PROGRESS_MS
        if exchange is None:
            is_begun = connection.is_request_begun
            return REQUEST_PROGRESS_MS if is_begun else IDLE_AGE_MS
        if not exchange.is_request_complete and not connection.is_read_paused:
            return REQUEST_PROGRESS_MS
        # The answering service bounds its own time.
        return float("inf")
