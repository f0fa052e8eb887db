"""The platform's configuration and registrations, decoded into our types."""

from types import MappingProxyType
from typing import Any

import orjson

from cuminhatch.decisions.catalog import ConfigurationDocument
from cuminhatch.decisions.configuration import (
    BackendServer,
    CallerLimits,
    Configuration,
    Rule,
    ServiceSpec,
    TrafficPart,
)
from cuminhatch.errors import CodecError

VERSION_PREFIX = "r"
SAFE_KINDS = frozenset({"safe", "download"})
KINDS = SAFE_KINDS | {"unsafe"}
STATES = frozenset({"ready", "draining"})
PORT_MAX = 65535


class DocumentError(CodecError):
    """A document of the platform is malformed; the message says where."""


def parse_version(text: Any) -> int:
    """
    Return the number in a configuration version such as ``r12``.

    :param text: version as written by the operator.
    :raises DocumentError: it has another form.
    """
    if not isinstance(text, str) or not text.startswith(VERSION_PREFIX):
        raise DocumentError(f"version: not a version: {text!r}")
    digits = text[len(VERSION_PREFIX) :]
    if not digits.isdigit():
        raise DocumentError(f"version: not a version: {text!r}")
    return int(digits)


def decode_configuration(data: bytes) -> ConfigurationDocument:
    """
    Decode the operator's configuration.

    :param data: document as stored.
    :raises DocumentError: it is malformed.
    """
    document = _load(data)
    try:
        version = parse_version(document["version"])
        services = {item["name"]: _service(item) for item in document["services"]}
        connections = {
            item["name"]: int(item["max-conns"]) for item in document["services"]
        }
        rules = {item["name"]: _rule(item) for item in document["routes"]}
        limits = _limits(document["limits"])
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DocumentError(f"configuration: {error!r}") from error
    configuration = Configuration(
        version,
        MappingProxyType(services),
        MappingProxyType({}),
        MappingProxyType(rules),
        limits,
    )
    return ConfigurationDocument(configuration, connections)


def _service(item: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(item["name"], health_path=item["health-path"])


def _rule(item: dict[str, Any]) -> Rule:
    kind = item["kind"]
    if kind not in KINDS:
        raise DocumentError(f"routes: unknown kind {kind!r}")
    parts = tuple(
        TrafficPart(part["service"], float(part["weight"]))
        for part in item.get("traffic-split") or ()
    )
    service_id = parts[0].service_id if parts else item["service"]
    return Rule(
        item["name"],
        service_id,
        "*",
        item["prefix"],
        is_idempotent=kind in SAFE_KINDS,
        host=item["host"].lower(),
        parts=parts,
        timeout_ms=_milliseconds(item.get("timeout-ms")),
        target_latency_ms=float(item["target-latency-ms"]),
        priority=int(item.get("priority") or 0),
        # Counts backend servers, the first included.
        servers_max=max(1, int(item.get("max-attempts") or 1)),
    )


def _milliseconds(value: Any) -> float | None:
    return None if value is None else float(value)


def _limits(item: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        int(item["max-header-bytes"]),
        int(item["max-body-bytes"]),
        float(item["header-timeout-ms"]),
        float(item["idle-timeout-ms"]),
    )


def decode_server(server_id: str, data: bytes) -> BackendServer:
    """
    Decode the registration of a backend server.

    :param server_id: key of its row; the id appears nowhere else.
    :param data: value of the row.
    :returns: the server; how many connections it accepts stands in the
        configuration, and is 0 here.
    :raises DocumentError: it names no backend server that can be used.
    """
    document = _load(data)
    service_id = _text(document, "service")
    host, separator, port = _text(document, "address").rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) <= PORT_MAX:
        raise DocumentError("address: not an address")
    state = _text(document, "state")
    if state not in STATES:
        raise DocumentError(f"state: unknown state {state!r}")
    slots = _whole(document, "slots")
    if slots < 1:
        raise DocumentError("slots: below 1")
    _whole(document, "sequence")
    _text(document, "version")
    return BackendServer(
        server_id,
        service_id,
        host,
        int(port),
        _text(document, "zone"),
        slots,
        0,
        state == "draining",
        float(_whole(document, "warmup-left-ms")),
        _whole(document, "born") if "born" in document else 0,
    )


def _load(data: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise DocumentError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError("not a table")
    return document


def _text(document: dict[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise DocumentError(f"{name}: not a text")
    return value


def _whole(document: dict[str, Any], name: str) -> int:
    value = document.get(name)
    # JSON has one kind of number, so a whole one may come as 3.0.
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise DocumentError(f"{name}: not a whole number")
    return value
