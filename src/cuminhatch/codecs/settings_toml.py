"""Settings of ``cuminhatchd`` in TOML."""

from collections.abc import Mapping
from typing import NamedTuple

from cuminhatch.address import Address
from cuminhatch.codecs.settings_keys import (
    Sections,
    SettingsKey,
    make_choice_reader,
    parse_address,
    read_addresses,
    read_milliseconds,
    read_sections,
    read_string,
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
    """Address of the operators' API, and its bearer token ``key``."""

    address: Address
    key: str


class PlatformSettings(NamedTuple):
    """
    Addresses of the platform's services.

    ``list_lag_ms`` is the longest time by which the instance list may be out
    of date.
    """

    table: Address
    objects: Address
    instance_list: Address
    list_lag_ms: float


class DrainSettings(NamedTuple):
    """
    Durations of a graceful shutdown, in milliseconds.

    ``announce_ms`` is the time from announcing the drain to closing the
    callers' port, ``limit_ms`` the longest wait for requests in progress.
    """

    announce_ms: float
    limit_ms: float


class Settings(NamedTuple):
    """All settings of ``cuminhatchd``."""

    instance: InstanceSettings
    callers_address: Address
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    drain: DrainSettings
    choice_policy: str
    log_level: str


_SECTIONS: Sections = {
    "instance": {
        "id": SettingsKey(read_string),
        "failure_domain": SettingsKey(read_string),
    },
    "callers": {"address": SettingsKey(parse_address)},
    "operators": {
        "address": SettingsKey(parse_address),
        "key": SettingsKey(read_string, variable=OPERATORS_KEY_VARIABLE),
    },
    "peers": {
        "address": SettingsKey(parse_address),
        "key": SettingsKey(read_string, variable=PEERS_KEY_VARIABLE),
        "seeds": SettingsKey(read_addresses, ()),
    },
    "platform": {
        "table": SettingsKey(parse_address),
        "objects": SettingsKey(parse_address),
        "list": SettingsKey(parse_address),
        "list_lag_ms": SettingsKey(read_milliseconds, 5_000.0),
    },
    "drain": {
        "announce_ms": SettingsKey(read_milliseconds, 5_000.0),
        "limit_ms": SettingsKey(read_milliseconds, 600_000.0),
    },
    "choice": {
        "policy": SettingsKey(make_choice_reader(POWER_OF_D, *BASELINES), POWER_OF_D)
    },
    "log": {"level": SettingsKey(make_choice_reader(*LEVELS), "INFO")},
}


def parse_settings(
    text: str, file_name: str, environment: Mapping[str, str]
) -> Settings:
    """
    Read and validate the settings of ``cuminhatchd``.

    :param text: content of the settings file, in TOML.
    :param file_name: file name for error messages.
    :param environment: environment variables; ``CUMINHATCH_OPERATORS_KEY``
        and ``CUMINHATCH_PEERS_KEY`` override the file.
    :raises SettingsError: the settings are invalid; the message is one line
        that names the file and the key.
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
