"""A load balancer for backend servers whose load changes in milliseconds."""

from cuminhatch.clock import Clock, ManualClock
from cuminhatch.errors import (
    CodecError,
    CuminhatchError,
    DecisionError,
    KernelError,
    ServiceError,
    SettingsError,
)
from cuminhatch.outcomes import Outcome

__all__ = [
    "Clock",
    "CodecError",
    "CuminhatchError",
    "DecisionError",
    "KernelError",
    "ManualClock",
    "Outcome",
    "ServiceError",
    "SettingsError",
]
