"""Event loop of a process: its services, messages, timers and sockets."""

import gc
from typing import Any, NamedTuple

from circuits.core.components import BaseComponent

from cuminhatch.clock import Clock
from cuminhatch.errors import KernelError
from cuminhatch.kernel._mailbox import Mailbox
from cuminhatch.kernel._poller import SocketPoller
from cuminhatch.kernel._timers import TimerHeap
from cuminhatch.kernel.service import Service
from cuminhatch.log import logger

SUPERVISOR = "supervisor"

# Attributes that ``circuits`` sets on every component, with their types. A
# service that overwrites one breaks event delivery in ways hard to trace.
_RESERVED_ATTRIBUTES = {
    name: type(value)
    for name, value in vars(BaseComponent()).items()
    if value is not None and not isinstance(value, BaseComponent)
}


class HandlerFailed(NamedTuple):
    """
    A handler or socket callback raised, or a service lacks a handler.

    ``message`` is None if the failure is not about a message. ``error`` is
    None if the service has no handler for the message.
    """

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
        # Registered before any socket: a component that opens a socket would
        # otherwise add the default poller, whose cost grows with the number
        # of idle connections.
        self._poller = SocketPoller(self.report_failure).register(self._root)
        self._timers = TimerHeap(self._clock, self.send).register(self._root)
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
        :raises KernelError: the name is taken, or the service overwrites an
            attribute of its base class.
        """
        for attribute, attribute_type in _RESERVED_ATTRIBUTES.items():
            if type(getattr(service, attribute)) is not attribute_type:
                raise KernelError(f"{service.name} overwrites {attribute} of circuits")
        if service.name in self._services:
            raise KernelError(f"a service named {service.name} is already registered")
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
        Queue a message behind those already queued.

        :param name: name of the receiving service. A message to a service
            that is not registered is dropped, so that services are optional.
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
        return self._timers.add(at_ms, name, message)

    def cancel(self, token: int | None) -> None:
        """
        Cancel a scheduled message.

        :param token: value returned by :meth:`call_at`; None is ignored.
        """
        if token is not None:
            self._timers.cancel(token)

    def report_failure(
        self, service: str, message: Any, error: Exception | None
    ) -> None:
        """
        Log a failed handler and notify the supervisor.

        :param service: name of the service whose handler failed.
        :param message: message being handled; None if the failure is not about
            a message, but for example in a socket callback.
        :param error: the exception; None if there is no handler.
        """
        message_type = type(message).__name__
        if error is None:
            logger.error("kernel: {} has no handler for {}.", service, message_type)
        else:
            logger.error(
                "kernel: handler of {} failed on {}.",
                service,
                message_type,
                cause=error,
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
        Process one round of messages, timers and sockets, for tests.

        :param timeout_s: longest wait for a socket, in seconds.
        """
        self._root._running = True
        self._root.tick(timeout_s)

    def run(self) -> None:
        """Run until :meth:`stop` is called; services must be open."""
        # Excludes the objects created by imports from garbage collection:
        # visiting them takes longer than most requests, and they live until
        # the process ends.
        gc.collect()
        gc.freeze()
        self._root.run()

    def stop(self) -> None:
        """End :meth:`run`."""
        self._root.stop()

    def close(self) -> None:
        """
        Close the file descriptors of a kernel that will not run again.

        Tests and fuzzing create thousands of kernels in one process.
        """
        self._poller.close()
