"""Settings in TOML of a daemon that takes its configuration from a store."""

from collections.abc import Mapping
from typing import NamedTuple

from cuminhatch.address import Address
from cuminhatch.codecs.settings_keys import (
    Key,
    Sections,
    parse_address,
    read_addresses,
    read_flag,
    read_milliseconds,
    read_number,
    read_one_of,
    read_sections,
    read_text,
)
from cuminhatch.codecs.shared_settings import (
    PEERS_KEY_VARIABLE,
    InstanceSettings,
    PeersSettings,
)
from cuminhatch.log import LEVELS


class ResendSettings(NamedTuple):
    """The budget of second sends per service, shared by all instances."""

    ratio: float
    extra: float
    window_ms: float


class PlacementSettings(NamedTuple):
    """
    How backend servers are compared.

    ``probes_per_s`` bounds the health checks of one backend server by all
    instances. ``candidates`` and ``far_charge_ms_per_kb`` are described at
    the settings of forwarding.
    """

    probes_per_s: float
    candidates: int
    far_charge_ms_per_kb: float


class StopSettings(NamedTuple):
    """
    Times of a graceful stop, in milliseconds.

    ``announce_ms`` is the time between reporting not ready and closing the
    callers' port, ``total_ms`` the time until the process is killed.
    """

    announce_ms: float
    total_ms: float


class GatewaySettings(NamedTuple):
    """All settings of a daemon of this kind."""

    instance: InstanceSettings
    callers_address: Address
    readiness_address: Address
    metrics_address: Address
    peers: PeersSettings
    is_first_start: bool
    store_address: Address
    resends: ResendSettings
    placement: PlacementSettings
    drain: StopSettings
    log_level: str


_SECTIONS: Sections = {
    "instance": {"id": Key(read_text), "failure_domain": Key(read_text)},
    "callers": {"address": Key(parse_address)},
    "readiness": {"address": Key(parse_address)},
    "metrics": {"address": Key(parse_address)},
    "peers": {
        "address": Key(parse_address),
        "key": Key(read_text, variable=PEERS_KEY_VARIABLE),
        "seeds": Key(read_addresses, ()),
    },
    # Whether the whole system starts for the first time.
    "start": {"is_first": Key(read_flag, False)},
    "store": {"address": Key(parse_address)},
    "resends": {
        "ratio": Key(read_number, 0.1),
        "extra": Key(read_number, 10.0),
        "window_ms": Key(read_milliseconds, 10_000.0),
    },
    "placement": {
        "probes_per_s": Key(read_number, 10.0),
        "candidates": Key(read_number, 4.0),
        "far_charge_ms_per_kb": Key(read_number, 0.0),
    },
    "drain": {
        "announce_ms": Key(read_milliseconds, 2_300.0),
        "total_ms": Key(read_milliseconds, 6_000.0),
    },
    "log": {"level": Key(read_one_of(*LEVELS), "INFO")},
}


def parse_gateway_settings(
    text: str, file_name: str, environment: Mapping[str, str]
) -> GatewaySettings:
    """
    Read and check the settings of a daemon.

    :param text: TOML.
    :param file_name: name of the file, for errors.
    :param environment: variables that may hold the keys of ports.
    :raises SettingsError: one line that names the file and the key.
    """
    values = read_sections(text, _SECTIONS, file_name, environment)
    probes_per_s, candidates, far_charge = values["placement"]
    return GatewaySettings(
        InstanceSettings(*values["instance"]),
        values["callers"][0],
        values["readiness"][0],
        values["metrics"][0],
        PeersSettings(*values["peers"]),
        values["start"][0],
        values["store"][0],
        ResendSettings(*values["resends"]),
        PlacementSettings(probes_per_s, max(1, int(candidates)), far_charge),
        StopSettings(*values["drain"]),
        values["log"][0],
    )
