"""
How sections of a settings file are read, with every key checked.

Each error names the file and the key and says what is wrong.
"""

import tomllib
from collections.abc import Callable, Mapping
from ipaddress import ip_address
from typing import Any, NamedTuple

from cuminhatch.address import Address
from cuminhatch.errors import SettingsError


class Key(NamedTuple):
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


def read_text(value: Any) -> str:
    """
    Read a text that is not empty.

    :param value: value from a settings file.
    :raises ValueError: it is something else.
    """
    if not isinstance(value, str) or not value:
        raise ValueError("expected a non-empty string")
    return value


def read_milliseconds(value: Any) -> float:
    """
    Read a time in milliseconds.

    :param value: value from a settings file.
    :raises ValueError: it is no number, or below 0.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError("expected a number of milliseconds, 0 or more")
    return float(value)


def read_addresses(value: Any) -> tuple[Address, ...]:
    """
    Read a list of ``IP:PORT``.

    :param value: value from a settings file.
    :raises ValueError: it is something else.
    """
    if not isinstance(value, list):
        raise ValueError('expected a list of "IP:PORT"')
    return tuple(parse_address(item) for item in value)


def read_number(value: Any) -> float:
    """
    Read a number that is not negative.

    :param value: value from a settings file.
    :raises ValueError: it is something else.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError("expected a number, 0 or more")
    return float(value)


def read_flag(value: Any) -> bool:
    """
    Read a value that is true or false.

    :param value: value from the file.
    :raises ValueError: it is neither.
    """
    if not isinstance(value, bool):
        raise ValueError("expected true or false")
    return value


def read_one_of(*known: str) -> Callable[[Any], str]:
    """
    Return a function that reads one of some texts.

    :param known: texts that are accepted.
    """

    def convert(value: Any) -> str:
        if value not in known:
            raise ValueError(f"expected one of {', '.join(known)}")
        return value

    return convert


Sections = Mapping[str, Mapping[str, Key]]


def read_sections(
    text: str, sections: Sections, file_name: str, environment: Mapping[str, str]
) -> dict[str, list[Any]]:
    """
    Read a settings file.

    :param text: TOML.
    :param sections: keys by section; what is not named is refused.
    :param file_name: name of the file, for errors.
    :param environment: variables that may hold the keys of ports.
    :returns: values by section, in the order of the keys.
    :raises SettingsError: one line that names the file and the key.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{file_name}: not valid TOML: {error}") from error
    _refuse_unknown(document, sections, file_name)
    return {
        section: _read_section(
            section, keys, document.get(section, {}), file_name, environment
        )
        for section, keys in sections.items()
    }


def _refuse_unknown(
    document: Mapping[str, Any], sections: Sections, file_name: str
) -> None:
    for section, content in document.items():
        if section not in sections:
            raise SettingsError(
                f"{file_name}: {section}: unknown section; known are "
                f"{', '.join(sections)}"
            )
        if not isinstance(content, dict):
            raise SettingsError(f"{file_name}: {section}: expected a table [{section}]")
        for key in content:
            if key not in sections[section]:
                raise SettingsError(
                    f"{file_name}: {section}.{key}: unknown key; known are "
                    f"{', '.join(sections[section])}"
                )


def _read_section(
    section: str,
    keys: Mapping[str, Key],
    content: Mapping[str, Any],
    file_name: str,
    environment: Mapping[str, str],
) -> list[Any]:
    return [
        _read_key(f"{section}.{name}", key, content.get(name), file_name, environment)
        for name, key in keys.items()
    ]


def _read_key(
    path: str,
    key: Key,
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
