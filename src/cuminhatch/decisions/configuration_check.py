"""
Faults and contradictions in a configuration that isn't in force yet.

All checks are functions of a :class:`Draft`, the entries of one document with
the places where they stand. They run on an operator's machine, not under
load: the time is linear in the number of entries.
"""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from cuminhatch.decisions.configuration import CallerLimits, Rule, ServiceSpec, Team

ERROR = "error"
WARNING = "warning"
CHANGE = "change"
LEVELS = (ERROR, WARNING, CHANGE)

# Cookies, a credential and tracing headers together reach about 4 KB.
USUAL_HEAD_BYTES = 4096
# Attempts that fewer requests than this share can get are without effect.
NOTICEABLE_SHARE = 0.001


class Finding(NamedTuple):
    """
    Something that an operator should know before sending a document.

    ``place`` is the path of an entry and ``field`` the name of a field of the
    typed entry, empty if the finding concerns the whole entry. ``value`` is
    empty if there is none or if it may be a credential. ``hint`` says how to
    correct it, where that is not obvious.
    """

    level: str
    place: str
    field: str
    value: str
    message: str
    hint: str = ""


class RouteEntry(NamedTuple):
    """
    A route, its place and those of the parts of its traffic split.

    ``kind`` is that of the document, which tells more than the rule.
    ``unused_service`` is the service that the route names besides a traffic
    split, empty if it names none. The entry can't be used if ``is_usable`` is
    False; its fields other than its name are then not checked.
    """

    place: str
    rule: Rule
    kind: str
    part_places: tuple[str, ...] = ()
    unused_service: str = ""
    is_usable: bool = True


class ServiceEntry(NamedTuple):
    """
    A service and its place.

    ``connections`` is the number of connections that one of its servers
    accepts, ``warmup_ms`` the length of the warm-up, None if it isn't given.
    """

    place: str
    spec: ServiceSpec
    connections: int
    warmup_ms: float | None = None
    is_usable: bool = True


class KeyEntry(NamedTuple):
    """The digest of a key and the place of the key."""

    place: str
    digest: bytes


class TeamEntry(NamedTuple):
    """A team, its place and its keys that requests can carry."""

    place: str
    team: Team
    keys: tuple[KeyEntry, ...]
    is_usable: bool = True


class Draft(NamedTuple):
    """
    The entries of a document.

    ``version`` and ``base_version`` are None if they are missing or malformed.
    ``teams`` is None if callers need no credentials. ``limits`` is None if
    they are malformed.
    """

    version: int | None
    base_version: int | None
    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    teams: tuple[TeamEntry, ...] | None
    limits: CallerLimits | None


class CheckLimits(NamedTuple):
    """
    Settings of the instances that a configuration is checked against.

    ``resend_ratio`` is the budget of resends as a share of the requests,
    ``quota_window_s`` the window of the quotas.
    """

    resend_ratio: float = 0.1
    quota_window_s: float = 5.0


def check_draft(draft: Draft, limits: CheckLimits) -> list[Finding]:
    """
    Return all errors and warnings that the entries of a document give.

    :param draft: entries of the document.
    :param limits: settings of the instances.
    """
    findings = [
        *_find_repeated_names(draft),
        *_find_shared_keys(draft.teams or ()),
        *_find_missing_services(draft),
        *_find_repeated_prefixes(draft.routes),
        *_find_unused_services(draft),
    ]
    for route in draft.routes:
        if route.is_usable:
            findings += _check_reach(route)
            findings += _check_split(route)
            findings += _check_route_limits(route, limits)
    findings += _find_anonymous_routes(draft)
    findings += _find_missing_teams(draft)
    for service in draft.services:
        if service.is_usable:
            findings += _check_warmup(service)
    for team in draft.teams or ():
        if team.is_usable:
            findings += _check_team(team, limits)
    if draft.limits is not None:
        findings += _check_caller_limits(draft.limits)
    return findings


