"""
What the accepted release notes add up to.

A :class:`Configuration` is immutable; each accepted note gives a new one with
a higher sequence number.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

from cuminhatch.errors import DecisionError

if TYPE_CHECKING:
    # ``notes`` imports this module at run time.
    from cuminhatch.decisions.notes import AcceptedNote


class TrafficPart(NamedTuple):
    """A service that takes a share of the requests of a rule."""

    service_id: str
    weight: float


class Rule(NamedTuple):
    """
    How requests of one kind are served.

    A rule matches a request by host (empty for any), by method (``*`` for
    any) and by the longest path prefix. ``work_class`` is ``short`` or
    ``long``. ``deadline_ms`` is used where the caller gives none.
    ``response_timeout_ms`` bounds the wait for the next part of a response.

    ``parts`` divide the requests between several services in place of
    ``service_id``. ``timeout_ms`` is the longest wait of a caller for the
    answer, None for as long as the caller waits; an answer within
    ``target_latency_ms`` is worth most. ``priority`` 0 is the highest.
    ``servers_max`` bounds the backend servers that one request is sent to.
    """

    rule_id: str
    service_id: str
    method: str
    path_prefix: str
    work_class: str = "short"
    is_idempotent: bool = True
    deadline_ms: float = 2000.0
    response_timeout_ms: float = 1000.0
    host: str = ""
    parts: tuple[TrafficPart, ...] = ()
    timeout_ms: float | None = None
    target_latency_ms: float = 1000.0
    priority: int = 0
    servers_max: int = 3


class ServiceSpec(NamedTuple):
    """
    Limits that hold for all backend servers of a service.

    ``probe_rate`` is in probes a second per backend server over all
    instances. ``long_slots`` bounds long work per backend server over all
    instances; 0 stands for a third of its slots.
    """

    service_id: str
    instances_max: int = 24
    probe_rate: float = 2.0
    long_slots: int = 0
    slow_start_ms: float = 5000.0
    health_path: str = "/health"


class BackendServer(NamedTuple):
    """
    One backend server of a service.

    ``warmup_left_ms`` is how much longer it is slow after its start.
    ``started_ms`` is the wall-clock time of its start, 0 if it is not known;
    a server that starts again under its id has a later one.
    """

    server_id: str
    service_id: str
    host: str
    port: int
    failure_domain: str
    slots: int
    connections: int
    is_draining: bool = False
    warmup_left_ms: float = 0.0
    started_ms: int = 0


class CallerLimits(NamedTuple):
    """What callers may send, and how long they may take or stay idle."""

    head_bytes: int
    body_bytes: int
    head_ms: float
    idle_ms: float


class Configuration(NamedTuple):
    """
    All services, backend servers and rules in force.

    ``caller_limits`` is None where the limits of the listener's own settings
    hold.
    """

    sequence: int
    services: MappingProxyType[str, ServiceSpec]
    servers: MappingProxyType[str, BackendServer]
    rules: MappingProxyType[str, Rule]
    caller_limits: CallerLimits | None = None


EMPTY_CONFIGURATION = Configuration(
    0, MappingProxyType({}), MappingProxyType({}), MappingProxyType({})
)


def servers_of(
    configuration: Configuration, service_id: str
) -> tuple[BackendServer, ...]:
    """
    Return the backend servers of a service.

    :param configuration: configuration in force.
    :param service_id: id of the service.
    :returns: its backend servers, in the order of the notes.
    """
    return tuple(
        server
        for server in configuration.servers.values()
        if server.service_id == service_id
    )


Entry = ServiceSpec | BackendServer | Rule

ENTRY_TYPES: Mapping[str, type[Entry]] = MappingProxyType(
    {"service": ServiceSpec, "backend_server": BackendServer, "rule": Rule}
)

# Names that differ between a note and the entry built from it.
_FLAGS = {"idempotent": "is_idempotent"}
_FLOATS = frozenset(
    ("probe_rate", "slow_start_ms", "deadline_ms", "response_timeout_ms")
)


def entries_of(configuration: Configuration, kind: str) -> MappingProxyType[str, Entry]:
    """
    Return all entries of a kind.

    :param configuration: configuration to look in.
    :param kind: ``service``, ``backend_server`` or ``rule``.
    :returns: entries by id.
    """
    if kind == "service":
        return configuration.services
    return configuration.servers if kind == "backend_server" else configuration.rules


def build_entry(
    kind: str, item_id: str, values: Mapping[str, Any], present: Entry | None = None
) -> Entry:
    """
    Build an entry from the fields of a note item.

    :param kind: ``service``, ``backend_server`` or ``rule``.
    :param item_id: id of the entry.
    :param values: fields by their names in a note.
    :param present: entry that the fields change, None for a new one.
    :returns: the new entry.
    :raises DecisionError: a field is unknown or missing.
    """
    fields = {
        _FLAGS.get(name, name): float(value) if name in _FLOATS else value
        for name, value in values.items()
    }
    try:
        if present is not None:
            return present._replace(**fields)
        return ENTRY_TYPES[kind](item_id, **fields)
    except (TypeError, ValueError) as error:
        raise DecisionError(f"{kind} {item_id}: {error}") from error


def apply_note(configuration: Configuration, accepted: "AcceptedNote") -> Configuration:
    """
    Return the configuration after an accepted note.

    Only the collections that the note touches are copied. The result depends
    on nothing but the arguments, so all instances agree; items were checked
    before the note was accepted, and a withdrawal of an absent entry is
    ignored.

    :param configuration: configuration before the note.
    :param accepted: the note with the next sequence number.
    :returns: the next configuration.
    :raises DecisionError: the sequence number is not the next one.
    """
    if accepted.sequence != configuration.sequence + 1:
        raise DecisionError(
            f"note {accepted.sequence} cannot follow note {configuration.sequence}"
        )
    copies: dict[str, dict[str, Any]] = {}
    for item in accepted.note.items:
        entries = copies.get(item.kind)
        if entries is None:
            # dict() of a mapping proxy looks up each key, which is many times
            # slower than its copy().
            entries = copies[item.kind] = entries_of(configuration, item.kind).copy()
        if item.action == "withdraw":
            entries.pop(item.item_id, None)
        else:
            present = entries.get(item.item_id) if item.action == "change" else None
            entries[item.item_id] = build_entry(
                item.kind, item.item_id, item.values, present
            )
    # Collections that are not touched are shared as they are: a proxy around
    # a proxy would make each look-up slower with every note.
    views = {kind: MappingProxyType(entries) for kind, entries in copies.items()}
    return Configuration(
        accepted.sequence,
        views.get("service", configuration.services),
        views.get("backend_server", configuration.servers),
        views.get("rule", configuration.rules),
    )
