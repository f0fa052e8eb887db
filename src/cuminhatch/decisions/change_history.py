"""The latest changes of the catalog, for instances that have missed some."""

from collections import deque

from cuminhatch.decisions.catalog import CatalogChange, Registration

# An instance that has missed more is told everything.
CHANGES_MAX = 64


class ChangeHistory:
    """State of the changes that led to what is known."""

    __slots__ = ("_changes",)

    def __init__(self) -> None:
        """Start without changes."""
        self._changes: deque[CatalogChange] = deque(maxlen=CHANGES_MAX)

    def note(self, change: CatalogChange) -> None:
        """
        Keep a change that has been applied; one without content is not kept.

        :param change: the change.
        """
        if change.changed or change.removed_ids:
            self._changes.append(change)

    def restart(self) -> None:
        """Forget all changes, since the whole catalog has been replaced."""
        self._changes.clear()

    def since(self, version: int) -> CatalogChange | None:
        """
        Return all changes after a version as one.

        :param version: version that an instance knows.
        :returns: None if changes after it are not kept any more.
        """
        missed = [change for change in self._changes if change.version > version]
        if not missed or missed[0].previous_version > version:
            return None
        registrations: dict[str, Registration] = {}
        removed: set[str] = set()
        for change in missed:
            for server_id in change.removed_ids:
                registrations.pop(server_id, None)
                removed.add(server_id)
            for registration in change.changed:
                registrations[registration.server.server_id] = registration
                removed.discard(registration.server.server_id)
        return CatalogChange(
            missed[0].previous_version,
            missed[-1].version,
            tuple(registrations.values()),
            tuple(sorted(removed)),
        )