def check_versions(draft: Draft, in_force: Draft) -> list[Finding]:
    """
    Return what is wrong with the version, given the one in force.

    :param draft: entries of the document.
    :param in_force: entries of the document in force.
    """
    version, current = draft.version, in_force.version
    if version is None or current is None:
        return []
    findings = []
    if version <= current:
        message = f"not higher than r{current}, which is in force; it would be ignored"
        hint = f"use r{current + 1} or a higher one"
        findings.append(Finding(ERROR, "", "version", f"r{version}", message, hint))
    base = draft.base_version
    if base is not None and base != current:
        message = f"r{current} is in force; what it changed since may be undone"
        hint = f"write the changes anew on top of r{current}"
        findings.append(Finding(WARNING, "", "base_version", f"r{base}", message, hint))
    return findings


def _find_repeated_names(draft: Draft) -> Iterator[Finding]:
    routes = [(entry.place, entry.rule.rule_id) for entry in draft.routes]
    services = [(entry.place, entry.spec.service_id) for entry in draft.services]
    teams = [(entry.place, entry.team.team_id) for entry in draft.teams or ()]
    for named in (routes, services, teams):
        first_places: dict[str, str] = {}
        for place, name in named:
            first = first_places.setdefault(name, place)
            if name and first != place:
                message = f"{first} has the same name; only the last one is in force"
                hint = "give each a name of its own"
                yield Finding(ERROR, place, "name", name, message, hint)


def _find_shared_keys(teams: Iterable[TeamEntry]) -> Iterator[Finding]:
    owners: dict[bytes, tuple[TeamEntry, KeyEntry]] = {}
    for team in teams:
        for key in team.keys:
            owner, first = owners.setdefault(key.digest, (team, key))
            if first is key:
                continue
            if owner.team.team_id == team.team.team_id:
                message = f"the same key as {first.place}"
                yield Finding(WARNING, key.place, "", "", message, "remove one")
                continue
            message = (
                f"the same key as {first.place} of team {owner.team.team_id}; its "
                f"requests count for team {team.team.team_id} only"
            )
            hint = "remove it from one of the teams, or issue a new key"
            yield Finding(ERROR, key.place, "", "", message, hint)


def list_services(rule: Rule) -> tuple[str, ...]:
    """
    Return the ids of the services that a rule sends requests to.

    :param rule: the rule.
    """
    return tuple(part.service_id for part in rule.parts) or (rule.service_id,)


def _find_missing_services(draft: Draft) -> Iterator[Finding]:
    listed = {entry.spec.service_id for entry in draft.services}
    hint = "add the service, or name one of " + _enumerate(sorted(listed))
    for route in draft.routes:
        if not route.is_usable:
            continue
        for index, service_id in enumerate(list_services(route.rule)):
            if service_id in listed:
                continue
            place = route.part_places[index] if route.part_places else route.place
            message = "no service of this name is listed; its requests get 503"
            yield Finding(ERROR, place, "service_id", service_id, message, hint)


def _enumerate(names: Sequence[str], names_max: int = 5) -> str:
    if not names:
        return "the services (none is listed)"
    rest = len(names) - names_max
    suffix = f" and {rest} more" if rest > 0 else ""
    return ", ".join(names[:names_max]) + suffix


def _find_repeated_prefixes(routes: Iterable[RouteEntry]) -> Iterator[Finding]:
    first_routes: dict[tuple[str, str], RouteEntry] = {}
    for route in routes:
        rule = route.rule
        if not rule.path_prefix:
            continue
        first = first_routes.setdefault((rule.host, rule.path_prefix), route)
        # Routes of the same name are reported as such.
        if first is not route and first.rule.rule_id != rule.rule_id:
            message = (
                f"matches no request: {first.place} ({first.rule.rule_id}) has the "
                "same host and prefix and comes first"
            )
            value = f"{rule.host}{rule.path_prefix}"
            hint = "remove one of them, or give it a longer prefix"
            yield Finding(WARNING, route.place, "path_prefix", value, message, hint)


