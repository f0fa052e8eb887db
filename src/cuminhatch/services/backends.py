"""Connections to backend servers: pool, sending, reading, timeouts."""

from collections import defaultdict
from errno import EINPROGRESS
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
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
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
)
from cuminhatch.services._stream import Stream, set_stream_options

WRITE_HIGH_BYTES = 256 * 1024
# Shorter than the idle timeout that servers commonly have (60 s), so that a
# request rarely meets a connection that the server is just closing.
IDLE_AGE_MS = 20_000
SWEEP_INTERVAL_MS = 500


class SweepDue(NamedTuple):
    """Old idle connections are to be closed."""


class ResponseTimedOut(NamedTuple):
    """A backend server made no progress in time."""

    attempt_id: int


class _Connection:
    """State of one connection to a backend server."""

    def __init__(self, server_id: str) -> None:
        self.server_id = server_id
        self.stream: Stream
        self.attempt: _Attempt | None = None
        self.is_reused = False
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
        self.is_head_parsed = False
        self.is_stalled = False
        self.is_read_paused = False
        self.timer: int | None = None
        self.sent_before = 0


class BackendConnections(Service):
    """Sends requests to backend servers and reports what becomes of them."""

    name = "backends"

    def __init__(
        self,
        kernel: Kernel,
        target: str = "dispatch",
        name: str | None = None,
    ) -> None:
        """
        Create the service with an empty pool.

        :param kernel: kernel of the process.
        :param target: name of the service that asks for attempts.
        :param name: name of this service.
        """
        super().__init__(kernel, name)
        self._target = target
        self._idle: dict[str, list[_Connection]] = defaultdict(list)
        self._by_attempt: dict[int, _Connection] = {}

    def message_handlers(self) -> MessageTable:
        """Return the messages of the service that asks for attempts."""
        return {
            AttemptRequested: self._on_attempt_requested,
            AttemptBodySent: self._on_attempt_body_sent,
            AttemptCancelled: self._on_attempt_cancelled,
            AttemptReadPaused: self._on_read_paused,
            AttemptReadResumed: self._on_read_resumed,
            ResponseTimedOut: self._on_response_timed_out,
            SweepDue: self._on_sweep_due,
        }

    def open(self) -> None:
        """Start to close idle connections of a certain age."""
        self.call_after(SWEEP_INTERVAL_MS, SweepDue())

    def connection_count(self, server_id: str) -> int:
        """
        Return the open connections to a backend server.

        :param server_id: id of the backend server.
        """
        busy = sum(c.server_id == server_id for c in self._by_attempt.values())
        return busy + len(self._idle[server_id])

    # Requests

    def _on_attempt_requested(self, message: AttemptRequested) -> None:
        connection = self._take_connection(message)
        if connection is None:
            self.send(
                self._target,
                AttemptFailed(message.attempt_id, "connection refused", False, False),
            )
            return
        attempt = _Attempt(message)
        attempt.sent_before = connection.stream.sent_bytes
        connection.attempt = attempt
        self._by_attempt[message.attempt_id] = connection
        self._restart_timer(attempt)
        head = encode_request_head(message.head, message.body_length)
        body = self._encode_body(attempt, message.data, message.is_complete)
        connection.stream.write(head + body)
        self._check_stalled(connection)

    def _take_connection(self, message: AttemptRequested) -> _Connection | None:
        idle = self._idle[message.server_id]
        if idle and not message.is_fresh_wanted:
            connection = idle.pop()
            connection.is_reused = True
            return connection
        sock = socket()
        set_stream_options(sock)
        error = sock.connect_ex(message.address)
        if error not in (0, EINPROGRESS):
            sock.close()
            return None
        connection = _Connection(message.server_id)
        connection.stream = Stream(
            self,
            sock,
            on_data=lambda data: self._on_data(connection, data),
            on_lost=lambda reason: self._on_lost(connection, reason),
            on_drained=lambda: self._on_drained(connection),
        )
        connection.stream.start_reading()
        return connection

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
        self._restart_timer(attempt)
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
        attempt = connection.attempt
        if attempt is not None:
            self._restart_timer(attempt)
            if attempt.is_stalled:
                attempt.is_stalled = False
                self.send(self._target, AttemptResumed(attempt.attempt_id))

    # Responses

    def _on_data(self, connection: _Connection, data: bytes) -> None:
        attempt = connection.attempt
        if attempt is None:
            # Bytes that no request asked for: the connection is unusable.
            self._drop(connection)
            return
        self._restart_timer(attempt)
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
                attempt.is_head_parsed = True
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
            or not connection.stream.is_open
            or connection.stream.pending_bytes
        ):
            self._drop(connection)
            return
        if attempt.is_read_paused:
            connection.stream.start_reading()
        connection.idle_since_ms = self.kernel.clock.now_ms
        self._idle[connection.server_id].append(connection)

    def _on_lost(self, connection: _Connection, reason: str) -> None:
        attempt = connection.attempt
        if attempt is None:
            self._drop(connection)
        elif attempt.parser.is_until_close and reason == "connection closed":
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
        idle = self._idle[connection.server_id]
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
            # A slow caller must not look like a slow backend server.
            self.kernel.cancel(connection.attempt.timer)
            connection.attempt.timer = None
            connection.attempt.is_read_paused = True
            connection.stream.stop_reading()

    def _on_read_resumed(self, message: AttemptReadResumed) -> None:
        connection = self._by_attempt.get(message.attempt_id)
        if connection is not None:
            connection.attempt.is_read_paused = False
            connection.stream.start_reading()
            self._restart_timer(connection.attempt)

    def _restart_timer(self, attempt: _Attempt) -> None:
        self.kernel.cancel(attempt.timer)
        attempt.timer = self.call_after(
            attempt.timeout_ms, ResponseTimedOut(attempt.attempt_id)
        )

    def _on_response_timed_out(self, message: ResponseTimedOut) -> None:
        connection = self._by_attempt.get(message.attempt_id)
        if connection is not None:
            self._fail(connection, "timeout")

    def _on_sweep_due(self, message: SweepDue) -> None:
        oldest_ms = self.kernel.clock.now_ms - IDLE_AGE_MS
        for idle in self._idle.values():
            for connection in [c for c in idle if c.idle_since_ms < oldest_ms]:
                self._drop(connection)
        self.call_after(SWEEP_INTERVAL_MS, SweepDue())
