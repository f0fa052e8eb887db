"""Decode the operators' configuration and the server registrations."""

from collections.abc import Callable, Mapping
from ipaddress import AddressValueError, IPv4Address
from math import isfinite
from types import MappingProxyType
from typing import Any

import orjson

from cuminhatch.address import Address
from cuminhatch.decisions.catalog import (
    ConfigurationDocument,
    RefusedEntry,
    Registration,
)
from cuminhatch.decisions.configuration import (
    BackendServer,
    CallerLimits,
    Configuration,
    Rule,
    ServiceSpec,
    Team,
    TrafficPart,
    index_rules,
)
from cuminhatch.decisions.credentials import DIGEST_BYTES, digest_credential
from cuminhatch.decisions.store_version import StoreVersion
from cuminhatch.errors import CodecError

VERSION_PREFIX = "r"
DOWNLOAD_KIND = "download"
SAFE_ROUTE_KINDS = frozenset({"safe", DOWNLOAD_KIND})
UPLOAD_KIND = "upload"
ROUTE_KINDS = SAFE_ROUTE_KINDS | {"unsafe", UPLOAD_KIND}
API_KEYS_FIELD = "api-keys"
# Takes the place of the keys in documents that instances keep and relay.
KEY_DIGESTS_FIELD = "key-digests"
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


# Raised by the decoding of an entry that has fields missing or of other types.
ENTRY_ERRORS = (
    DocumentError,
    ArithmeticError,
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
)


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
    # Not quoted: a key may have been written into the wrong field.
    raise DocumentError("version: expected a version such as r12")


def decode_configuration(data: bytes) -> ConfigurationDocument:
    """
    Decode the operators' configuration.

    A route, service or team that cannot be used disables that entry alone.

    :param data: document as stored, or as returned by
        :func:`redact_configuration`.
    :raises DocumentError: the document as a whole is malformed.
    """
    document = _load_json(data)
    refused: list[RefusedEntry] = []
    try:
        version = parse_version(document["version"])
        services, connections = _decode_services(
            _get_list(document, "services"), refused
        )
        rules = _decode_rules(_get_list(document, "routes"), refused)
        limits = _decode_limits(document["limits"])
    except DocumentError:
        raise
    except (ArithmeticError, LookupError, TypeError, ValueError, AttributeError) as e:
        raise DocumentError(f"configuration: {_quote(e)}") from e
    teams, team_ids_by_key = _decode_teams(document, refused)
    configuration = Configuration(
        version,
        MappingProxyType(services),
        MappingProxyType({}),
        MappingProxyType(rules),
        limits,
        teams,
        MappingProxyType(team_ids_by_key),
    )
    return ConfigurationDocument(configuration, connections, tuple(refused))


def redact_configuration(data: bytes) -> bytes:
    """
    Replace the keys of teams in a configuration by their digests.

    Instances keep the document and send it to each other; the keys are needed
    for neither.

    :param data: document as stored.
    :returns: the document without keys; the same bytes if it has none, or
        is no JSON object, and no document if it is nested too deeply.
    """
    # The name of the field may be written with escapes.
    if API_KEYS_FIELD.encode() not in data and b"\\u" not in data:
        return data
    try:
        document = _load_json(data)
    except DocumentError:
        return data
    is_redacted = False
    teams = document.get("tenants")
    for team in teams if isinstance(teams, list) else ():
        if isinstance(team, dict) and API_KEYS_FIELD in team:
            team[KEY_DIGESTS_FIELD] = _redact_keys(team.pop(API_KEYS_FIELD))
            is_redacted = True
    try:
        return orjson.dumps(document) if is_redacted else data
    except orjson.JSONEncodeError:
        # orjson reads deeper nesting than it writes.
        return b"null"


def _redact_keys(keys: Any) -> Any:
    # What is no list stays wrong, so that the team is refused.
    if not isinstance(keys, list):
        return None
    return [_redact_key(key) for key in keys]


def _redact_key(key: Any) -> str | None:
    """Return the digest of a key, None if no request can carry the key."""
    # A header has no white space around its value.
    text = key.strip(" \t") if isinstance(key, str) else ""
    return digest_credential(text.encode()).hex() if text else None


def _decode_services(
    items: list[Any], refused: list[RefusedEntry]
) -> tuple[dict[str, ServiceSpec], dict[str, int]]:
    """Return the services, and the connections of their servers, by id."""
    services: dict[str, ServiceSpec] = {}
    connections: dict[str, int] = {}
    for item in items:
        try:
            service = _decode_service(item)
            connections[service.service_id] = _get_integer(item, "max-conns", INT32_MAX)
        except ENTRY_ERRORS as error:
            refused.append(_refuse("service", item, error))
            continue
        services[service.service_id] = service
    return services, connections


