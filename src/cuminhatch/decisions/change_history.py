"""Recent catalog changes, for instances that have missed some of them."""

from collections import deque

from cuminhatch.decisions.catalog import CatalogChange, Registration
from cuminhatch.decisions.store_version import StoreVersion

# An instance that has missed more changes receives the whole catalog.
CHANGES_MAX = 64


class ChangeHistory:
    """The latest changes that led to the current catalog."""

    __slots__ = ("_changes",)

    def __init__(self) -> None:
        """Create an empty history."""
        self._changes: deque[CatalogChange] = deque(maxlen=CHANGES_MAX)

    def add(self, change: CatalogChange) -> None:
        """
        Add a change that has been applied, unless it is empty.

        :param change: change to add.
        """
        if change.changed or change.removed_ids:
            self._changes.append(change)

    def clear(self) -> None:
        """Remove all changes, since the whole catalog has been replaced."""
        self._changes.clear()

    def merge_since(self, version: StoreVersion) -> CatalogChange | None:
        """
        Return all changes after a version, merged into one.

        :param version: catalog version of the instance that asks.
        :returns: the merged change, None if there is none after that version
            or some of them are no longer kept.
        """
        missed = [change for change in self._changes if change.version > version]
        if not missed or missed[0].previous_version > version:
            return None
        registrations: dict[str, Registration] = {}
        removed_ids: set[str] = set()
        for change in missed:
            for server_id in change.removed_ids:
                registrations.pop(server_id, None)
                removed_ids.add(server_id)
            for registration in change.changed:
                registrations[registration.server.server_id] = registration
                removed_ids.discard(registration.server.server_id)
        return CatalogChange(
            missed[0].previous_version,
            missed[-1].version,
            tuple(registrations.values()),
            tuple(sorted(removed_ids)),
        )
