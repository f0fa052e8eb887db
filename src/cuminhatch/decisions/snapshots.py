"""Configuration snapshots, which limit how many notes are replayed."""

from typing import NamedTuple, TypedDict

from cuminhatch.decisions.platform import (
    Row,
    RowAbsent,
    RowCheck,
    RowPut,
    TableTransaction,
)

SNAPSHOT_KEY = "snapshot"
# 100 notes can be read in one scan of the table.
SNAPSHOT_INTERVAL_NOTES = 100


class SnapshotValue(TypedDict):
    """Value of row ``snapshot``."""

    sequence: int
    object_name: str
    digest: str


class SnapshotSuperseded(NamedTuple):
    """Result: the row already names a snapshot at least as new."""

    reason: str = "superseded"


def is_snapshot_due(sequence: int) -> bool:
    """
    Return whether a snapshot is due at a sequence number.

    All instances take snapshots at the same sequence numbers, so any two of
    them would store the same bytes under the same name.

    :param sequence: sequence number of the configuration in force.
    """
    return sequence > 0 and sequence % SNAPSHOT_INTERVAL_NOTES == 0


def is_snapshot_wanted(sequence: int, head: int) -> bool:
    """
    Return whether to load a snapshot before replaying notes.

    :param sequence: sequence number of the local configuration.
    :param head: sequence number of the latest accepted note.
    """
    return head - sequence > SNAPSHOT_INTERVAL_NOTES


def snapshot_name(sequence: int) -> str:
    """
    Return the object name of a snapshot.

    :param sequence: sequence number of the snapshot.
    """
    return f"snapshot/{sequence}"


def is_superseded(current: Row | RowAbsent, sequence: int) -> bool:
    """
    Return whether the row names a snapshot at least as new.

    :param current: row ``snapshot`` as read.
    :param sequence: sequence number of the new snapshot.
    """
    return isinstance(current, Row) and current.value["sequence"] >= sequence


def plan_snapshot(
    current: Row | RowAbsent, sequence: int, digest: str, transaction_id: str
) -> TableTransaction | SnapshotSuperseded:
    """
    Plan the transaction that publishes a snapshot after its object is stored.

    :param current: row ``snapshot`` as read.
    :param sequence: sequence number of the stored snapshot.
    :param digest: digest of the object.
    :param transaction_id: unique id of the transaction.
    :returns: a transaction conditional on the version of the row read, so
        that only one of several concurrent writers succeeds.
    """
    if is_superseded(current, sequence):
        return SnapshotSuperseded()
    version = current.version if isinstance(current, Row) else 0
    value = SnapshotValue(
        sequence=sequence, object_name=snapshot_name(sequence), digest=digest
    )
    return TableTransaction(
        transaction_id,
        (RowCheck(SNAPSHOT_KEY, version),),
        (RowPut(SNAPSHOT_KEY, dict(value)),),
    )
