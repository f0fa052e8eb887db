"""
Read a configuration with the places of its entries, for ``config check``.

Whether an entry is accepted is left to ``decode_configuration``, so that the
check and the instances never disagree. It reports one fault for each entry;
the others are found by replacing the faulty field with a valid one and
decoding the entry again.
"""

from collections.abc import Iterable, Iterator, Mapping
from difflib import get_close_matches
from types import MappingProxyType
from typing import Any, NamedTuple

import orjson

from cuminhatch.decisions.catalog import ConfigurationDocument
from cuminhatch.decisions.configuration import CallerLimits
from cuminhatch.decisions.configuration_check import (
    ERROR,
    WARNING,
    Draft,
    Finding,
    KeyEntry,
    RouteEntry,
    ServiceEntry,
    TeamEntry,
)
from cuminhatch.platform.documents import (
    API_KEYS_FIELD,
    KEY_DIGESTS_FIELD,
    ROUTE_KINDS,
    DocumentError,
    decode_configuration,
    parse_version,
)

VALUE_CHARACTERS_MAX = 40
MISSING = "missing, but required"

# Valid values that take the place of faulty ones, in the order of decoding.
VALID_LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 1048576,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
VALID_DOCUMENT = {
    "version": "r1",
    "services": [],
    "routes": [],
    "limits": VALID_LIMITS,
    "tenants": [],
}
VALID_ENTRIES: Mapping[str, Mapping[str, Any]] = MappingProxyType(
    {
        "routes": {
            "kind": "safe",
            "service": "valid",
            "name": "valid",
            "prefix": "/",
            "host": "valid.example",
            "timeout-ms": 2000,
            "target-latency-ms": 1000,
            "priority": 1,
            "max-attempts": 1,
            "anonymous": False,
        },
        "services": {
            "name": "valid",
            "health-path": "/health",
            "warmup-per-s": 0,
            "max-conns": 1,
        },
        "tenants": {
            "name": "valid",
            API_KEYS_FIELD: [],
            "priority": 1,
            "rate-per-s": 1,
            "burst": 1,
        },
    }
)
VALID_PART = {"service": "valid", "weight": 1}
# Fields that the decoder doesn't read, but which are a part of the document.
OTHER_FIELDS: Mapping[str, frozenset[str]] = MappingProxyType(
    {
        "": frozenset({"base-version"}),
        "routes": frozenset({"traffic-split"}),
        "services": frozenset({"protocol", "tls", "warmup-s"}),
        "tenants": frozenset({KEY_DIGESTS_FIELD}),
    }
)
# Names in the document of the fields that findings are about.
FIELD_NAMES: Mapping[str, str] = MappingProxyType(
    {
        "base_version": "base-version",
        "service_id": "service",
        "path_prefix": "prefix",
        "parts": "traffic-split",
        "timeout_ms": "timeout-ms",
        "target_latency_ms": "target-latency-ms",
        "servers_max": "max-attempts",
        "is_anonymous": "anonymous",
        "warmup_rate": "warmup-per-s",
        "health_path": "health-path",
        "connections": "max-conns",
        "keys": API_KEYS_FIELD,
        "rate_per_s": "rate-per-s",
        "head_bytes": "max-header-bytes",
        "body_bytes": "max-body-bytes",
        "head_ms": "header-timeout-ms",
        "idle_ms": "idle-timeout-ms",
    }
)
HINTS: Mapping[str, str] = MappingProxyType(
    {
        "version": "write r and a number, such as r12",
        "kind": f"use one of {', '.join(sorted(ROUTE_KINDS))}",
        "traffic-split": 'write [{"service": "s1", "weight": 100}]',
        "anonymous": "write true or false without quotation marks",
        API_KEYS_FIELD: 'write a list, such as ["KEY"]',
    }
)


class DraftRead(NamedTuple):
    """
    The entries of a document, and what is wrong with its fields.

    Instances refuse the document as a whole unless ``is_accepted``; the
    version in force then stays.
    """

    draft: Draft
    findings: tuple[Finding, ...]
    is_accepted: bool


