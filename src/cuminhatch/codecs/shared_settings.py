"""Settings that daemons of both kinds have."""

from typing import NamedTuple

from cuminhatch.address import Address

PEERS_KEY_VARIABLE = "CUMINHATCH_PEERS_KEY"


class InstanceSettings(NamedTuple):
    """Who this instance is."""

    instance_id: str
    failure_domain: str


class PeersSettings(NamedTuple):
    """Where other instances reach the daemon, their key, first contacts."""

    address: Address
    key: str
    seeds: tuple[Address, ...]
