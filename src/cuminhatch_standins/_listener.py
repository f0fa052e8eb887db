"""HTTP listener of the stand-ins, with a fault that silences connections."""

from collections.abc import Callable
from socket import SO_ACCEPTCONN, SOL_SOCKET, socket
from typing import Any, NamedTuple

from cuminhatch.kernel import Kernel, MessageTable
from cuminhatch.messages import (
    Address,
    RequestReceived,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.services.http_listener import HttpListener


class SilentFaultEnabled(NamedTuple):
    """The ``silent`` fault was enabled; it silences the open connections."""


class SilentFaultDisabled(NamedTuple):
    """The ``silent`` fault was disabled; silenced connections are closed."""


class StandinListener(HttpListener):
    """
    A listener that can silence its connections.

    A silenced connection stays open, but is neither read, written nor
    closed. This relies only on the methods of :class:`Service` for sockets
    and messages, not on the internals of the listener.
    """

    def __init__(self, kernel: Kernel, address: Address, target: str) -> None:
        """
        Create the listener without opening its port.

        :param kernel: kernel of the process.
        :param address: address to listen on; port 0 takes any free port.
        :param target: name of the service that gets the requests.
        """
        super().__init__(kernel, address, target)
        self._open_sockets: set[socket] = set()
        self._silenced_sockets: set[socket] = set()
        self._last_request_id = 0
        self._last_silenced_request_id = 0

    def open(self) -> None:
        """
        Start to listen, and print the address for users of port 0.

        :raises ServiceError: the address cannot be bound.
        """
        super().open()
        host, port = self.address
        print(f"listening on {host}:{port}", flush=True)

    def message_handlers(self) -> MessageTable:
        """Return the handlers of the listener and of the ``silent`` fault."""
        handlers = dict(super().message_handlers())
        for kind in (ResponseStarted, ResponseBody, ResponseAborted, RequestRefused):
            handlers[kind] = self._skip_if_silenced(handlers[kind])
        handlers[SilentFaultEnabled] = self._on_silent_fault_enabled
        handlers[SilentFaultDisabled] = self._on_silent_fault_disabled
        return handlers

    def send(self, name: str, message: Any) -> None:
        """
        Send a message and record the id of the newest request.

        :param name: name of the receiving service.
        :param message: message to deliver.
        """
        if isinstance(message, RequestReceived):
            self._last_request_id = message.request_id
        super().send(name, message)

    def watch_read(self, sock: socket, callback: Callable[[], None]) -> None:
        """
        Watch a socket unless it is silenced.

        :param sock: socket of this service.
        :param callback: called when the socket is readable.
        """
        if sock in self._silenced_sockets:
            return
        if not sock.getsockopt(SOL_SOCKET, SO_ACCEPTCONN):
            self._open_sockets.add(sock)
        super().watch_read(sock, callback)

    def watch_write(self, sock: socket, callback: Callable[[], None]) -> None:
        """
        Watch a socket unless it is silenced.

        :param sock: socket of this service.
        :param callback: called when the socket is writable.
        """
        if sock not in self._silenced_sockets:
            super().watch_write(sock, callback)

    def close_socket(self, sock: socket) -> None:
        """
        Close a socket unless it is silenced.

        :param sock: socket of this service.
        """
        # A silenced connection must not send FIN or RST to its peer.
        if sock not in self._silenced_sockets:
            self._open_sockets.discard(sock)
            super().close_socket(sock)

    def _skip_if_silenced(self, handle: Callable[[Any], None]) -> Callable[[Any], None]:
        def handle_unless_silenced(message: Any) -> None:
            if message.request_id > self._last_silenced_request_id:
                handle(message)

        return handle_unless_silenced

    def _on_silent_fault_enabled(self, message: SilentFaultEnabled) -> None:
        # The silenced sockets are read no more, so all their requests have
        # ids up to the newest one.
        self._last_silenced_request_id = self._last_request_id
        for sock in self._open_sockets:
            self.unwatch_read(sock)
            self.unwatch_write(sock)
        self._silenced_sockets |= self._open_sockets
        self._open_sockets.clear()

    def _on_silent_fault_disabled(self, message: SilentFaultDisabled) -> None:
        silenced, self._silenced_sockets = self._silenced_sockets, set()
        for sock in silenced:
            super().close_socket(sock)
