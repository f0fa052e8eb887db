"""
The daemon's settings in TOML, every key checked.

Each error names the file and the key and says what is wrong.
"""

from collections.abc import Mapping
from typing import NamedTuple

from cuminhatch.address import Address
from cuminhatch.codecs.settings_keys import (
    Key,
    Sections,
    parse_address,
    read_addresses,
    read_milliseconds,
    read_one_of,
    read_sections,
    read_text,
)
from cuminhatch.codecs.shared_settings import (
    PEERS_KEY_VARIABLE,
    InstanceSettings,
    PeersSettings,
)
from cuminhatch.decisions.choice import BASELINES, POWER_OF_D
from cuminhatch.log import LEVELS

OPERATORS_KEY_VARIABLE = "CUMINHATCH_OPERATORS_KEY"


class OperatorsSettings(NamedTuple):
    """Where operators reach the daemon, and their key."""

    address: Address
    key: str


class PlatformSettings(NamedTuple):
    """Where the platform's services are, and how far its list lags."""

    table: Address
    objects: Address
    instance_list: Address
    list_lag_ms: float


class DrainSettings(NamedTuple):
    """Times of a graceful stop, in milliseconds."""

    announce_ms: float
    limit_ms: float


class Settings(NamedTuple):
    """All settings of a daemon."""

    instance: InstanceSettings
    callers_address: Address
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    drain: DrainSettings
    choice_policy: str
    log_level: str


_SECTIONS: Sections = {
    "instance": {"id": Key(read_text), "failure_domain": Key(read_text)},
    "callers": {"address": Key(parse_address)},
    "operators": {
        "address": Key(parse_address),
        "key": Key(read_text, variable=OPERATORS_KEY_VARIABLE),
    },
    "peers": {
        "address": Key(parse_address),
        "key": Key(read_text, variable=PEERS_KEY_VARIABLE),
        "seeds": Key(read_addresses, ()),
    },
    "platform": {
        "table": Key(parse_address),
        "objects": Key(parse_address),
        "list": Key(parse_address),
        "list_lag_ms": Key(read_milliseconds, 5_000.0),
    },
    "drain": {
        "announce_ms": Key(read_milliseconds, 5_000.0),
        "limit_ms": Key(read_milliseconds, 600_000.0),
    },
    "choice": {"policy": Key(read_one_of(POWER_OF_D, *BASELINES), POWER_OF_D)},
    "log": {"level": Key(read_one_of(*LEVELS), "INFO")},
}


def parse_settings(
    text: str, file_name: str, environment: Mapping[str, str]
) -> Settings:
    """
    Read and check the settings of a daemon.

    :param text: TOML.
    :param file_name: name of the file, for errors.
    :param environment: variables that may hold the keys of ports.
    :raises SettingsError: one line that names the file and the key.
    """
    values = read_sections(text, _SECTIONS, file_name, environment)
    return Settings(
        InstanceSettings(*values["instance"]),
        values["callers"][0],
        OperatorsSettings(*values["operators"]),
        PeersSettings(*values["peers"]),
        PlatformSettings(*values["platform"]),
        DrainSettings(*values["drain"]),
        values["choice"][0],
        values["log"][0],
    )
