"""Tests of the local catalog of registered backend servers."""

import pytest

from cuminhatch.decisions.catalog import (
    EMPTY_CATALOG,
    Catalog,
    CatalogChange,
    ConfigurationDocument,
    Registration,
    VersionGap,
    add_registered_servers,
    apply_change,
    merge_store_read,
)
from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION, BackendServer
from cuminhatch.decisions.store_version import StoreVersion

LIMITS = {"slots": 3, "connections": 0}


def at(number, era=1):
    return StoreVersion(era, number)


def make_rows(*names, version=1, era=1, sequence=0, **fields):
    return {
        name: Registration(
            BackendServer(
                name,
                "s",
                "10.0.0.1",
                **({"port": 80, "failure_domain": "here"} | LIMITS | fields),
            ),
            at(version, era),
            sequence,
        )
        for name in names
    }


def read(catalog, version, rows, now_ms=0.0, is_after_outage=False):
    return merge_store_read(catalog, at(version), rows, now_ms, is_after_outage)


def read_restored(catalog, version, rows):
    """Return the result of a read soon after the store was restored."""
    return merge_store_read(catalog, at(version, 2), rows, 0.0, True, True)


def list_names(catalog):
    return sorted(catalog.registrations)


def test_heartbeats_do_not_count_as_changes():
    """Guards against a change sent for every heartbeat of every server."""
    catalog, change = read(EMPTY_CATALOG, 5, make_rows("a", "b"))
    assert list_names(catalog) == ["a", "b"]
    assert len(change.changed) == 2
    renewed = make_rows("a", "b", version=9, warmup_left_ms=100.0)
    later, change = read(catalog, 9, renewed)
    assert (change.changed, change.removed_ids) == ((), ())
    assert later.changed_version == at(5)


def test_missing_registration_is_removed_at_once_without_an_outage():
    """Guards against requests to a server that has deregistered."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a", "b"))
    later, change = read(catalog, 6, make_rows("a"))
    assert list_names(later) == ["a"]
    assert change.removed_ids == ("b",)


def test_registrations_expired_in_an_outage_have_a_grace_period():
    """Guards against losing all servers in the first read after an outage."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a", "b"))
    kept, change = read(catalog, 6, {}, 1_000.0, is_after_outage=True)
    assert list_names(kept) == ["a", "b"]
    assert not change.removed_ids
    partly_renewed, _ = read(kept, 7, make_rows("a"), 2_000.0, is_after_outage=True)
    assert list_names(partly_renewed) == ["a", "b"]
    late, change = read(partly_renewed, 8, make_rows("a"), 2_001.0)
    assert list_names(late) == ["a"]
    assert change.removed_ids == ("b",)


def test_server_that_leaves_in_a_grace_period_has_none_of_its_own():
    """Guards against a server that left after an outage and stays in use."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a", "b"))
    kept, _ = read(catalog, 6, make_rows("a"), 2_400.0, is_after_outage=True)
    assert list_names(kept) == ["a", "b"]
    later, change = read(kept, 7, make_rows("a"), 2_500.0)
    assert list_names(later) == ["a"]
    assert change.removed_ids == ("b",)


def test_server_missing_after_an_outage_is_marked_until_it_is_back():
    """Guards against instances that prefer a server that may have left."""
    catalog, change = read(EMPTY_CATALOG, 5, make_rows("a", "b"))
    follower = apply_change(EMPTY_CATALOG, change)
    kept, change = read(catalog, 6, make_rows("a"), 1_000.0, is_after_outage=True)
    follower = apply_change(follower, change)
    for state in (kept, follower):
        assert not state.registrations["a"].server.is_unlisted
        assert state.registrations["b"].server.is_unlisted
    still, change = read(kept, 7, make_rows("a"), 1_500.0, is_after_outage=True)
    assert still.registrations["b"].server.is_unlisted
    assert not change.changed, "told once"
    for rows in (make_rows("a", "b"), make_rows("a", "b", version=7)):
        back, change = read(kept, 7, rows, 1_500.0, is_after_outage=True)
        assert not back.registrations["b"].server.is_unlisted
        later = apply_change(follower, change)
        assert not later.registrations["b"].server.is_unlisted
        restored = merge_store_read(kept, at(1, 2), rows, 1_500.0, True, True)[0]
        assert not restored.registrations["b"].server.is_unlisted


def test_older_read_is_ignored():
    """Guards against a slow reader that restores a deregistered server."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a"))
    same, change = read(catalog, 4, make_rows("b"))
    assert same is catalog
    assert not change.changed


