"""Sends requests and load probes to backend servers."""

from functools import partial
from math import inf
from socket import socket
from typing import NamedTuple

from cuminhatch.codecs.http1 import (
    LAST_CHUNK,
    Header,
    RequestHead,
    encode_chunk,
    encode_request_head,
)
from cuminhatch.codecs.http1_parsers import (
    BodyParsed,
    HeadParsed,
    MessageParsed,
    describe_response_error,
)
from cuminhatch.decisions.configuration import Configuration
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    AttemptCancelled,
    AttemptReadPaused,
    AttemptReadResumed,
    AttemptRequestBody,
    AttemptRequested,
    AttemptWriteResumed,
    AttemptWriteStalled,
    ConfigurationChanged,
    CounterIncremented,
    ValueObserved,
)
from cuminhatch.messages.attempts import (
    ATTEMPT_WITHDRAWN,
    SERVER_EVACUATED,
    UnsentAttemptWithdrawn,
)
from cuminhatch.messages.loads import ProbeRequested, ProbeResponseRejected
from cuminhatch.services._stream import CONNECTION_CLOSED, Stream
from cuminhatch.services.backends._pool import (
    Attempt,
    AttemptKey,
    Connection,
    ConnectionPool,
    ServerKey,
)
from cuminhatch.services.backends._reports import (
    ResponsePart,
    make_attempt_reports,
    make_probe_reports,
)

WRITE_HIGH_WATER_BYTES = 256 * 1024
# Shorter than the usual idle timeout of servers (60 s), so that a request
# rarely reuses a connection that the server is about to close.
IDLE_TIMEOUT_MS = 20_000
SWEEP_INTERVAL_MS = 500


class SweepTimerExpired(NamedTuple):
    """It is time to close connections that have been idle for too long."""


class AttemptTimerExpired(NamedTuple):
    """The timer of an attempt has expired; recent progress restarts it."""

    key: AttemptKey


