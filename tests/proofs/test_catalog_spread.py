"""Instances that learn changes by lossy datagrams agree and never revert."""

from random import Random

import pytest

from cuminhatch.decisions.catalog import (
    EMPTY_CATALOG,
    Catalog,
    Registration,
    VersionGap,
    apply_change,
    merge_store_read,
)
from cuminhatch.decisions.change_history import ChangeHistory
from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.store_version import NO_VERSION, StoreVersion

STEPS = 400
FOLLOWERS = 6


def make_row(name, version, is_draining):
    server = BackendServer(
        name, "s", "10.0.0.1", 80, "here", 3, 0, is_draining=is_draining
    )
    return Registration(server, version)


def next_version(version):
    return version._replace(number=version.number + 1)


def get_servers(catalog):
    return {name: item.server for name, item in catalog.registrations.items()}


class Fleet:
    """A reader of the store, followers, and the network between them."""

    apply = staticmethod(apply_change)
    make_history = ChangeHistory

    def __init__(self, seed):
        self.rng = Random(seed)
        self.rows = {}
        self.version = StoreVersion(1, 1)
        self.reader = EMPTY_CATALOG
        self.history = self.make_history()
        self.followers = [EMPTY_CATALOG] * FOLLOWERS
        self.in_transit = []

    def change_rows(self):
        self.version = next_version(self.version)
        name = f"b{self.rng.randrange(5)}"
        if name in self.rows and self.rng.random() < 0.3:
            del self.rows[name]
        else:
            self.rows[name] = make_row(name, self.version, self.rng.random() < 0.3)

    def read(self):
        self.reader, change = merge_store_read(
            self.reader, self.version, self.rows, 0.0, False
        )
        self.history.add(change)
        for number in range(FOLLOWERS):
            if self.rng.random() < 0.7:
                self.in_transit.append((number, change))

    def deliver(self):
        if not self.in_transit:
            return
        index = self.rng.randrange(len(self.in_transit))
        number, change = self.in_transit[index]
        # A datagram that stays in transit is delivered twice.
        if self.rng.random() < 0.9:
            del self.in_transit[index]
        before = self.followers[number]
        after = self.apply(before, change)
        if isinstance(after, VersionGap):
            after = self.pull(before)
        assert after.version >= before.version, "went back"
        self.followers[number] = after

    def pull(self, before):
        """Return a catalog after a pull of the changes it has missed."""
        catalog = self.reader
        missed = self.history.merge_since(before.version)
        if missed is not None and self.rng.random() < 0.8:
            return self.apply(before, missed)
        return Catalog(catalog.version, catalog.version, catalog.registrations, {})


def run_fleet(seed):
    """Run a fleet and check that all instances agree at the end."""
    fleet = Fleet(seed)
    for _ in range(STEPS):
        fleet.rng.choice((fleet.change_rows, fleet.read, fleet.deliver))()
    fleet.read()
    fleet.in_transit.clear()
    _, unchanged = merge_store_read(
        fleet.reader, next_version(fleet.version), fleet.rows, 0.0, False
    )
    for follower in fleet.followers:
        updated = fleet.apply(follower, unchanged)
        if isinstance(updated, VersionGap):
            updated = fleet.pull(follower)
        assert get_servers(updated) == get_servers(fleet.reader)


@pytest.mark.parametrize("seed", range(40))
def test_followers_agree_with_the_reader(seed):
    """Guards against an instance that loses or reverts a change for good."""
    run_fleet(seed)


def apply_over_gaps(catalog, change):
    """Apply a change although earlier ones are missing."""
    return apply_change(catalog, change._replace(previous_version=NO_VERSION))


def apply_old_changes(catalog, change):
    """Apply a change that is older than the catalog."""
    return apply_change(
        catalog._replace(version=NO_VERSION, changed_version=NO_VERSION),
        change._replace(previous_version=NO_VERSION),
    )


def apply_without_removals(catalog, change):
    """Keep servers that were removed."""
    return apply_change(catalog, change._replace(removed_ids=()))


class ShortHistory(ChangeHistory):
    """Returns only the latest change, whatever was missed."""

    def merge_since(self, version):
        change = super().merge_since(version)
        latest = self._changes[-1] if self._changes else None
        return None if change is None else latest._replace(previous_version=NO_VERSION)


@pytest.mark.parametrize(
    "broken",
    [
        {"apply": staticmethod(apply_over_gaps)},
        {"apply": staticmethod(apply_old_changes)},
        {"apply": staticmethod(apply_without_removals)},
        {"make_history": ShortHistory},
    ],
    ids=["gaps-ignored", "goes-back", "removals-lost", "history-cut"],
)
def test_broken_versions_are_caught(monkeypatch, broken):
    """Guards against a proof that passes any version."""
    for name, value in broken.items():
        monkeypatch.setattr(Fleet, name, value)
    with pytest.raises(AssertionError):
        for seed in range(40):
            run_fleet(seed)
