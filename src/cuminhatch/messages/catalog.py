"""
Messages about registered servers, the configuration and the other instances.

``reply_to`` is the name of the service that gets the reply; ``token`` is
returned in the reply.
"""

from collections.abc import Mapping
from typing import NamedTuple

from cuminhatch.decisions.catalog import Registration
from cuminhatch.decisions.evacuation import Evacuation
from cuminhatch.decisions.store_version import StoreVersion
from cuminhatch.messages.address import Address

# From ``catalog`` to ``store``, the client of the platform's metadata store.


class RegistrationsRequested(NamedTuple):
    """All registered backend servers are to be read."""

    reply_to: str
    token: int


class ConfigurationRequested(NamedTuple):
    """The operator's configuration is to be read."""

    reply_to: str
    token: int


class InstanceRecordPutRequested(NamedTuple):
    """
    The record of an instance is to be stored.

    Instances that start later find its address there.
    """

    reply_to: str
    token: int
    instance_id: str
    address: Address


class InstanceRecordsRequested(NamedTuple):
    """The records of all instances are to be read."""

    reply_to: str
    token: int


# From ``store`` to ``catalog``.


class RegistrationRefused(NamedTuple):
    """Row in a reply that does not describe a usable backend server."""

    server_id: str
    reason: str


class RegistrationsRead(NamedTuple):
    """All registrations as of one version of the store."""

    token: int
    version: StoreVersion
    registrations: Mapping[str, Registration]
    refused: tuple[RegistrationRefused, ...]


class ConfigurationRead(NamedTuple):
    """
    The operator's configuration as stored; empty if there is none yet.

    ``era`` is the era of the store at the read. ``evacuation`` is None if
    operators do not evacuate failure domains.
    """

    token: int
    document: bytes
    era: int
    evacuation: Evacuation | None = None


class InstanceRecordStored(NamedTuple):
    """The record of this instance is stored."""

    token: int


class InstanceRecordsRead(NamedTuple):
    """The addresses of all recorded instances, by instance id."""

    token: int
    members: Mapping[str, Address]


class StoreUnavailable(NamedTuple):
    """The metadata store has not responded, or has refused the call."""

    token: int
    reason: str


# From ``catalog`` to services that divide a limit among the instances.


class InstanceCountChanged(NamedTuple):
    """
    The number of instances, including this one, has changed.

    ``near_instances`` counts those in the failure domain of this instance and
    those whose failure domain is unknown.
    """

    instances: int
    near_instances: int


class InstancesChanged(NamedTuple):
    """
    The known instances have changed, or another one knows more.

    ``domains`` maps the ids of all known instances, this one included, to
    their failure domains, empty where they are unknown. ``reported`` is the
    highest number of instances that another one knows, ``is_seed_missing``
    tells that a seed is not known. The message is sent only if requests to
    servers that warm up are limited.
    """

    domains: Mapping[str, str]
    reported: int
    is_seed_missing: bool
