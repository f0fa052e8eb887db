"""Tests of admission control in forwarding, with fakes of other services."""

from types import MappingProxyType

import pytest

from cuminhatch.decisions.configuration import Configuration, Rule, ServiceSpec, Team
from cuminhatch.messages import (
    ConfigurationChanged,
    CounterIncremented,
    EventRecorded,
    GaugesReported,
    GaugesRequested,
    RequestRefused,
)
from tests.services.forwarding_world import ForwardingWorld, make_server

# A pair of rules that differ in urgency only. They are anonymous, so that no
# request needs a key.
RULES = {
    name: Rule(
        name,
        "s",
        "*",
        f"/{name}/",
        host="h",
        priority=1,
        is_idempotent=False,
        is_upload=name == "upload",
        is_anonymous=True,
    )
    for name in ("short", "upload")
}
SERVERS = ("a", "b", "c", "d")
FULL, NEARLY_FULL = (3, 1, 1.0), (2, 0, 1.0)


@pytest.fixture
def make_world():
    worlds = []

    def make(teams, rules=RULES, load=FULL):
        world = ForwardingWorld()
        worlds.append(world)
        world.loads = dict.fromkeys(SERVERS, load)
        servers = {name: make_server(name) for name in SERVERS}
        configuration = Configuration(
            1,
            MappingProxyType({"s": ServiceSpec("s")}),
            MappingProxyType(servers),
            MappingProxyType(rules),
            teams=teams,
        )
        world.tell(ConfigurationChanged(configuration))
        return world

    yield make
    for world in worlds:
        world.close()


def take_gauges(world):
    """Return the gauges of the service by name."""
    world.tell(GaugesRequested("callers", 1))
    (reported,) = world.take("callers", GaugesReported)
    return {g.name: g.value for g in reported.gauges if "service" in g.labels}


def count_metric(world, name):
    samples = world.take("metrics", CounterIncremented)
    return [sample.labels for sample in samples if sample.name == name]


def test_less_urgent_request_is_refused_at_once_while_servers_are_full(make_world):
    """
    Guards against uploads that fill the queues that declarations wait in.

    Load: all servers are full and have requests waiting.
    """
    world = make_world({"t": Team("t")})
    world.request("short", wait_ms=3_000)
    world.request("upload", wait_ms=3_000)
    (refusal,) = world.take("callers", RequestRefused)
    assert (refusal.status, refusal.reason) == (503, "admission-level")
    assert refusal.retry_after_ms > 100.0
    details = [
        event.details
        for event in world.take("event_log", EventRecorded)
        if event.name in ("not_placed", "refused")
    ]
    assert len(details) == 2
    for values in details:
        assert (values["rank"], values["level"]) == (1, 1.0)
        assert values["occupancy"] > 1.0
    labels = {"service": "s", "rank": "1"}
    assert count_metric(world, "admission_refused_total") == [labels]
    gauges = take_gauges(world)
    assert gauges["admission_level"] == 1.0
    assert gauges["admission_occupancy"] > 1.0


def test_last_slot_goes_to_the_more_urgent_request(make_world):
    """
    Guards against a reserve that the placement doesn't know of.

    Load: one free slot on each server, urgent requests before.
    """
    world = make_world({"t": Team("t")}, load=(0, 0, 1.0))
    for _ in range(12):
        world.request("short")
    assert len(world.take_attempts()) == 12
    assert len(count_metric(world, "admission_admitted_total")) == 12
    world.loads = dict.fromkeys(SERVERS, NEARLY_FULL)
    world.loads["a"] = (3, 0, 1.0)
    world.request("upload")
    world.advance(250.0)
    assert not world.take_attempts()
    assert world.take("callers", RequestRefused)[0].retry_after_ms >= 40.0
    world.request("short")
    world.advance(250.0)
    assert len(world.take_attempts()) == 1


@pytest.mark.parametrize("is_reset", [False, True])
def test_refusals_of_servers_count_as_load_reports(make_world, is_reset):
    """
    Guards against a level that sees no load as full servers report none.

    Load: servers that report free slots refuse or reset every request.
    """
    world = make_world({"t": Team("t")}, load=(0, 0, 1.0))
    for _ in range(4):
        world.request("short")
        for attempt in world.take_attempts():
            if is_reset:
                world.fail(attempt, is_sent=False)
            else:
                world.refuse(attempt)
    assert take_gauges(world)["admission_occupancy"] > 0.1


@pytest.mark.parametrize("has_teams", [False, True])
def test_nothing_changes_without_teams_or_without_ranks(make_world, has_teams):
    """
    Guards against effects on deployments that don't ask for admission control.

    Load: all servers are full and have requests waiting.
    """
    rules = {"upload": RULES["upload"]} if has_teams else RULES
    world = make_world({"t": Team("t")} if has_teams else None, rules)
    for _ in range(4):
        world.request("upload", wait_ms=3_000)
        assert not world.take("callers", RequestRefused)
        world.advance(150.0)
        refusals = world.take("callers", RequestRefused)
        assert {refusal.reason for refusal in refusals} <= {"servers-full"}
    # A deployment with teams and one rank may be told more.
    if not has_teams:
        assert "admission_level" not in take_gauges(world)
        assert not count_metric(world, "admission_admitted_total")
        events = world.take("event_log", EventRecorded)
        assert not any("level" in event.details for event in events)
