"""Decode the operators' configuration and the server registrations."""

from collections.abc import Callable
from ipaddress import AddressValueError, IPv4Address
from math import isfinite
from types import MappingProxyType
from typing import Any

import orjson

from cuminhatch.address import Address
from cuminhatch.decisions.catalog import ConfigurationDocument, Registration
from cuminhatch.decisions.configuration import (
    BackendServer,
    CallerLimits,
    Configuration,
    Rule,
    ServiceSpec,
    TrafficPart,
)
from cuminhatch.decisions.store_version import StoreVersion
from cuminhatch.errors import CodecError

VERSION_PREFIX = "r"
SAFE_ROUTE_KINDS = frozenset({"safe", "download"})
ROUTE_KINDS = SAFE_ROUTE_KINDS | {"unsafe"}
SERVER_STATES = frozenset({"ready", "draining"})
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
# Other instances are sent registrations in fields of these types.
INT32_MAX = 2**31 - 1
INT64_MAX = 2**63 - 1
# More than nine fit into 64 bits for sure, and int() accepts only 4,300.
VERSION_DIGITS_MAX = 18
# The longest key of the platform's store.
NAME_MAX_BYTES = 200
# About 24 days. A timer far beyond that is a mistake, and a message of another
# instance carries a duration in 32 bits.
DURATION_MAX_MS = float(INT32_MAX)
# Part of a malformed value that an error message repeats.
QUOTED_CHARACTERS_MAX = 40


class DocumentError(CodecError):
    """
    A document of the platform is malformed, or reading it has failed.

    If a certain field is malformed, the message names it.
    """


def parse_version(text: Any) -> int:
    """
    Parse a configuration version such as ``r12`` and return its number.

    :param text: version of the configuration, as written by the operator.
    :raises DocumentError: the text is not a version.
    """
    if isinstance(text, str) and text.startswith(VERSION_PREFIX):
        digits = text[len(VERSION_PREFIX) :]
        # isdigit() also accepts superscripts, which int() doesn't.
        is_number = digits.isascii() and digits.isdigit()
        if is_number and len(digits) <= VERSION_DIGITS_MAX:
            return int(digits)
    raise DocumentError(f"version: expected a version such as r12, got {_quote(text)}")


def decode_configuration(data: bytes) -> ConfigurationDocument:
    """
    Decode the operators' configuration.

    :param data: document as stored.
    :raises DocumentError: the document is malformed.
    """
    document = _load_json(data)
    try:
        version = parse_version(document["version"])
        services = {
            item["name"]: _decode_service(item) for item in document["services"]
        }
        connections = {
            item["name"]: _get_integer(item, "max-conns", INT32_MAX)
            for item in document["services"]
        }
        rules = {item["name"]: _decode_rule(item) for item in document["routes"]}
        limits = _decode_limits(document["limits"])
    except DocumentError:
        raise
    except (ArithmeticError, LookupError, TypeError, ValueError, AttributeError) as e:
        raise DocumentError(f"configuration: {_quote(e)}") from e
    configuration = Configuration(
        version,
        MappingProxyType(services),
        MappingProxyType({}),
        MappingProxyType(rules),
        limits,
    )
    return ConfigurationDocument(configuration, connections)


