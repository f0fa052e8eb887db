"""The listener of the stand-ins, whose connections can go silent."""

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


class ConnectionsSilenced(NamedTuple):
    """The present connections are to go silent for good; new ones work."""


class SilentConnectionsClosed(NamedTuple):
    """The connections that are silent are to be closed."""


class StandinListener(HttpListener):
    """
    A listener that can lose track of its connections.

    It uses only the interface of :class:`Service` for sockets: those that
    are silent are watched no more and stay open.
    """

    def __init__(self, kernel: Kernel, address: Address, target: str) -> None:
        """
        Create the port without opening it.

        :param kernel: kernel of the process.
        :param address: address to listen on; port 0 takes any.
        :param target: name of the service that gets the requests.
        """
        super().__init__(kernel, address, target)
        self._open_sockets: set[socket] = set()
        self._silent_sockets: set[socket] = set()
        self._last_request_id = 0
        self._last_silent_id = 0

    def open(self) -> None:
        """
        Start to listen and print the address, for callers that chose port 0.

        :raises ServiceError: the address cannot be bound.
        """
        super().open()
        host, port = self.address
        print(f"listening on {host}:{port}", flush=True)

    def message_handlers(self) -> MessageTable:
        """Return the messages of the listener and those of the fault."""
        handlers = dict(super().message_handlers())
        for kind in (ResponseStarted, ResponseBody, ResponseAborted, RequestRefused):
            handlers[kind] = self._unless_silent(handlers[kind])
        handlers[ConnectionsSilenced] = self._on_connections_silenced
        handlers[SilentConnectionsClosed] = self._on_silent_connections_closed
        return handlers

    def send(self, name: str, message: Any) -> None:
        """
        Pass a message on and note the newest request.

        :param name: name of the receiving service.
        :param message: message to deliver.
        """
        if isinstance(message, RequestReceived):
            self._last_request_id = message.request_id
        super().send(name, message)

    def watch_read(self, sock: socket, callback: Callable[[], None]) -> None:
        """
        Watch a socket unless it is silent.

        :param sock: socket of this service.
        :param callback: called when the socket is readable.
        """
        if sock in self._silent_sockets:
            return
        if not sock.getsockopt(SOL_SOCKET, SO_ACCEPTCONN):
            self._open_sockets.add(sock)
        super().watch_read(sock, callback)

    def watch_write(self, sock: socket, callback: Callable[[], None]) -> None:
        """
        Watch a socket unless it is silent.

        :param sock: socket of this service.
        :param callback: called when the socket is writable.
        """
        if sock not in self._silent_sockets:
            super().watch_write(sock, callback)

    def close_socket(self, sock: socket) -> None:
        """
        Close a socket unless it is silent.

        :param sock: socket of this service.
        """
        # The peer of a silent connection never learns of its end.
        if sock not in self._silent_sockets:
            self._open_sockets.discard(sock)
            super().close_socket(sock)

    def _unless_silent(self, handle: Callable[[Any], None]) -> Callable[[Any], None]:
        def handle_unless_silent(message: Any) -> None:
            if message.request_id > self._last_silent_id:
                handle(message)

        return handle_unless_silent

    def _on_connections_silenced(self, message: ConnectionsSilenced) -> None:
        # Sockets on which nothing more is read have no requests beyond the
        # newest one.
        self._last_silent_id = self._last_request_id
        for sock in self._open_sockets:
            self.unwatch_read(sock)
            self.unwatch_write(sock)
        self._silent_sockets |= self._open_sockets
        self._open_sockets.clear()

    def _on_silent_connections_closed(self, message: SilentConnectionsClosed) -> None:
        silent, self._silent_sockets = self._silent_sockets, set()
        for sock in silent:
            super().close_socket(sock)
