"""Open connections to backend servers, busy and idle."""

from collections import Counter, defaultdict
from collections.abc import Callable
from math import inf
from socket import socket
from typing import NamedTuple

from cuminhatch.clock import Clock
from cuminhatch.codecs.http1_parsers import ResponseParser
from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION, Configuration
from cuminhatch.decisions.limits import connection_share
from cuminhatch.messages import Address, AttemptRequested
from cuminhatch.messages.attempts import CONNECTION_LIMIT
from cuminhatch.services._stream import Stream, open_connection
from cuminhatch.services.backends._reports import Reports


class AttemptKey(NamedTuple):
    """An attempt of a service, which numbers its own."""

    requester: str
    attempt_id: int


class ServerKey(NamedTuple):
    """Pool key; a configuration can change a server's address, not its id."""

    server_id: str
    address: Address


class Attempt:
    """One request on one connection; ``is_probe`` marks a load probe."""

    def __init__(
        self,
        key: AttemptKey,
        request: AttemptRequested,
        reports: Reports,
        is_probe: bool = False,
    ) -> None:
        """
        Create an attempt that has not been sent.

        :param key: the attempt.
        :param request: what to send where.
        :param reports: how its sender hears of the response.
        :param is_probe: whether it is a load probe.
        """
        self.key = key
        self.request = request
        self.reports = reports
        self.is_probe = is_probe
        self.is_request_complete = request.is_complete
        self.parser = ResponseParser(request.head.method == b"HEAD")
        self.has_response = False
        self.is_keep_alive = True
        self.is_stalled = False
        self.is_read_paused = False
        self.last_progress_ms = 0.0
        self.timer: int | None = None
        self.sent_bytes_at_start = 0
        self.last_sent_bytes = 0

    @property
    def is_chunked(self) -> bool:
        """Tell whether the request body is sent in chunks."""
        return self.request.body_length is None

    @property
    def timeout_ms(self) -> float:
        """Return the limit of the wait for the response or its next part."""
        return self.request.timeout_ms


class Connection:
    """One connection to a backend server and the attempt that uses it."""

    def __init__(self, key: ServerKey) -> None:
        """
        Create the state of a new connection; the owner sets ``stream``.

        :param key: the backend server.
        """
        self.key = key
        self.stream: Stream
        self.attempt: Attempt | None = None
        self.is_reused = False
        self.is_closed = False
        # When connecting started; None once the connection is established.
        self.connect_started_ms: float | None = None
        self.idle_since_ms = 0.0
        # The attempt that was completed before the connection became idle.
        self.last_attempt: AttemptKey | None = None


