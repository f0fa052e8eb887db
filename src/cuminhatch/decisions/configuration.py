"""
The configuration that results from the accepted release notes.

A release note, or note, is a change of the configuration that an operator
submits. A :class:`Configuration` is immutable; each accepted note produces a
new one with the next sequence number.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

from cuminhatch.errors import DecisionError

if TYPE_CHECKING:
    # ``notes`` imports this module at run time.
    from cuminhatch.decisions.notes import AcceptedNote


class TrafficPart(NamedTuple):
    """A service that receives a weighted share of the requests of a rule."""

    service_id: str
    weight: float


class Rule(NamedTuple):
    """
    A route: which requests it matches and how they are served.

    A rule matches by host (empty for any), by method (``*`` for any) and by
    the longest path prefix. ``work_class`` is ``short`` or ``long``.
    ``deadline_ms`` applies if the caller sets no deadline.
    ``response_timeout_ms`` limits the wait for the next bytes of a response.

    ``parts``, if given, splits the requests between several services and
    replaces ``service_id``. ``timeout_ms`` limits the time to the final
    response even if the caller would wait for longer, None for no such limit;
    a response after ``target_latency_ms`` counts as late. ``priority`` 0 is
    the highest. ``servers_max`` limits the number of backend servers that one
    request is sent to.

    ``is_upload`` marks requests with long bodies, ``has_long_responses`` those
    whose responses are long. Requests of a rule that
    ``is_anonymous`` need no credential. ``fault`` says why the rule cannot be
    used and is empty if it can; its requests are refused.

    ``deadline_ms`` and ``response_timeout_ms`` are used by the ``dispatch``
    service, ``timeout_ms`` and ``target_latency_ms`` by ``forwarding``.
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
    is_upload: bool = False
    has_long_responses: bool = False
    is_anonymous: bool = False
    fault: str = ""


class ServiceSpec(NamedTuple):
    """
    Settings shared by all backend servers of a service.

    ``instances_max`` is the largest number of instances that share a backend
    server. ``probe_rate`` is the number of probes per second that a backend
    server receives from all instances together. ``long_slots`` limits the
    slots of a backend server that long requests from all instances may use; 0
    means a third of its slots. ``warmup_rate`` is the number of requests per
    second that a server tolerates from all instances together while it warms
    up; 0 means no limit.
    """

    service_id: str
    instances_max: int = 24
    probe_rate: float = 2.0
    long_slots: int = 0
    slow_start_ms: float = 5000.0
    health_path: str = "/health"
    warmup_rate: float = 0.0


