"""Tests of what instances are told that have missed changes."""

from cuminhatch.decisions.catalog import CatalogChange, Registration
from cuminhatch.decisions.change_history import CHANGES_MAX, ChangeHistory
from cuminhatch.decisions.configuration import BackendServer


def row(name, version, is_draining=False):
    server = BackendServer(name, "s", "10.0.0.1", 80, "here", 3, 0, is_draining)
    return Registration(server, version)


def test_changes_are_told_as_one():
    """Guards against a server that a later change had removed."""
    history = ChangeHistory()
    history.note(CatalogChange(0, 5, (row("a", 4), row("b", 5)), ()))
    history.note(CatalogChange(5, 8, (row("c", 8),), ("a",)))
    history.note(CatalogChange(8, 9, (row("b", 9, True),), ()))
    told = history.since(6)
    assert (told.previous_version, told.version) == (5, 9)
    assert [item.server.server_id for item in told.changed] == ["c", "b"]
    assert told.removed_ids == ("a",)
    assert history.since(8).changed == (row("b", 9, True),)


def test_server_that_came_back_is_not_removed():
    """Guards against a removal that is told after the return."""
    history = ChangeHistory()
    history.note(CatalogChange(1, 2, (), ("a",)))
    history.note(CatalogChange(2, 3, (row("a", 3),), ()))
    assert history.since(1) == CatalogChange(1, 3, (row("a", 3),), ())


def test_forgotten_changes_are_not_left_out():
    """Guards against an instance that is told only the latest changes."""
    history = ChangeHistory()
    for version in range(1, CHANGES_MAX + 10):
        history.note(CatalogChange(version - 1, version, (row("a", version),), ()))
    assert history.since(3) is None
    assert history.since(CHANGES_MAX) is not None
    history.restart()
    assert history.since(CHANGES_MAX) is None
