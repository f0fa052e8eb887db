"""The micro-kernel on which all services run."""

from cuminhatch.kernel.kernel import SUPERVISOR, HandlerFailed, Kernel
from cuminhatch.kernel.service import MessageTable, Service

__all__ = ["SUPERVISOR", "HandlerFailed", "Kernel", "MessageTable", "Service"]
