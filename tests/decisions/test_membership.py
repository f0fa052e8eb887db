"""Tests of the view of the other instances."""

from random import Random

from cuminhatch.decisions.membership import (
    FORGET_AFTER_MS,
    SUSPECT_AFTER_MS,
    Entry,
    forget_old,
    list_members,
    merge_entry,
    pick_entries,
    pick_targets,
)


def entry(name, incarnation=1, heartbeat=1, is_leaving=False):
    return Entry(name, "10.0.0.1", int(name[1:]), incarnation, heartbeat, is_leaving)


def test_old_datagrams_change_nothing():
    """Guards against a replayed heartbeat that keeps a dead instance alive."""
    view = {}
    assert merge_entry(view, entry("i1", 2, 5), 0)
    assert not merge_entry(view, entry("i1", 2, 5), 100)
    assert not merge_entry(view, entry("i1", 1, 99), 100)
    assert view["i1"].heard_ms == 0


def test_restarted_instance_replaces_its_former_self():
    """Guards against a restart, counting from 1 again, that goes unheard."""
    view = {}
    merge_entry(view, entry("i1", 1, 500), 0)
    assert merge_entry(view, entry("i1", 2, 1), 10)
    assert list_members(view, 10)[0].incarnation == 2


def test_states_follow_silence_and_leaving():
    """Guards against work that counts on a silent or leaving instance."""
    view = {}
    merge_entry(view, entry("i1"), 0)
    merge_entry(view, entry("i2", is_leaving=True), 2 * SUSPECT_AFTER_MS)
    states = [member.state for member in list_members(view, 2 * SUSPECT_AFTER_MS)]
    assert states == ["suspect", "leaving"]
    forget_old(view, FORGET_AFTER_MS + 1)
    assert set(view) == {"i2"}


def test_fan_out_is_bounded_and_partitions_are_retried():
    """Guards against heartbeats that grow with the fleet or never heal it."""
    view = {}
    for number in range(100):
        merge_entry(view, entry(f"i{number}"), 0)
    rng = Random(1)
    rounds = [pick_targets(view, ("10.9.9.9:1",), 2, 0, rng) for _ in range(200)]
    assert all(len(set(targets)) == 2 for targets in rounds)
    assert any("10.9.9.9:1" in targets for targets in rounds)
    assert len(pick_entries(view, 8, 0, rng)) == 8


def test_lonely_instance_asks_its_contacts():
    """Guards against a new instance that waits to be found."""
    targets = pick_targets({}, ("a:1", "b:2"), 2, 0, Random(1))
    assert targets in (("a:1", "b:2"), ("b:2", "a:1"))


def test_silent_instances_are_not_relayed():
    """Guards against ended instances that circulate for ever."""
    view = {}
    merge_entry(view, entry("i1"), 0)
    assert pick_entries(view, 8, SUSPECT_AFTER_MS + 1, Random(1)) == ()


def test_live_instances_of_a_large_fleet_are_not_suspected():
    """Guards against heartbeats too few for the number of instances."""
    rng, now_ms = Random(1), 0.0
    ids = [f"i{number}" for number in range(80)]
    views = {id_: {} for id_ in ids}
    for round_number in range(1, 121):
        now_ms += 500.0
        for id_ in ids:
            own = entry(id_, heartbeat=round_number)
            for target in rng.sample([other for other in ids if other != id_], 2):
                for told in (own, *pick_entries(views[id_], 8, now_ms, rng)):
                    if told.instance_id != target:
                        merge_entry(views[target], told, now_ms)
    members = [m for view in views.values() for m in list_members(view, now_ms)]
    assert len(members) == 80 * 79
    assert {member.state for member in members} == {"live"}
