"""
Error classes of all layers.

Each layer (decisions, codecs, kernel, services) raises its own class and
converts errors of the layers below to it. Invalid settings raise
:class:`SettingsError`. Expected failures are not exceptions: functions return
them as result types, each a ``NamedTuple`` with a ``reason`` field.
"""

from cuminhatch.address import Address


class CuminhatchError(Exception):
    """Base class of all errors of this project."""


class DecisionError(CuminhatchError):
    """A decision function was called with values that violate its contract."""


class CodecError(CuminhatchError):
    """Data cannot be encoded or decoded."""


class KernelError(CuminhatchError):
    """A service cannot be registered."""


class ServiceError(CuminhatchError):
    """A service fails, for example because it cannot bind its address."""


class SettingsError(CuminhatchError):
    """A settings file is missing, malformed or holds an invalid value."""


class AddressError(ServiceError):
    """An address cannot be bound."""

    def __init__(self, address: Address, reason: str) -> None:
        """
        Create the error; by its address the caller finds the settings key.

        :param address: address that could not be bound.
        :param reason: error text of the operating system.
        """
        super().__init__(f"cannot listen on {address.host}:{address.port}: {reason}")
        self.address = address