class ConnectionPool:
    """State of the connections of the service that owns their sockets."""

    def __init__(
        self, clock: Clock, make_stream: Callable[[Connection, socket], Stream]
    ) -> None:
        """
        Create an empty pool.

        :param clock: clock of the process.
        :param make_stream: returns the stream of a new connection.
        """
        self._clock = clock
        self._make_stream = make_stream
        self._configuration = EMPTY_CONFIGURATION
        self._idle: defaultdict[ServerKey, list[Connection]] = defaultdict(list)
        # Idle connections by the attempt that used them last.
        self._idle_by_attempt: dict[AttemptKey, Connection] = {}
        self._open_counts: Counter[str] = Counter()

    @property
    def idle_connections(self) -> list[Connection]:
        """Return the connections that no attempt uses."""
        return [connection for idle in self._idle.values() for connection in idle]

    def count(self, server_id: str) -> int:
        """
        Return how many connections to a server are open, busy or idle.

        :param server_id: id of the backend server.
        """
        return self._open_counts[server_id]

    def acquire(
        self, key: ServerKey, is_new_required: bool, idle_max_ms: float = inf
    ) -> Connection | str:
        """
        Return an idle or new connection, or the reason of the failure.

        :param key: the backend server.
        :param is_new_required: whether an idle connection must not be used.
        :param idle_max_ms: how long a connection to use may have been idle.
        """
        idle = self._idle[key]
        idle_since_ms = self._clock.now_ms - idle_max_ms
        while idle and not is_new_required:
            # The connection used last is the least likely to have been closed
            # by the server.
            connection = idle[-1]
            if connection.idle_since_ms < idle_since_ms:
                break
            # Reading before the request is sent detects a connection that the
            # server has closed or sent unsolicited bytes on.
            connection.stream.read()
            if not connection.is_closed:
                idle.pop()
                del self._idle_by_attempt[connection.last_attempt]
                connection.is_reused = True
                return connection
        if not self._free_slot(key.server_id):
            return CONNECTION_LIMIT
        sock = open_connection(key.address)
        if isinstance(sock, str):
            return sock
        connection = Connection(key)
        connection.stream = self._make_stream(connection, sock)
        connection.connect_started_ms = self._clock.now_ms
        self._open_counts[key.server_id] += 1
        connection.stream.start_reading()
        return connection

    def release(self, connection: Connection, last_attempt: AttemptKey) -> None:
        """
        Keep a connection for the next attempt.

        :param connection: an open connection that no attempt uses.
        :param last_attempt: the attempt completed on it.
        """
        connection.stream.start_reading()
        connection.idle_since_ms = self._clock.now_ms
        connection.last_attempt = last_attempt
        self._idle[connection.key].append(connection)
        self._idle_by_attempt[last_attempt] = connection

    def close(self, connection: Connection) -> None:
        """
        Close a connection, which may be idle.

        :param connection: the connection; nothing happens if it is closed.
        """
        connection.stream.close()
        if connection.is_closed:
            return
        connection.is_closed = True
        counts, server_id = self._open_counts, connection.key.server_id
        counts[server_id] -= 1
        if not counts[server_id]:
            del counts[server_id]
        self._idle_by_attempt.pop(connection.last_attempt, None)
        idle = self._idle.get(connection.key, ())
        if connection in idle:
            idle.remove(connection)

    def close_after(self, last_attempt: AttemptKey) -> None:
        """
        Close the idle connection that an attempt was completed on, if any.

        :param last_attempt: the attempt.
        """
        connection = self._idle_by_attempt.get(last_attempt)
        if connection is not None:
            self.close(connection)

    def close_idle(self, key: ServerKey) -> None:
        """
        Close all idle connections to a backend server.

        :param key: the backend server.
        """
        for connection in list(self._idle.get(key, ())):
            self.close(connection)

    def close_unused(self, idle_before_ms: float) -> None:
        """
        Close the connections that have been idle for too long.

        :param idle_before_ms: those idle since before this time are closed.
        """
        for key, idle in list(self._idle.items()):
            for connection in [c for c in idle if c.idle_since_ms < idle_before_ms]:
                self.close(connection)
            if not idle:
                del self._idle[key]

    def apply_configuration(self, configuration: Configuration) -> None:
        """
        Close the connections that a new configuration has no use for.

        :param configuration: the configuration in force from now on.
        """
        self._configuration = configuration
        for key in list(self._idle):
            server = configuration.servers.get(key.server_id)
            if server is None or Address(server.host, server.port) != key.address:
                self.close_idle(key)
                del self._idle[key]
            else:
                self._trim_idle(key.server_id, self._limit(key.server_id))

    def _free_slot(self, server_id: str) -> bool:
        """Close idle connections at the limit; tell if one more may open."""
        limit = self._limit(server_id)
        if self._open_counts[server_id] >= limit:
            self._trim_idle(server_id, limit - 1)
        return self._open_counts[server_id] < limit

    def _limit(self, server_id: str) -> float:
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

    def _trim_idle(self, server_id: str, limit: float) -> None:
        """Close idle connections down to a limit, longest idle first."""
        for key, idle in list(self._idle.items()):
            while (
                key.server_id == server_id
                and idle
                and self._open_counts[server_id] > limit
            ):
                self.close(idle[0])
