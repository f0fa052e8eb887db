"""The micro-kernel: event loop, message queue and registry of the services."""

# Comes first: the other modules import parts of these packages.
from cuminhatch.kernel._deferred_packages import DEFERRED_PACKAGES
from cuminhatch.kernel.kernel import SUPERVISOR, HandlerFailed, Kernel
from cuminhatch.kernel.service import MessageTable, Service

__all__ = [
    "DEFERRED_PACKAGES",
    "SUPERVISOR",
    "HandlerFailed",
    "Kernel",
    "MessageTable",
    "Service",
]
