"""
What a new configuration changes, and which requests that interrupts.

Entries are compared by name, as they are in force: keys by their digests,
which no finding shows. Like the checks, this runs on an operator's machine.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from cuminhatch.decisions.configuration import Rule
from cuminhatch.decisions.configuration_check import (
    CHANGE,
    Draft,
    Finding,
    RouteEntry,
    ServiceEntry,
    TeamEntry,
)

ADDED = "added"
REMOVED = "removed"

# These fields are part of the document, but no instance applies them.
_NOT_ENFORCED = "the instances don't enforce it, so no request is interrupted"

Describe = Callable[[Any, Any], str]


class _Field(NamedTuple):
    """
    A field that is compared.

    ``describe`` returns the effect of a change from one value to another.
    """

    name: str
    get: Callable[[Any], Any]
    describe: Describe


def find_changes(draft: Draft, in_force: Draft) -> list[Finding]:
    """
    Return what a document changes, in the order of its entries.

    Of an entry that can't be used, only the effect is told, not its fields.

    :param draft: entries of the document.
    :param in_force: entries of the document in force.
    """
    return [
        *_find_route_changes(draft, in_force),
        *_find_service_changes(draft, in_force),
        *_find_team_changes(draft, in_force),
        *_find_limit_changes(draft, in_force),
    ]


def _find_route_changes(draft: Draft, in_force: Draft) -> Iterator[Finding]:
    before = {entry.rule.rule_id: entry for entry in in_force.routes}
    after = {entry.rule.rule_id: entry for entry in draft.routes}
    old_places = _index_by_reach(before.values())
    new_places = _index_by_reach(after.values())
    renamed_ids = set()
    for name, entry in after.items():
        if not entry.is_usable:
            yield _describe_disabled(entry)
            continue
        old = before.get(name)
        if old is None:
            renamed = old_places.get(_get_reach(entry))
            if renamed is not None and _is_renamed(renamed, after):
                renamed_ids.add(renamed.rule.rule_id)
                yield _describe_rename(entry, renamed, draft)
                yield from _compare(entry.place, _ROUTE_FIELDS, renamed, entry)
            else:
                effect = _describe_takeover(entry.rule, in_force)
                if new_places[_get_reach(entry)] is not entry:
                    effect = "matches no request"
                yield Finding(CHANGE, entry.place, "", name, f"{ADDED}; {effect}")
            continue
        if not old.is_usable:
            yield _describe_mended(entry.place, name)
            continue
        if _get_reach(old) != _get_reach(entry):
            yield _describe_move(entry, old, draft)
        yield from _compare(entry.place, _ROUTE_FIELDS, old, entry)
    for name, entry in before.items():
        if name not in after and name not in renamed_ids:
            effect = _describe_loss(entry.rule, draft)
            yield Finding(CHANGE, "routes", "", name, f"{REMOVED}; {effect}")


def _is_renamed(old: RouteEntry, after: Mapping[str, RouteEntry]) -> bool:
    return old.is_usable and old.rule.rule_id not in after


def _describe_mended(place: str, name: str) -> Finding:
    message = "disabled in the version in force; its requests no longer get 503"
    return Finding(CHANGE, place, "", name, message)


def _describe_disabled(entry: RouteEntry) -> Finding:
    rule = entry.rule
    # A rule without both matches nothing.
    is_matched = bool(rule.host and rule.path_prefix)
    status = "503" if is_matched else "404, or go to a shorter prefix"
    message = f"disabled by its errors; its requests get {status}"
    return Finding(CHANGE, entry.place, "", rule.rule_id, message)


def _get_reach(entry: RouteEntry) -> tuple[str, str]:
    return entry.rule.host, entry.rule.path_prefix


def _index_by_reach(
    entries: Iterable[RouteEntry],
) -> dict[tuple[str, str], RouteEntry]:
    """Return the entries that get requests: the first of each prefix."""
    first: dict[tuple[str, str], RouteEntry] = {}
    for entry in entries:
        first.setdefault(_get_reach(entry), entry)
    return first


def _find_covering(rule: Rule, draft: Draft) -> Rule | None:
    """Return the rule that gets the requests of another one in its absence."""
    covering = [
        entry.rule
        for entry in draft.routes
        if entry.rule.path_prefix
        and entry.rule.host == rule.host
        and rule.path_prefix.startswith(entry.rule.path_prefix)
    ]
    return max(covering, key=lambda other: len(other.path_prefix), default=None)


def _describe_rename(entry: RouteEntry, old: RouteEntry, draft: Draft) -> Finding:
    effect = "no request is interrupted"
    if draft.teams is not None:
        # Only then access is checked again before a request is sent.
        effect = "requests that wait at that moment get 503 and can be sent again"
    message = f"renamed from {old.rule.rule_id}; {effect}"
    return Finding(CHANGE, entry.place, "name", entry.rule.rule_id, message)


def _describe_takeover(rule: Rule, in_force: Draft) -> str:
    covering = _find_covering(rule, in_force)
    if covering is None:
        return f"{rule.host}{rule.path_prefix} got 404 before"
    return (
        f"requests below {rule.host}{rule.path_prefix} leave route {covering.rule_id}"
    )


def _describe_loss(rule: Rule, draft: Draft) -> str:
    covering = _find_covering(rule, draft)
    reach = f"{rule.host}{rule.path_prefix}"
    if covering is None:
        return f"requests below {reach} get 404"
    return f"requests below {reach} go to route {covering.rule_id}"


def _describe_move(entry: RouteEntry, old: RouteEntry, draft: Draft) -> Finding:
    rule = entry.rule
    value = f"{rule.host}{rule.path_prefix}"
    message = (
        f"moved from {old.rule.host}{old.rule.path_prefix}; "
        f"{_describe_loss(old.rule, draft)}"
    )
    return Finding(CHANGE, entry.place, "", value, message)


def _compare(
    place: str, fields: Iterable[_Field], before: Any, after: Any
) -> Iterator[Finding]:
    for field in fields:
        old, new = field.get(before), field.get(after)
        if old != new:
            message = f"was {_format(old)}; {field.describe(old, new)}"
            yield Finding(CHANGE, place, field.name, _format(new), message)


def _format(value: Any) -> str:
    if value is None:
        return "not set"
    if isinstance(value, bool):
        return "true" if value else "false"
    return f"{value:.12g}" if isinstance(value, float) else str(value)


def _by_direction(lower: str, higher: str) -> Describe:
    """Describe a number by whether it falls or rises; None is the highest."""

    def describe(old: float | None, new: float | None) -> str:
        is_lower = old is None or (new is not None and new < old)
        return lower if is_lower else higher

    return describe


def _always(effect: str) -> Describe:
    return lambda old, new: effect


def _get_shares(entry: RouteEntry) -> str:
    """Return the services of a route with their shares of its requests."""
    rule = entry.rule
    total = sum(part.weight for part in rule.parts)
    if not total:
        return rule.service_id
    shares: dict[str, float] = {}
    for part in rule.parts:
        share = shares.get(part.service_id, 0.0) + part.weight / total
        shares[part.service_id] = share
    used = {name: share for name, share in shares.items() if share}
    if len(used) == 1:
        return next(iter(used))
    return ", ".join(f"{name} {share:.4g}" for name, share in used.items())


def _describe_kind(old: str, new: str) -> str:
    repeated = ("safe", "download")
    if old in repeated and new not in repeated:
        return (
            "requests are no longer sent again after they may have run: failures "
            "of servers reach callers as 502"
        )
    if new in repeated and old not in repeated:
        return "requests may run more than once: be sure that this does no harm"
    if new == "upload":
        return "bodies are received before a server is chosen"
    return "no request is interrupted"


def _describe_anonymous(old: bool, new: bool) -> str:
    if new:
        return "anyone may call it without a key, and no quota counts its requests"
    return "requests without a key get 401"


_ROUTE_FIELDS = (
    _Field(
        "service_id",
        _get_shares,
        _always(
            "new requests go there, also if these servers are cold; running ones end "
            "where they are"
        ),
    ),
    _Field("kind", lambda entry: entry.kind, _describe_kind),
    _Field(
        "timeout_ms",
        lambda entry: entry.rule.timeout_ms,
        _by_direction("requests that take longer get 504", "slow requests hold longer"),
    ),
    _Field(
        "target_latency_ms",
        lambda entry: entry.rule.target_latency_ms,
        _by_direction("more responses count as late", "fewer responses count as late"),
    ),
    _Field(
        "priority",
        lambda entry: entry.rule.priority,
        _by_direction(
            "goes before more of the others when capacity is short",
            "is refused sooner when capacity is short",
        ),
    ),
    _Field(
        "servers_max",
        lambda entry: entry.rule.servers_max,
        _by_direction(
            "more failures of servers reach callers",
            "uses more of the resend budget",
        ),
    ),
    _Field("is_anonymous", lambda entry: entry.rule.is_anonymous, _describe_anonymous),
)


def _find_service_changes(draft: Draft, in_force: Draft) -> Iterator[Finding]:
    before = {entry.spec.service_id: entry for entry in in_force.services}
    after = {entry.spec.service_id: entry for entry in draft.services}
    for name, entry in after.items():
        if not entry.is_usable:
            message = "disabled by its errors; requests for it get 503"
            yield Finding(CHANGE, entry.place, "", name, message)
            continue
        if name not in before:
            message = f"{ADDED}; needs registered servers before routes use it"
            yield Finding(CHANGE, entry.place, "", name, message)
        elif not before[name].is_usable:
            yield _describe_mended(entry.place, name)
        else:
            yield from _compare(entry.place, _SERVICE_FIELDS, before[name], entry)
    for name in before:
        if name not in after:
            message = f"{REMOVED}; its servers get no requests"
            yield Finding(CHANGE, "services", "", name, message)


def _get_warmup_rate(entry: ServiceEntry) -> float | None:
    # No limit is the highest one.
    return entry.spec.warmup_rate or None


_SERVICE_FIELDS = (
    _Field(
        "health_path",
        lambda entry: entry.spec.health_path,
        _always("servers that don't answer it get no requests"),
    ),
    _Field(
        "connections",
        lambda entry: entry.connections,
        _always(_NOT_ENFORCED),
    ),
    _Field(
        "warmup_rate",
        _get_warmup_rate,
        _by_direction("cold servers get fewer requests", "cold servers get more"),
    ),
)


def _find_team_changes(draft: Draft, in_force: Draft) -> Iterator[Finding]:
    if draft.teams is None:
        if in_force.teams is not None:
            message = "no teams any more; every route is open to callers without a key"
            yield Finding(CHANGE, "tenants", "", "", message)
        return
    if not draft.teams and in_force.teams != draft.teams:
        message = "no team is left; all requests get 401, except on anonymous routes"
        yield Finding(CHANGE, "tenants", "", "", message)
    elif in_force.teams is None:
        message = (
            "the first teams; requests without a key of one get 401, except on "
            "anonymous routes"
        )
        yield Finding(CHANGE, "tenants", "", "", message)
    before = {entry.team.team_id: entry for entry in in_force.teams or ()}
    after = {entry.team.team_id: entry for entry in draft.teams}
    owners = {key.digest: name for name, entry in after.items() for key in entry.keys}
    for name, entry in after.items():
        if not entry.is_usable:
            effect = "get 503" if entry.keys else "get 401, as no key of it is known"
            message = f"disabled by its errors; its requests {effect}"
            yield Finding(CHANGE, entry.place, "", name, message)
            continue
        old = before.get(name)
        if old is None:
            message = f"{ADDED} with {_count_keys(len(entry.keys))}"
            yield Finding(CHANGE, entry.place, "", name, message)
            continue
        if old.is_usable:
            yield from _compare(entry.place, _TEAM_FIELDS, old, entry)
        else:
            yield _describe_mended(entry.place, name)
        yield from _find_key_changes(entry, old, owners)
    for name, entry in before.items():
        if name not in after:
            lost = _describe_lost_keys(
                entry, {key.digest for key in entry.keys}, owners
            )
            yield Finding(CHANGE, "tenants", "", name, f"{REMOVED}; {lost}")


def _find_key_changes(
    entry: TeamEntry, old: TeamEntry, owners: Mapping[bytes, str]
) -> Iterator[Finding]:
    before = {key.digest for key in old.keys}
    after = {key.digest for key in entry.keys}
    effects = []
    if after - before:
        effects.append(f"{_count_keys(len(after - before))} added")
    if before - after:
        effects.append(_describe_lost_keys(entry, before - after, owners))
    if effects:
        yield Finding(CHANGE, entry.place, "keys", "", ", ".join(effects))


def _describe_lost_keys(
    entry: TeamEntry, lost: set[bytes], owners: Mapping[bytes, str]
) -> str:
    moved = {digest for digest in lost if digest in owners}
    effects = []
    if lost - moved:
        count = _count_keys(len(lost - moved))
        effects.append(f"{count} removed: requests with it get 401")
    for owner in sorted({owners[digest] for digest in moved}):
        count = _count_keys(sum(owners[digest] == owner for digest in moved))
        effects.append(f"{count} moved: requests with it count for team {owner}")
    return ", ".join(effects) or "it had no key"


def _count_keys(count: int) -> str:
    return f"{count} key" if count == 1 else f"{count} keys"


def _get_rate(entry: TeamEntry) -> float | None:
    # No quota is the highest one.
    return entry.team.rate_per_s or None


def _describe_rate(old: float | None, new: float | None) -> str:
    if new is None:
        return "the team has no quota any more"
    if old is not None and new > old:
        return "applies within one window"
    return "binds within one window; requests beyond it get 429"


_TEAM_FIELDS = (
    _Field(
        "rate_per_s",
        _get_rate,
        _describe_rate,
    ),
    _Field(
        "burst",
        lambda entry: entry.team.burst,
        _by_direction(
            "binds within one window; requests beyond it get 429",
            "applies within one window",
        ),
    ),
    _Field(
        "priority",
        lambda entry: entry.team.priority,
        _always("another order of refusals when capacity is short"),
    ),
)

_LIMIT_FIELDS = (
    _Field(
        "head_bytes",
        lambda limits: limits.head_bytes,
        _always(_NOT_ENFORCED),
    ),
    _Field(
        "body_bytes",
        lambda limits: limits.body_bytes,
        _always(_NOT_ENFORCED),
    ),
    _Field(
        "head_ms",
        lambda limits: limits.head_ms,
        _by_direction(
            "callers that send a header more slowly are disconnected",
            "slow callers hold connections longer",
        ),
    ),
    _Field(
        "idle_ms",
        lambda limits: limits.idle_ms,
        _by_direction(
            "callers must open connections more often",
            "idle callers hold connections longer",
        ),
    ),
)


def _find_limit_changes(draft: Draft, in_force: Draft) -> Iterator[Finding]:
    if draft.limits is not None and in_force.limits is not None:
        yield from _compare("limits", _LIMIT_FIELDS, in_force.limits, draft.limits)
