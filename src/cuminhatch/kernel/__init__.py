"""The micro-kernel: event loop, message queue and registry of the services."""

from cuminhatch.kernel.kernel import SUPERVISOR, HandlerFailed, Kernel
from cuminhatch.kernel.service import MessageTable, Service

__all__ = ["SUPERVISOR", "HandlerFailed", "Kernel", "MessageTable", "Service"]
