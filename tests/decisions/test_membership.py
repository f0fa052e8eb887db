"""Tests of gossip membership."""

from random import Random

from cuminhatch.decisions.membership import (
    FORGET_AFTER_MS,
    SUSPECT_AFTER_MS,
    HeartbeatEntry,
    list_members,
    merge_entry,
    pick_entries,
    pick_targets,
    remove_silent,
)


def make_entry(name, incarnation=1, heartbeat=1, is_leaving=False):
    return HeartbeatEntry(
        name, "10.0.0.1", int(name[1:]), incarnation, heartbeat, is_leaving
    )


def test_old_datagrams_are_ignored():
    """Guards against replayed heartbeats that keep a stopped instance live."""
    view = {}
    assert merge_entry(view, make_entry("i1", 2, 5), 0)
    assert not merge_entry(view, make_entry("i1", 2, 5), 100)
    assert not merge_entry(view, make_entry("i1", 1, 99), 100)
    assert view["i1"].last_heard_ms == 0


def test_restarted_instance_replaces_its_earlier_entry():
    """Guards against ignoring a restarted instance, which counts from 1."""
    view = {}
    merge_entry(view, make_entry("i1", 1, 500), 0)
    assert merge_entry(view, make_entry("i1", 2, 1), 10)
    assert list_members(view, 10)[0].incarnation == 2


def test_silent_instance_is_suspect_and_stopping_one_is_leaving():
    """Guards against relying on a silent or leaving instance."""
    view = {}
    merge_entry(view, make_entry("i1"), 0)
    merge_entry(view, make_entry("i2", is_leaving=True), 2 * SUSPECT_AFTER_MS)
    states = [member.state for member in list_members(view, 2 * SUSPECT_AFTER_MS)]
    assert states == ["suspect", "leaving"]
    remove_silent(view, FORGET_AFTER_MS + 1)
    assert set(view) == {"i2"}


def test_fan_out_is_bounded_and_seed_addresses_are_retried():
    """Guards against unbounded fan-out and partitions that never heal."""
    view = {}
    for number in range(100):
        merge_entry(view, make_entry(f"i{number}"), 0)
    rng = Random(1)
    rounds = [pick_targets(view, ("10.9.9.9:1",), 2, 0, rng) for _ in range(200)]
    assert all(len(set(targets)) == 2 for targets in rounds)
    assert any("10.9.9.9:1" in targets for targets in rounds)
    assert len(pick_entries(view, 8, 0, rng)) == 8


def test_instance_that_knows_no_other_contacts_its_seed_addresses():
    """Guards against a new instance that never joins the others."""
    targets = pick_targets({}, ("a:1", "b:2"), 2, 0, Random(1))
    assert targets in (("a:1", "b:2"), ("b:2", "a:1"))


def test_silent_instances_are_not_relayed():
    """Guards against entries of stopped instances relayed for ever."""
    view = {}
    merge_entry(view, make_entry("i1"), 0)
    assert pick_entries(view, 8, SUSPECT_AFTER_MS + 1, Random(1)) == ()


def test_live_instances_of_a_large_fleet_are_not_suspected():
    """Guards against a timeout too short for the number of instances."""
    rng, now_ms = Random(1), 0.0
    ids = [f"i{number}" for number in range(80)]
    views = {id_: {} for id_ in ids}
    for round_number in range(1, 121):
        now_ms += 500.0
        for id_ in ids:
            own = make_entry(id_, heartbeat=round_number)
            for target in rng.sample([other for other in ids if other != id_], 2):
                for relayed in (own, *pick_entries(views[id_], 8, now_ms, rng)):
                    if relayed.instance_id != target:
                        merge_entry(views[target], relayed, now_ms)
    members = [m for view in views.values() for m in list_members(view, now_ms)]
    assert len(members) == 80 * 79
    assert {member.state for member in members} == {"live"}
