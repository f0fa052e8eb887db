"""Replays the accepted notes from the table service."""

from collections.abc import Iterable
from functools import partial
from typing import Any

from cuminhatch.codecs.note_json import accepted_note_from_row, decode_snapshot
from cuminhatch.decisions.notes import NOTES_END, AcceptedNote, note_key
from cuminhatch.decisions.platform import (
    ObjectFound,
    Row,
    RowAbsent,
    TableUnavailable,
)
from cuminhatch.decisions.snapshots import SNAPSHOT_KEY
from cuminhatch.errors import CodecError
from cuminhatch.log import logger
from cuminhatch.messages import (
    ObjectGetRequested,
    TableReadRequested,
    TableScanRequested,
)
from cuminhatch.services.notes._configuration import (
    apply_notes,
    publish_configuration,
)
from cuminhatch.services.notes._state import (
    MAX_SCAN_ROWS,
    PLATFORM_REPLY_TIMEOUT_MS,
    NotesState,
)


def replay_to(state: NotesState, head: int) -> None:
    """Replay notes from the table up to a head, or a snapshot and the rest."""
    state.replay_target = max(state.replay_target, head)
    sequence = state.configuration.sequence
    now_ms = state.clock.now_ms
    started_ms = state.replay_started_ms
    is_in_progress = (
        started_ms is not None and now_ms - started_ms < PLATFORM_REPLY_TIMEOUT_MS
    )
    if sequence >= state.replay_target or is_in_progress:
        return
    state.replay_started_ms = now_ms
    if state.decisions.is_snapshot_wanted(sequence, state.replay_target):
        state.request_platform(
            TableReadRequested, partial(on_snapshot_row_read, state), SNAPSHOT_KEY
        )
    else:
        replay_next_page(state)


def on_snapshot_row_read(
    state: NotesState, result: Row | RowAbsent | TableUnavailable
) -> None:
    """Read the snapshot that the row refers to, if it is newer."""
    sequence = state.configuration.sequence
    if not isinstance(result, Row) or result.value["sequence"] <= sequence:
        replay_next_page(state)
        return

    def on_object_read(found: Any) -> None:
        apply_snapshot(state, result, found)
        replay_next_page(state)

    state.request_platform(
        ObjectGetRequested, on_object_read, result.value["object_name"]
    )


def apply_snapshot(state: NotesState, row: Row, found: Any) -> None:
    """Apply a snapshot, or skip it if it is damaged."""
    sequence = row.value["sequence"]
    reason = ""
    if not isinstance(found, ObjectFound):
        reason = found.reason
    elif state.decisions.digest_bytes(found.data) != row.value["digest"]:
        reason = "digest mismatch"
    else:
        try:
            configuration = decode_snapshot(found.data)
        except CodecError as error:
            reason = str(error)
    if reason:
        logger.warning(
            "notes: skipped snapshot {}: {}; replaying notes.", sequence, reason
        )
        state.record("snapshot-skipped", sequence, reason=reason)
    elif configuration.sequence > state.configuration.sequence:
        state.configuration = configuration
        state.recent_notes.clear()
        state.record("snapshot-applied", sequence)
        publish_configuration(state)


def replay_next_page(state: NotesState) -> None:
    """Read and apply the next notes of a replay."""
    after = state.configuration.sequence

    def on_scanned(result: tuple[Row, ...] | TableUnavailable) -> None:
        state.replay_started_ms = None
        if not isinstance(result, TableUnavailable):
            apply_notes(state, decode_rows(state, result))
        # Without progress, replay stops until the next poll.
        if after < state.configuration.sequence < state.replay_target:
            state.replay_started_ms = state.clock.now_ms
            replay_next_page(state)

    state.request_platform(
        TableScanRequested,
        on_scanned,
        note_key(after),
        NOTES_END,
        MAX_SCAN_ROWS,
    )


def decode_rows(state: NotesState, rows: Iterable[Row]) -> list[AcceptedNote]:
    """Decode rows up to the first one that is malformed."""
    notes = []
    for row in rows:
        try:
            notes.append(accepted_note_from_row(row.value))
        except CodecError as error:
            logger.error("notes: cannot decode row {}: {}.", row.key, error)
            break
    return notes
