"""Tests of the checks of a configuration that isn't in force yet."""

import pytest

from cuminhatch.decisions.configuration import (
    CallerLimits,
    Rule,
    ServiceSpec,
    Team,
    TrafficPart,
)
from cuminhatch.decisions.configuration_changes import find_changes
from cuminhatch.decisions.configuration_check import (
    CheckLimits,
    Draft,
    KeyEntry,
    RouteEntry,
    ServiceEntry,
    TeamEntry,
    check_draft,
    check_versions,
    find_attempts_max,
)
from cuminhatch.decisions.routing import NoRoute, make_router
from cuminhatch.platform.documents import decode_configuration
from cuminhatch.platform.drafts import read_draft

LIMITS = CallerLimits(16384, 1000, 3000.0, 15000.0)
SERVICE = ServiceEntry("services[0]", ServiceSpec("s1"), 10, 3000.0)
KEYS = (KeyEntry("k[0]", b"1"), KeyEntry("k[1]", b"2"))


def make_route(name="r-1", prefix="/x/", place="routes[0]", kind="safe", **fields):
    rule = Rule(name, "s1", "*", prefix, host="a", servers_max=1, **fields)
    return RouteEntry(place, rule, kind)


def make_team(name="t1", rate=100.0, burst=500.0, keys=KEYS[:1], place="tenants[0]"):
    return TeamEntry(place, Team(name, None, rate, burst), keys)


def make_split(*weights):
    parts = tuple(TrafficPart("s1", weight) for weight in weights)
    places = tuple(f"p[{index}]" for index in range(len(parts)))
    return make_route(parts=parts)._replace(part_places=places)


TEAMS = (make_team(),)


def make_draft(*routes, teams=TEAMS, service=SERVICE, **fields):
    routes = routes or (make_route(),)
    draft = Draft(8, 7, routes, (service,), teams, LIMITS)
    return draft._replace(**fields)


def list_fields(draft):
    return [finding.field for finding in check_draft(draft, CheckLimits())]


def list_messages(draft, in_force):
    return [finding.message for finding in find_changes(draft, in_force)]


