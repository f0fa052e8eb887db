"""Writes snapshots of the configuration to the object store."""

from functools import partial
from typing import Any

from cuminhatch.codecs.note_json import encode_snapshot
from cuminhatch.decisions.configuration import Configuration
from cuminhatch.decisions.platform import (
    Committed,
    ObjectStored,
    Row,
    RowAbsent,
    TableUnavailable,
)
from cuminhatch.decisions.snapshots import (
    SNAPSHOT_KEY,
    SnapshotSuperseded,
    is_superseded,
    plan_snapshot,
    snapshot_name,
)
from cuminhatch.log import logger
from cuminhatch.messages import (
    ObjectPutRequested,
    TableReadRequested,
    TableTransactRequested,
)
from cuminhatch.services.notes._state import NotesState

# Instances write a snapshot after a random delay, so that most of them find
# that another instance has already stored it.
MAX_SNAPSHOT_JITTER_MS = 10_000.0


def schedule_snapshot(state: NotesState) -> None:
    """Write a pending snapshot after a random delay."""
    if state.pending_snapshot is None or state.is_snapshot_in_progress:
        return
    state.is_snapshot_in_progress = True
    delay_ms = state.rng.uniform(1.0, MAX_SNAPSHOT_JITTER_MS)
    state.run_after(delay_ms, partial(write_snapshot, state))


def finish_snapshot(state: NotesState, written: Configuration | None) -> None:
    """End a snapshot attempt; schedule another if one is still pending."""
    if written is state.pending_snapshot:
        state.pending_snapshot = None
    state.is_snapshot_in_progress = False
    schedule_snapshot(state)


def write_snapshot(state: NotesState) -> None:
    """Write the pending snapshot unless a later one is stored."""
    configuration = state.pending_snapshot
    assert configuration is not None
    sequence = configuration.sequence

    def on_row_read(current_row: Row | RowAbsent | TableUnavailable) -> None:
        if isinstance(current_row, TableUnavailable):
            finish_snapshot(state, None)
        elif is_superseded(current_row, sequence):
            finish_snapshot(state, configuration)
        else:
            store_snapshot(state, configuration, current_row)

    state.request_platform(TableReadRequested, on_row_read, SNAPSHOT_KEY)


def store_snapshot(
    state: NotesState, configuration: Configuration, current_row: Row | RowAbsent
) -> None:
    """Store a snapshot, then the row that refers to it."""
    sequence = configuration.sequence
    data = encode_snapshot(configuration)

    def on_object_stored(result: Any) -> None:
        if not isinstance(result, ObjectStored):
            finish_snapshot(state, None)
            return
        transaction = plan_snapshot(
            current_row,
            sequence,
            state.decisions.digest_bytes(data),
            f"{state.submission_prefix}-snapshot-{sequence}",
        )
        assert not isinstance(transaction, SnapshotSuperseded)
        state.request_platform(
            TableTransactRequested, on_reference_written, transaction
        )

    def on_reference_written(result: Any) -> None:
        if isinstance(result, Committed):
            logger.info("notes: stored snapshot {}.", sequence)
            state.record("snapshot-stored", sequence)
            finish_snapshot(state, configuration)
        else:
            # Another instance has written the row first, or there was no
            # reply: the next attempt reads the row to find out.
            finish_snapshot(state, None)

    state.request_platform(
        ObjectPutRequested, on_object_stored, snapshot_name(sequence), data
    )