def _find_unused_services(draft: Draft) -> Iterator[Finding]:
    if not all(route.is_usable for route in draft.routes):
        # A route that can't be read may use the service.
        return
    used = {name for route in draft.routes for name in list_services(route.rule)}
    for entry in draft.services:
        name = entry.spec.service_id
        if name and name not in used:
            yield Finding(WARNING, entry.place, "", name, "no route uses the service")


def _check_reach(route: RouteEntry) -> Iterator[Finding]:
    """Yield why no request can match a route, as far as its text tells."""
    prefix, host = route.rule.path_prefix, route.rule.host
    if not prefix.startswith("/"):
        message = "matches no request: every path begins with a slash"
        hint = f"write /{prefix}"
        yield Finding(WARNING, route.place, "path_prefix", prefix, message, hint)
    elif not prefix.endswith("/"):
        message = f"matches {prefix}2 as well; a prefix ends with a slash"
        hint = f"write {prefix}/"
        yield Finding(WARNING, route.place, "path_prefix", prefix, message, hint)
    if not _is_visible_ascii(prefix) or set(prefix) & set("?#"):
        message = (
            "matches no request: a path has visible ASCII characters only, "
            "and neither ? nor #"
        )
        hint = "write other characters percent-encoded, such as %20 for a space"
        yield Finding(WARNING, route.place, "path_prefix", prefix, message, hint)
    if not _is_visible_ascii(host) or set(host) & set(":/*"):
        message = "matches no request: not a host name"
        hint = "write the name without scheme, port and wildcard, such as a.example"
        yield Finding(WARNING, route.place, "host", host, message, hint)


def _is_visible_ascii(text: str) -> bool:
    return text.isascii() and text.isprintable() and " " not in text


def _check_split(route: RouteEntry) -> Iterator[Finding]:
    rule = route.rule
    if route.unused_service:
        message = "without effect: the traffic split decides"
        yield Finding(
            WARNING,
            route.place,
            "service_id",
            route.unused_service,
            message,
            "remove it, or the split",
        )
    if rule.parts and not any(part.weight for part in rule.parts):
        message = f"all weights are 0, so {rule.parts[0].service_id} gets all requests"
        hint = "give at least one part a weight above 0, such as 100"
        yield Finding(WARNING, route.place, "parts", "", message, hint)
        return
    for place, part in zip(route.part_places, rule.parts, strict=True):
        if not part.weight:
            # The split starts from random credits, also for such a part.
            message = (
                f"{part.service_id} gets no requests, except for one of the first "
                "that some instances send after a change"
            )
            hint = "remove the part if that is meant"
            yield Finding(WARNING, place, "weight", "0", message, hint)


def _check_route_limits(route: RouteEntry, limits: CheckLimits) -> Iterator[Finding]:
    rule = route.rule
    if rule.timeout_ms is not None and rule.timeout_ms < rule.target_latency_ms:
        message = (
            f"below the target latency of {rule.target_latency_ms:g} ms: no response "
            "can be late, requests fail instead"
        )
        hint = f"set it above {rule.target_latency_ms:g}, or lower the target"
        yield Finding(
            WARNING, route.place, "timeout_ms", f"{rule.timeout_ms:g}", message, hint
        )
    attempts_max = find_attempts_max(limits.resend_ratio)
    if rule.servers_max > attempts_max:
        message = (
            f"the resend budget ({limits.resend_ratio:g} of the requests) carries "
            f"about {attempts_max}: if so many sends fail that more are needed, it "
            "is used up"
        )
        hint = f"set it to {attempts_max}, or raise the ratio of the resends"
        yield Finding(
            WARNING, route.place, "servers_max", str(rule.servers_max), message, hint
        )


def find_attempts_max(resend_ratio: float) -> int:
    """
    Return how many attempts per request a resend budget can carry.

    If a share p of all sends fails, requests are resent p / (1 - p) times on
    average, and p to the power of n need more than n sends. The budget is used
    up from p = ratio / (1 + ratio) on. An attempt that fewer than
    ``NOTICEABLE_SHARE`` of the requests need at that p is not carried.

    :param resend_ratio: resends as a share of the requests, 0 or more.
    """
    failed = resend_ratio / (1 + resend_ratio)
    attempts, share = 1, failed
    # The bound matters for ratios so high that nearly all sends may fail.
    while share >= NOTICEABLE_SHARE and attempts < 100:
        attempts, share = attempts + 1, share * failed
    return attempts


