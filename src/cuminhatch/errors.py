"""
Base of the error classes of all layers.

Each layer derives its own class and turns errors of the layers below into
it. Expected failures are not exceptions: they are sentinel values, a
``NamedTuple`` with a ``reason`` field.
"""

from cuminhatch.address import Address


class CuminhatchError(Exception):
    """Base class of all errors of this project."""


class DecisionError(CuminhatchError):
    """A decision was called with values that break its contract."""


class CodecError(CuminhatchError):
    """A message could not be decoded or encoded."""


class KernelError(CuminhatchError):
    """A service or message could not be registered or delivered."""


class ServiceError(CuminhatchError):
    """A service cannot do its work."""


class SettingsError(CuminhatchError):
    """A settings file is missing, malformed or holds an invalid value."""


class AddressError(ServiceError):
    """An address cannot be bound."""

    def __init__(self, address: Address, reason: str) -> None:
        """
        Keep the address, by which the settings key can be found.

        :param address: address that was tried.
        :param reason: what the operating system says.
        """
        super().__init__(f"cannot listen on {address.host}:{address.port}: {reason}")
        self.address = address
