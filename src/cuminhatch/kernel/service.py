"""Base class of all services."""

from collections.abc import Callable, Mapping
from socket import socket
from typing import TYPE_CHECKING, Any

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler

if TYPE_CHECKING:
    from cuminhatch.kernel.kernel import Kernel

MessageTable = Mapping[type, Callable[[Any], None]]


class Service(BaseComponent):
    """
    A task that owns its sockets and its state and talks by messages.

    A subclass sets ``name`` and gives a table from message type to method
    in :meth:`message_handlers`.
    """

    name = "service"

    def __init__(self, kernel: "Kernel", name: str | None = None) -> None:
        """
        Create the service without starting it.

        :param kernel: kernel that delivers messages and owns the poller.
        :param name: name other services use; defaults to the class's name.
        """
        if name is not None:
            self.name = name
        super().__init__(channel=self.name)
        self.kernel = kernel
        self._message_handlers: MessageTable = {}
        self._read_callbacks: dict[socket, Callable[[], None]] = {}
        self._write_callbacks: dict[socket, Callable[[], None]] = {}

    def message_handlers(self) -> MessageTable:
        """
        Return the messages this service understands.

        :returns: a table from message type to the method that handles it.
        """
        return {}

    def bind_handlers(self) -> None:
        """Read the table of messages, once the subclass is complete."""
        self._message_handlers = dict(self.message_handlers())

    def open(self) -> None:
        """
        Open sockets and start timers, once all services are registered.

        :raises ServiceError: a socket cannot be opened.
        """

    def send(self, name: str, message: Any) -> None:
        """
        Queue a message for another service.

        :param name: name of the receiving service.
        :param message: message to deliver.
        """
        self.kernel.send(name, message)

    def call_after(self, delay_ms: float, message: Any) -> int:
        """
        Schedule a message to this service.

        :param delay_ms: delay in milliseconds.
        :param message: message to deliver.
        :returns: a token for ``kernel.cancel``.
        """
        at_ms = self.kernel.clock.now_ms + delay_ms
        return self.kernel.call_at(at_ms, self.name, message)

    def watch_read(self, sock: socket, callback: Callable[[], None]) -> None:
        """
        Call back whenever a socket is readable.

        :param sock: non-blocking socket owned by this service.
        :param callback: called without arguments.
        """
        if sock not in self._read_callbacks:
            self.kernel.poller.addReader(self, sock)
        self._read_callbacks[sock] = callback

    def watch_write(self, sock: socket, callback: Callable[[], None]) -> None:
        """
        Call back whenever a socket is writable.

        :param sock: non-blocking socket owned by this service.
        :param callback: called without arguments.
        """
        if sock not in self._write_callbacks:
            self.kernel.poller.addWriter(self, sock)
        self._write_callbacks[sock] = callback

    def unwatch_read(self, sock: socket) -> None:
        """
        Stop reading, for example to hold a fast peer back.

        :param sock: socket given to :meth:`watch_read`.
        """
        if self._read_callbacks.pop(sock, None) is not None:
            self.kernel.poller.removeReader(sock)

    def unwatch_write(self, sock: socket) -> None:
        """
        Stop waiting for a socket to become writable.

        :param sock: socket given to :meth:`watch_write`.
        """
        if self._write_callbacks.pop(sock, None) is not None:
            self.kernel.poller.removeWriter(sock)

    def close_socket(self, sock: socket) -> None:
        """
        Forget a socket and close it.

        :param sock: socket owned by this service.
        """
        self._read_callbacks.pop(sock, None)
        self._write_callbacks.pop(sock, None)
        if sock.fileno() >= 0:
            self.kernel.poller.discard(sock)
        sock.close()

    @handler("message_sent")
    def _on_message_sent(self, message: Any) -> None:
        method = self._message_handlers.get(type(message))
        if method is None:
            self.kernel.report_failure(self.name, message, None)
            return
        try:
            method(message)
        except Exception as error:
            self.kernel.report_failure(self.name, message, error)

    @handler("_read")
    def _on_read(self, sock: socket) -> None:
        self._call_back(self._read_callbacks, sock)

    @handler("_write")
    def _on_write(self, sock: socket) -> None:
        self._call_back(self._write_callbacks, sock)

    @handler("_disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        # The poller has dropped the socket. Reading reports the error or the
        # end of the stream to the owner; a half-open connect is waiting to
        # write.
        if sock in self._read_callbacks:
            self._call_back(self._read_callbacks, sock)
        else:
            self._call_back(self._write_callbacks, sock)

    def _call_back(
        self, callbacks: dict[socket, Callable[[], None]], sock: socket
    ) -> None:
        callback = callbacks.get(sock)
        if callback is None:
            return
        try:
            callback()
        except Exception as error:
            self.kernel.report_failure(self.name, None, error)