def test_changes_alone_keep_other_instances_up_to_date():
    """Guards against instances that differ after the same changes."""
    first, change = read(EMPTY_CATALOG, 5, make_rows("a", "b"))
    follower = apply_change(EMPTY_CATALOG, change)
    second, change = read(first, 7, make_rows("b", "c", version=7))
    follower = apply_change(follower, change)
    assert list_names(follower) == list_names(second) == ["b", "c"]
    assert follower.version == at(7)


def test_lost_change_is_detected_by_the_next_message():
    """Guards against an instance that never learns that a server drains."""
    catalog, change = read(EMPTY_CATALOG, 5, make_rows("a"))
    follower = apply_change(EMPTY_CATALOG, change)
    drained, _ = read(catalog, 6, make_rows("a", version=6, is_draining=True))
    _, empty_change = read(drained, 8, make_rows("a", version=8, is_draining=True))
    assert isinstance(apply_change(follower, empty_change), VersionGap)


def test_lost_message_without_changes_needs_no_pull():
    """Guards against a pull of the whole state for each lost datagram."""
    catalog, change = read(EMPTY_CATALOG, 5, make_rows("a"))
    follower = apply_change(EMPTY_CATALOG, change)
    renewed, _ = read(catalog, 6, make_rows("a", version=6))
    _, empty_change = read(renewed, 8, make_rows("a", version=8))
    followed = apply_change(follower, empty_change)
    assert isinstance(followed, Catalog)
    assert followed.version == at(8)


def test_change_older_than_the_catalog_is_ignored():
    """Guards against late datagrams that restore an old server state."""
    catalog, old = read(EMPTY_CATALOG, 5, make_rows("a"))
    drained, _ = read(catalog, 6, make_rows("a", version=6, is_draining=True))
    assert apply_change(drained, old) is drained


def test_older_row_does_not_replace_a_newer_one():
    """
    Guards against a drained server that is in use again.

    The change that another reader has sent may be newer than a row that was
    read.
    """
    rows = make_rows("a", "b", version=5)
    start, change = read(EMPTY_CATALOG, 5, rows)
    draining = make_rows("a", version=8, is_draining=True)
    drained = apply_change(
        start, CatalogChange(at(5), at(9), tuple(draining.values()), ())
    )
    assert drained.registrations["a"].server.is_draining
    merged, change = read(drained, 10, make_rows("a", "b", version=7))
    assert merged.registrations["a"].server.is_draining
    assert change.changed == ()
    older = CatalogChange(at(9), at(11), tuple(make_rows("a", version=7).values()), ())
    assert apply_change(merged, older).registrations["a"].server.is_draining
    newer = CatalogChange(at(9), at(12), tuple(make_rows("a", version=12).values()), ())
    assert not apply_change(merged, newer).registrations["a"].server.is_draining


def test_servers_of_unknown_services_are_left_out():
    """Guards against registrations of services that are not configured."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a"))
    unknown = ConfigurationDocument(EMPTY_CONFIGURATION, {"else": 9})
    assert not add_registered_servers(unknown, catalog).servers
    known = ConfigurationDocument(EMPTY_CONFIGURATION, {"s": 220})
    assert add_registered_servers(known, catalog).servers["a"].connections == 220


def test_versions_of_a_restored_store_are_later_ones():
    """Guards against changes ignored until the numbers have caught up."""
    catalog, _ = read(EMPTY_CATALOG, 100, make_rows("a", version=90))
    rows = make_rows("a", version=60, era=2, is_draining=True, sequence=1)
    restored, change = merge_store_read(catalog, at(61, 2), rows, 0.0, False)
    assert restored.version == restored.changed_version == at(61, 2)
    assert restored.registrations["a"].server.is_draining
    follower = apply_change(catalog, change)
    assert follower.registrations == restored.registrations
    late = CatalogChange(at(90), at(110), tuple(make_rows("z").values()), ())
    assert apply_change(follower, late) is follower


@pytest.mark.parametrize("started_ms", [0, 5])
def test_row_of_a_copy_does_not_undo_a_drain(started_ms):
    """Guards against a drained server that is in use again after a restore."""
    ready = make_rows("a", sequence=3, started_ms=started_ms)
    catalog, change = read(EMPTY_CATALOG, 5, ready)
    follower = apply_change(EMPTY_CATALOG, change)
    draining = make_rows("a", version=6, sequence=4, started_ms=started_ms)
    draining["a"] = drain(draining["a"])
    catalog, change = read(catalog, 6, draining)
    follower = apply_change(follower, change)
    copy = make_rows("a", version=5, era=2, sequence=3, started_ms=started_ms)
    restored, change = read_restored(catalog, 5, copy)
    assert restored.registrations["a"].server.is_draining
    assert apply_change(follower, change).registrations["a"].server.is_draining
    # Another instance has read the copy.
    _, change_of_copy = merge_store_read(EMPTY_CATALOG, at(5, 2), copy, 0.0, False)
    other = apply_change(EMPTY_CATALOG, change_of_copy)
    assert not other.registrations["a"].server.is_draining
    assert apply_change(other, change).registrations["a"].server.is_draining
    again = make_rows("a", version=7, era=2, sequence=5, started_ms=started_ms)
    written, _ = read_restored(restored, 7, again)
    assert not written.registrations["a"].server.is_draining


def drain(registration):
    return registration._replace(server=registration.server._replace(is_draining=True))


def test_row_of_a_copy_does_not_bring_an_earlier_start_back():
    """Guards against the address of a server from before its restart."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a", started_ms=900, port=81))
    copy = make_rows("a", version=4, era=2, started_ms=100, sequence=70)
    restored, _ = read_restored(catalog, 4, copy)
    assert restored.registrations["a"].server.port == 81
    later, _ = merge_store_read(catalog, at(4, 2), copy, 0.0, False)
    assert later.registrations["a"].server.port == 80, "the server wrote nothing else"


