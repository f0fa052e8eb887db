"""Pulls notes from peers, and sends notes to them."""

from collections.abc import Iterable
from itertools import islice

from cuminhatch.decisions.notes import NOTES_END, AcceptedNote, note_key
from cuminhatch.decisions.platform import Row, TableUnavailable
from cuminhatch.messages import (
    HeadReceived,
    NotesPulled,
    NotesPullRequested,
    NotesReplied,
    NotesRequested,
    TableScanRequested,
)
from cuminhatch.services.notes._configuration import apply_notes
from cuminhatch.services.notes._readiness import record_contact
from cuminhatch.services.notes._replay import decode_rows
from cuminhatch.services.notes._state import MAX_SCAN_ROWS, NotesState

# A pull from a peer without a reply for this time may be repeated.
PULL_RETRY_MS = 500.0


def on_head_received(state: NotesState, message: HeadReceived) -> None:
    """Pull notes if a peer has a later head."""
    record_contact(state, is_head_current=True)
    sequence = state.configuration.sequence
    if message.sequence <= sequence:
        return
    if message.sequence >= state.pull_target or state.pull_target <= sequence:
        state.pull_target = message.sequence
        state.pull_address = message.address
    # A large gap is left to a replay in progress, which reads a snapshot.
    is_replaying = state.replay_started_ms is not None
    if not (
        is_replaying and state.decisions.is_snapshot_wanted(sequence, message.sequence)
    ):
        pull_notes(state)


def pull_notes(state: NotesState) -> None:
    """Pull the missing notes from the peer with the latest head."""
    now_ms = state.clock.now_ms
    if now_ms < state.next_pull_ms or state.pull_address is None:
        return
    state.next_pull_ms = now_ms + PULL_RETRY_MS
    state.send(
        "note_transfer",
        NotesPullRequested(state.pull_address, state.configuration.sequence),
    )


def on_notes_pulled(state: NotesState, message: NotesPulled) -> None:
    """Apply pulled notes, and pull the rest."""
    before = state.configuration.sequence
    apply_notes(state, message.notes)
    if before < state.configuration.sequence < state.pull_target:
        state.next_pull_ms = 0.0
        pull_notes(state)


def on_notes_requested(state: NotesState, message: NotesRequested) -> None:
    """Send notes to a peer, from memory or from the table."""

    def reply(notes: Iterable[AcceptedNote]) -> None:
        state.send(message.reply_to, NotesReplied(message.token, tuple(notes)))

    def on_scanned(result: tuple[Row, ...] | TableUnavailable) -> None:
        if isinstance(result, TableUnavailable):
            reply(islice(state.recent_notes, message.limit))
        else:
            reply(decode_rows(state, result))

    recent = state.list_notes_after(message.after)
    if recent is not None:
        reply(recent[: message.limit])
        return
    state.request_platform(
        TableScanRequested,
        on_scanned,
        note_key(message.after),
        NOTES_END,
        min(message.limit, MAX_SCAN_ROWS),
    )
