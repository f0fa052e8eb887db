"""Connections to backend servers: pool, sending, reading, timeouts."""

from collections import Counter, defaultdict
from errno import ECONNREFUSED, EINPROGRESS
from math import inf
from socket import socket
from typing import NamedTuple

from cuminhatch.codecs.http1 import (
    LAST_CHUNK,
    BodyParsed,
    HeadParsed,
    MessageParsed,
    ResponseParser,
    encode_chunk,
    encode_request_head,
)
from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION
from cuminhatch.decisions.limits import connection_share
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    Address,
    AttemptBody,
    AttemptBodySent,
    AttemptCancelled,
    AttemptFailed,
    AttemptReadPaused,
    AttemptReadResumed,
    AttemptRequested,
    AttemptResponse,
    AttemptResumed,
    AttemptStalled,
    ConfigurationChanged,
    ValueObserved,
)
from cuminhatch.messages.attempts import CONNECTION_LIMIT
from cuminhatch.services._stream import (
    CONNECTION_CLOSED,
    CONNECTION_FAILED,
    CONNECTION_REFUSED,
    Stream,
    set_stream_options,
)

WRITE_HIGH_BYTES = 256 * 1024
# Shorter than the idle timeout that servers commonly have (60 s), so that a
# request rarely meets a connection that the server is just closing.
IDLE_AGE_MS = 20_000
SWEEP_INTERVAL_MS = 500


class SweepDue(NamedTuple):
    """Old idle connections are to be closed."""


class DeadlineDue(NamedTuple):
    """An attempt may have passed its deadline."""

    attempt_id: int


class _ServerKey(NamedTuple):
    """A backend server keeps its id when a note changes its address."""

    server_id: str
    address: Address


class _Connection:
    """State of one connection to a backend server."""

    def __init__(self, key: _ServerKey) -> None:
        self.key = key
        self.stream: Stream
        self.attempt: _Attempt | None = None
        self.is_reused = False
        self.is_dropped = False
        # None once the connection is open.
        self.opened_ms: float | None = None
        self.idle_since_ms = 0.0


class _Attempt:
    """State of one request on one connection."""

    def __init__(self, request: AttemptRequested) -> None:
        self.attempt_id = request.attempt_id
        self.timeout_ms = request.timeout_ms
        self.is_chunked = request.body_length is None
        self.is_request_complete = request.is_complete
        self.parser = ResponseParser(request.head.method == b"HEAD")
        self.is_keep_alive = True
        self.is_stalled = False
        self.is_read_paused = False
        self.progress_ms = 0.0
        self.timer: int | None = None
        self.sent_before = 0
        self.sent_bytes = 0


