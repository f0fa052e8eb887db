"""Base class of all services."""

from collections.abc import Callable, Mapping
from socket import socket
from typing import TYPE_CHECKING, Any

from circuits.core.components import BaseComponent

if TYPE_CHECKING:
    from cuminhatch.kernel.kernel import Kernel

MessageTable = Mapping[type, Callable[[Any], None]]


class Service(BaseComponent):
    """
    A task that owns its sockets and its state and communicates by messages.

    A subclass sets ``name`` and maps message types to methods in
    :meth:`message_handlers`.
    """

    name = "service"

    def __init__(self, kernel: "Kernel", name: str | None = None) -> None:
        """
        Create the service without starting it.

        :param kernel: kernel that delivers messages and owns the poller.
        :param name: name that other services send to; by default the ``name``
            of the class.
        """
        if name is not None:
            self.name = name
        super().__init__(channel=self.name)
        self.kernel = kernel
        self._message_handlers: MessageTable = {}

    def message_handlers(self) -> MessageTable:
        """
        Return the handlers of this service.

        :returns: mapping from message type to the method that handles it.
        """
        return {}

    def bind_handlers(self) -> None:
        """Cache the message handlers, once the subclass is initialized."""
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
        Schedule a message to this service itself.

        :param delay_ms: delay in milliseconds.
        :param message: message to deliver.
        :returns: a token for ``kernel.cancel``.
        """
        at_ms = self.kernel.clock.now_ms + delay_ms
        return self.kernel.call_at(at_ms, self.name, message)

    def watch_read(self, sock: socket, callback: Callable[[], None]) -> None:
        """
        Call a function whenever a socket is readable, failed or closed.

        :param sock: non-blocking socket owned by this service.
        :param callback: called without arguments.
        """
        self.kernel.poller.set_reader(self.name, sock.fileno(), callback)

    def watch_write(self, sock: socket, callback: Callable[[], None]) -> None:
        """
        Call a function whenever a socket is writable.

        :param sock: non-blocking socket owned by this service.
        :param callback: called without arguments.
        """
        self.kernel.poller.set_writer(self.name, sock.fileno(), callback)

    def unwatch_read(self, sock: socket) -> None:
        """
        Stop watching a socket for readability, for example for backpressure.

        :param sock: socket given to :meth:`watch_read`.
        """
        self.kernel.poller.set_reader(self.name, sock.fileno(), None)

    def unwatch_write(self, sock: socket) -> None:
        """
        Stop waiting for a socket to become writable.

        :param sock: socket given to :meth:`watch_write`.
        """
        self.kernel.poller.set_writer(self.name, sock.fileno(), None)

    def close_socket(self, sock: socket) -> None:
        """
        Stop watching a socket and close it.

        :param sock: socket owned by this service.
        """
        if sock.fileno() >= 0:
            self.kernel.poller.unwatch(sock.fileno())
        sock.close()

    def deliver(self, message: Any) -> None:
        """
        Handle a message; called by the kernel for each queued message.

        :param message: message sent to this service.
        """
        method = self._message_handlers.get(type(message))
        if method is None:
            self.kernel.report_failure(self.name, message, None)
            return
        try:
            method(message)
        except Exception as error:
            self.kernel.report_failure(self.name, message, error)
