"""Tests of the history sent to instances that have missed changes."""

from cuminhatch.decisions.catalog import CatalogChange, Registration
from cuminhatch.decisions.change_history import CHANGES_MAX, ChangeHistory
from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.store_version import StoreVersion


def at(number, era=1):
    return StoreVersion(era, number)


def make_registration(name, version, is_draining=False):
    server = BackendServer(name, "s", "10.0.0.1", 80, "here", 3, 0, is_draining)
    return Registration(server, at(version))


def test_changes_are_merged_into_one():
    """Guards against sending a server that a later change has removed."""
    history = ChangeHistory()
    history.add(
        CatalogChange(
            at(0), at(5), (make_registration("a", 4), make_registration("b", 5)), ()
        )
    )
    history.add(CatalogChange(at(5), at(8), (make_registration("c", 8),), ("a",)))
    history.add(CatalogChange(at(8), at(9), (make_registration("b", 9, True),), ()))
    merged = history.merge_since(at(6))
    assert (merged.previous_version, merged.version) == (at(5), at(9))
    assert [item.server.server_id for item in merged.changed] == ["c", "b"]
    assert merged.removed_ids == ("a",)
    assert history.merge_since(at(8)).changed == (make_registration("b", 9, True),)


def test_server_registered_again_is_not_removed():
    """Guards against a removal sent for a server that registered again."""
    history = ChangeHistory()
    history.add(CatalogChange(at(1), at(2), (), ("a",)))
    history.add(CatalogChange(at(2), at(3), (make_registration("a", 3),), ()))
    assert history.merge_since(at(1)) == CatalogChange(
        at(1), at(3), (make_registration("a", 3),), ()
    )


def test_history_without_all_missed_changes_is_not_used():
    """Guards against an instance that receives only some missed changes."""
    history = ChangeHistory()
    for version in range(1, CHANGES_MAX + 10):
        history.add(
            CatalogChange(
                at(version - 1), at(version), (make_registration("a", version),), ()
            )
        )
    assert history.merge_since(at(3)) is None
    assert history.merge_since(at(CHANGES_MAX)) is not None
    history.clear()
    assert history.merge_since(at(CHANGES_MAX)) is None
