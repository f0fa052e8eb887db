"""Tests of what is believed of registered servers."""

from cuminhatch.decisions.catalog import (
    EMPTY_CATALOG,
    LAPSE_GRACE_MS,
    Catalog,
    ConfigurationDocument,
    Registration,
    VersionGap,
    apply_change,
    join_configuration,
    merge_reading,
)
from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION, BackendServer


def make_rows(*names, version=1, **fields):
    return {
        name: Registration(
            BackendServer(name, "s", "10.0.0.1", 80, "here", 3, 0, **fields), version
        )
        for name in names
    }


def read(catalog, version, rows, now_ms=0.0, is_after_outage=False):
    return merge_reading(catalog, version, rows, now_ms, is_after_outage)


def names_of(catalog):
    return sorted(catalog.registrations)


def test_heartbeats_are_no_change():
    """Guards against news for each heartbeat of each server."""
    catalog, change = read(EMPTY_CATALOG, 5, make_rows("a", "b"))
    assert names_of(catalog) == ["a", "b"]
    assert len(change.changed) == 2
    beaten = make_rows("a", "b", version=9, warmup_left_ms=100.0)
    later, change = read(catalog, 9, beaten)
    assert (change.changed, change.removed_ids) == ((), ())
    assert later.changed_version == 5


def test_missing_registration_is_gone_at_once_while_the_store_answers():
    """Guards against requests to a server that has left."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a", "b"))
    later, change = read(catalog, 6, make_rows("a"))
    assert names_of(later) == ["a"]
    assert change.removed_ids == ("b",)


def test_registrations_that_lapsed_in_an_outage_get_time_to_return():
    """Guards against all servers lost in the first reading after an outage."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a", "b"))
    lapsed, change = read(catalog, 6, {}, 1_000.0, is_after_outage=True)
    assert names_of(lapsed) == ["a", "b"]
    assert not change.removed_ids
    back, _ = read(lapsed, 7, make_rows("a"), 2_000.0)
    assert names_of(back) == ["a", "b"]
    ended_ms = 1_000.0 + LAPSE_GRACE_MS
    late, change = read(back, 8, make_rows("a"), ended_ms)
    assert names_of(late) == ["a"]
    assert change.removed_ids == ("b",)


def test_older_reading_changes_nothing():
    """Guards against a slow reader that brings back what has left."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a"))
    same, change = read(catalog, 4, make_rows("b"))
    assert same is catalog
    assert not change.changed


def test_others_follow_by_changes_alone():
    """Guards against instances that differ after the same news."""
    first, change = read(EMPTY_CATALOG, 5, make_rows("a", "b"))
    follower = apply_change(EMPTY_CATALOG, change)
    second, change = read(first, 7, make_rows("b", "c", version=7))
    follower = apply_change(follower, change)
    assert names_of(follower) == names_of(second) == ["b", "c"]
    assert follower.version == 7


def test_lost_news_is_noticed_by_the_next_one():
    """Guards against an instance that never hears that a server drains."""
    catalog, change = read(EMPTY_CATALOG, 5, make_rows("a"))
    follower = apply_change(EMPTY_CATALOG, change)
    drained, _ = read(catalog, 6, make_rows("a", version=6, is_draining=True))
    _, quiet = read(drained, 8, make_rows("a", version=8, is_draining=True))
    assert isinstance(apply_change(follower, quiet), VersionGap)


def test_lost_heartbeat_news_needs_nothing():
    """Guards against a pull of the whole state for each lost datagram."""
    catalog, change = read(EMPTY_CATALOG, 5, make_rows("a"))
    follower = apply_change(EMPTY_CATALOG, change)
    beaten, _ = read(catalog, 6, make_rows("a", version=6))
    _, quiet = read(beaten, 8, make_rows("a", version=8))
    followed = apply_change(follower, quiet)
    assert isinstance(followed, Catalog)
    assert followed.version == 8


def test_news_older_than_what_is_known_is_ignored():
    """Guards against late datagrams that take a server back."""
    catalog, old = read(EMPTY_CATALOG, 5, make_rows("a"))
    drained, _ = read(catalog, 6, make_rows("a", version=6, is_draining=True))
    assert apply_change(drained, old) is drained


def test_servers_of_unknown_services_are_left_out():
    """Guards against a row of another writer that names no service of ours."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a"))
    unknown = ConfigurationDocument(EMPTY_CONFIGURATION, {"else": 9})
    assert not join_configuration(unknown, catalog).servers
    known = ConfigurationDocument(EMPTY_CONFIGURATION, {"s": 220})
    assert join_configuration(known, catalog).servers["a"].connections == 220
