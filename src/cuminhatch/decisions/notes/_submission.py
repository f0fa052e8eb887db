"""
The submission of a note until it is accepted, refused or unknown.

A submission is a record (:class:`Submission`) that functions advance; each
returns the next record and the next step to take. What can be said of a
submission rests on two facts:

- Each append is conditional on the version of row ``head`` and on the
  absence of ``note-id/<id>``, and its reply tells atomically which of the two
  failed. So a reply that shows a moved head and an absent note id proves that
  no earlier append of the submission on the old head can take effect, even
  if its reply was lost and it is still under way.
- A read proves only presence. "Absent" leaves open a write under way, so
  after a lost reply and an "absent" the same append is sent again: at most
  one of the two can win, and the reply settles both.

``head`` is read before ``note-id/<id>``: a note that is absent then was not
accepted up to that head, so a refusal at that head does not contradict an
earlier acceptance. A refusal is about one submission: no write of it can
take effect. Another submission of the same note may still be accepted.
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

# Time after which a submitter is told that the outcome is unknown.
SUBMISSION_LIMIT_MS = 10_000.0


RETRY_MIN_MS = 100.0


RETRY_MAX_MS = 1000.0


class Submission(NamedTuple):
    """
    State of one submission.

    ``baseline`` is the sequence number after which notes may conflict, None
    before the first read of the head. ``is_append_open`` tells that an append
    on ``head_version`` may have taken effect or still may.
    """

    submission_id: str
    note: Note
    body: dict[str, Any]
    digest: str
    deadline_ms: float
    baseline: int | None = None
    head_version: int = 0
    head_sequence: int = 0
    is_append_open: bool = False
    failures: int = 0


class HeadReadNeeded(NamedTuple):
    """Step: read row ``head``, after a delay."""

    delay_ms: float = 0.0


class NoteIdReadNeeded(NamedTuple):
    """Step: read row ``note-id/<id>``, after a delay."""

    delay_ms: float = 0.0


class CatchUpNeeded(NamedTuple):
    """Step: learn the notes after ``after`` up to ``sequence``."""

    after: int
    sequence: int


class AppendNeeded(NamedTuple):
    """Step: send the transaction, after a delay."""

    transaction: TableTransaction
    delay_ms: float = 0.0


class Decided(NamedTuple):
    """Step: tell the submitter."""

    result: NoteAccepted | NoteRefused | NoteOutcomeUnknown


Step = HeadReadNeeded | NoteIdReadNeeded | CatchUpNeeded | AppendNeeded | Decided


Advanced = tuple[Submission, Step]


def _retry(submission: Submission, now_ms: float, step: Step) -> Advanced:
    delay_ms = min(RETRY_MAX_MS, RETRY_MIN_MS * 2**submission.failures)
    if now_ms + delay_ms > submission.deadline_ms:
        return submission, Decided(expire(submission))
    submission = submission._replace(failures=submission.failures + 1)
    return submission, step._replace(delay_ms=delay_ms)


def expire(submission: Submission) -> NoteOutcomeUnknown:
    """
    Tell what is known when time is up.

    The result is never a refusal: even where this submission has written
    nothing, another one of the same note may have.

    :param submission: submission without a decision.
    :returns: what to report.
    """
    if submission.is_append_open:
        return NoteOutcomeUnknown(
            "the table service did not confirm the write, which may still take "
            "effect; submit the same note again to learn its outcome"
        )
    return NoteOutcomeUnknown(
        "the table service did not answer in time and this submission has written "
        "nothing; submit the same note again"
    )


def _plan(submission: Submission) -> AppendNeeded:
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
        is_append_open=False,
        failures=0,
    )


def _catch_up(submission: Submission) -> Advanced:
    baseline = submission.baseline or 0
    sequence = submission.head_sequence
    if baseline > sequence:
        return submission, Decided(
            NoteRefused(f"base {baseline} is above the head {sequence}; correct it")
        )
    if sequence - baseline > BASE_AGE_MAX:
        return submission, Decided(
            NoteRefused(
                f"base {baseline} is more than {BASE_AGE_MAX} notes behind the head "
                f"{sequence}; write the note against a newer one"
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
) -> Advanced:
    """
    Go on after row ``head`` was read; no append is open then.

    :param submission: state before.
    :param result: what the read gave.
    :param now_ms: monotonic time in milliseconds.
    :returns: state after, and the next step.
    """
    if isinstance(result, TableUnavailable):
        return _retry(submission, now_ms, HeadReadNeeded())
    head = result if isinstance(result, Row) else None
    return _with_head(submission, head), NoteIdReadNeeded()


def after_note_id_read(
    submission: Submission, result: Row | RowAbsent | TableUnavailable, now_ms: float
) -> Advanced:
    """
    Go on after row ``note-id/<id>`` was read.

    :param submission: state before.
    :param result: what the read gave.
    :param now_ms: monotonic time in milliseconds.
    :returns: state after, and the next step.
    """
    if isinstance(result, TableUnavailable):
        return _retry(submission, now_ms, NoteIdReadNeeded())
    if isinstance(result, Row):
        return submission, _decide_by_row(submission, result)
    if submission.is_append_open:
        # The append may still arrive; the same one again settles it.
        return _retry(submission, now_ms, _plan(submission))
    return _catch_up(submission)


def after_catch_up(
    submission: Submission,
    configuration: Configuration,
    refused: NoteRefused | None,
    conflict: Conflict | None,
    now_ms: float,
) -> Advanced:
    """
    Go on after the notes up to the head were learnt.

    :param submission: state before.
    :param configuration: configuration of this instance, at or above the
        head that was read.
    :param refused: result of :func:`check_note` at that configuration.
    :param conflict: result of :func:`find_conflict` for the notes after the
        baseline.
    :param now_ms: monotonic time in milliseconds.
    :returns: state after, and the next step.
    """
    if configuration.sequence != submission.head_sequence:
        return _retry(submission, now_ms, HeadReadNeeded())
    if conflict is not None:
        return submission, Decided(
            NoteRefused(
                f"{conflict.kind} {conflict.item_id}: note {conflict.sequence} "
                f"({conflict.note_id}) touches it too; look at that note and submit "
                "a new one"
            )
        )
    if refused is not None:
        return submission, Decided(refused)
    return submission, _plan(submission)


def after_append(
    submission: Submission,
    result: Committed | Mismatched | TableUnavailable,
    now_ms: float,
) -> Advanced:
    """
    Go on after an append.

    :param submission: state before.
    :param result: what the table service said.
    :param now_ms: monotonic time in milliseconds.
    :returns: state after, and the next step.
    """
    if isinstance(result, Committed):
        return submission, Decided(NoteAccepted(submission.head_sequence + 1, False))
    if isinstance(result, Mismatched):
        row = result.rows.get(note_id_key(submission.note.note_id))
        if row is not None:
            return submission, _decide_by_row(submission, row)
        if HEAD_KEY not in result.rows:
            return _retry(submission, now_ms, NoteIdReadNeeded())
        # The head has moved and the note id is absent, both at one moment:
        # no append on the old head can take effect any more.
        return _catch_up(_with_head(submission, result.rows[HEAD_KEY]))
    if result.is_maybe_applied:
        submission = submission._replace(is_append_open=True)
    if submission.is_append_open:
        return _retry(submission, now_ms, NoteIdReadNeeded())
    return _retry(submission, now_ms, _plan(submission))
