"""Tests of the probe schedule."""

from cuminhatch.decisions.probing import (
    end_probe,
    preferred_servers,
    start_plan,
    take_due,
)

SERVERS = tuple(f"s{number}" for number in range(26))
INSTANCES = tuple(f"i{number}" for number in range(18))


def test_every_server_has_exactly_one_preferred_instance():
    """Guards against servers that nobody probes or that all ask for."""
    chosen = [
        server
        for instance in INSTANCES
        for server in preferred_servers(SERVERS, instance, INSTANCES)
    ]
    assert sorted(chosen) == sorted(SERVERS)


def test_new_holder_waits_out_the_former_holders_second():
    """Guards against two holders that both use one second's budget."""
    plan = start_plan(4.0, 1000.0)
    assert plan.next_ms == 2000.0
    assert plan.interval_ms == 250.0


def test_missed_probes_are_not_made_up_for():
    """Guards against a burst above the budget after a freeze."""
    plans = {"s1": start_plan(2.0, 0.0)}
    sent = []
    now_ms = 60_000.0
    while now_ms < 61_000.0:
        due, plans = take_due(plans, now_ms)
        sent += due
        for server_id in due:
            plans[server_id] = end_probe(plans[server_id], now_ms)
        now_ms += 10.0
    assert len(sent) == 2


def test_delayed_probe_delays_the_next_one():
    """Guards against probes that arrive closer together than they are sent."""
    due, plans = take_due({"s1": start_plan(2.0, 0.0)}, 1000.0)
    assert due == ("s1",)
    assert take_due(plans, 1900.0)[0] == ()
    plans = {"s1": end_probe(plans["s1"], 1400.0)}
    assert take_due(plans, 1899.0)[0] == ()
    assert take_due(plans, 1900.0)[0] == ("s1",)


def test_late_end_of_a_probe_keeps_the_wait_of_a_new_permit():
    """Guards against a probe in the second of another holder."""
    assert end_probe(start_plan(2.0, 1000.0), 1100.0).next_ms == 2000.0