def _find_anonymous_routes(draft: Draft) -> Iterator[Finding]:
    if not any(entry.team.rate_per_s for entry in draft.teams or ()):
        return
    with_team = {
        name
        for route in draft.routes
        if route.is_usable and not route.rule.is_anonymous
        for name in list_services(route.rule)
    }
    for route in draft.routes:
        shared = sorted(with_team & set(list_services(route.rule)))
        if route.is_usable and route.rule.is_anonymous and shared:
            message = (
                f"its requests count against no team's quota, but use {shared[0]}, "
                "which teams use as well"
            )
            hint = "leave it if the route is meant for callers without a key"
            yield Finding(WARNING, route.place, "is_anonymous", "true", message, hint)


def _find_missing_teams(draft: Draft) -> Iterator[Finding]:
    if draft.teams is None or draft.teams:
        return
    message = "lists no team, so all requests get 401, except on anonymous routes"
    hint = "leave the list out if callers need no key"
    yield Finding(WARNING, "tenants", "", "", message, hint)


def _check_warmup(entry: ServiceEntry) -> Iterator[Finding]:
    rate = entry.spec.warmup_rate
    if rate > 0 and entry.warmup_ms == 0:
        message = "a rate of the warm-up, but its length is 0"
        hint = "give the usual length of the warm-up in seconds, or remove the rate"
        yield Finding(WARNING, entry.place, "warmup_rate", f"{rate:g}", message, hint)


def _check_team(entry: TeamEntry, limits: CheckLimits) -> Iterator[Finding]:
    team = entry.team
    if not entry.keys:
        message = "the team has no key, so no request can belong to it"
        yield Finding(WARNING, entry.place, "keys", "", message)
    if team.burst and not team.rate_per_s:
        message = "without effect: the team has no quota"
        hint = "give a rate per second as well"
        yield Finding(WARNING, entry.place, "burst", f"{team.burst:g}", message, hint)
    window_requests = team.rate_per_s * limits.quota_window_s
    if team.burst < window_requests:
        message = (
            f"below the {window_requests:g} requests that the rate of "
            f"{team.rate_per_s:g} per s gives in a window of "
            f"{limits.quota_window_s:g} s: a window's requests sent at once are "
            "refused in part"
        )
        hint = f"set it to {window_requests:g} if callers send at once"
        yield Finding(WARNING, entry.place, "burst", f"{team.burst:g}", message, hint)


def _check_caller_limits(limits: CallerLimits) -> Iterator[Finding]:
    if limits.head_bytes < USUAL_HEAD_BYTES:
        message = f"usual requests have headers of up to {USUAL_HEAD_BYTES} bytes"
        hint = "set it to 16384, for example"
        yield Finding(
            WARNING, "limits", "head_bytes", str(limits.head_bytes), message, hint
        )
    if limits.idle_ms < limits.head_ms:
        message = (
            f"below the {limits.head_ms:g} ms that a header may take: a connection "
            "without a request is closed sooner than one that stalls within a header"
        )
        hint = f"set it to {limits.head_ms:g} or more"
        yield Finding(
            WARNING, "limits", "idle_ms", f"{limits.idle_ms:g}", message, hint
        )


def list_names(draft: Draft) -> dict[str, str]:
    """
    Return the names of the entries of a document by their places.

    :param draft: entries of the document.
    """
    return {
        **{entry.place: entry.rule.rule_id for entry in draft.routes},
        **{entry.place: entry.spec.service_id for entry in draft.services},
        **{entry.place: entry.team.team_id for entry in draft.teams or ()},
    }


def format_path(finding: Finding) -> str:
    """
    Return the path of what a finding concerns, such as ``routes[3].kind``.

    :param finding: the finding.
    """
    return ".".join(text for text in (finding.place, finding.field) if text)
