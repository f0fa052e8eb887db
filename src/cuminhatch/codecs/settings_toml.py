"""
The daemon's settings in TOML, every key checked.

Each error names the file and the key and says what is wrong.
"""

import tomllib
from collections.abc import Callable, Mapping
from ipaddress import ip_address
from typing import Any, NamedTuple

from cuminhatch.address import Address
from cuminhatch.decisions.choice import BASELINES, POWER_OF_D
from cuminhatch.errors import SettingsError

OPERATORS_KEY_VARIABLE = "CUMINHATCH_OPERATORS_KEY"
PEERS_KEY_VARIABLE = "CUMINHATCH_PEERS_KEY"


class InstanceSettings(NamedTuple):
    """Who this instance is."""

    instance_id: str
    failure_domain: str


class OperatorsSettings(NamedTuple):
    """Where operators reach the daemon, and their key."""

    address: Address
    key: str


class PeersSettings(NamedTuple):
    """Where other instances reach the daemon, their key, first contacts."""

    address: Address
    key: str
    seeds: tuple[Address, ...]


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


class _Key(NamedTuple):
    """How a key is read; ``default`` None makes it required."""

    convert: Callable[[Any], Any]
    default: Any = None
    variable: str = ""


def parse_address(value: Any) -> Address:
    """
    Read ``IP:PORT``.

    :param value: value from a settings file or a flag.
    :raises ValueError: it is not an IP address and a port.
    """
    host, separator, port = str(value).rpartition(":")
    if not separator or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError('expected "IP:PORT", such as "127.0.0.1:8080"')
    try:
        ip_address(host)
    except ValueError:
        raise ValueError(f"{host} is not an IP address") from None
    return Address(host, int(port))


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("expected a non-empty string")
    return value


def _milliseconds(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError("expected a number of milliseconds, 0 or more")
    return float(value)


def _addresses(value: Any) -> tuple[Address, ...]:
    if not isinstance(value, list):
        raise ValueError('expected a list of "IP:PORT"')
    return tuple(parse_address(item) for item in value)


def _one_of(*known: str) -> Callable[[Any], str]:
    def convert(value: Any) -> str:
        if value not in known:
            raise ValueError(f"expected one of {', '.join(known)}")
        return value

    return convert


_SECTIONS: Mapping[str, Mapping[str, _Key]] = {
    "instance": {"id": _Key(_text), "failure_domain": _Key(_text)},
    "callers": {"address": _Key(parse_address)},
    "operators": {
        "address": _Key(parse_address),
        "key": _Key(_text, variable=OPERATORS_KEY_VARIABLE),
    },
    "peers": {
        "address": _Key(parse_address),
        "key": _Key(_text, variable=PEERS_KEY_VARIABLE),
        "seeds": _Key(_addresses, ()),
    },
    "platform": {
        "table": _Key(parse_address),
        "objects": _Key(parse_address),
        "list": _Key(parse_address),
        "list_lag_ms": _Key(_milliseconds, 5_000.0),
    },
    "drain": {
        "announce_ms": _Key(_milliseconds, 5_000.0),
        "limit_ms": _Key(_milliseconds, 600_000.0),
    },
    "choice": {"policy": _Key(_one_of(POWER_OF_D, *BASELINES), POWER_OF_D)},
    "log": {"level": _Key(_one_of("DEBUG", "INFO", "WARNING", "ERROR"), "INFO")},
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
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{file_name}: not valid TOML: {error}") from error
    _refuse_unknown(document, file_name)
    values = {
        section: _read_section(
            section, document.get(section, {}), file_name, environment
        )
        for section in _SECTIONS
    }
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


def _refuse_unknown(document: Mapping[str, Any], file_name: str) -> None:
    for section, content in document.items():
        if section not in _SECTIONS:
            raise SettingsError(
                f"{file_name}: {section}: unknown section; known are "
                f"{', '.join(_SECTIONS)}"
            )
        if not isinstance(content, dict):
            raise SettingsError(f"{file_name}: {section}: expected a table [{section}]")
        for key in content:
            if key not in _SECTIONS[section]:
                raise SettingsError(
                    f"{file_name}: {section}.{key}: unknown key; known are "
                    f"{', '.join(_SECTIONS[section])}"
                )


def _read_section(
    section: str,
    content: Mapping[str, Any],
    file_name: str,
    environment: Mapping[str, str],
) -> list[Any]:
    return [
        _read_key(f"{section}.{name}", key, content.get(name), file_name, environment)
        for name, key in _SECTIONS[section].items()
    ]


def _read_key(
    path: str,
    key: _Key,
    value: Any,
    file_name: str,
    environment: Mapping[str, str],
) -> Any:
    if key.variable and environment.get(key.variable):
        value = environment[key.variable]
    if value is None:
        if key.default is None:
            source = f", or set {key.variable}" if key.variable else ""
            raise SettingsError(f"{file_name}: {path}: missing; add it{source}")
        return key.default
    try:
        return key.convert(value)
    except ValueError as error:
        raise SettingsError(f"{file_name}: {path}: {error}") from error
