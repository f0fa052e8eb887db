"""Tests of forwarding where operators limit hedges to a share."""

import pytest

from cuminhatch.messages import (
    CounterIncremented,
    EventRecorded,
    GaugesReported,
    GaugesRequested,
    ResponseStarted,
)
from tests.services.forwarding_world import SETTINGS, ForwardingWorld, make_server

REQUESTS = 60


@pytest.fixture
def make_world():
    worlds = []

    def make(share, *server_ids):
        settings = SETTINGS._replace(hedging_share=share)
        world = ForwardingWorld(*server_ids, settings=settings)
        worlds.append(world)
        return world

    yield make
    for world in worlds:
        world.close()


def warm_up(world, rule_id="read"):
    """Answer requests, a tenth of them late, so that hedges may be started."""
    world.configure(make_server("a"))
    for n in range(REQUESTS):
        world.request(rule_id)
        (attempt,) = world.take_attempts()
        world.advance(500.0 if n % 10 == 0 else 100.0)
        world.respond(attempt)
    world.configure(make_server("a"), make_server("b"))
    for messages in world.received.values():
        messages.clear()


def start_late(world, rule_id="read"):
    """Send a request whose first attempt gets no response; return attempts."""
    world.request(rule_id)
    world.advance(400.0)
    return world.take_attempts()


def count(world, name):
    counters = world.take("metrics", CounterIncremented)
    return sum(counter.name == name for counter in counters)


def list_denials(world):
    events = world.take("event_log", EventRecorded)
    return [e.details["reason"] for e in events if e.name == "hedge_denied"]


@pytest.mark.parametrize("winner", [0, 1])
def test_first_response_wins_and_the_other_attempt_is_cancelled(make_world, winner):
    """Guards against work without use, and against two responses."""
    world = make_world(0.2)
    warm_up(world)
    attempts = start_late(world)
    assert len({attempt.server_id for attempt in attempts}) == 2
    loser = attempts[1 - winner]
    world.respond(attempts[winner], body=b"first")
    assert world.take_cancelled_ids() == [loser.attempt_id]
    world.respond(loser, body=b"late")
    (response,) = world.take("callers", ResponseStarted)
    assert response.data == b"first"
    assert count(world, ("hedges_lost_total", "hedges_won_total")[winner]) == 1


def test_share_of_0_sets_no_timer(make_world):
    """Guards against hedges where operators want none."""
    world = make_world(0.0)
    warm_up(world)
    assert len(start_late(world)) == 1
    exchanges = world.forwarding._state.exchanges.values()
    assert [exchange.hedge_timer for exchange in exchanges] == [None]


def test_request_that_is_not_idempotent_is_not_hedged(make_world):
    """Guards against running a request twice."""
    world = make_world(0.2)
    warm_up(world, "write")
    assert len(start_late(world, "write")) == 1


def test_hedges_stay_within_the_allowance(make_world):
    """Guards against hedges beyond the share of the requests."""
    world = make_world(0.05)
    warm_up(world)
    for attempt in (attempts := start_late(world)):
        world.respond(attempt)
    assert len(attempts) == 2
    # 61 requests allow two hedges.
    sends = [len(start_late(world)) for _ in range(4)]
    assert sum(sends) <= 4 + 1


def test_short_of_capacity_denies_hedges(make_world):
    """
    Guards against hedges that take the last slots of a service.

    Load: a service that is full, without admission control.
    """
    world = make_world(0.2)
    warm_up(world)
    world.request("read")
    world.loads = dict.fromkeys("ab", (3, 0, 1.0))
    world.advance(150.0)
    world.request("write")
    world.advance(250.0)
    assert len(world.take_attempts()) == 2, "the two requests, no hedge"
    assert "short-of-capacity" in list_denials(world)


def test_server_that_warms_up_gets_no_hedge(make_world):
    """Guards against hedges to cold servers, also without a warm-up limit."""
    world = make_world(0.2)
    warm_up(world)
    world.configure(make_server("a"))
    world.configure(make_server("a"), make_server("b", warmup_left_ms=60_000.0))
    assert len(start_late(world)) == 1
    assert list_denials(world) == ["no-other-server"]


def test_slow_second_server_gets_no_hedge(make_world):
    """
    Guards against hedges that can't meet the target.

    Load: a machine that is four times slower.
    """
    world = make_world(0.2)
    warm_up(world)
    world.request("read")
    (first,) = world.take_attempts()
    world.loads = dict.fromkeys("ab", (0, 0, 4.0))
    world.advance(400.0)
    assert not world.take_attempts()
    assert "second-too-slow" in list_denials(world)
    world.respond(first)


@pytest.mark.parametrize(("share", "is_shown"), [(0.1, True), (0.0, False)])
def test_allowance_is_shown_only_where_a_share_is_set(make_world, share, is_shown):
    """Guards against new metrics where no deployment asks for them."""
    world = make_world(share, "a")
    world.tell(GaugesRequested("callers", 1))
    (report,) = world.take("callers", GaugesReported)
    names = {gauge.name for gauge in report.gauges}
    assert ("hedging_allowance_left" in names) == is_shown