class BackendConnections(Service):
    """
    Sends requests to backend servers and reports their responses.

    Load probes use the same connections: a request that goes to a server just
    probed finds an open one.
    """

    name = "backends"

    def __init__(
        self,
        kernel: Kernel,
        target: str = "dispatch",
        name: str | None = None,
        idle_timeout_ms: float = IDLE_TIMEOUT_MS,
    ) -> None:
        """
        Create the service with an empty connection pool.

        :param kernel: kernel of the process.
        :param target: name of the service that requests attempts.
        :param name: name of this service.
        :param idle_timeout_ms: idle time after which a connection is closed.
        """
        super().__init__(kernel, name)
        self._target = target
        self._idle_timeout_ms = idle_timeout_ms
        self._pool = ConnectionPool(kernel.clock, self._make_stream)
        self._by_attempt: dict[AttemptKey, Connection] = {}

    def message_handlers(self) -> MessageTable:
        """Return the handlers of attempts, probes and timers."""
        return {
            AttemptRequested: self._on_attempt_requested,
            AttemptRequestBody: self._on_attempt_request_body,
            AttemptCancelled: self._on_attempt_cancelled,
            UnsentAttemptWithdrawn: self._on_unsent_attempt_withdrawn,
            AttemptReadPaused: self._on_read_paused,
            AttemptReadResumed: self._on_read_resumed,
            ProbeRequested: self._on_probe_requested,
            ProbeResponseRejected: self._on_probe_response_rejected,
            ConfigurationChanged: self._on_configuration_changed,
            AttemptTimerExpired: self._on_attempt_timer_expired,
            SweepTimerExpired: self._on_sweep_timer_expired,
        }

    def open(self) -> None:
        """Start the timer that closes idle connections."""
        self.call_after(SWEEP_INTERVAL_MS, SweepTimerExpired())

    def connection_count(self, server_id: str) -> int:
        """
        Return how many connections to a server are open, busy or idle.

        :param server_id: id of the backend server.
        """
        return self._pool.count(server_id)

    def _make_stream(self, connection: Connection, sock: socket) -> Stream:
        return Stream(
            self,
            sock,
            on_data=partial(self._on_data, connection),
            on_lost=partial(self._on_connection_lost, connection),
            on_drained=partial(self._on_drained, connection),
        )

    def _find(self, attempt_id: int) -> Connection | None:
        return self._by_attempt.get(AttemptKey(self._target, attempt_id))

    # Requests

    def _on_attempt_requested(self, message: AttemptRequested) -> None:
        reports = make_attempt_reports(self.send, self._target, message.attempt_id)
        key = AttemptKey(self._target, message.attempt_id)
        self._start(Attempt(key, message, reports))

    def _on_probe_requested(self, message: ProbeRequested) -> None:
        host = f"{message.address.host}:{message.address.port}"
        request = AttemptRequested(
            message.token,
            message.server_id,
            message.address,
            RequestHead(
                b"GET", message.path.encode(), (Header(b"host", host.encode()),)
            ),
            0,
            b"",
            True,
            message.timeout_ms,
            False,
        )
        reports = make_probe_reports(self.send, message)
        key = AttemptKey(message.reply_to, message.token)
        self._start(Attempt(key, request, reports, is_probe=True))

    def _start(self, attempt: Attempt) -> None:
        request = attempt.request
        connection = self._pool.acquire(
            ServerKey(request.server_id, request.address),
            request.is_new_connection_required,
            request.idle_max_ms,
        )
        if isinstance(connection, str):
            attempt.reports.on_failed(connection, False, False)
            return
        if not connection.is_reused:
            self._count_opened(attempt)
        attempt.sent_bytes_at_start = attempt.last_sent_bytes = (
            connection.stream.sent_bytes
        )
        connection.attempt = attempt
        self._by_attempt[attempt.key] = connection
        head = encode_request_head(request.head, request.body_length)
        body = self._encode_body(attempt, request.data, request.is_complete)
        self._start_timer(attempt)
        connection.stream.write(head + body)
        if connection.stream.sent_bytes:
            self._report_connect_time(connection)
        self._report_if_stalled(connection)

    def _count_opened(self, attempt: Attempt) -> None:
        request = attempt.request
        if attempt.is_probe:
            reason = "probe"
        elif request.is_new_connection_required:
            reason = "required"
        elif request.idle_max_ms < inf:
            reason = "idle-too-long"
        else:
            reason = "none-idle"
        labels = {"reason": reason}
        self.send("metrics", CounterIncremented("connections_opened_total", labels))

    def _encode_body(self, attempt: Attempt, data: bytes, is_complete: bool) -> bytes:
        if not attempt.is_chunked:
            return data
        return encode_chunk(data) + (LAST_CHUNK if is_complete else b"")

    def _on_attempt_request_body(self, message: AttemptRequestBody) -> None:
        connection = self._find(message.attempt_id)
        if connection is None:
            return
        attempt = connection.attempt
        attempt.is_request_complete = message.is_complete
        attempt.last_progress_ms = self.kernel.clock.now_ms
        connection.stream.write(
            self._encode_body(attempt, message.data, message.is_complete)
        )
        self._report_if_stalled(connection)

    def _report_if_stalled(self, connection: Connection) -> None:
        attempt = connection.attempt
        if (
            attempt is not None
            and not attempt.is_stalled
            and connection.stream.pending_bytes > WRITE_HIGH_WATER_BYTES
        ):
            attempt.is_stalled = True
            self.send(self._target, AttemptWriteStalled(attempt.key.attempt_id))

    def _on_drained(self, connection: Connection) -> None:
        self._report_connect_time(connection)
        attempt = connection.attempt
        if attempt is not None:
            attempt.last_progress_ms = self.kernel.clock.now_ms
            if attempt.is_stalled:
                attempt.is_stalled = False
                self.send(self._target, AttemptWriteResumed(attempt.key.attempt_id))

    def _report_connect_time(self, connection: Connection) -> None:
        if connection.connect_started_ms is None:
            return
        took_ms = self.kernel.clock.now_ms - connection.connect_started_ms
        connection.connect_started_ms = None
        self.send("metrics", ValueObserved("connect_ms", {}, took_ms))

    # Responses

    def _on_data(self, connection: Connection, data: bytes) -> None:
        attempt = connection.attempt
        if attempt is None:
            # Unsolicited bytes make the connection unusable.
            self._pool.close(connection)
            return
        if connection.stream.sent_bytes == attempt.sent_bytes_at_start:
            # Nothing of the request has been sent, so this can't answer it.
            self._fail_attempt(connection, "unsolicited data")
            return
        attempt.last_progress_ms = self.kernel.clock.now_ms
        attempt.has_response = True
        events = attempt.parser.feed(data)
        if attempt.parser.error is not None:
            reason = describe_response_error(attempt.parser.error)
            self._fail_attempt(connection, reason)
            return
        self._process_events(connection, attempt, events)

    def _process_events(
        self, connection: Connection, attempt: Attempt, events: list
    ) -> None:
        parsed: HeadParsed | None = None
        parts: list[bytes] = []
        is_complete = False
        for event in events:
            if isinstance(event, BodyParsed):
                parts.append(event.data)
            elif isinstance(event, HeadParsed):
                parsed = event
                attempt.is_keep_alive = event.is_keep_alive
            elif isinstance(event, MessageParsed):
                is_complete = True
        self._report_part(connection, attempt, parsed, b"".join(parts), is_complete)

    def _report_part(
        self,
        connection: Connection,
        attempt: Attempt,
        parsed: HeadParsed | None,
        data: bytes,
        is_complete: bool,
    ) -> None:
        part = ResponsePart(
            parsed,
            data,
            is_complete,
            connection.is_reused,
            attempt.parser.has_trailing_data,
            attempt.parser.is_close_delimited,
            attempt.parser.trailing_data,
        )
        fault = attempt.reports.on_part(part)
        if fault:
            self._fail_attempt(connection, fault)
        elif is_complete:
            self._complete_attempt(connection, attempt)

    def _complete_attempt(self, connection: Connection, attempt: Attempt) -> None:
        self._detach(connection, attempt)
        if (
            not attempt.is_keep_alive
            or not attempt.is_request_complete
            or attempt.parser.has_trailing_data
            or not connection.stream.is_intact
            or connection.stream.pending_bytes
        ):
            self._pool.close(connection)
        else:
            self._pool.release(connection, attempt.key)

    def _detach(self, connection: Connection, attempt: Attempt) -> None:
        self.kernel.cancel(attempt.timer)
        del self._by_attempt[attempt.key]
        connection.attempt = None

    def _on_connection_lost(self, connection: Connection, reason: str) -> None:
        attempt = connection.attempt
        if attempt is None:
            self._pool.close(connection)
        elif attempt.parser.is_close_delimited and reason == CONNECTION_CLOSED:
            attempt.is_keep_alive = False
            self._report_part(connection, attempt, None, b"", True)
        elif attempt.is_probe and connection.is_reused and not attempt.has_response:
            # The server closed the idle connection just as it was reused.
            self._repeat_probe(connection, attempt)
        else:
            self._fail_attempt(connection, reason)

    def _repeat_probe(self, connection: Connection, attempt: Attempt) -> None:
        self._detach(connection, attempt)
        self._pool.close(connection)
        request = attempt.request._replace(is_new_connection_required=True)
        self._start(Attempt(attempt.key, request, attempt.reports, is_probe=True))

    def _fail_attempt(self, connection: Connection, reason: str) -> None:
        attempt = connection.attempt
        is_sent = connection.stream.sent_bytes > attempt.sent_bytes_at_start
        self._detach(connection, attempt)
        self._pool.close(connection)
        attempt.reports.on_failed(reason, is_sent, connection.is_reused)

    def _on_unsent_attempt_withdrawn(self, message: UnsentAttemptWithdrawn) -> None:
        connection = self._find(message.attempt_id)
        if connection is not None:
            sent_bytes = connection.stream.sent_bytes
            if sent_bytes == connection.attempt.sent_bytes_at_start:
                self._fail_attempt(connection, ATTEMPT_WITHDRAWN)

    # Flow control and time

    def _on_attempt_cancelled(self, message: AttemptCancelled) -> None:
        connection = self._find(message.attempt_id)
        if connection is not None:
            self._detach(connection, connection.attempt)
            self._pool.close(connection)
            return
        # The response was complete, but it belongs to another request; the own
        # one may still follow on this connection.
        self._pool.close_after(AttemptKey(self._target, message.attempt_id))

    def _on_probe_response_rejected(self, message: ProbeResponseRejected) -> None:
        self._pool.close_after(AttemptKey(message.requester, message.token))

    def _on_read_paused(self, message: AttemptReadPaused) -> None:
        connection = self._find(message.attempt_id)
        if connection is not None:
            connection.attempt.is_read_paused = True
            connection.stream.stop_reading()

    def _on_read_resumed(self, message: AttemptReadResumed) -> None:
        connection = self._find(message.attempt_id)
        if connection is not None:
            connection.attempt.is_read_paused = False
            connection.attempt.last_progress_ms = self.kernel.clock.now_ms
            connection.stream.start_reading()

    def _start_timer(self, attempt: Attempt) -> None:
        # Progress only updates a timestamp; the timer checks it on expiry.
        attempt.last_progress_ms = self.kernel.clock.now_ms
        attempt.timer = self.call_after(
            attempt.timeout_ms, AttemptTimerExpired(attempt.key)
        )

    def _on_attempt_timer_expired(self, message: AttemptTimerExpired) -> None:
        connection = self._by_attempt.get(message.key)
        if connection is None:
            return
        attempt = connection.attempt
        if attempt.is_probe:
            self._time_out_probe(connection)
            return
        now_ms = self.kernel.clock.now_ms
        if self._is_waiting_for_caller(connection) or self._has_send_progress(
            connection
        ):
            attempt.last_progress_ms = now_ms
        deadline_ms = attempt.last_progress_ms + attempt.timeout_ms
        if deadline_ms <= now_ms:
            self._fail_attempt(connection, "timeout")
        else:
            attempt.timer = self.kernel.call_at(deadline_ms, self.name, message)

    def _time_out_probe(self, connection: Connection) -> None:
        """Fail a probe, whose whole response is due by its timeout."""
        if connection.is_reused:
            # A reused connection may be dead without a reset; the other idle
            # ones may be, too.
            self._pool.close_idle(connection.key)
        self._fail_attempt(connection, "timeout")

    def _is_waiting_for_caller(self, connection: Connection) -> bool:
        """Tell whether the caller is the reason for a lack of progress."""
        attempt = connection.attempt
        return attempt.is_read_paused or (
            not attempt.is_request_complete and not connection.stream.pending_bytes
        )

    def _has_send_progress(self, connection: Connection) -> bool:
        """Tell whether a part of the buffer was sent since the last check."""
        attempt = connection.attempt
        before, attempt.last_sent_bytes = (
            attempt.last_sent_bytes,
            connection.stream.sent_bytes,
        )
        # Nothing is sent until the connection is established. The progress of
        # sending the last bytes is recorded by ``_on_drained``.
        return attempt.last_sent_bytes > before and connection.stream.pending_bytes > 0

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        self._pool.apply_configuration(message.configuration)
        if message.configuration.evacuated_domains:
            self._fail_unsent_to_evacuated(message.configuration)

    def _fail_unsent_to_evacuated(self, configuration: Configuration) -> None:
        """
        Fail attempts that would reach an evacuated server later.

        Their connection is not established yet, which may take seconds if a
        packet was lost.
        """
        for connection in list(self._by_attempt.values()):
            server = configuration.servers.get(connection.key.server_id)
            if server is None:
                continue
            sent_bytes = connection.stream.sent_bytes
            is_unsent = sent_bytes == connection.attempt.sent_bytes_at_start
            if is_unsent and server.failure_domain in configuration.evacuated_domains:
                self._fail_attempt(connection, SERVER_EVACUATED)

    def _on_sweep_timer_expired(self, message: SweepTimerExpired) -> None:
        self._pool.close_unused(self.kernel.clock.now_ms - self._idle_timeout_ms)
        self.call_after(SWEEP_INTERVAL_MS, SweepTimerExpired())
