"""
State machine of a note submission, which ends accepted, refused or unknown.

Each function takes a :class:`Submission` and returns its next state and the
next action to perform. The outcome is derived from two facts:

- Each append is conditional on the version of row ``head`` and on the
  absence of row ``note-id/<id>``, and its reply shows atomically which of the
  two failed. So a reply with a changed head and an absent note id proves that
  no earlier append of the submission on the old head can take effect, even
  if its reply was lost and it is still in flight.
- A read proves only presence. An absent row does not rule out a write in
  flight, so after a lost reply and an absent row the same append is sent
  again: at most one of the two can succeed, and the reply decides both.

``head`` is read before ``note-id/<id>``. If that later read finds no note id,
the note was not accepted up to that head, so a refusal at that head does not
contradict an earlier acceptance. A refusal applies to one submission, none of
whose writes can take effect; another submission of the same note may still be
accepted.
"""

from typing import Any, NamedTuple

from cuminhatch.decisions.configuration import Configuration
from cuminhatch.decisions.notes._checks import BASE_AGE_MAX
from cuminhatch.decisions.notes._rows import HEAD_KEY, note_id_key, plan_append
from cuminhatch.decisions.notes._types import (
    Conflict,
    Note,
    NoteAccepted,
    NoteOutcomeUnknown,
    NoteRefused,
)
from cuminhatch.decisions.platform import (
    Committed,
    Mismatched,
    Row,
    RowAbsent,
    TableTransaction,
    TableUnavailable,
)

# Time after which the outcome is reported as unknown.
SUBMISSION_LIMIT_MS = 10_000.0
# Bounds of the exponential retry delay.
RETRY_MIN_MS = 100.0
RETRY_MAX_MS = 1000.0


class Submission(NamedTuple):
    """
    State of one submission.

    ``body`` is the note as stored in the table. ``baseline`` is the sequence
    number after which notes may conflict, None before the first read of the
    head. ``has_unconfirmed_append`` is True if an append on ``head_version``
    may have taken effect or may still do so. ``retries`` counts those since
    the last update of ``head_version``.
    """

    submission_id: str
    note: Note
    body: dict[str, Any]
    digest: str
    deadline_ms: float
    baseline: int | None = None
    head_version: int = 0
    head_sequence: int = 0
    has_unconfirmed_append: bool = False
    retries: int = 0


class HeadReadNeeded(NamedTuple):
    """Action: read row ``head``, after a delay."""

    delay_ms: float = 0.0


class NoteIdReadNeeded(NamedTuple):
    """Action: read row ``note-id/<id>``, after a delay."""

    delay_ms: float = 0.0


class CatchUpNeeded(NamedTuple):
    """Action: fetch the notes after ``after`` up to ``sequence``."""

    after: int
    sequence: int


class AppendNeeded(NamedTuple):
    """Action: send the append transaction, after a delay."""

    transaction: TableTransaction
    delay_ms: float = 0.0


class Decided(NamedTuple):
    """Action: report the result to the submitter."""

    result: NoteAccepted | NoteRefused | NoteOutcomeUnknown


Action = HeadReadNeeded | NoteIdReadNeeded | CatchUpNeeded | AppendNeeded | Decided
Transition = tuple[Submission, Action]


def _retry(submission: Submission, now_ms: float, action: Action) -> Transition:
    delay_ms = min(RETRY_MAX_MS, RETRY_MIN_MS * 2**submission.retries)
    if now_ms + delay_ms > submission.deadline_ms:
        return submission, Decided(expire(submission))
    submission = submission._replace(retries=submission.retries + 1)
    return submission, action._replace(delay_ms=delay_ms)


def expire(submission: Submission) -> NoteOutcomeUnknown:
    """
    Return the result of a submission that has reached its deadline.

    The result is never a refusal: even if this submission has written
    nothing, another submission of the same note may have.

    :param submission: submission without a result.
    """
    if submission.has_unconfirmed_append:
        return NoteOutcomeUnknown(
            "the table service did not confirm the write, which may still take "
            "effect; submit the same note again to learn its outcome"
        )
    return NoteOutcomeUnknown(
        "the table service did not answer in time and this submission has written "
        "nothing; submit the same note again"
    )


def _plan_append_step(submission: Submission) -> AppendNeeded:
    return AppendNeeded(
        plan_append(
            submission.head_version,
            submission.head_sequence,
            submission.note,
            submission.body,
            submission.digest,
            submission.submission_id,
        )
    )


def _with_head(submission: Submission, head: Row | None) -> Submission:
    version, sequence = (head.version, head.value["sequence"]) if head else (0, 0)
    baseline = submission.baseline
    if baseline is None:
        baseline = sequence if submission.note.base is None else submission.note.base
    return submission._replace(
        baseline=baseline,
        head_version=version,
        head_sequence=sequence,
        has_unconfirmed_append=False,
        retries=0,
    )


