"""Connections to backend servers: pool, requests, responses, timeouts."""

from collections import Counter, defaultdict
from math import inf
from typing import NamedTuple

from cuminhatch.codecs.http1 import LAST_CHUNK, encode_chunk, encode_request_head
from cuminhatch.codecs.http1_parsers import (
    BodyParsed,
    HeadParsed,
    MessageParsed,
    ResponseParser,
)
from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION
from cuminhatch.decisions.limits import connection_share
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    Address,
    AttemptCancelled,
    AttemptFailed,
    AttemptReadPaused,
    AttemptReadResumed,
    AttemptRequestBody,
    AttemptRequested,
    AttemptResponse,
    AttemptResponseBody,
    AttemptWriteResumed,
    AttemptWriteStalled,
    ConfigurationChanged,
    ValueObserved,
)
from cuminhatch.messages.attempts import CONNECTION_LIMIT
from cuminhatch.services._stream import (
    CONNECTION_CLOSED,
    Stream,
    open_connection,
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

    attempt_id: int


class _ServerKey(NamedTuple):
    """Pool key; a configuration can change a server's address, not its id."""

    server_id: str
    address: Address


class _Connection:
    """One connection to a backend server and the attempt that uses it."""

    def __init__(self, key: _ServerKey) -> None:
        self.key = key
        self.stream: Stream
        self.attempt: _Attempt | None = None
        self.is_reused = False
        self.is_closed = False
        # When connecting started; None once the connection is established.
        self.connect_started_ms: float | None = None
        self.idle_since_ms = 0.0
        # The attempt that was completed before the connection became idle.
        self.last_attempt_id = 0


class _Attempt:
    """One request on one connection."""

    def __init__(self, request: AttemptRequested) -> None:
        self.attempt_id = request.attempt_id
        self.timeout_ms = request.timeout_ms
        self.is_chunked = request.body_length is None
        self.is_request_complete = request.is_complete
        self.parser = ResponseParser(request.head.method == b"HEAD")
        self.is_keep_alive = True
        self.is_stalled = False
        self.is_read_paused = False
        self.last_progress_ms = 0.0
        self.timer: int | None = None
        self.sent_bytes_at_start = 0
        self.last_sent_bytes = 0


class BackendConnections(Service):
    """Sends requests to backend servers and reports their responses."""

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
        self._configuration = EMPTY_CONFIGURATION
        self._idle_timeout_ms = idle_timeout_ms
        self._idle: defaultdict[_ServerKey, list[_Connection]] = defaultdict(list)
        self._by_attempt: dict[int, _Connection] = {}
        # Idle connections by the attempt that used them last.
        self._idle_by_attempt: dict[int, _Connection] = {}
        self._open_counts: Counter[str] = Counter()

    def message_handlers(self) -> MessageTable:
        """Return the handlers of attempts, configuration and timers."""
        return {
            AttemptRequested: self._on_attempt_requested,
            AttemptRequestBody: self._on_attempt_request_body,
            AttemptCancelled: self._on_attempt_cancelled,
            AttemptReadPaused: self._on_read_paused,
            AttemptReadResumed: self._on_read_resumed,
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
        return self._open_counts[server_id]

    # Requests

    def _on_attempt_requested(self, message: AttemptRequested) -> None:
        connection = self._acquire_connection(message)
        if isinstance(connection, str):
            self.send(
                self._target,
                AttemptFailed(message.attempt_id, connection, False, False),
            )
            return
        attempt = _Attempt(message)
        attempt.sent_bytes_at_start = attempt.last_sent_bytes = (
            connection.stream.sent_bytes
        )
        connection.attempt = attempt
        self._by_attempt[message.attempt_id] = connection
        head = encode_request_head(message.head, message.body_length)
        body = self._encode_body(attempt, message.data, message.is_complete)
        self._start_timer(attempt)
        connection.stream.write(head + body)
        if connection.stream.sent_bytes:
            self._report_connect_time(connection)
        self._report_if_stalled(connection)

    def _acquire_connection(self, message: AttemptRequested) -> _Connection | str:
        """Return an idle or new connection, or the reason of the failure."""
        key = _ServerKey(message.server_id, message.address)
        idle = self._idle[key]
        while idle and not message.is_new_connection_required:
            connection = idle[-1]
            # Reading before the request is sent detects a connection that the
            # server has closed or sent unsolicited bytes on.
            connection.stream.read()
            if not connection.is_closed:
                idle.pop()
                del self._idle_by_attempt[connection.last_attempt_id]
                connection.is_reused = True
                return connection
        if not self._free_connection_slot(message.server_id):
            return CONNECTION_LIMIT
        sock = open_connection(message.address)
        if isinstance(sock, str):
            return sock
        connection = _Connection(key)
        connection.stream = Stream(
            self,
            sock,
            on_data=lambda data: self._on_data(connection, data),
            on_lost=lambda reason: self._on_connection_lost(connection, reason),
            on_drained=lambda: self._on_drained(connection),
        )
        connection.connect_started_ms = self.kernel.clock.now_ms
        self._open_counts[key.server_id] += 1
        connection.stream.start_reading()
        return connection

    def _free_connection_slot(self, server_id: str) -> bool:
        """Close idle connections at the limit; tell if one more may open."""
        limit = self._connection_limit(server_id)
        if self._open_counts[server_id] >= limit:
            self._trim_idle_connections(server_id, limit - 1)
        return self._open_counts[server_id] < limit

    def _connection_limit(self, server_id: str) -> float:
        """Return the limit of connections to a server, busy and idle."""
        server = self._configuration.servers.get(server_id)
        if server is None:
            # Without a configuration, as in load generation and tests, there
            # is no limit.
            return inf
        spec = self._configuration.services.get(server.service_id)
        if spec is None:
            return inf
        return connection_share(server.connections, spec.instances_max)

    def _trim_idle_connections(self, server_id: str, limit: float) -> None:
        """Close idle connections down to a limit, longest idle first."""
        for key, idle in list(self._idle.items()):
            while (
                key.server_id == server_id
                and idle
                and self._open_counts[server_id] > limit
            ):
                self._close_connection(idle[0])

    def _encode_body(self, attempt: _Attempt, data: bytes, is_complete: bool) -> bytes:
        if not attempt.is_chunked:
            return data
        return encode_chunk(data) + (LAST_CHUNK if is_complete else b"")

    def _on_attempt_request_body(self, message: AttemptRequestBody) -> None:
        connection = self._by_attempt.get(message.attempt_id)
        if connection is None:
            return
        attempt = connection.attempt
        attempt.is_request_complete = message.is_complete
        attempt.last_progress_ms = self.kernel.clock.now_ms
        connection.stream.write(
            self._encode_body(attempt, message.data, message.is_complete)
        )
        self._report_if_stalled(connection)

    def _report_if_stalled(self, connection: _Connection) -> None:
        attempt = connection.attempt
        if (
            attempt is not None
            and not attempt.is_stalled
            and connection.stream.pending_bytes > WRITE_HIGH_WATER_BYTES
        ):
            attempt.is_stalled = True
            self.send(self._target, AttemptWriteStalled(attempt.attempt_id))

    def _on_drained(self, connection: _Connection) -> None:
        self._report_connect_time(connection)
        attempt = connection.attempt
        if attempt is not None:
            attempt.last_progress_ms = self.kernel.clock.now_ms
            if attempt.is_stalled:
                attempt.is_stalled = False
                self.send(self._target, AttemptWriteResumed(attempt.attempt_id))

    def _report_connect_time(self, connection: _Connection) -> None:
        if connection.connect_started_ms is None:
            return
        took_ms = self.kernel.clock.now_ms - connection.connect_started_ms
        connection.connect_started_ms = None
        self.send("metrics", ValueObserved("connect_ms", {}, took_ms))

    # Responses

    def _on_data(self, connection: _Connection, data: bytes) -> None:
        attempt = connection.attempt
        if attempt is None:
            # Unsolicited bytes make the connection unusable.
            self._close_connection(connection)
            return
        if connection.stream.sent_bytes == attempt.sent_bytes_at_start:
            # Nothing of the request has been sent, so this can't answer it.
            self._fail_attempt(connection, "unsolicited data")
            return
        attempt.last_progress_ms = self.kernel.clock.now_ms
        events = attempt.parser.feed(data)
        if attempt.parser.error is not None:
            self._fail_attempt(connection, "malformed response")
            return
        self._process_events(connection, attempt, events)

    def _process_events(
        self, connection: _Connection, attempt: _Attempt, events: list
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
        self._report_response(connection, parsed, b"".join(parts), is_complete)
        if is_complete:
            self._complete_attempt(connection, attempt)

    def _report_response(
        self,
        connection: _Connection,
        parsed: HeadParsed | None,
        data: bytes,
        is_complete: bool,
    ) -> None:
        attempt = connection.attempt
        if parsed is not None:
            self.send(
                self._target,
                AttemptResponse(
                    attempt.attempt_id,
                    parsed.head,
                    parsed.body_length,
                    data,
                    is_complete,
                    connection.is_reused,
                    attempt.parser.has_trailing_data,
                ),
            )
        elif data or is_complete:
            self.send(
                self._target, AttemptResponseBody(attempt.attempt_id, data, is_complete)
            )

    def _complete_attempt(self, connection: _Connection, attempt: _Attempt) -> None:
        self.kernel.cancel(attempt.timer)
        del self._by_attempt[attempt.attempt_id]
        connection.attempt = None
        if (
            not attempt.is_keep_alive
            or not attempt.is_request_complete
            or attempt.parser.has_trailing_data
            or not connection.stream.is_open
            or connection.stream.pending_bytes
        ):
            self._close_connection(connection)
            return
        connection.stream.start_reading()
        connection.idle_since_ms = self.kernel.clock.now_ms
        connection.last_attempt_id = attempt.attempt_id
        self._idle[connection.key].append(connection)
        self._idle_by_attempt[attempt.attempt_id] = connection

    def _on_connection_lost(self, connection: _Connection, reason: str) -> None:
        attempt = connection.attempt
        if attempt is None:
            self._close_connection(connection)
        elif attempt.parser.is_close_delimited and reason == CONNECTION_CLOSED:
            self._report_response(connection, None, b"", True)
            attempt.is_keep_alive = False
            self._complete_attempt(connection, attempt)
        else:
            self._fail_attempt(connection, reason)

    def _fail_attempt(self, connection: _Connection, reason: str) -> None:
        attempt = connection.attempt
        self.kernel.cancel(attempt.timer)
        del self._by_attempt[attempt.attempt_id]
        connection.attempt = None
        is_sent = connection.stream.sent_bytes > attempt.sent_bytes_at_start
        self._close_connection(connection)
        self.send(
            self._target,
            AttemptFailed(attempt.attempt_id, reason, is_sent, connection.is_reused),
        )

    def _close_connection(self, connection: _Connection) -> None:
        connection.stream.close()
        if connection.is_closed:
            return
        connection.is_closed = True
        counts, server_id = self._open_counts, connection.key.server_id
        counts[server_id] -= 1
        if not counts[server_id]:
            del counts[server_id]
        self._idle_by_attempt.pop(connection.last_attempt_id, None)
        idle = self._idle.get(connection.key, ())
        if connection in idle:
            idle.remove(connection)

    # Flow control and time

    def _on_attempt_cancelled(self, message: AttemptCancelled) -> None:
        connection = self._by_attempt.pop(message.attempt_id, None)
        if connection is not None:
            self.kernel.cancel(connection.attempt.timer)
            connection.attempt = None
            self._close_connection(connection)
            return
        # The response was complete, but it belongs to another request; the own
        # one may still follow on this connection.
        connection = self._idle_by_attempt.get(message.attempt_id)
        if connection is not None:
            self._close_connection(connection)

    def _on_read_paused(self, message: AttemptReadPaused) -> None:
        connection = self._by_attempt.get(message.attempt_id)
        if connection is not None:
            connection.attempt.is_read_paused = True
            connection.stream.stop_reading()

    def _on_read_resumed(self, message: AttemptReadResumed) -> None:
        connection = self._by_attempt.get(message.attempt_id)
        if connection is not None:
            connection.attempt.is_read_paused = False
            connection.attempt.last_progress_ms = self.kernel.clock.now_ms
            connection.stream.start_reading()

    def _start_timer(self, attempt: _Attempt) -> None:
        # Progress only updates a timestamp; the timer checks it on expiry.
        attempt.last_progress_ms = self.kernel.clock.now_ms
        attempt.timer = self.call_after(
            attempt.timeout_ms, AttemptTimerExpired(attempt.attempt_id)
        )

    def _on_attempt_timer_expired(self, message: AttemptTimerExpired) -> None:
        connection = self._by_attempt.get(message.attempt_id)
        if connection is None:
            return
        attempt = connection.attempt
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

    def _is_waiting_for_caller(self, connection: _Connection) -> bool:
        """Tell whether the caller is the reason for a lack of progress."""
        attempt = connection.attempt
        return attempt.is_read_paused or (
            not attempt.is_request_complete and not connection.stream.pending_bytes
        )

    def _has_send_progress(self, connection: _Connection) -> bool:
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
        self._configuration = message.configuration
        servers = message.configuration.servers
        for key in list(self._idle):
            server = servers.get(key.server_id)
            if server is None or Address(server.host, server.port) != key.address:
                for connection in self._idle.pop(key):
                    self._close_connection(connection)
            else:
                limit = self._connection_limit(key.server_id)
                self._trim_idle_connections(key.server_id, limit)

    def _on_sweep_timer_expired(self, message: SweepTimerExpired) -> None:
        idle_before_ms = self.kernel.clock.now_ms - self._idle_timeout_ms
        for key, idle in list(self._idle.items()):
            for connection in [c for c in idle if c.idle_since_ms < idle_before_ms]:
                self._close_connection(connection)
            if not idle:
                del self._idle[key]
        self.call_after(SWEEP_INTERVAL_MS, SweepTimerExpired())
