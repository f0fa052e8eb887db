"""The micro-kernel: poller, deadlines, service registry, messages."""

import gc
from typing import Any, NamedTuple

from circuits.core.components import BaseComponent

from cuminhatch.clock import Clock
from cuminhatch.errors import KernelError
from cuminhatch.kernel._deadlines import DeadlineHeap
from cuminhatch.kernel._mailbox import Mailbox
from cuminhatch.kernel._poller import SocketPoller
from cuminhatch.kernel.service import Service
from cuminhatch.log import logger

SUPERVISOR = "supervisor"

# State that ``circuits`` keeps in every component. A service attribute of
# the same name would break event delivery in ways that are hard to trace.
_RESERVED = {
    name: type(value)
    for name, value in vars(BaseComponent()).items()
    if value is not None and not isinstance(value, BaseComponent)
}


class HandlerFailed(NamedTuple):
    """An exception left a handler, or no handler knew the message."""

    service: str
    message: Any
    error: Exception | None


class Kernel:
    """Runs the services of one process in one thread."""

    def __init__(self, clock: Clock | None = None) -> None:
        """
        Create a kernel without services.

        :param clock: source of time; the process clock by default.
        """
        self._clock = clock or Clock()
        self._root = BaseComponent(channel="kernel")
        # Registered before any socket: components that open sockets
        # otherwise start with the default poller, whose cost grows with
        # each idle connection.
        self._poller = SocketPoller(self.report_failure).register(self._root)
        self._deadlines = DeadlineHeap(self._clock, self.send).register(self._root)
        self._mailbox = Mailbox().register(self._root)
        self._services: dict[str, Service] = {}

    @property
    def clock(self) -> Clock:
        """Return the clock shared by all services."""
        return self._clock

    @property
    def poller(self) -> SocketPoller:
        """Return the poller that watches the services' sockets."""
        return self._poller

    @property
    def root(self) -> BaseComponent:
        """Return the root of the ``circuits`` component tree."""
        return self._root

    def register(self, service: Service) -> Service:
        """
        Add a service under its name.

        :param service: service to add.
        :returns: the same service.
        :raises KernelError: the name is taken, or the service overwrites
            state of its base class.
        """
        for attribute, kind in _RESERVED.items():
            if type(getattr(service, attribute)) is not kind:
                raise KernelError(f"{service.name} overwrites {attribute} of circuits")
        if service.name in self._services:
            raise KernelError(f"a service named {service.name} is registered already")
        service.bind_handlers()
        self._services[service.name] = service
        service.register(self._root)
        return service

    def has_service(self, name: str) -> bool:
        """
        Tell whether a service is registered.

        :param name: name of the service.
        """
        return name in self._services

    def send(self, name: str, message: Any) -> None:
        """
        Queue a message; it is delivered after those queued before it.

        :param name: name of the receiving service; a message to a name
            without a service is dropped, so optional parts may be missing.
        :param message: message to deliver.
        """
        service = self._services.get(name)
        if service is not None:
            self._mailbox.append(service, message)

    def call_at(self, at_ms: float, name: str, message: Any) -> int:
        """
        Schedule a message.

        :param at_ms: monotonic time in milliseconds.
        :param name: name of the receiving service.
        :param message: message to deliver.
        :returns: a token for :meth:`cancel`.
        """
        return self._deadlines.add(at_ms, name, message)

    def cancel(self, token: int | None) -> None:
        """
        Drop a scheduled message.

        :param token: value returned by :meth:`call_at`, or None.
        """
        if token is not None:
            self._deadlines.cancel(token)

    def report_failure(
        self, service: str, message: Any, error: Exception | None
    ) -> None:
        """
        Log a failed handler and tell the supervisor.

        :param service: name of the service whose handler failed.
        :param message: message being handled, None for a socket event.
        :param error: the exception, None if no handler knew the message.
        """
        kind = type(message).__name__
        if error is None:
            logger.error("kernel: {} has no handler for {}.", service, kind)
        else:
            logger.error(
                "kernel: handler of {} failed on {}.", service, kind, cause=error
            )
        self.send(SUPERVISOR, HandlerFailed(service, message, error))

    def open(self) -> None:
        """
        Open all services in the order of registration.

        :raises ServiceError: a service cannot start.
        """
        for service in list(self._services.values()):
            service.open()

    def tick(self, timeout_s: float = 0.0) -> None:
        """
        Handle what is due and return, for tests.

        :param timeout_s: longest wait for a socket, in seconds.
        """
        self._root._running = True
        self._root.tick(timeout_s)

    def run(self) -> None:
        """Run until :meth:`stop` is called; services must be open."""
        # A collection that visits all objects made by imports takes longer
        # than most requests; those objects live until the process ends.
        gc.collect()
        gc.freeze()
        self._root.run()

    def stop(self) -> None:
        """End :meth:`run`."""
        self._root.stop()

    def close(self) -> None:
        """
        Give back the descriptors of a kernel that will not run again.

        Tests and fuzzing make thousands of kernels in one process.
        """
        self._poller.close()
