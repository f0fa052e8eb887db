"""
Read and validate the sections of a settings file.

Unknown sections and keys are errors. Each error message names the file and the
key and says what is wrong.
"""

import tomllib
from collections.abc import Callable, Mapping
from ipaddress import ip_address
from typing import Any, NamedTuple

from cuminhatch.address import Address
from cuminhatch.clock import MS_PER_SECOND
from cuminhatch.errors import SettingsError


class SettingsKey(NamedTuple):
    """
    Rule for reading the value of one key.

    ``convert`` returns the value or raises ``ValueError``. ``default`` None
    makes the key required. The environment variable ``variable``, if set,
    overrides the file.
    """

    convert: Callable[[Any], Any]
    default: Any = None
    variable: str = ""


def parse_address(value: Any) -> Address:
    """
    Parse an address of the form ``IP:PORT``.

    :param value: value from a settings file or a command line option.
    :raises ValueError: the value is not an IP address with a port.
    """
    host, separator, port = str(value).rpartition(":")
    if not separator or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError('expected "IP:PORT", such as "127.0.0.1:8080"')
    try:
        ip_address(host)
    except ValueError:
        raise ValueError(f"{host} is not an IP address") from None
    return Address(host, int(port))


def read_string(value: Any) -> str:
    """
    Read a non-empty string.

    :param value: value from a settings file.
    :raises ValueError: the value has another type or is empty.
    """
    if not isinstance(value, str) or not value:
        raise ValueError("expected a non-empty string")
    return value


def read_milliseconds(value: Any) -> float:
    """
    Read a duration in milliseconds.

    :param value: value from a settings file.
    :raises ValueError: the value is not a number or is negative.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError("expected a number of milliseconds, 0 or more")
    return float(value)


def read_seconds(value: Any) -> float:
    """
    Read a duration in seconds.

    :param value: value from a settings file.
    :returns: the duration in milliseconds.
    :raises ValueError: the value is not a number or is negative.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError("expected a number of seconds, 0 or more")
    return value * MS_PER_SECOND


def read_addresses(value: Any) -> tuple[Address, ...]:
    """
    Read a list of addresses of the form ``IP:PORT``.

    :param value: value from a settings file.
    :raises ValueError: the value is not a list of addresses.
    """
    if not isinstance(value, list):
        raise ValueError('expected a list of "IP:PORT"')
    return tuple(parse_address(item) for item in value)


def read_non_negative_number(value: Any) -> float:
    """
    Read a non-negative number.

    :param value: value from a settings file.
    :raises ValueError: the value is not a number or is negative.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError("expected a number, 0 or more")
    return float(value)


def read_boolean(value: Any) -> bool:
    """
    Read a boolean.

    :param value: value from a settings file.
    :raises ValueError: the value is not a boolean.
    """
    if not isinstance(value, bool):
        raise ValueError("expected true or false")
    return value


def make_choice_reader(*choices: str) -> Callable[[Any], str]:
    """
    Return a function that reads one of the given strings.

    :param choices: accepted strings.
    """

    def convert(value: Any) -> str:
        if value not in choices:
            raise ValueError(f"expected one of {', '.join(choices)}")
        return value

    return convert


Sections = Mapping[str, Mapping[str, SettingsKey]]


def read_sections(
    text: str, sections: Sections, file_name: str, environment: Mapping[str, str]
) -> dict[str, list[Any]]:
    """
    Read the values of a settings file.

    :param text: content of the file, in TOML.
    :param sections: known keys by section; all others are errors.
    :param file_name: file name for error messages.
    :param environment: environment variables; those named in ``sections``
        override the file.
    :returns: values by section, in the order of ``sections``.
    :raises SettingsError: the settings are invalid; the message is one line
        that names the file and the key.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{file_name}: not valid TOML: {error}") from error
    _reject_unknown_keys(document, sections, file_name)
    return {
        section: _read_section(
            section, keys, document.get(section, {}), file_name, environment
        )
        for section, keys in sections.items()
    }


def _reject_unknown_keys(
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
    keys: Mapping[str, SettingsKey],
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
    key: SettingsKey,
    value: Any,
    file_name: str,
    environment: Mapping[str, str],
) -> Any:
    if key.variable and environment.get(key.variable):
        value = environment[key.variable]
    if value is None:
        if key.default is None:
            hint = f", or set {key.variable}" if key.variable else ""
            raise SettingsError(f"{file_name}: {path}: missing; add it{hint}")
        return key.default
    try:
        return key.convert(value)
    except ValueError as error:
        raise SettingsError(f"{file_name}: {path}: {error}") from error
