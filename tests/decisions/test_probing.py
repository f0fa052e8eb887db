"""Tests of the probe schedule."""

from random import Random

from cuminhatch.decisions.probing import (
    change_rate,
    end_probe,
    make_permit_selector,
    start_schedule,
    take_due,
)

SERVERS = tuple(f"s{number}" for number in range(26))
INSTANCES = tuple(f"i{number}" for number in range(18))


def test_every_server_has_exactly_one_preferred_instance():
    """Guards against servers that no instance or every instance prefers."""
    chosen = [
        server
        for instance in INSTANCES
        for server in make_permit_selector(instance)(SERVERS, INSTANCES)
    ]
    assert sorted(chosen) == sorted(SERVERS)


def test_preference_follows_servers_and_instances():
    """Guards against a cached ranking that differs from a fresh one."""
    rng = Random(1)
    preferences = {instance: make_permit_selector(instance) for instance in INSTANCES}
    for _ in range(40):
        servers = rng.sample(SERVERS, rng.randint(0, len(SERVERS)))
        live = rng.sample(INSTANCES, rng.randint(1, len(INSTANCES)))
        chosen = [s for i in live for s in preferences[i](servers, live)]
        assert sorted(chosen) == sorted(servers)
        for instance in INSTANCES:
            again = preferences[instance](servers, live)
            assert again == make_permit_selector(instance)(servers, live)


def test_new_holder_waits_at_least_a_second():
    """Guards against two holders that use the budget of the same second."""
    plan = start_schedule(4.0, 1000.0)
    assert plan.next_ms == 2000.0
    assert plan.interval_ms == 250.0


def test_missed_probes_are_not_made_up():
    """Guards against a burst above the budget after a process freeze."""
    plans = {"s1": start_schedule(2.0, 0.0)}
    sent = []
    now_ms = 60_000.0
    while now_ms < 61_000.0:
        due, plans = take_due(plans, now_ms)
        sent += due
        plans |= {server: end_probe(plans[server], now_ms) for server in due}
        now_ms += 10.0
    assert len(sent) == 2


def test_no_probe_is_due_while_one_is_under_way():
    """Guards against two probes that arrive together after a delay."""
    due, plans = take_due({"s1": start_schedule(2.0, 0.0)}, 1000.0)
    assert due == ("s1",)
    assert take_due(plans, 5000.0)[0] == ()
    plans["s1"] = end_probe(plans["s1"], 5000.0)
    assert plans["s1"].next_ms == 5500.0


def test_lowered_budget_applies_at_once():
    """Guards against a holder that keeps to the budget of an older note."""
    plan = change_rate(start_schedule(4.0, 0.0), 1.0, 900.0)
    assert (plan.next_ms, plan.interval_ms) == (1900.0, 1000.0)
