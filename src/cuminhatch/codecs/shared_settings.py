"""Settings that ``cuminhatchd`` and ``cuminhatch-gateway`` share."""

from typing import NamedTuple

from cuminhatch.address import Address

PEERS_KEY_VARIABLE = "CUMINHATCH_PEERS_KEY"


class InstanceSettings(NamedTuple):
    """Identity of this instance."""

    instance_id: str
    failure_domain: str


class PeersSettings(NamedTuple):
    """
    Settings of the communication between instances.

    ``key`` is the HMAC key for messages. ``seeds`` are the addresses of the
    instances that this instance contacts first.
    """

    address: Address
    key: str
    seeds: tuple[Address, ...]