def _decode_service(item: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(_get_text(item, "name"), health_path=_get_path(item))


def _decode_rule(item: dict[str, Any]) -> Rule:
    kind = item["kind"]
    if kind not in ROUTE_KINDS:
        raise DocumentError(f"routes: unknown kind {_quote(kind)}")
    parts = tuple(
        TrafficPart(_get_text(part, "service"), _get_number(part, "weight", INT32_MAX))
        for part in item.get("traffic-split") or ()
    )
    service_id = parts[0].service_id if parts else _get_text(item, "service")
    return Rule(
        _get_text(item, "name"),
        service_id,
        "*",
        _get_text(item, "prefix"),
        is_idempotent=kind in SAFE_ROUTE_KINDS,
        host=_get_text(item, "host").lower(),
        parts=parts,
        timeout_ms=_get_optional(item, "timeout-ms", _get_number, DURATION_MAX_MS),
        # Estimates are shares of the target, and divisors.
        target_latency_ms=_get_number(item, "target-latency-ms", DURATION_MAX_MS, 1.0),
        priority=_get_optional(item, "priority", _get_integer, INT32_MAX) or 0,
        # max-attempts and servers_max both count the first backend server.
        servers_max=max(
            1, _get_optional(item, "max-attempts", _get_integer, INT32_MAX) or 1
        ),
    )


def _decode_limits(item: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        _get_integer(item, "max-header-bytes", INT64_MAX),
        _get_integer(item, "max-body-bytes", INT64_MAX),
        _get_number(item, "header-timeout-ms", DURATION_MAX_MS),
        _get_number(item, "idle-timeout-ms", DURATION_MAX_MS),
    )


def decode_registration(
    server_id: str, data: bytes, row_version: StoreVersion
) -> Registration:
    """
    Decode the registration of a backend server.

    :param server_id: key of the row; the value does not contain the id.
    :param data: value of the row.
    :param row_version: version of the row.
    :returns: the registration; ``connections`` of its server is 0, because
        the connection limit is part of the configuration.
    :raises DocumentError: the registration is malformed.
    """
    if not is_server_id(server_id):
        raise DocumentError("id: expected up to 200 visible ASCII characters")
    document = _load_json(data)
    service_id = _get_string(document, "service")
    address = parse_address(_get_string(document, "address"))
    if address is None:
        raise DocumentError("address: expected an IPv4 address and a port")
    state = _get_string(document, "state")
    if state not in SERVER_STATES:
        raise DocumentError(f"state: unknown state {_quote(state)}")
    slots = _get_integer(document, "slots", INT32_MAX)
    if slots < 1:
        raise DocumentError("slots: expected 1 or more")
    # The daemon doesn't use this field, but it is required.
    _get_string(document, "version")
    server = BackendServer(
        server_id,
        service_id,
        address.host,
        address.port,
        _get_string(document, "zone"),
        slots,
        0,
        state == "draining",
        float(_get_integer(document, "warmup-left-ms", INT32_MAX)),
        _get_integer(document, "born", INT64_MAX) if "born" in document else 0,
    )
    sequence = _get_integer(document, "sequence", INT64_MAX)
    return Registration(server, row_version, sequence)


def is_server_id(text: str) -> bool:
    """
    Tell whether a text can be the id of a backend server or an instance.

    An id is sent in an HTTP header, where a line break would start another
    header, and in messages of limited length.

    :param text: key of a row.
    """
    return text.isascii() and _is_visible(text) and 0 < len(text) <= NAME_MAX_BYTES


def parse_address(text: str) -> Address | None:
    """
    Parse an address such as ``10.1.64.31:8384``.

    Host names are not accepted: looking one up blocks the process.

    :param text: IPv4 address and port.
    :returns: the address, None if the text is malformed.
    """
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > MAX_PORT_DIGITS:
        return None
    try:
        IPv4Address(host)
    except AddressValueError:
        return None
    return Address(host, int(port)) if 0 < int(port) <= MAX_PORT else None


def _load_json(data: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise DocumentError(f"invalid JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError("not a JSON object")
    return document


def _is_visible(text: str) -> bool:
    return text.isprintable() and " " not in text


def _quote(value: Any) -> str:
    return f"{value!r:.{QUOTED_CHARACTERS_MAX}}"


def _get_text(document: dict[str, Any], name: str) -> str:
    value = document[name]
    if not isinstance(value, str) or not value:
        raise DocumentError(f"{name}: expected a non-empty string")
    return value


def _get_path(item: dict[str, Any]) -> str:
    path = _get_text(item, "health-path")
    # It becomes a part of the request line.
    if not path.isascii() or not _is_visible(path):
        raise DocumentError("health-path: expected visible ASCII characters")
    return path


def _get_string(document: dict[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise DocumentError(f"{name}: expected a non-empty string")
    if len(value.encode()) > NAME_MAX_BYTES:
        raise DocumentError(f"{name}: expected up to {NAME_MAX_BYTES} bytes")
    return value


def _get_integer(document: dict[str, Any], name: str, highest: int) -> int:
    value = document.get(name)
    # JSON doesn't distinguish integers from floats: 3 may be encoded as 3.0.
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise DocumentError(f"{name}: expected an integer, 0 or more")
    if value > highest:
        raise DocumentError(f"{name}: expected {highest} or less")
    return value


def _get_number(
    document: dict[str, Any], name: str, highest: float, lowest: float = 0.0
) -> float:
    value = document.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DocumentError(f"{name}: expected a number")
    if not isfinite(value) or not lowest <= value <= highest:
        raise DocumentError(
            f"{name}: expected a number from {lowest:.0f} to {highest:.0f}"
        )
    return float(value)


def _get_optional(
    document: dict[str, Any],
    name: str,
    get: Callable[[dict[str, Any], str, float], float],
    highest: float,
) -> Any:
    return None if document.get(name) is None else get(document, name, highest)
