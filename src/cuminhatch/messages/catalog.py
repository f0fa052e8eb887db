"""
Messages about registered servers, the configuration and the other instances.

``reply_to`` names the service that gets the reply; ``token`` is its own and
comes back in the reply.
"""

from collections.abc import Mapping
from typing import NamedTuple

from cuminhatch.decisions.catalog import Registration
from cuminhatch.messages.address import Address

# From ``catalog`` to the service that speaks to the platform's store.


class RegistrationsRequested(NamedTuple):
    """All registered backend servers are to be read."""

    reply_to: str
    token: int


class ConfigurationRequested(NamedTuple):
    """The operator's configuration is to be read."""

    reply_to: str
    token: int


class EnrolmentRequested(NamedTuple):
    """An instance is to be recorded where new instances find it."""

    reply_to: str
    token: int
    instance_id: str
    address: Address


class EnrolledRequested(NamedTuple):
    """The recorded instances are to be read."""

    reply_to: str
    token: int


# From the service that speaks to the platform's store to ``catalog``.


class RegistrationRefused(NamedTuple):
    """A row that names no backend server that can be used."""

    server_id: str
    reason: str


class RegistrationsRead(NamedTuple):
    """All registrations as of one version of the store."""

    token: int
    version: int
    registrations: Mapping[str, Registration]
    refused: tuple[RegistrationRefused, ...]


class ConfigurationRead(NamedTuple):
    """The operator's configuration as stored; empty if there is none yet."""

    token: int
    document: bytes


class EnrolmentStored(NamedTuple):
    """The record of this instance is stored."""

    token: int


class EnrolledRead(NamedTuple):
    """The recorded instances, by id."""

    token: int
    members: Mapping[str, Address]


class StoreUnavailable(NamedTuple):
    """The store has not answered, or has refused the call."""

    token: int
    reason: str


# From ``catalog`` to all that divide something by instances.


class InstancesCounted(NamedTuple):
    """How many instances there are, this one included."""

    instances: int
