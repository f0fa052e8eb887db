"""Submits notes of operators to the table service."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from cuminhatch.codecs.note_json import digest_note, note_to_dict
from cuminhatch.decisions.notes import (
    HEAD_KEY,
    NOTES_END,
    SUBMISSION_LIMIT_MS,
    AcceptedNote,
    Action,
    AppendNeeded,
    CatchUpNeeded,
    Decided,
    HeadReadNeeded,
    NoteAccepted,
    NoteIdReadNeeded,
    NoteOutcomeUnknown,
    NoteRefused,
    Submission,
    after_catch_up,
    after_head_read,
    check_note_fields,
    expire,
    note_id_key,
    note_key,
)
from cuminhatch.decisions.platform import Row, TableUnavailable
from cuminhatch.errors import CodecError
from cuminhatch.messages import (
    NoteDecided,
    NoteSubmitted,
    TableReadRequested,
    TableScanRequested,
    TableTransactRequested,
)
from cuminhatch.services.notes._configuration import apply_notes
from cuminhatch.services.notes._replay import decode_rows, replay_to
from cuminhatch.services.notes._state import (
    MAX_SCAN_ROWS,
    NotesState,
    PendingSubmission,
)

CATCH_UP_RETRY_MS = 200.0


def on_note_submitted(state: NotesState, message: NoteSubmitted) -> None:
    """Check a submitted note and start its submission."""
    note = message.note
    refused = check_note_fields(note)
    if refused is None:
        try:
            body, digest = note_to_dict(note), digest_note(note)
        except CodecError as error:
            refused = NoteRefused(str(error))
    if refused is not None:
        report_result(state, message, refused)
        return
    number = next(state.submission_ids)
    submission = Submission(
        f"{state.submission_prefix}-{number}",
        note,
        body,
        digest,
        state.clock.now_ms + SUBMISSION_LIMIT_MS,
    )
    pending = PendingSubmission(message, submission)
    state.run_after(SUBMISSION_LIMIT_MS, lambda: expire_submission(state, pending))
    run_action(state, pending, HeadReadNeeded())


def expire_submission(state: NotesState, pending: PendingSubmission) -> None:
    """Report the result of a submission at its time limit."""
    # Also bounds the wait for a reply from ``platform``.
    if not pending.is_decided:
        submission = pending.submission
        is_open = submission.has_unconfirmed_append or pending.is_append_in_flight
        finish_submission(
            state, pending, expire(submission._replace(has_unconfirmed_append=is_open))
        )


def advance_submission(
    state: NotesState, pending: PendingSubmission, advanced: tuple[Submission, Action]
) -> None:
    """Carry out the next action of a submission."""
    # Nothing more is written once the result has been reported.
    if not pending.is_decided:
        pending.submission, action = advanced
        run_action(state, pending, action)


def run_action(state: NotesState, pending: PendingSubmission, action: Action) -> None:
    """Carry out an action of a submission, after its delay."""
    if isinstance(action, Decided):
        finish_submission(state, pending, action.result)
    elif isinstance(action, CatchUpNeeded):
        catch_up(state, pending, action)
    elif isinstance(action, AppendNeeded):
        state.run_after(action.delay_ms, lambda: append_note(state, pending, action))
    else:
        state.run_after(action.delay_ms, lambda: read_row(state, pending, action))


def append_note(
    state: NotesState, pending: PendingSubmission, action: AppendNeeded
) -> None:
    """Append the note to the table."""

    def on_replied(result: Any) -> None:
        pending.is_append_in_flight = False
        advance(result)

    if pending.is_decided:
        return
    advance = make_advance_callback(state, pending, state.decisions.after_append)
    pending.is_append_in_flight = True
    state.request_platform(TableTransactRequested, on_replied, action.transaction)


def read_row(
    state: NotesState,
    pending: PendingSubmission,
    action: HeadReadNeeded | NoteIdReadNeeded,
) -> None:
    """Read the row that decides the next action."""
    if isinstance(action, HeadReadNeeded):
        key, decide = HEAD_KEY, after_head_read
    else:
        key = note_id_key(pending.submission.note.note_id)
        decide = state.decisions.after_note_id_read
    state.request_platform(
        TableReadRequested, make_advance_callback(state, pending, decide), key
    )


def make_advance_callback(
    state: NotesState,
    pending: PendingSubmission,
    decide: Callable[..., tuple[Submission, Action]],
) -> Callable[[Any], None]:
    """Return a callback that decides the next action by a reply."""

    def advance(result: Any) -> None:
        now_ms = state.clock.now_ms
        advance_submission(state, pending, decide(pending.submission, result, now_ms))

    return advance


def catch_up(
    state: NotesState, pending: PendingSubmission, action: CatchUpNeeded
) -> None:
    """Check a note against the notes accepted meanwhile."""

    def retry() -> None:
        state.run_after(CATCH_UP_RETRY_MS, lambda: catch_up(state, pending, action))

    def finish(newer: Iterable[AcceptedNote]) -> None:
        note = pending.submission.note
        configuration = state.configuration
        advance_submission(
            state,
            pending,
            after_catch_up(
                pending.submission,
                configuration,
                state.decisions.check_note(configuration, note),
                state.decisions.find_conflict(
                    note, (n for n in newer if n.sequence <= action.sequence)
                ),
                state.clock.now_ms,
            ),
        )

    if pending.is_decided:
        return
    if state.configuration.sequence < action.sequence:
        replay_to(state, action.sequence)
        retry()
        return
    recent = state.list_notes_after(action.after)
    if recent is not None:
        finish(recent)
    else:
        scan_range(state, action.after, action.sequence, [], finish, retry)


def scan_range(
    state: NotesState,
    after: int,
    end: int,
    collected: list[AcceptedNote],
    finish: Callable[[Sequence[AcceptedNote]], None],
    retry: Callable[[], None],
) -> None:
    """Read the notes after ``after``, up to ``end``, page by page."""

    def on_scanned(result: tuple[Row, ...] | TableUnavailable) -> None:
        notes = (
            [] if isinstance(result, TableUnavailable) else decode_rows(state, result)
        )
        if not notes:
            retry()
            return
        collected.extend(notes)
        last = notes[-1].sequence
        if last >= end:
            finish(collected)
        else:
            scan_range(state, last, end, collected, finish, retry)

    state.request_platform(
        TableScanRequested,
        on_scanned,
        note_key(after),
        NOTES_END,
        MAX_SCAN_ROWS,
    )


def finish_submission(
    state: NotesState,
    pending: PendingSubmission,
    result: NoteAccepted | NoteRefused | NoteOutcomeUnknown,
) -> None:
    """Report the result of a submission, and apply an accepted note."""
    pending.is_decided = True
    report_result(state, pending.request, result)
    if isinstance(result, NoteAccepted):
        # Applied at once, so that peers can pull the note from here even
        # if the table service fails now.
        apply_notes(state, [AcceptedNote(result.sequence, pending.request.note)])
        replay_to(state, result.sequence)


def report_result(
    state: NotesState,
    request: NoteSubmitted,
    result: NoteAccepted | NoteRefused | NoteOutcomeUnknown,
) -> None:
    """Send the result of a submission to its sender."""
    state.send(request.reply_to, NoteDecided(request.token, result))
    state.record(
        "note-decided",
        result.sequence if isinstance(result, NoteAccepted) else 0,
        note_id=request.note.note_id,
        result=type(result).__name__,
        reason=getattr(result, "reason", ""),
    )
