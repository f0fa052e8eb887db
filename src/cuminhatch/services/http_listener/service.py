"""The service of an HTTP port: its socket, its connections, its drain."""

from errno import EMFILE, ENFILE, ENOBUFS, ENOMEM
from functools import partial
from socket import socket
from typing import NamedTuple

from cuminhatch.kernel import SUPERVISOR, Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import (
    Address,
    ConfigurationChanged,
    DrainFinished,
    DrainStarted,
    RequestReadPaused,
    RequestReadResumed,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.services._bound_socket import address_of, listen_on
from cuminhatch.services._stream import Stream, set_stream_options
from cuminhatch.services.http_listener._answers import (
    on_drained,
    on_request_refused,
    on_response_aborted,
    on_response_body,
    on_response_started,
)
from cuminhatch.services.http_listener._connections import (
    close_when_drained,
    forget,
    is_overdue,
)
from cuminhatch.services.http_listener._requests import (
    on_data,
    on_read_paused,
    on_read_resumed,
)
from cuminhatch.services.http_listener._state import (
    DEFAULT_LIMITS,
    Connection,
    ListenerLimits,
    PortState,
)

LISTEN_BACKLOG = 512
ACCEPTS_PER_EVENT = 64
SWEEP_INTERVAL_MS = 1000
NO_DESCRIPTORS = frozenset({EMFILE, ENFILE, ENOBUFS, ENOMEM})


class SweepDue(NamedTuple):
    """Connections without progress are to be closed."""


class HttpListener(Service):
    """
    Accepts connections and turns requests into messages and back.

    The handlers of requests and answers are functions of the port's state, in
    modules by their job.
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
        Create the port without opening it.

        :param kernel: kernel of the process.
        :param address: address to listen on; port 0 takes any.
        :param target: name of the service that answers the requests.
        :param name: name of this service.
        :param limits: bounds on connections and times.
        """
        super().__init__(kernel, name)
        self._address = address
        self._sock: socket | None = None
        self._is_drained = False
        self._port = PortState(
            kernel.clock,
            target,
            limits,
            self.send,
            self.deliver,
            self._on_connection_closed,
        )

    def message_handlers(self) -> MessageTable:
        """Return the messages of the answering service."""
        handlers = {
            ResponseStarted: on_response_started,
            ResponseBody: on_response_body,
            ResponseAborted: on_response_aborted,
            RequestRefused: on_request_refused,
            RequestReadPaused: on_read_paused,
            RequestReadResumed: on_read_resumed,
        }
        table = {kind: partial(handle, self._port) for kind, handle in handlers.items()}
        return table | {
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
        return len(self._port.connections)

    @property
    def exchange_count(self) -> int:
        """Return the number of requests being answered."""
        return len(self._port.by_request)

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
            if self.connection_count >= self._port.limits.connections:
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
                logger.debug("{}: Connection not accepted: {}.", self.name, error)
                continue
            try:
                set_stream_options(sock)
            except OSError as error:
                logger.debug("{}: Connection lost at once: {}.", self.name, error)
                sock.close()
                continue
            self._add_connection(sock)

    def _add_connection(self, sock: socket) -> None:
        port = self._port
        connection = Connection(port.clock.now_ms)
        connection.stream = Stream(
            self,
            sock,
            on_data=lambda data: on_data(port, connection, data),
            on_lost=lambda reason: forget(port, connection),
            on_drained=lambda: on_drained(port, connection),
        )
        port.connections.add(connection)
        connection.stream.start_reading()

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        limits = message.configuration.caller_limits
        if limits is not None:
            self._port.limits = self._port.limits._replace(
                head_ms=limits.head_ms, idle_age_ms=limits.idle_ms
            )

    def _on_connection_closed(self) -> None:
        self._resume_accepting()
        self._report_drained()

    def _resume_accepting(self) -> None:
        has_place = self.connection_count < self._port.limits.connections
        if self._sock is not None and has_place:
            self.watch_read(self._sock, self._accept)

    def _on_drain_started(self, message: DrainStarted) -> None:
        if self._port.is_draining:
            return
        self._port.is_draining = True
        if self._sock is not None:
            # Connections in the listen queue would be reset with the socket.
            for _ in range(LISTEN_BACKLOG // ACCEPTS_PER_EVENT + 1):
                self._accept()
            self.close_socket(self._sock)
            self._sock = None
        for connection in list(self._port.connections):
            if connection.is_idle and connection.exchange_count:
                # A request may have arrived since the last poll.
                connection.stream.read()
                if connection.stream.is_open and connection.is_idle:
                    close_when_drained(self._port, connection)
        self._report_drained()

    def _report_drained(self) -> None:
        is_over = self._port.is_draining and not self._port.connections
        if is_over and not self._is_drained:
            self._is_drained = True
            self.send(SUPERVISOR, DrainFinished(self.name))

    def _on_sweep_due(self, message: SweepDue) -> None:
        now_ms = self.kernel.clock.now_ms
        for connection in list(self._port.connections):
            if connection.sent_bytes != connection.stream.sent_bytes:
                connection.sent_bytes = connection.stream.sent_bytes
                connection.progress_ms = now_ms
            if is_overdue(self._port, connection, now_ms):
                forget(self._port, connection)
        self._resume_accepting()
        self.call_after(SWEEP_INTERVAL_MS, SweepDue())