@pytest.mark.parametrize(
    ("wrong", "right", "field"),
    [
        (
            make_draft(make_route(timeout_ms=999.0)),
            make_draft(make_route(timeout_ms=1000.0)),
            "timeout_ms",
        ),
        (make_draft(make_split(9, 0)), make_draft(make_split(9, 1)), "weight"),
        (make_draft(make_split(0, 0)), make_draft(make_split(0.1, 9)), "parts"),
        (
            make_draft(teams=(make_team(burst=499.0),)),
            make_draft(teams=(make_team(burst=500.0),)),
            "burst",
        ),
        (
            make_draft(teams=(make_team(rate=0.0, burst=1.0),)),
            make_draft(teams=(make_team(rate=0.0, burst=0.0),)),
            "burst",
        ),
        (
            make_draft(teams=(make_team(keys=()),)),
            make_draft(teams=(make_team(),)),
            "keys",
        ),
        (
            make_draft(limits=LIMITS._replace(head_bytes=4095)),
            make_draft(limits=LIMITS._replace(head_bytes=4096)),
            "head_bytes",
        ),
        (
            make_draft(limits=LIMITS._replace(idle_ms=2999.0)),
            make_draft(limits=LIMITS._replace(idle_ms=3000.0)),
            "idle_ms",
        ),
        (
            make_draft(
                service=SERVICE._replace(
                    spec=ServiceSpec("s1", warmup_rate=5.0), warmup_ms=0.0
                )
            ),
            make_draft(service=SERVICE._replace(warmup_ms=0.0)),
            "warmup_rate",
        ),
        (
            make_draft(make_route(is_anonymous=True), make_route("r-2", "/y/", "r")),
            make_draft(make_route(is_anonymous=True)),
            "is_anonymous",
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_contradiction_is_found_at_its_bound(wrong, right, field):
    """Guards against a contradiction that passes, and one that is none."""
    assert list_fields(wrong) == [field]
    assert list_fields(right) == []


@pytest.mark.parametrize(
    ("ratio", "attempts"), [(0.0, 1), (0.0005, 1), (0.1, 3), (0.2, 4), (1000.0, 100)]
)
def test_attempts_that_a_budget_carries(ratio, attempts):
    """Guards against a bound that doesn't follow the budget, or no end."""
    assert find_attempts_max(ratio) == attempts


def test_version_must_rise():
    """Guards against a version that instances ignore."""
    draft = make_draft()
    assert check_versions(draft, make_draft(version=7)) == []
    for current in (8, 9):
        findings = check_versions(draft, make_draft(version=current))
        assert [finding.field for finding in findings] == ["version", "base_version"]


PREFIXES = ("/", "/x/", "/x/y/", "/x/y/z/")


def make_document(prefixes):
    routes = [
        f'{{"name": "r{prefix}", "host": "a", "prefix": "{prefix}", "kind": "safe",'
        ' "service": "s1", "target-latency-ms": 5}'
        for prefix in prefixes
    ]
    limits = '"max-header-bytes": 1, "max-body-bytes": 1, "header-timeout-ms": 1'
    return (
        f'{{"version": "r1", "routes": [{", ".join(routes)}], "services": [],'
        f' "limits": {{{limits}, "idle-timeout-ms": 1}}}}'
    ).encode()


@pytest.mark.parametrize("kept", range(2 ** len(PREFIXES)))
def test_requests_of_a_removed_route_go_where_the_router_sends_them(kept):
    """Guards against a removal that is said to be harmless."""
    left = [p for index, p in enumerate(PREFIXES) if kept >> index & 1]
    document = make_document(left)
    match = make_router(decode_configuration(document).configuration)
    in_force = read_draft(make_document(PREFIXES)).draft
    changes = find_changes(read_draft(document).draft, in_force)
    assert len(changes) == len(PREFIXES) - len(left)
    for change in changes:
        rule = match("GET", change.value.removeprefix("r") + "page", "a")
        is_lost = isinstance(rule, NoRoute)
        expected = "get 404" if is_lost else f"go to route {rule.rule_id}"
        assert change.message.endswith(expected)


def test_removed_route_whose_prefix_is_taken():
    """Guards against a removal that hides behind a moved route."""
    in_force = make_draft(make_route(), make_route("r-2", "/y/", "routes[1]"))
    draft = make_draft(make_route("r-2", "/x/"))
    moved, removed = list_messages(draft, in_force)
    assert moved == "moved from a/y/; requests below a/y/ get 404"
    assert removed == "removed; requests below a/x/ go to route r-2"


def test_renamed_route_interrupts_only_with_teams():
    """Guards against a rename that reads like a removal."""
    renamed = make_draft(make_route("r-9"))
    (message,) = list_messages(renamed, make_draft())
    assert message.startswith("renamed from r-1; requests that wait")
    draft, in_force = renamed._replace(teams=None), make_draft(teams=None)
    (message,) = list_messages(draft, in_force)
    assert message == "renamed from r-1; no request is interrupted"


@pytest.mark.parametrize(
    ("before", "after", "words"),
    [
        ("safe", "unsafe", "no longer sent again"),
        ("download", "upload", "no longer sent again"),
        ("unsafe", "download", "may run more than once"),
        ("safe", "download", "no request is interrupted"),
        ("unsafe", "upload", "before a server is chosen"),
    ],
)
def test_changed_kind_says_what_is_repeated(before, after, words):
    """Guards against a kind that makes requests run twice unnoticed."""
    draft = make_draft(make_route(kind=after))
    (message,) = list_messages(draft, make_draft(make_route(kind=before)))
    assert words in message


def test_keys_are_counted_by_what_becomes_of_them():
    """Guards against a removed key that is taken for a moved one."""
    other = make_team("t2", keys=(), place="tenants[1]")
    in_force = make_draft(teams=(make_team(keys=KEYS), other))
    draft = make_draft(teams=(make_team(keys=()), other._replace(keys=KEYS[:1])))
    lost, added = list_messages(draft, in_force)
    assert lost == (
        "1 key removed: requests with it get 401, "
        "1 key moved: requests with it count for team t2"
    )
    assert added == "1 key added"


def test_quota_effect_depends_on_its_direction():
    """Guards against a new quota that is said to change nothing."""

    def describe(before, after):
        draft = make_draft(teams=(make_team(rate=after),))
        (message,) = list_messages(draft, make_draft(teams=(make_team(rate=before),)))
        return message.partition("; ")[2]

    assert "429" in describe(100.0, 50.0) and "429" in describe(0.0, 50.0)
    assert describe(50.0, 100.0) == "applies within one window"
    assert describe(50.0, 0.0) == "the team has no quota any more"


def test_first_and_last_teams_are_told():
    """Guards against routes that are opened or closed to all unnoticed."""
    some, none = make_draft(), make_draft(teams=None)
    assert "open to callers without a key" in list_messages(none, some)[0]
    assert "get 401" in list_messages(some, none)[0]
    empty = make_draft(teams=())
    for in_force in (some, none):
        assert "all requests get 401" in list_messages(empty, in_force)[0]
    assert "open to callers without a key" in list_messages(none, empty)[0]
