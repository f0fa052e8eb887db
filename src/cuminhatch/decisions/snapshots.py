"""Snapshots of the configuration, which bound the replay of notes."""

from typing import NamedTuple, TypedDict

from cuminhatch.decisions.platform import (
    Row,
    RowAbsent,
    RowCheck,
    RowPut,
    TableTransaction,
)

SNAPSHOT_KEY = "snapshot"
# Replaying 100 notes takes one scan of the table.
SNAPSHOT_INTERVAL_NOTES = 100


class SnapshotValue(TypedDict):
    """Value of row ``snapshot``."""

    sequence: int
    object_name: str
    digest: str


class SnapshotSuperseded(NamedTuple):
    """Sentinel: the row names a snapshot that is as new or newer."""

    reason: str = "superseded"


def is_snapshot_due(sequence: int) -> bool:
    """
    Tell whether a snapshot is taken at a sequence number.

    All instances take it at the same numbers, so that they would store the
    same bytes under the same name.

    :param sequence: sequence number of the configuration in force.
    """
    return sequence > 0 and sequence % SNAPSHOT_INTERVAL_NOTES == 0


def is_snapshot_wanted(sequence: int, head: int) -> bool:
    """
    Tell whether to look for a snapshot before replaying notes.

    :param sequence: sequence number of this instance.
    :param head: sequence number of the head.
    """
    return head - sequence > SNAPSHOT_INTERVAL_NOTES


def snapshot_name(sequence: int) -> str:
    """
    Name the object of a snapshot.

    :param sequence: sequence number of the snapshot.
    """
    return f"snapshot/{sequence}"


def is_superseded(present: Row | RowAbsent, sequence: int) -> bool:
    """
    Tell whether the row names a snapshot that is as new or newer.

    :param present: row ``snapshot`` as read.
    :param sequence: sequence number of the new snapshot.
    """
    return isinstance(present, Row) and present.value["sequence"] >= sequence


def plan_snapshot(
    present: Row | RowAbsent, sequence: int, digest: str, transaction_id: str
) -> TableTransaction | SnapshotSuperseded:
    """
    Plan the write that names a snapshot, once its object is stored.

    :param present: row ``snapshot`` as read before.
    :param sequence: sequence number of the stored snapshot.
    :param digest: digest of the object.
    :param transaction_id: unique id of the write.
    :returns: a transaction conditional on the row read, so that one instance
        wins.
    """
    if is_superseded(present, sequence):
        return SnapshotSuperseded()
    version = present.version if isinstance(present, Row) else 0
    value = SnapshotValue(
        sequence=sequence, object_name=snapshot_name(sequence), digest=digest
    )
    return TableTransaction(
        transaction_id,
        (RowCheck(SNAPSHOT_KEY, version),),
        (RowPut(SNAPSHOT_KEY, dict(value)),),
    )
