"""HTTP listener service: listening socket, connections, drain."""

from errno import EMFILE, ENFILE, ENOBUFS, ENOMEM
from functools import partial
from socket import socket
from typing import NamedTuple

from cuminhatch.kernel import SUPERVISOR, Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import (
    Address,
    ConfigurationChanged,
    DrainAnnounced,
    DrainFinished,
    DrainLimitReached,
    DrainStarted,
    PipeliningAllowed,
    RequestReadPaused,
    RequestReadResumed,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.services._bound_socket import bind_listening_socket, get_bound_address
from cuminhatch.services._stream import Stream, set_stream_options
from cuminhatch.services.http_listener._connections import (
    is_timed_out,
    remove_connection,
)
from cuminhatch.services.http_listener._requests import (
    on_data,
    on_pipelining_allowed,
    on_read_paused,
    on_read_resumed,
)
from cuminhatch.services.http_listener._responses import (
    on_drain_limit_reached,
    on_request_refused,
    on_response_aborted,
    on_response_body,
    on_response_started,
    on_write_buffer_drained,
)
from cuminhatch.services.http_listener._state import (
    DEFAULT_LIMITS,
    Connection,
    ListenerLimits,
    ListenerState,
)

LISTEN_BACKLOG = 512
ACCEPTS_PER_EVENT = 64
SWEEP_INTERVAL_MS = 1000
RESOURCE_EXHAUSTED_ERRNOS = frozenset({EMFILE, ENFILE, ENOBUFS, ENOMEM})


class SweepTimerExpired(NamedTuple):
    """It is time to close connections whose timeout has expired."""


class HttpListener(Service):
    """
    Accepts connections, and converts between HTTP and messages.

    The handlers are functions of a shared :class:`ListenerState`: those of
    requests are in ``_requests``, those of responses in ``_responses``.
    """

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
        Create the listener; :meth:`open` opens its socket.

        :param kernel: kernel of the process.
        :param address: address to listen on; port 0 takes any free port.
        :param target: name of the service that handles the requests.
        :param name: name of this service.
        :param limits: limits on connections and timeouts.
        """
        super().__init__(kernel, name)
        self._address = address
        self._sock: socket | None = None
        self._is_drained = False
        self._state = ListenerState(
            kernel.clock,
            target,
            limits,
            self.send,
            self.deliver,
            self._on_connection_closed,
        )

    def message_handlers(self) -> MessageTable:
        """Return the handlers of responses, flow control, drain and timer."""
        handlers = {
            ResponseStarted: on_response_started,
            ResponseBody: on_response_body,
            ResponseAborted: on_response_aborted,
            RequestRefused: on_request_refused,
            RequestReadPaused: on_read_paused,
            RequestReadResumed: on_read_resumed,
            PipeliningAllowed: on_pipelining_allowed,
            DrainLimitReached: on_drain_limit_reached,
        }
        table = {
            kind: partial(handle, self._state) for kind, handle in handlers.items()
        }
        return table | {
            DrainAnnounced: self._on_drain_announced,
            DrainStarted: self._on_drain_started,
            ConfigurationChanged: self._on_configuration_changed,
            SweepTimerExpired: self._on_sweep_timer_expired,
        }

    @property
    def address(self) -> Address:
        """Return the listening address, with the actual port once open."""
        return self._address

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._state.connections)

    @property
    def exchange_count(self) -> int:
        """Return the number of requests in progress."""
        return len(self._state.connections_by_request)

    @property
    def _has_capacity(self) -> bool:
        return self.connection_count < self._state.limits.max_connections

    def open(self) -> None:
        """
        Open the listening socket.

        :raises AddressError: the address cannot be bound.
        """
        sock = bind_listening_socket(self._address, LISTEN_BACKLOG)
        self._sock = sock
        self._address = get_bound_address(sock)
        self.watch_read(sock, self._accept)
        self.call_after(SWEEP_INTERVAL_MS, SweepTimerExpired())

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_EVENT):
            if not self._state.is_draining and not self._has_capacity:
                # Further callers wait in the listen queue until a connection
                # closes. A drain accepts them all.
                self.unwatch_read(self._sock)
                return
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTED_ERRNOS:
                    # The socket stays readable, so watching it would spin; the
                    # sweep resumes accepting.
                    self.unwatch_read(self._sock)
                    return
                logger.debug("{}: Failed to accept a connection: {}.", self.name, error)
                continue
            try:
                set_stream_options(sock)
            except OSError as error:
                logger.debug("{}: Failed to set socket options: {}.", self.name, error)
                sock.close()
                continue
            self._add_connection(sock)

    def _add_connection(self, sock: socket) -> None:
        state = self._state
        connection = Connection(state.clock.now_ms)
        connection.stream = Stream(
            self,
            sock,
            on_data=lambda data: on_data(state, connection, data),
            on_lost=lambda reason: remove_connection(state, connection),
            on_drained=lambda: on_write_buffer_drained(state, connection),
        )
        state.connections.add(connection)
        connection.stream.start_reading()

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        limits = message.configuration.caller_limits
        if limits is not None:
            self._state.limits = self._state.limits._replace(
                head_timeout_ms=limits.head_ms, idle_timeout_ms=limits.idle_ms
            )

    def _on_connection_closed(self) -> None:
        self._resume_accepting()
        self._report_drained()

    def _resume_accepting(self) -> None:
        if self._sock is not None and self._has_capacity:
            self.watch_read(self._sock, self._accept)

    def _on_drain_announced(self, message: DrainAnnounced) -> None:
        self._state.is_stop_announced = True

    def _on_drain_started(self, message: DrainStarted) -> None:
        if self._state.is_draining:
            return
        self._state.is_stop_announced = True
        self._state.drain_started_ms = self._state.clock.now_ms
        if self._sock is not None:
            # Closing the socket resets the connections in its listen queue;
            # accept them first.
            for _ in range(LISTEN_BACKLOG // ACCEPTS_PER_EVENT + 1):
                self._accept()
            self.close_socket(self._sock)
            self._sock = None
        self._report_drained()

    def _report_drained(self) -> None:
        is_complete = self._state.is_draining and not self._state.connections
        if is_complete and not self._is_drained:
            self._is_drained = True
            self.send(SUPERVISOR, DrainFinished(self.name))

    def _on_sweep_timer_expired(self, message: SweepTimerExpired) -> None:
        now_ms = self.kernel.clock.now_ms
        for connection in list(self._state.connections):
            if connection.sent_bytes != connection.stream.sent_bytes:
                connection.sent_bytes = connection.stream.sent_bytes
                connection.last_progress_ms = now_ms
            if is_timed_out(self._state, connection, now_ms):
                remove_connection(self._state, connection)
        self._resume_accepting()
        self.call_after(SWEEP_INTERVAL_MS, SweepTimerExpired())
