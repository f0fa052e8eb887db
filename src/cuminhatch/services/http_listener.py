"""
An HTTP/1.1 port: owns its connections and passes requests on as messages.

The daemon's port for callers and the ports of the stand-ins are of this
class; they differ in the service that answers.
"""

from errno import EMFILE, ENFILE, ENOBUFS, ENOMEM
from itertools import count
from socket import socket
from typing import NamedTuple

from cuminhatch.clock import MS_PER_SECOND
from cuminhatch.codecs.http1 import (
    LAST_CHUNK,
    BodyParsed,
    FramingError,
    Header,
    HeadParsed,
    MessageParsed,
    ResponseHead,
    encode_chunk,
    encode_response_head,
)
from cuminhatch.kernel import SUPERVISOR, Kernel, MessageTable, Service
from cuminhatch.messages import (
    Address,
    CallerLeft,
    CallerResumed,
    CallerStalled,
    ConfigurationChanged,
    DrainFinished,
    DrainStarted,
    RequestBody,
    RequestReadPaused,
    RequestReadResumed,
    RequestReceived,
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
from cuminhatch.services._bound_socket import address_of, listen_on
from cuminhatch.services._listener_state import (
    DEFAULT_LIMITS,
    Answer,
    Connection,
    Exchange,
    ListenerLimits,
)
from cuminhatch.services._stream import Stream, set_stream_options

LISTEN_BACKLOG = 512
ACCEPTS_PER_EVENT = 64
# Above this the source of an answer is paused; the daemon's whole memory is
# 256 MB.
WRITE_HIGH_BYTES = 64 * 1024
# Parsed parts of later requests kept per connection before reading stops.
MAX_BACKLOG_EVENTS = 64
MAX_BACKLOG_BYTES = 64 * 1024
# A chunked body is kept until it is complete or has one of these sizes, so
# that usual requests with a broken chunk are refused before they are passed
# on.
MAX_HELD_EVENTS = 1024
MAX_HELD_BYTES = 16 * 1024
# Body passed on before the answering service has asked for it.
MAX_UNASKED_BYTES = 256 * 1024
SWEEP_INTERVAL_MS = 1000
# Requests without effects, which callers may pipeline.
READ_METHODS = frozenset({b"GET", b"HEAD"})
NO_DESCRIPTORS = frozenset({EMFILE, ENFILE, ENOBUFS, ENOMEM})

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class SweepDue(NamedTuple):
    """Connections without progress are to be closed."""


class HttpListener(Service):
    """Accepts connections and turns requests into messages and back."""

    name = "callers"

    def __init__(
        self,
        kernel: Kernel,
        address: Address,
        target: str,
        name: str | None = None,
        limits: ListenerLimits = DEFAULT_LIMITS,
    ) -> None:
        """
        Create the port without opening it.

        :param kernel: kernel of the process.
        :param address: address to listen on; port 0 takes any.
        :param target: name of the service that answers the requests.
        :param name: name of this service.
        :param limits: bounds on connections and times.
        """
        super().__init__(kernel, name)
        self._limits = limits
        self._address = address
        self._target = target
        self._sock: socket | None = None
        self._connections: set[Connection] = set()
        self._by_request: dict[int, Connection] = {}
        self._request_ids = count(1)
        self._is_draining = False
        self._is_drained = False

    def message_handlers(self) -> MessageTable:
        """Return the messages of the answering service."""
        return {
            ResponseStarted: self._on_response_started,
            ResponseBody: self._on_response_body,
            ResponseAborted: self._on_response_aborted,
            RequestRefused: self._on_request_refused,
            RequestReadPaused: self._on_read_paused,
            RequestReadResumed: self._on_read_resumed,
            DrainStarted: self._on_drain_started,
            ConfigurationChanged: self._on_configuration_changed,
            SweepDue: self._on_sweep_due,
        }

    @property
    def address(self) -> Address:
        """Return the address in use, with the real port once open."""
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

        :raises AddressError: the address cannot be bound.
        """
        sock = listen_on(self._address, LISTEN_BACKLOG)
        self._sock = sock
        self._address = address_of(sock)
        self.watch_read(sock, self._accept)
        self.call_after(SWEEP_INTERVAL_MS, SweepDue())

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_EVENT):
            if len(self._connections) >= self._limits.connections:
                # Further callers wait in the listen queue until one leaves.
                self.unwatch_read(self._sock)
                return
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in NO_DESCRIPTORS:
                    # The listen queue stays readable; the sweep resumes.
                    self.unwatch_read(self._sock)
                    return
                continue
            try:
                set_stream_options(sock)
            except OSError:
                sock.close()
                continue
            self._add_connection(sock)

    def _add_connection(self, sock: socket) -> None:
        connection = Connection(self.kernel.clock.now_ms)
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

    def _on_data(self, connection: Connection, data: bytes) -> None:
        if connection.is_closing:
            return
        connection.progress_ms = self.kernel.clock.now_ms
        if connection.exchange is None and not connection.is_held:
            if connection.head_begun_ms is None:
                connection.head_begun_ms = connection.progress_ms
        for event in connection.parser.feed(data):
            connection.backlog.append(event)
            if isinstance(event, BodyParsed):
                connection.backlog_bytes += len(event.data)
            elif isinstance(event, MessageParsed):
                connection.backlog_ends += 1
        self._advance(connection)
        self._update_reading(connection)

    def _advance(self, connection: Connection) -> None:
        """Pass on what has been parsed, up to the end of one request."""
        while connection.backlog and not connection.is_closing:
            exchange = connection.exchange
            if exchange is None:
                if self._is_answer_pending(connection) or self._is_body_awaited(
                    connection
                ):
                    break
                self._start_exchange(connection)
            elif exchange.is_request_complete:
                if not self._may_start_ahead(connection):
                    return
                self._start_ahead(connection)
            else:
                self._pass_body(connection, exchange)
        error = connection.parser.error
        if error is None or connection.is_closing:
            return
        if connection.exchange is None:
            if not connection.backlog_ends:
                self._refuse_framing(connection, error)
        elif not connection.exchange.is_request_complete:
            self._refuse_framing(connection, error)

    def _is_answer_pending(self, connection: Connection) -> bool:
        """Tell whether the caller must take earlier answers first."""
        return connection.stream.pending_bytes > WRITE_HIGH_BYTES

    def _is_body_awaited(self, connection: Connection) -> bool:
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

    def _may_start_ahead(self, connection: Connection) -> bool:
        """
        Tell whether the next request is passed on before earlier ones end.

        Only whole requests that may run twice are, since one whose connection
        ends is sent again by the caller.
        """
        latest = connection.latest
        is_next_known = (
            latest.is_keep_alive and not latest.is_http_1_0 and connection.backlog_ends
        )
        if not is_next_known or self._is_draining:
            return False
        if len(connection.ahead) + 1 >= self._limits.pipelined:
            return False
        parsed = connection.backlog[0]
        is_read = parsed.head.method in READ_METHODS and parsed.body_length == 0
        return is_read and not self._is_answer_pending(connection)

    def _start_ahead(self, connection: Connection) -> None:
        """Pass on a request whose answer waits for those of earlier ones."""
        parsed = connection.backlog.popleft()
        exchange = Exchange(next(self._request_ids), parsed)
        connection.ahead.append(exchange)
        self._pass_head(connection, exchange, parsed)

    def _start_exchange(self, connection: Connection) -> None:
        parsed = connection.backlog.popleft()
        exchange = Exchange(next(self._request_ids), parsed)
        connection.exchange = exchange
        connection.head_begun_ms = None
        self._pass_head(connection, exchange, parsed)

    def _pass_head(
        self, connection: Connection, exchange: Exchange, parsed: HeadParsed
    ) -> None:
        connection.exchange_count += 1
        self._by_request[exchange.request_id] = connection
        data = self._take_body(connection, exchange)
        self.send(
            self._target,
            RequestReceived(
                exchange.request_id,
                parsed.head,
                parsed.body_length,
                data,
                exchange.is_request_complete,
                connection.progress_ms,
            ),
        )

    def _pass_body(self, connection: Connection, exchange: Exchange) -> None:
        data = self._take_body(connection, exchange)
        self.send(
            self._target,
            RequestBody(exchange.request_id, data, exchange.is_request_complete),
        )

    def _take_body(self, connection: Connection, exchange: Exchange) -> bytes:
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

    def _refuse_framing(self, connection: Connection, error: FramingError) -> None:
        outcome = Outcome.NOT_RUN
        exchange = connection.exchange
        if exchange is not None:
            # The answering service has part of the request already.
            outcome = Outcome.UNKNOWN
            self._end_exchange(connection)
            self.send(self._target, CallerLeft(exchange.request_id))
            if exchange.is_response_started:
                self._abort(connection)
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
        connection.stream.write(
            encode_response_head(head, len(body), False, False) + body
        )
        self._close_when_drained(connection)

    # Answers

    def _hold_ahead(self, connection: Connection, message: Answer) -> bool:
        """Tell whether an answer has to wait for earlier ones, and keep it."""
        exchange = connection.find_ahead(message.request_id)
        if exchange is None:
            return False
        exchange.hold(message)
        if exchange.held_bytes > WRITE_HIGH_BYTES and not exchange.is_stalled:
            exchange.is_stalled = True
            self.send(self._target, CallerStalled(exchange.request_id))
        return True

    def _send_held(self, connection: Connection) -> None:
        """Send what is there of the next answer."""
        exchange = connection.ahead.popleft()
        connection.exchange = exchange
        for message in exchange.take_held():
            self.deliver(message)
        is_pending = connection.stream.pending_bytes > WRITE_HIGH_BYTES
        if exchange.is_stalled and not is_pending:
            exchange.is_stalled = False
            self.send(self._target, CallerResumed(exchange.request_id))

    def _drop_ahead(self, connection: Connection) -> None:
        """Cancel the requests whose answers can't be sent any more."""
        while connection.ahead:
            exchange = connection.ahead.popleft()
            del self._by_request[exchange.request_id]
            self.send(self._target, CallerLeft(exchange.request_id))

    def _on_response_started(self, message: ResponseStarted) -> None:
        connection = self._by_request.get(message.request_id)
        if connection is None or self._hold_ahead(connection, message):
            return
        exchange = connection.exchange
        exchange.is_response_started = True
        if not exchange.is_request_complete:
            # The rest of the request's body may not be read.
            exchange.is_keep_alive = False
        elif self._is_draining and not connection.ahead:
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
        self._write_body(connection, exchange, message.data, message.is_complete, head)

    def _on_response_body(self, message: ResponseBody) -> None:
        connection = self._by_request.get(message.request_id)
        if connection is not None and not self._hold_ahead(connection, message):
            self._write_body(
                connection, connection.exchange, message.data, message.is_complete
            )

    def _write_body(
        self,
        connection: Connection,
        exchange: Exchange,
        data: bytes,
        is_complete: bool,
        head: bytes = b"",
    ) -> None:
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
            if not exchange.is_stalled:
                exchange.is_stalled = True
                self.send(self._target, CallerStalled(exchange.request_id))

    def _finish_exchange(self, connection: Connection, exchange: Exchange) -> None:
        self._end_exchange(connection)
        if not exchange.is_keep_alive:
            self._drop_ahead(connection)
            self._close_when_drained(connection)
            return
        if connection.ahead:
            self._send_held(connection)
            if not connection.stream.is_open or connection.is_closing:
                return
        self._start_next(connection)
        if self._is_draining and connection.is_idle:
            self._close_when_drained(connection)

    def _start_next(self, connection: Connection) -> None:
        is_head_due = connection.backlog or not connection.parser.is_between_messages
        if connection.exchange is None and is_head_due:
            connection.head_begun_ms = self.kernel.clock.now_ms
        self._advance(connection)
        self._update_reading(connection)

    def _end_exchange(self, connection: Connection) -> None:
        del self._by_request[connection.exchange.request_id]
        connection.exchange = None
        connection.progress_ms = self.kernel.clock.now_ms

    def _on_response_aborted(self, message: ResponseAborted) -> None:
        connection = self._by_request.get(message.request_id)
        if connection is not None and not self._hold_ahead(connection, message):
            self._end_exchange(connection)
            self._abort(connection)

    def _on_request_refused(self, message: RequestRefused) -> None:
        connection = self._by_request.get(message.request_id)
        if connection is None or self._hold_ahead(connection, message):
            return
        if connection.exchange.is_response_started:
            # A handler failed after the head; a second head would be taken
            # for the next answer.
            self._on_response_aborted(ResponseAborted(message.request_id))
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
        self._on_response_started(
            ResponseStarted(message.request_id, head, len(body), body, True)
        )

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        limits = message.configuration.caller_limits
        if limits is not None:
            self._limits = self._limits._replace(
                head_ms=limits.head_ms, idle_age_ms=limits.idle_ms
            )

    # Flow control and ends

    def _on_read_paused(self, message: RequestReadPaused) -> None:
        connection = self._by_request.get(message.request_id)
        if connection is None or connection.find_ahead(message.request_id):
            # Only whole requests are ahead of their turn.
            return
        connection.exchange.is_read_paused = True
        self._update_reading(connection)

    def _on_read_resumed(self, message: RequestReadResumed) -> None:
        connection = self._by_request.get(message.request_id)
        if connection is None or connection.find_ahead(message.request_id):
            return
        exchange = connection.exchange
        exchange.is_read_paused = False
        exchange.is_body_asked_for = True
        if not exchange.is_request_complete:
            # The time for the caller to go on starts here.
            connection.progress_ms = self.kernel.clock.now_ms
        if exchange.is_continue_due and not exchange.is_response_started:
            exchange.is_continue_due = False
            connection.stream.write(CONTINUE)
        self._update_reading(connection)

    def _update_reading(self, connection: Connection) -> None:
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

    def _on_drained(self, connection: Connection) -> None:
        connection.progress_ms = self.kernel.clock.now_ms
        exchange = connection.exchange
        if connection.is_closing:
            self._linger(connection)
        elif exchange is None:
            self._start_next(connection)
        elif exchange.is_stalled:
            exchange.is_stalled = False
            self.send(self._target, CallerResumed(exchange.request_id))

    def _close_when_drained(self, connection: Connection) -> None:
        connection.is_closing = True
        connection.backlog.clear()
        connection.stream.start_reading()
        if connection.stream.pending_bytes == 0:
            self._linger(connection)

    def _linger(self, connection: Connection) -> None:
        if connection.linger_begun_ms is None:
            connection.linger_begun_ms = self.kernel.clock.now_ms
            connection.stream.finish_writing()

    def _abort(self, connection: Connection) -> None:
        connection.stream.abort()
        self._forget(connection)

    def _forget(self, connection: Connection) -> None:
        connection.stream.close()
        self._connections.discard(connection)
        exchange = connection.exchange
        if exchange is not None:
            self._end_exchange(connection)
            self.send(self._target, CallerLeft(exchange.request_id))
        self._drop_ahead(connection)
        self._resume_accepting()
        self._report_drained()

    def _resume_accepting(self) -> None:
        if self._sock is not None and len(self._connections) < self._limits.connections:
            self.watch_read(self._sock, self._accept)

    def _on_drain_started(self, message: DrainStarted) -> None:
        if self._is_draining:
            return
        self._is_draining = True
        if self._sock is not None:
            # Connections in the listen queue would be reset with the socket.
            for _ in range(LISTEN_BACKLOG // ACCEPTS_PER_EVENT + 1):
                self._accept()
            self.close_socket(self._sock)
            self._sock = None
        for connection in list(self._connections):
            if connection.is_idle and connection.exchange_count:
                # A request may have arrived since the last poll.
                connection.stream.read()
                if connection.stream.is_open and connection.is_idle:
                    self._close_when_drained(connection)
        self._report_drained()

    def _report_drained(self) -> None:
        if self._is_draining and not self._connections and not self._is_drained:
            self._is_drained = True
            self.send(SUPERVISOR, DrainFinished(self.name))

    def _on_sweep_due(self, message: SweepDue) -> None:
        now_ms = self.kernel.clock.now_ms
        for connection in list(self._connections):
            if connection.sent_bytes != connection.stream.sent_bytes:
                connection.sent_bytes = connection.stream.sent_bytes
                connection.progress_ms = now_ms
            if self._is_overdue(connection, now_ms):
                self._forget(connection)
        self._resume_accepting()
        self.call_after(SWEEP_INTERVAL_MS, SweepDue())

    def _is_overdue(self, connection: Connection, now_ms: float) -> bool:
        limits = self._limits
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
            if self._is_draining:
                return waited_ms > limits.drain_first_request_ms
            return waited_ms > limits.idle_age_ms
        if not exchange.is_request_complete and connection.stream.is_reading:
            return waited_ms > limits.body_progress_ms
        # The answering service bounds its own time.
        return False