def _decode_service(item: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        _get_text(item, "name"),
        health_path=_get_path(item),
        warmup_rate=_get_optional(item, "warmup-per-s", _get_number, INT32_MAX) or 0.0,
    )


def _decode_rules(items: list[Any], refused: list[RefusedEntry]) -> dict[str, Rule]:
    rules: list[Rule] = []
    for item in items:
        try:
            rule = _decode_rule(item)
        except ENTRY_ERRORS as error:
            refused.append(_refuse("rule", item, error))
            rule = _make_disabled_rule(item, refused[-1].reason)
        if rule is not None:
            rules.append(rule)
    return index_rules(rules)


def _make_disabled_rule(item: Any, fault: str) -> Rule | None:
    """Return a rule that refuses its requests, None if none can match."""
    try:
        host, prefix = _get_text(item, "host"), _get_text(item, "prefix")
    except ENTRY_ERRORS:
        return None
    name = item.get("name")
    rule_id = name if isinstance(name, str) and name else f"{host}{prefix}"
    return Rule(
        rule_id, "", "*", prefix, is_idempotent=False, host=host.lower(), fault=fault
    )


def _decode_rule(item: dict[str, Any]) -> Rule:
    kind = item["kind"]
    if kind not in ROUTE_KINDS:
        raise DocumentError(f"unknown kind {_quote(kind)}")
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
        is_upload=kind == UPLOAD_KIND,
        has_long_responses=kind == DOWNLOAD_KIND,
        is_anonymous=_get_flag(item, "anonymous"),
    )


def _decode_teams(
    document: dict[str, Any], refused: list[RefusedEntry]
) -> tuple[Mapping[str, Team] | None, dict[bytes, str]]:
    """
    Return the teams by id, or None, and their ids by credential.

    Callers need no credential only if the document does not list teams at
    all. With an empty list no credential is known.
    """
    if "tenants" not in document:
        return None, {}
    teams: dict[str, Team] = {}
    team_ids_by_key: dict[bytes, str] = {}
    for item in _get_list(document, "tenants"):
        try:
            team = _decode_team(item)
        except ENTRY_ERRORS as error:
            refused.append(_refuse("team", item, error))
            team = Team(refused[-1].entry_id, fault=refused[-1].reason)
        teams[team.team_id] = team
        for digest in _list_key_digests(item):
            team_ids_by_key[digest] = team.team_id
    return MappingProxyType(teams), team_ids_by_key


def _decode_team(item: dict[str, Any]) -> Team:
    team_id = _get_string(item, "name")
    # It becomes a header of requests to backend servers.
    if not team_id.isascii() or not _is_visible(team_id):
        raise DocumentError("name: expected visible ASCII characters")
    if not isinstance(item.get(API_KEYS_FIELD, item.get(KEY_DIGESTS_FIELD)), list):
        raise DocumentError(f"{API_KEYS_FIELD}: expected a list")
    return Team(
        team_id,
        _get_optional(item, "priority", _get_integer, INT32_MAX),
        _get_optional(item, "rate-per-s", _get_number, INT32_MAX) or 0.0,
        _get_optional(item, "burst", _get_number, INT32_MAX) or 0.0,
    )


def _list_key_digests(item: Any) -> list[bytes]:
    """Return the digests of the usable keys of a team."""
    if not isinstance(item, dict):
        return []
    texts = item.get(KEY_DIGESTS_FIELD)
    if API_KEYS_FIELD in item:
        texts = _redact_keys(item[API_KEYS_FIELD])
    digests = []
    for text in texts if isinstance(texts, list) else ():
        try:
            digest = bytes.fromhex(text)
        except (TypeError, ValueError):
            continue
        # An empty one would be that of requests without a key.
        if len(digest) == DIGEST_BYTES:
            digests.append(digest)
    return digests


def _refuse(kind: str, item: Any, error: Exception) -> RefusedEntry:
    """Return why an entry is refused, with its name if it has one."""
    name = item.get("name") if isinstance(item, dict) else None
    entry_id = name[:NAME_MAX_BYTES] if isinstance(name, str) else ""
    reason = str(error) if isinstance(error, DocumentError) else _quote(error)
    return RefusedEntry(kind, entry_id, reason)


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


def is_failure_domain(text: str) -> bool:
    """
    Tell whether a text can be the failure domain of a registration.

    :param text: text from a key of the store.
    """
    try:
        return 0 < len(text.encode()) <= NAME_MAX_BYTES
    except UnicodeEncodeError:
        # A lone surrogate, which JSON allows in a key.
        return False


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


def _get_list(document: dict[str, Any], name: str) -> list[Any]:
    value = document[name]
    if not isinstance(value, list):
        raise DocumentError(f"{name}: expected a list")
    return value


def _get_flag(item: dict[str, Any], name: str) -> bool:
    value = item.get(name)
    if value is not None and not isinstance(value, bool):
        raise DocumentError(f"{name}: expected true or false")
    return bool(value)


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