def test_server_that_left_before_a_restore_stays_away():
    """Guards against requests to a server that is only in the copy."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a", "b"))
    catalog, _ = read(catalog, 6, make_rows("a"))
    copy = make_rows("a", "b", version=5, era=2)
    restored, change = read_restored(catalog, 5, copy)
    assert list_names(restored) == ["a"]
    assert list(restored.unconfirmed) == ["b"]
    assert "b" in change.removed_ids, "another instance may have read the copy"
    same, _ = read_restored(restored, 6, copy)
    assert list_names(same) == ["a"]
    copy |= make_rows("b", version=7, era=2, sequence=1)
    written, change = read_restored(same, 7, copy)
    assert list_names(written) == ["a", "b"]
    assert not written.unconfirmed
    kept, _ = merge_store_read(same, at(7, 2), copy, 0.0, False)
    assert list_names(kept) == ["a", "b"], "the store has not removed it"


def test_server_that_registers_after_a_restore_is_used_at_once():
    """Guards against new servers that wait as if they were in the copy."""
    catalog, _ = read(EMPTY_CATALOG, 9, make_rows("a"))
    restored, _ = read_restored(catalog, 5, make_rows("a", version=5, era=2))
    rows = make_rows("a", "c", version=6, era=2)
    later, _ = read_restored(restored, 6, rows)
    assert list_names(later) == ["a", "c"]


def test_server_that_registered_before_a_restore_has_a_grace_period():
    """Guards against losing servers that are not in the copy."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a", "b"))
    restored, change = read_restored(catalog, 4, make_rows("a", era=2))
    assert list_names(restored) == ["a", "b"]
    assert change.removed_ids == ()


def read_warmup(catalog, version, left_ms, is_sent=True):
    """Return the result of a read where the server ``a`` has become cold."""
    rows = make_rows("a", version=version, warmup_left_ms=left_ms)
    return merge_store_read(
        catalog, at(version), rows, 0.0, False, is_warmup_sent=is_sent
    )


def test_server_that_becomes_cold_again_is_told_once():
    """Guards against instances that treat it as warm, and endless news."""
    catalog, _ = read_warmup(EMPTY_CATALOG, 5, 8_000.0)
    told = []
    for version, left_ms in enumerate((5_000, 0, 8_000, 6_500, 3_000, 7_000), 6):
        catalog, change = read_warmup(catalog, version, float(left_ms))
        told += [item.server.warmup_left_ms for item in change.changed]
    assert told == [8_000.0, 7_000.0]


def test_next_reader_tells_only_what_is_new():
    """Guards against news of all cold servers at each change of the reader."""
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a", warmup_left_ms=8_000.0))
    later, change = read_warmup(catalog, 6, 3_000.0)
    assert not change.changed
    catalog, _ = read(EMPTY_CATALOG, 5, make_rows("a"))
    _, change = read_warmup(catalog, 6, 3_000.0)
    assert len(change.changed) == 1


def test_warmup_is_told_only_where_it_is_used():
    """Guards against news that other deployments have no use for."""
    catalog, _ = read_warmup(EMPTY_CATALOG, 5, 0.0, is_sent=False)
    _, change = read_warmup(catalog, 6, 8_000.0, is_sent=False)
    assert not change.changed