class BackendConnections(Service):
    """Sends requests to backend servers and reports what becomes of them."""

    name = "backends"

    def __init__(
        self,
        kernel: Kernel,
        target: str = "dispatch",
        name: str | None = None,
        idle_age_ms: float = IDLE_AGE_MS,
    ) -> None:
        """
        Create the service with an empty pool.

        :param kernel: kernel of the process.
        :param target: name of the service that asks for attempts.
        :param name: name of this service.
        :param idle_age_ms: age at which an idle connection is closed.
        """
        super().__init__(kernel, name)
        self._target = target
        self._configuration = EMPTY_CONFIGURATION
        self._idle_age_ms = idle_age_ms
        self._idle: defaultdict[_ServerKey, list[_Connection]] = defaultdict(list)
        self._by_attempt: dict[int, _Connection] = {}
        self._open_counts: Counter[str] = Counter()

    def message_handlers(self) -> MessageTable:
        """Return the messages of the service that asks for attempts."""
        return {
            AttemptRequested: self._on_attempt_requested,
            AttemptBodySent: self._on_attempt_body_sent,
            AttemptCancelled: self._on_attempt_cancelled,
            AttemptReadPaused: self._on_read_paused,
            AttemptReadResumed: self._on_read_resumed,
            ConfigurationChanged: self._on_configuration_changed,
            DeadlineDue: self._on_deadline_due,
            SweepDue: self._on_sweep_due,
        }

    def open(self) -> None:
        """Start to close idle connections of a certain age."""
        self.call_after(SWEEP_INTERVAL_MS, SweepDue())

    def connection_count(self, server_id: str) -> int:
        """
        Return the open connections to a backend server, busy and idle.

        :param server_id: id of the backend server.
        """
        return self._open_counts[server_id]

    # Requests

    def _on_attempt_requested(self, message: AttemptRequested) -> None:
        connection = self._take_connection(message)
        if isinstance(connection, str):
            self.send(
                self._target,
                AttemptFailed(message.attempt_id, connection, False, False),
            )
            return
        attempt = _Attempt(message)
        attempt.sent_before = attempt.sent_bytes = connection.stream.sent_bytes
        connection.attempt = attempt
        self._by_attempt[message.attempt_id] = connection
        head = encode_request_head(message.head, message.body_length)
        body = self._encode_body(attempt, message.data, message.is_complete)
        self._start_timer(attempt)
        connection.stream.write(head + body)
        if connection.stream.sent_bytes:
            self._observe_connect(connection)
        self._check_stalled(connection)

    def _take_connection(self, message: AttemptRequested) -> _Connection | str:
        """Return a connection to use, or the reason why there is none."""
        key = _ServerKey(message.server_id, message.address)
        idle = self._idle[key]
        while idle and not message.is_fresh_wanted:
            connection = idle[-1]
            # A server that has closed, or that sent bytes nobody asked for,
            # must not be noticed only after the request is sent.
            connection.stream.read()
            if not connection.is_dropped:
                idle.pop()
                connection.is_reused = True
                return connection
        if not self._make_room(message.server_id):
            return CONNECTION_LIMIT
        sock = socket()
        set_stream_options(sock)
        error = sock.connect_ex(message.address)
        if error not in (0, EINPROGRESS):
            sock.close()
            return CONNECTION_REFUSED if error == ECONNREFUSED else CONNECTION_FAILED
        connection = _Connection(key)
        connection.stream = Stream(
            self,
            sock,
            on_data=lambda data: self._on_data(connection, data),
            on_lost=lambda reason: self._on_lost(connection, reason),
            on_drained=lambda: self._on_drained(connection),
        )
        connection.opened_ms = self.kernel.clock.now_ms
        self._open_counts[key.server_id] += 1
        connection.stream.start_reading()
        return connection

    def _make_room(self, server_id: str) -> bool:
        """Close idle connections if a further one would exceed the limit."""
        limit = self._connection_limit(server_id)
        if self._open_counts[server_id] >= limit:
            self._close_idle_above(server_id, limit - 1)
        return self._open_counts[server_id] < limit

    def _connection_limit(self, server_id: str) -> float:
        """Return the most connections to a server, busy and idle together."""
        server = self._configuration.servers.get(server_id)
        if server is None:
            # A service of probes or tests without a configuration.
            return inf
        spec = self._configuration.services.get(server.service_id)
        if spec is None:
            return inf
        return connection_share(server.connections, spec.instances_max)

    def _close_idle_above(self, server_id: str, limit: float) -> None:
        """Close idle connections, the oldest first, down to a limit."""
        for key, idle in list(self._idle.items()):
            while (
                key.server_id == server_id
                and idle
                and self._open_counts[server_id] > limit
            ):
                self._drop(idle[0])

    def _encode_body(self, attempt: _Attempt, data: bytes, is_complete: bool) -> bytes:
        if not attempt.is_chunked:
            return data
        return encode_chunk(data) + (LAST_CHUNK if is_complete else b"")

    def _on_attempt_body_sent(self, message: AttemptBodySent) -> None:
        connection = self._by_attempt.get(message.attempt_id)
        if connection is None:
            return
        attempt = connection.attempt
        attempt.is_request_complete = message.is_complete
        attempt.progress_ms = self.kernel.clock.now_ms
        connection.stream.write(
            self._encode_body(attempt, message.data, message.is_complete)
        )
        self._check_stalled(connection)

    def _check_stalled(self, connection: _Connection) -> None:
        attempt = connection.attempt
        if (
            attempt is not None
            and not attempt.is_stalled
            and connection.stream.pending_bytes > WRITE_HIGH_BYTES
        ):
            attempt.is_stalled = True
            self.send(self._target, AttemptStalled(attempt.attempt_id))

    def _on_drained(self, connection: _Connection) -> None:
        self._observe_connect(connection)
        attempt = connection.attempt
        if attempt is not None:
            attempt.progress_ms = self.kernel.clock.now_ms
            if attempt.is_stalled:
                attempt.is_stalled = False
                self.send(self._target, AttemptResumed(attempt.attempt_id))

    def _observe_connect(self, connection: _Connection) -> None:
        if connection.opened_ms is None:
            return
        took_ms = self.kernel.clock.now_ms - connection.opened_ms
        connection.opened_ms = None
        self.send("metrics", ValueObserved("connect_ms", {}, took_ms))

    # Responses

    def _on_data(self, connection: _Connection, data: bytes) -> None:
        attempt = connection.attempt
        if attempt is None:
            # Bytes that no request asked for: the connection is unusable.
            self._drop(connection)
            return
        attempt.progress_ms = self.kernel.clock.now_ms
        events = attempt.parser.feed(data)
        if attempt.parser.error is not None:
            self._fail(connection, "malformed response")
            return
        self._report_events(connection, attempt, events)

    def _report_events(
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
        self._report(attempt, parsed, b"".join(parts), is_complete)
        if is_complete:
            self._finish(connection, attempt)

    def _report(
        self,
        attempt: _Attempt,
        parsed: HeadParsed | None,
        data: bytes,
        is_complete: bool,
    ) -> None:
        if parsed is not None:
            self.send(
                self._target,
                AttemptResponse(
                    attempt.attempt_id,
                    parsed.head,
                    parsed.body_length,
                    data,
                    is_complete,
                ),
            )
        elif data or is_complete:
            self.send(self._target, AttemptBody(attempt.attempt_id, data, is_complete))

    def _finish(self, connection: _Connection, attempt: _Attempt) -> None:
        self.kernel.cancel(attempt.timer)
        del self._by_attempt[attempt.attempt_id]
        connection.attempt = None
        if (
            not attempt.is_keep_alive
            or not attempt.is_request_complete
            or attempt.parser.has_surplus
            or not connection.stream.is_open
            or connection.stream.pending_bytes
        ):
            self._drop(connection)
            return
        connection.stream.start_reading()
        connection.idle_since_ms = self.kernel.clock.now_ms
        self._idle[connection.key].append(connection)

    def _on_lost(self, connection: _Connection, reason: str) -> None:
        attempt = connection.attempt
        if attempt is None:
            self._drop(connection)
        elif attempt.parser.is_until_close and reason == CONNECTION_CLOSED:
            self._report(attempt, None, b"", True)
            attempt.is_keep_alive = False
            self._finish(connection, attempt)
        else:
            self._fail(connection, reason)

    def _fail(self, connection: _Connection, reason: str) -> None:
        attempt = connection.attempt
        self.kernel.cancel(attempt.timer)
        del self._by_attempt[attempt.attempt_id]
        connection.attempt = None
        is_sent = connection.stream.sent_bytes > attempt.sent_before
        self._drop(connection)
        self.send(
            self._target,
            AttemptFailed(attempt.attempt_id, reason, is_sent, connection.is_reused),
        )

    def _drop(self, connection: _Connection) -> None:
        connection.stream.close()
        if connection.is_dropped:
            return
        connection.is_dropped = True
        counts, server_id = self._open_counts, connection.key.server_id
        counts[server_id] -= 1
        if not counts[server_id]:
            del counts[server_id]
        idle = self._idle.get(connection.key, ())
        if connection in idle:
            idle.remove(connection)

    # Flow control and time

    def _on_attempt_cancelled(self, message: AttemptCancelled) -> None:
        connection = self._by_attempt.pop(message.attempt_id, None)
        if connection is not None:
            self.kernel.cancel(connection.attempt.timer)
            connection.attempt = None
            self._drop(connection)

    def _on_read_paused(self, message: AttemptReadPaused) -> None:
        connection = self._by_attempt.get(message.attempt_id)
        if connection is not None:
            connection.attempt.is_read_paused = True
            connection.stream.stop_reading()

    def _on_read_resumed(self, message: AttemptReadResumed) -> None:
        connection = self._by_attempt.get(message.attempt_id)
        if connection is not None:
            connection.attempt.is_read_paused = False
            connection.attempt.progress_ms = self.kernel.clock.now_ms
            connection.stream.start_reading()

    def _start_timer(self, attempt: _Attempt) -> None:
        # Progress only moves a time stamp; the timer looks at it when due.
        attempt.progress_ms = self.kernel.clock.now_ms
        attempt.timer = self.call_after(
            attempt.timeout_ms, DeadlineDue(attempt.attempt_id)
        )

    def _on_deadline_due(self, message: DeadlineDue) -> None:
        connection = self._by_attempt.get(message.attempt_id)
        if connection is None:
            return
        attempt = connection.attempt
        now_ms = self.kernel.clock.now_ms
        if self._is_waiting_for_caller(connection) or self._has_sent_more(connection):
            attempt.progress_ms = now_ms
        deadline_ms = attempt.progress_ms + attempt.timeout_ms
        if deadline_ms <= now_ms:
            self._fail(connection, "timeout")
        else:
            attempt.timer = self.kernel.call_at(deadline_ms, self.name, message)

    def _is_waiting_for_caller(self, connection: _Connection) -> bool:
        """Tell whether a slow caller would look like a slow backend server."""
        attempt = connection.attempt
        return attempt.is_read_paused or (
            not attempt.is_request_complete and not connection.stream.pending_bytes
        )

    def _has_sent_more(self, connection: _Connection) -> bool:
        """Tell whether the backend server has taken bytes since last asked."""
        attempt = connection.attempt
        before, attempt.sent_bytes = attempt.sent_bytes, connection.stream.sent_bytes
        # A connection that is not open yet has taken nothing.
        return attempt.sent_bytes > before and connection.stream.pending_bytes > 0

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        self._configuration = message.configuration
        servers = message.configuration.servers
        for key in list(self._idle):
            server = servers.get(key.server_id)
            if server is None or Address(server.host, server.port) != key.address:
                for connection in self._idle.pop(key):
                    self._drop(connection)
            else:
                limit = self._connection_limit(key.server_id)
                self._close_idle_above(key.server_id, limit)

    def _on_sweep_due(self, message: SweepDue) -> None:
        oldest_ms = self.kernel.clock.now_ms - self._idle_age_ms
        for key, idle in list(self._idle.items()):
            for connection in [c for c in idle if c.idle_since_ms < oldest_ms]:
                self._drop(connection)
            if not idle:
                del self._idle[key]
        self.call_after(SWEEP_INTERVAL_MS, SweepDue())