def read_draft(data: bytes) -> DraftRead:
    """
    Read a configuration with the places of its entries.

    :param data: document as the operator would send it.
    :returns: its entries, also those that can't be used, and all errors of
        single fields. No finding holds a key.
    :raises DocumentError: the document is no JSON object.
    """
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise DocumentError(f"not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError("expected a JSON object, such as {...}")
    findings = list(_find_document_errors(document))
    is_accepted = not any(finding.level == ERROR for finding in findings)
    findings += _find_unknown_fields("", "", document)
    routes = tuple(
        _read_route(place, item, findings) for place, item in _list(document, "routes")
    )
    services = tuple(
        _read_service(place, item, findings)
        for place, item in _list(document, "services")
    )
    teams = tuple(
        _read_team(place, item, findings) for place, item in _list(document, "tenants")
    )
    draft = Draft(
        _read_version(document.get("version")),
        _read_version(document.get("base-version")),
        routes,
        services,
        teams if isinstance(document.get("tenants"), list) else None,
        _read_limits(document),
    )
    return DraftRead(draft, tuple(findings), is_accepted)


def name_fields(findings: Iterable[Finding]) -> list[Finding]:
    """
    Give findings the names that fields have in the document.

    :param findings: findings with names of typed fields.
    """
    return [
        finding._replace(field=FIELD_NAMES.get(finding.field, finding.field))
        for finding in findings
    ]


def _list(document: dict[str, Any], section: str) -> list[tuple[str, Any]]:
    items = document.get(section)
    if not isinstance(items, list):
        return []
    return [(f"{section}[{index}]", item) for index, item in enumerate(items)]


def _decode(document: dict[str, Any]) -> ConfigurationDocument | str:
    """Return the decoded document, or why it is malformed as a whole."""
    try:
        return decode_configuration(orjson.dumps(document))
    except DocumentError as error:
        return str(error)
    except orjson.JSONEncodeError:
        return "nested too deeply"


def _decode_entry(section: str, item: Any) -> ConfigurationDocument | str:
    """Return the decoded entry alone, or why it is refused."""
    decoded = _decode(VALID_DOCUMENT | {section: [item]})
    if isinstance(decoded, str):
        return decoded
    return decoded.refused[0].reason if decoded.refused else decoded


def _find_document_errors(document: dict[str, Any]) -> Iterator[Finding]:
    sections = {name: document[name] for name in VALID_DOCUMENT if name in document}
    for name in ("routes", "services", "tenants"):
        if isinstance(sections.get(name), list):
            # The entries are checked one by one.
            sections[name] = []
    if isinstance(sections.get("limits"), dict):
        limits = sections["limits"]
        sections["limits"] = VALID_LIMITS
        for name in VALID_LIMITS:
            part = VALID_LIMITS | {name: limits.get(name)}
            reason = _decode(VALID_DOCUMENT | {"limits": part})
            if isinstance(reason, str):
                yield _make_error("limits", name, limits, reason)
        yield from _find_unknown_fields("limits", "limits", limits)
    for name, valid in VALID_DOCUMENT.items():
        # A document without teams needs none.
        value = sections.get(name, [] if name == "tenants" else None)
        reason = _decode(VALID_DOCUMENT | {name: value})
        if value is not valid and isinstance(reason, str):
            yield _make_error("", name, document, _describe_section(name, reason))


def _describe_section(name: str, reason: str) -> str:
    return "expected an object, such as {...}" if name == "limits" else reason


def _find_entry_errors(
    section: str, place: str, item: dict[str, Any]
) -> Iterator[Finding]:
    """Yield all errors of an entry; its faulty fields are replaced."""
    valid = VALID_ENTRIES[section]
    while isinstance(reason := _decode_entry(section, item), str):
        for name, value in valid.items():
            mended = item | {name: value}
            # Each fault hides those of the fields that are decoded later.
            if _decode_entry(section, mended) != reason:
                yield _make_error(place, name, item, reason)
                item[name] = value
                break
        else:
            yield Finding(ERROR, place, "", "", reason)
            item.clear()
            item.update(valid)
            return


def _make_error(place: str, name: str, item: dict[str, Any], reason: str) -> Finding:
    message = reason.removeprefix(f"{name}: ")
    if name not in item:
        message = MISSING
    elif "Error(" in message:
        # The decoder has met a value that it can't even compare.
        message = "not a value of this field"
    elif message.startswith("unknown "):
        message = message.partition(" '")[0]
    value = _describe_value(place, name, item.get(name)) if name in item else ""
    return Finding(ERROR, place, name, value, message, HINTS.get(name, ""))


def _describe_value(place: str, name: str, value: Any) -> str:
    # A key may stand in a wrong field of a team, or in that of the version.
    is_secret = place.startswith("tenants") or name in ("tenants", "version")
    if is_secret and name != "name" and isinstance(value, str):
        return ""
    if isinstance(value, dict | list):
        return "{...}" if isinstance(value, dict) else "[...]"
    text = orjson.dumps(value).decode()
    if len(text) <= VALUE_CHARACTERS_MAX:
        return text
    return text[: VALUE_CHARACTERS_MAX - 3] + "..."


def _find_unknown_fields(section: str, place: str, item: Any) -> Iterator[Finding]:
    known = set(OTHER_FIELDS.get(section, ()))
    if section == "limits":
        known |= VALID_LIMITS.keys()
    else:
        known |= (VALID_ENTRIES[section] if section else VALID_DOCUMENT).keys()
    for name in item if isinstance(item, dict) else ():
        if name in known:
            continue
        similar = get_close_matches(name, sorted(known), 1)
        hint = f"known are {', '.join(sorted(known))}"
        if similar:
            hint = f"did you mean {similar[0]}?"
        # A key may stand in the place of the name of a field of a team.
        shown = name if similar or section != "tenants" else ""
        message = "unknown field, without effect"
        yield Finding(WARNING, place, shown, "", message, hint)


def _read_entry(
    section: str, place: str, item: Any, findings: list[Finding]
) -> tuple[dict[str, Any], bool]:
    """Return an entry with valid values, and whether it had them before."""
    if not isinstance(item, dict):
        message = "expected an object, such as {...}"
        value = _describe_value(place, "", item)
        findings.append(Finding(ERROR, place, "", value, message))
        return dict(VALID_ENTRIES[section]), False
    findings += _find_unknown_fields(section, place, item)
    mended = dict(item)
    errors = list(_find_entry_errors(section, place, mended))
    findings += errors
    return mended, not errors


def _get_name(item: Any) -> str:
    name = item.get("name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else ""


def _read_route(place: str, item: Any, findings: list[Finding]) -> RouteEntry:
    if not isinstance(item, dict):
        item, is_split_valid = item, True
    else:
        item, is_split_valid = _read_split(place, item, findings)
    mended, is_valid = _read_entry("routes", place, item, findings)
    decoded = _decode_entry("routes", mended)
    (rule,) = decoded.configuration.rules.values()
    is_usable = is_valid and is_split_valid
    if not is_usable:
        rule = rule._replace(rule_id=_get_name(item))
        for name, field in (("host", "host"), ("prefix", "path_prefix")):
            if not isinstance(item, dict) or item.get(name) != mended.get(name):
                rule = rule._replace(**{field: ""})
    places = tuple(f"{place}.traffic-split[{n}]" for n in range(len(rule.parts)))
    service = mended.get("service") if rule.parts else ""
    unused = service if isinstance(service, str) else ""
    return RouteEntry(place, rule, mended["kind"], places, unused, is_usable)


def _read_split(
    place: str, item: dict[str, Any], findings: list[Finding]
) -> tuple[dict[str, Any], bool]:
    """Return a route without parts that can't be used, and if it had none."""
    parts = item.get("traffic-split")
    if not parts:
        return item, True
    if not isinstance(parts, list):
        findings.append(
            _make_error(place, "traffic-split", item, "expected a list of parts")
        )
        return item | {"traffic-split": [VALID_PART]}, False
    errors = []
    for index, part in enumerate(parts):
        part_place = f"{place}.traffic-split[{index}]"
        errors += _find_part_errors(part_place, part)
    findings += errors
    return (item | {"traffic-split": [VALID_PART]} if errors else item), not errors


def _find_part_errors(place: str, part: Any) -> Iterator[Finding]:
    if not isinstance(part, dict):
        hint = HINTS["traffic-split"]
        yield Finding(ERROR, place, "", "", "expected a service and a weight", hint)
        return
    for name in VALID_PART:
        one = VALID_PART | {name: part.get(name)}
        route = VALID_ENTRIES["routes"] | {"traffic-split": [one]}
        reason = _decode_entry("routes", route)
        if isinstance(reason, str):
            yield _make_error(place, name, part, reason)


def _read_service(place: str, item: Any, findings: list[Finding]) -> ServiceEntry:
    mended, is_usable = _read_entry("services", place, item, findings)
    decoded = _decode_entry("services", mended)
    (spec,) = decoded.configuration.services.values()
    connections = decoded.connections[spec.service_id]
    if not is_usable:
        spec = spec._replace(service_id=_get_name(item))
    warmup_s = mended.get("warmup-s")
    is_number = isinstance(warmup_s, int | float) and not isinstance(warmup_s, bool)
    if warmup_s is not None and (not is_number or warmup_s < 0):
        value = _describe_value(place, "warmup-s", warmup_s)
        message = "expected a number of seconds, 0 or more"
        findings.append(Finding(WARNING, place, "warmup-s", value, message))
    warmup_ms = warmup_s * 1000.0 if is_number else None
    return ServiceEntry(place, spec, connections, warmup_ms, is_usable)


def _read_team(place: str, item: Any, findings: list[Finding]) -> TeamEntry:
    mended, is_usable = _read_entry("tenants", place, item, findings)
    field = API_KEYS_FIELD if API_KEYS_FIELD in mended else KEY_DIGESTS_FIELD
    keys = []
    for index, key in enumerate(mended[field]):
        key_place = f"{place}.{field}[{index}]"
        decoded = _decode_entry("tenants", mended | {field: [key]})
        digests = decoded.configuration.team_ids_by_key
        if digests:
            keys.append(KeyEntry(key_place, next(iter(digests))))
        else:
            message = "no request can carry this key; it is ignored"
            hint = "write a non-empty text in quotation marks"
            findings.append(Finding(WARNING, key_place, "", "", message, hint))
    (team,) = _decode_entry("tenants", mended).configuration.teams.values()
    if not is_usable:
        team = team._replace(team_id=_get_name(item))
    return TeamEntry(place, team, tuple(keys), is_usable)


def _read_version(version: Any) -> int | None:
    try:
        return parse_version(version)
    except DocumentError:
        return None


def _read_limits(document: dict[str, Any]) -> CallerLimits | None:
    decoded = _decode(VALID_DOCUMENT | {"limits": document.get("limits")})
    return None if isinstance(decoded, str) else decoded.configuration.caller_limits