def _start_catch_up(submission: Submission) -> Transition:
    baseline = submission.baseline or 0
    sequence = submission.head_sequence
    if baseline > sequence:
        return submission, Decided(
            NoteRefused(
                f"base {baseline} is higher than the latest accepted note {sequence}; "
                "correct it"
            )
        )
    if sequence - baseline > BASE_AGE_MAX:
        return submission, Decided(
            NoteRefused(
                f"base {baseline} is more than {BASE_AGE_MAX} notes behind the head "
                f"{sequence}; write the note against a newer configuration"
            )
        )
    return submission, CatchUpNeeded(baseline, sequence)


def _decide_by_row(submission: Submission, row: Row) -> Decided:
    if row.value["digest"] != submission.digest:
        return Decided(
            NoteRefused(
                f"id {submission.note.note_id} is taken by note "
                f"{row.value['sequence']} with a different text; use another id"
            )
        )
    is_repeated = row.value["submission"] != submission.submission_id
    return Decided(NoteAccepted(row.value["sequence"], is_repeated))


def after_head_read(
    submission: Submission, result: Row | RowAbsent | TableUnavailable, now_ms: float
) -> Transition:
    """
    Process the result of reading row ``head``.

    This read is only requested while no append is unconfirmed.

    :param submission: current state.
    :param result: result of the read.
    :param now_ms: monotonic time in milliseconds.
    :returns: the next state and the next action.
    """
    if isinstance(result, TableUnavailable):
        return _retry(submission, now_ms, HeadReadNeeded())
    head = result if isinstance(result, Row) else None
    return _with_head(submission, head), NoteIdReadNeeded()


def after_note_id_read(
    submission: Submission, result: Row | RowAbsent | TableUnavailable, now_ms: float
) -> Transition:
    """
    Process the result of reading row ``note-id/<id>``.

    :param submission: current state.
    :param result: result of the read.
    :param now_ms: monotonic time in milliseconds.
    :returns: the next state and the next action.
    """
    if isinstance(result, TableUnavailable):
        return _retry(submission, now_ms, NoteIdReadNeeded())
    if isinstance(result, Row):
        return submission, _decide_by_row(submission, result)
    if submission.has_unconfirmed_append:
        # The append may still take effect; sending it again decides that.
        return _retry(submission, now_ms, _plan_append_step(submission))
    return _start_catch_up(submission)


def after_catch_up(
    submission: Submission,
    configuration: Configuration,
    refused: NoteRefused | None,
    conflict: Conflict | None,
    now_ms: float,
) -> Transition:
    """
    Continue after the notes up to the head were fetched.

    :param submission: current state.
    :param configuration: configuration of this instance, at or above the
        head that was read.
    :param refused: result of :func:`check_note` for that configuration.
    :param conflict: result of :func:`find_conflict` for the notes after the
        baseline.
    :param now_ms: monotonic time in milliseconds.
    :returns: the next state and the next action.
    """
    if configuration.sequence != submission.head_sequence:
        return _retry(submission, now_ms, HeadReadNeeded())
    if conflict is not None:
        return submission, Decided(
            NoteRefused(
                f"{conflict.kind} {conflict.item_id}: note {conflict.sequence} "
                f"({conflict.note_id}) modifies it too; review that note and submit "
                "a new one"
            )
        )
    if refused is not None:
        return submission, Decided(refused)
    return submission, _plan_append_step(submission)


def after_append(
    submission: Submission,
    result: Committed | Mismatched | TableUnavailable,
    now_ms: float,
) -> Transition:
    """
    Process the result of an append.

    :param submission: current state.
    :param result: result of the transaction.
    :param now_ms: monotonic time in milliseconds.
    :returns: the next state and the next action.
    """
    if isinstance(result, Committed):
        return submission, Decided(NoteAccepted(submission.head_sequence + 1, False))
    if isinstance(result, Mismatched):
        row = result.rows.get(note_id_key(submission.note.note_id))
        if row is not None:
            return submission, _decide_by_row(submission, row)
        if HEAD_KEY not in result.rows:
            return _retry(submission, now_ms, NoteIdReadNeeded())
        # At the same moment the head had changed and the note id was absent,
        # so no append on the old head can take effect any more.
        return _start_catch_up(_with_head(submission, result.rows[HEAD_KEY]))
    if result.may_be_applied:
        submission = submission._replace(has_unconfirmed_append=True)
    if submission.has_unconfirmed_append:
        return _retry(submission, now_ms, NoteIdReadNeeded())
    return _retry(submission, now_ms, _plan_append_step(submission))