class BackendServer(NamedTuple):
    """
    One backend server of a service.

    ``slots`` is the number of requests it processes at once, ``connections``
    the number of connections it accepts in total. ``warmup_left_ms`` is the
    time left until it is warmed up. ``started_ms`` is the wall-clock time of
    its start, 0 if unknown; it is later after a restart under the same id.
    ``is_unlisted`` tells that the store no longer lists the server, which may
    have left or may register again after an outage.
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
    is_unlisted: bool = False


class CallerLimits(NamedTuple):
    """Limits on the size and time of requests, and on idle connections."""

    head_bytes: int
    body_bytes: int
    head_ms: float
    idle_ms: float


class Team(NamedTuple):
    """
    A group of callers with common credentials.

    ``priority`` takes precedence over the priority of the rule, unless it is
    None. All instances together run at most ``rate_per_s`` requests per second
    for the team, plus a burst of ``burst``; a rate of 0 means no quota.
    ``fault`` says why the team cannot be used and is empty if it can; its
    requests are refused.
    """

    team_id: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    fault: str = ""


class Configuration(NamedTuple):
    """
    All services, backend servers and rules in force.

    ``caller_limits`` is None if the limits of the listener's settings apply.
    ``teams`` is None if callers need no credentials. ``team_ids_by_key`` maps
    the digest of each credential to the team it belongs to. Backend servers in
    ``evacuated_domains`` get no requests.
    """

    sequence: int
    services: MappingProxyType[str, ServiceSpec]
    servers: MappingProxyType[str, BackendServer]
    rules: MappingProxyType[str, Rule]
    caller_limits: CallerLimits | None = None
    teams: Mapping[str, Team] | None = None
    team_ids_by_key: Mapping[bytes, str] = MappingProxyType({})
    evacuated_domains: frozenset[str] = frozenset()


EMPTY_CONFIGURATION = Configuration(
    0, MappingProxyType({}), MappingProxyType({}), MappingProxyType({})
)


def list_servers(
    configuration: Configuration, service_id: str
) -> tuple[BackendServer, ...]:
    """
    Return the backend servers of a service.

    :param configuration: configuration in force.
    :param service_id: id of the service.
    :returns: its backend servers, in the order they were added.
    """
    return tuple(
        server
        for server in configuration.servers.values()
        if server.service_id == service_id
    )


ConfigurationEntry = ServiceSpec | BackendServer | Rule

ENTRY_TYPES: Mapping[str, type[ConfigurationEntry]] = MappingProxyType(
    {"service": ServiceSpec, "backend_server": BackendServer, "rule": Rule}
)

# Fields whose names differ between a note and the entry built from it.
_RENAMED_FIELDS = {"idempotent": "is_idempotent"}
_FLOAT_FIELDS = frozenset(
    ("probe_rate", "slow_start_ms", "deadline_ms", "response_timeout_ms")
)


def get_entries(
    configuration: Configuration, kind: str
) -> MappingProxyType[str, ConfigurationEntry]:
    """
    Return all entries of a kind.

    :param configuration: configuration to look in.
    :param kind: ``service``, ``backend_server`` or ``rule``.
    :returns: entries of that kind, by id.
    """
    if kind == "service":
        return configuration.services
    return configuration.servers if kind == "backend_server" else configuration.rules


def build_entry(
    kind: str,
    item_id: str,
    values: Mapping[str, Any],
    existing: ConfigurationEntry | None = None,
) -> ConfigurationEntry:
    """
    Build an entry from the fields of a note item.

    :param kind: ``service``, ``backend_server`` or ``rule``.
    :param item_id: id of the entry.
    :param values: field values by their names in a note.
    :param existing: existing entry to update, None to build a new one.
    :returns: the new entry.
    :raises DecisionError: if a field is unknown or missing.
    """
    fields = {
        _RENAMED_FIELDS.get(name, name): float(value)
        if name in _FLOAT_FIELDS
        else value
        for name, value in values.items()
    }
    try:
        if existing is not None:
            return existing._replace(**fields)
        return ENTRY_TYPES[kind](item_id, **fields)
    except (TypeError, ValueError) as error:
        raise DecisionError(f"{kind} {item_id}: {error}") from error


def apply_note(configuration: Configuration, accepted: "AcceptedNote") -> Configuration:
    """
    Return the configuration after an accepted note.

    The result depends only on the arguments, so all instances compute the
    same configuration. Items were validated before the note was accepted;
    withdrawing an entry that does not exist has no effect. Only collections
    that the note modifies are copied.

    :param configuration: configuration before the note.
    :param accepted: the note with the next sequence number.
    :returns: the next configuration.
    :raises DecisionError: if the sequence number is not the next one.
    """
    if accepted.sequence != configuration.sequence + 1:
        raise DecisionError(
            f"note {accepted.sequence} cannot follow note {configuration.sequence}"
        )
    copies: dict[str, dict[str, Any]] = {}
    for item in accepted.note.items:
        entries = copies.get(item.kind)
        if entries is None:
            # dict(proxy) looks up each key, which is many times slower than
            # proxy.copy().
            entries = copies[item.kind] = get_entries(configuration, item.kind).copy()
        if item.action == "withdraw":
            entries.pop(item.item_id, None)
        else:
            existing = entries.get(item.item_id) if item.action == "change" else None
            entries[item.item_id] = build_entry(
                item.kind, item.item_id, item.values, existing
            )
    # Unmodified collections are reused without a new proxy: proxies nested
    # around proxies would make look-ups slower with every note.
    views = {kind: MappingProxyType(entries) for kind, entries in copies.items()}
    return Configuration(
        accepted.sequence,
        views.get("service", configuration.services),
        views.get("backend_server", configuration.servers),
        views.get("rule", configuration.rules),
    )


def index_rules(rules: Iterable[Rule]) -> dict[str, Rule]:
    """
    Return rules by id, in their order.

    A rule that can't be used gets another id if its own is taken. If one took
    the place of the other, the requests of one would get 404.

    :param rules: rules, those that can't be used included.
    """
    rules = list(rules)
    usable_ids = {rule.rule_id for rule in rules if not rule.fault}
    by_id: dict[str, Rule] = {}
    for rule in rules:
        rule_id = rule.rule_id
        if rule.fault and (rule_id in usable_ids or rule_id in by_id):
            rule_id = f"{rule_id} {rule.host}{rule.path_prefix}"
        by_id[rule_id] = rule._replace(rule_id=rule_id)
    return by_id
