"""
Claims of keyed requests: at most one run per key.

Every write of a claim row is conditional on a version. A claim that may
still be written is given up by winning a write of ``void`` on the same
version: exactly one of the two writes wins, so a claim write that arrives
late fails. A read never proves that a claim will not be written.

A claim has no expiry. A holder that is paused between its grant and the first
byte of the request still holds the claim when it resumes, so it may go on.

The functions return a :class:`Step`: the new state of the claim and what to
do next. A claim has at most one table operation in progress.
"""

from collections.abc import Callable
from hashlib import sha256
from typing import NamedTuple

from cuminhatch.decisions.platform import (
    ObjectAbsent,
    ObjectFound,
    ObjectStored,
    ObjectUnavailable,
    TableUnavailable,
)
from cuminhatch.outcomes import Outcome

# Limits of design section 5.1, in bytes of the body.
INLINE_BODY_BYTES = 16 * 1024
KEPT_BODY_BYTES = 1024 * 1024

READ_BACKOFF_MS = 50.0
READ_BACKOFF_LIMIT_MS = 1600.0
WRITE_BACKOFF_MS = 50.0
# During a long outage each unsettled claim costs one write per this time.
WRITE_BACKOFF_LIMIT_MS = 5000.0
# Longer than the usual restart of a store; after that the row stays claimed
# and other attempts under the key are told ``unknown``.
ANSWER_RETRY_LIMIT_MS = 60_000.0

CLAIMED = "claimed"
RAN = "ran"
VOID = "void"
# A row that cannot be decoded may stand for a run, so it blocks the key.
UNREADABLE = "unreadable"

CLAIMING = "claiming"
SETTLING = "settling"
WAITING = "waiting"
FETCHING = "fetching"
HELD = "held"
VOIDING = "voiding"
STORING = "storing"
ENDED = "ended"


class StoredAnswer(NamedTuple):
    """
    The answer of a request that has run.

    ``headers`` are name and value pairs in order. ``is_body_kept`` is False
    where the body was too large to keep.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    is_body_kept: bool = True


class AnswerReference(NamedTuple):
    """
    An answer whose body is in the object store.

    ``body_digest`` is the SHA-256 of the body in hexadecimal.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    object_name: str
    body_digest: str


class ClaimRow(NamedTuple):
    """Content of a claim row; ``answer`` is given where it is ``ran``."""

    state: str
    claim_id: str
    digest: str
    answer: StoredAnswer | AnswerReference | None = None


class ClaimRowWritten(NamedTuple):
    """The write won; the row has this version."""

    version: int


class ClaimRowFound(NamedTuple):
    """The row as read or as named by a failed write; None if absent."""

    version: int
    row: ClaimRow | None


class Claim(NamedTuple):
    """
    State of one attempt under a key.

    ``version`` is that of the row while the claim is held, else the one that
    the last write was conditional on. ``tries`` counts the operations of the
    present phase, for the backoff. ``is_told`` is True once the request has
    its final word from here.
    """

    claim_id: str
    digest: str
    deadline_ms: float
    phase: str = CLAIMING
    version: int = 0
    tries: int = 0
    is_granted: bool = False
    is_told: bool = False
    answer: StoredAnswer | AnswerReference | None = None
    store_until_ms: float = 0.0


class WriteRow(NamedTuple):
    """Write the row if it has this version, after a delay in ms."""

    version: int
    row: ClaimRow
    delay_ms: float = 0.0


class ReadRow(NamedTuple):
    """Read the row after a delay in ms."""

    delay_ms: float


class PutObject(NamedTuple):
    """Store the body of an answer."""

    object_name: str
    data: bytes


class FetchObject(NamedTuple):
    """Fetch the body of an answer."""

    object_name: str


class Grant(NamedTuple):
    """The request may run."""


class Refuse(NamedTuple):
    """The request must not run; this is its final word."""

    outcome: Outcome
    status: int
    reason: str
    answer: StoredAnswer | None = None


class ReportVoid(NamedTuple):
    """A granted claim has been given up, confirmed by the table or not."""

    is_confirmed: bool


Action = WriteRow | ReadRow | PutObject | FetchObject | Grant | Refuse | ReportVoid


class Step(NamedTuple):
    """New state of a claim and what to do next."""

    claim: Claim
    actions: tuple[Action, ...] = ()


def claim_row_key(service_id: str, key: str) -> str:
    """
    Return the key of a claim row.

    :param service_id: id of the service.
    :param key: idempotency key of the caller.
    """
    return f"claim/{service_id}/{key}"


def begin_claim(claim_id: str, digest: str, deadline_ms: float, now_ms: float) -> Step:
    """
    Claim a key without reading its row first.

    :param claim_id: unique id of this attempt.
    :param digest: digest of method, path and body.
    :param deadline_ms: deadline of the request, monotonic.
    :param now_ms: monotonic time.
    """
    claim = Claim(claim_id, digest, deadline_ms)
    if now_ms >= deadline_ms:
        return _refuse(claim, Refuse(Outcome.NOT_RUN, 503, "deadline"))
    return _claim_on(claim, 0)


def on_transact_result(
    claim: Claim,
    result: ClaimRowWritten | ClaimRowFound | TableUnavailable,
    now_ms: float,
) -> Step:
    """
    Go on after a write of the row.

    :param claim: state before the result.
    :param result: what is known of the write.
    :param now_ms: monotonic time.
    """
    if claim.phase == CLAIMING:
        return _on_claim_result(claim, result, now_ms)
    if claim.phase == SETTLING:
        return _on_settling_result(claim, result, now_ms)
    if claim.phase == VOIDING:
        return _on_voiding_result(claim, result)
    if claim.phase == STORING:
        return _on_storing_result(claim, result, now_ms)
    return Step(claim)


def on_read_result(
    claim: Claim, result: ClaimRowFound | TableUnavailable, now_ms: float
) -> Step:
    """
    Go on after a read of a row that another attempt had claimed.

    :param claim: state before the result.
    :param result: the row, or why it could not be read.
    :param now_ms: monotonic time.
    """
    if claim.phase != WAITING:
        return Step(claim)
    if isinstance(result, TableUnavailable):
        return _read_later(claim)
    return _act_on_row(claim, result, now_ms)


def on_deadline(claim: Claim) -> Step:
    """
    Give the final word that is known at the deadline of the request.

    A claim that may still win is given up later, when the result of the
    operation in progress is known.

    :param claim: state before the deadline.
    """
    if claim.is_told or claim.phase in (HELD, STORING, ENDED):
        return Step(claim)
    told = claim._replace(is_told=True)
    if claim.phase == WAITING:
        refusal = Refuse(Outcome.UNKNOWN, 504, "claimed-by-another")
        return Step(told._replace(phase=ENDED), (refusal,))
    if claim.phase == FETCHING:
        refusal = Refuse(Outcome.RAN, 504, "answer-unavailable")
        return Step(told._replace(phase=ENDED), (refusal,))
    if claim.is_granted:
        return Step(told, (ReportVoid(False),))
    return Step(told, (Refuse(Outcome.UNKNOWN, 504, "claim-unsettled"),))


def give_up(claim: Claim) -> Step:
    """
    Void a held claim whose request was never sent.

    :param claim: a held claim.
    """
    if claim.phase != HELD:
        return Step(claim)
    return _void_on(claim, VOIDING, claim.version)


def on_answered(claim: Claim, answer: StoredAnswer, now_ms: float) -> Step:
    """
    Keep the answer of a request that has run.

    :param claim: a held claim.
    :param answer: the whole answer.
    :param now_ms: monotonic time.
    """
    if claim.phase != HELD:
        return Step(claim)
    claim = claim._replace(
        phase=STORING, tries=0, store_until_ms=now_ms + ANSWER_RETRY_LIMIT_MS
    )
    size = len(answer.body)
    if size > KEPT_BODY_BYTES or not answer.is_body_kept:
        return _store(claim, _without_body(answer))
    if size <= INLINE_BODY_BYTES:
        return _store(claim, answer)
    name = f"answer/{claim.claim_id}"
    reference = AnswerReference(
        answer.status, answer.headers, name, sha256(answer.body).hexdigest()
    )
    return Step(claim._replace(answer=reference), (PutObject(name, answer.body),))


def on_object_put(claim: Claim, result: ObjectStored | ObjectUnavailable) -> Step:
    """
    Write the row of an answer once its body is stored, or could not be.

    :param claim: a claim whose answer is being kept.
    :param result: what the object store replied.
    """
    answer = claim.answer
    if claim.phase != STORING or answer is None:
        return Step(claim)
    if isinstance(result, ObjectStored):
        return _store(claim, answer)
    return _store(claim, StoredAnswer(answer.status, answer.headers, b"", False))


def on_object_fetched(
    claim: Claim, result: ObjectFound | ObjectAbsent | ObjectUnavailable
) -> Step:
    """
    Hand out a stored answer once its body is here.

    Without its body the answer cannot be given, and an answer cut short must
    not be; the caller is told that the request ran.

    :param claim: a claim that has found ``ran``.
    :param result: what the object store replied.
    """
    reference = claim.answer
    if claim.phase != FETCHING or not isinstance(reference, AnswerReference):
        return Step(claim)
    if isinstance(result, ObjectFound):
        if sha256(result.data).hexdigest() == reference.body_digest:
            answer = StoredAnswer(reference.status, reference.headers, result.data)
            return _refuse(
                claim, Refuse(Outcome.RAN, answer.status, "stored-answer", answer)
            )
    return _refuse(claim, Refuse(Outcome.RAN, 504, "answer-unavailable"))


class ClaimDecisions(NamedTuple):
    """The decisions that the ``claims`` service runs on."""

    begin_claim: Callable[..., Step] = begin_claim
    on_transact_result: Callable[..., Step] = on_transact_result
    on_read_result: Callable[..., Step] = on_read_result
    on_deadline: Callable[..., Step] = on_deadline
    give_up: Callable[..., Step] = give_up
    on_answered: Callable[..., Step] = on_answered
    on_object_put: Callable[..., Step] = on_object_put
    on_object_fetched: Callable[..., Step] = on_object_fetched


def _on_claim_result(
    claim: Claim,
    result: ClaimRowWritten | ClaimRowFound | TableUnavailable,
    now_ms: float,
) -> Step:
    if isinstance(result, ClaimRowWritten):
        return _hold(claim, result.version, now_ms)
    if isinstance(result, ClaimRowFound):
        return _act_on_row(claim, result, now_ms)
    if result.is_maybe_applied:
        return _void_on(claim, SETTLING, claim.version)
    # Nothing was sent, and earlier claim writes of this attempt have lost.
    return _refuse(claim, Refuse(Outcome.NOT_RUN, 503, "store-outage"))


def _on_settling_result(
    claim: Claim,
    result: ClaimRowWritten | ClaimRowFound | TableUnavailable,
    now_ms: float,
) -> Step:
    if isinstance(result, TableUnavailable):
        return _void_on(claim, SETTLING, claim.version)
    if isinstance(result, ClaimRowFound):
        row = result.row
        if _is_own_claim(claim, row):
            return _hold(claim, result.version, now_ms)
        if row is None or row.claim_id != claim.claim_id:
            # The row has moved past the version of the claim write, which
            # therefore has lost.
            return _act_on_row(claim, result, now_ms)
    return _refuse(claim, Refuse(Outcome.NOT_RUN, 503, "store-outage"))


def _on_voiding_result(
    claim: Claim, result: ClaimRowWritten | ClaimRowFound | TableUnavailable
) -> Step:
    if isinstance(result, TableUnavailable):
        return _void_on(claim, VOIDING, claim.version)
    if isinstance(result, ClaimRowFound) and _is_own_claim(claim, result.row):
        return _void_on(claim, VOIDING, result.version)
    if not claim.is_granted:
        return _refuse(claim, Refuse(Outcome.NOT_RUN, 503, "deadline"))
    ended = claim._replace(phase=ENDED, is_told=True)
    return Step(ended, () if claim.is_told else (ReportVoid(True),))


def _on_storing_result(
    claim: Claim,
    result: ClaimRowWritten | ClaimRowFound | TableUnavailable,
    now_ms: float,
) -> Step:
    if isinstance(result, TableUnavailable) and now_ms < claim.store_until_ms:
        return _store(claim, claim.answer)
    return Step(claim._replace(phase=ENDED))


def _act_on_row(claim: Claim, found: ClaimRowFound, now_ms: float) -> Step:
    """Act on a row that decides nothing about a claim write of ours."""
    row = found.row
    if claim.is_told:
        return Step(claim._replace(phase=ENDED))
    if now_ms >= claim.deadline_ms:
        return _refuse(claim, Refuse(Outcome.UNKNOWN, 504, "deadline"))
    if row is None:
        return _claim_on(claim, 0)
    if row.state == UNREADABLE:
        return _read_later(claim)
    if row.digest != claim.digest:
        return _refuse(claim, Refuse(Outcome.NOT_RUN, 422, "key-reused"))
    if row.state == VOID:
        return _claim_on(claim, found.version)
    if row.state == RAN:
        return _give_answer(claim, row.answer)
    if row.claim_id == claim.claim_id:
        return _hold(claim, found.version, now_ms)
    return _read_later(claim)


def _give_answer(claim: Claim, answer: StoredAnswer | AnswerReference | None) -> Step:
    if isinstance(answer, AnswerReference):
        fetching = claim._replace(phase=FETCHING, answer=answer)
        return Step(fetching, (FetchObject(answer.object_name),))
    if answer is None or not answer.is_body_kept:
        return _refuse(claim, Refuse(Outcome.RAN, 504, "answer-not-kept"))
    return _refuse(claim, Refuse(Outcome.RAN, answer.status, "stored-answer", answer))


def _hold(claim: Claim, version: int, now_ms: float) -> Step:
    # After a freeze the grant may come past the deadline, when the caller
    # has been told ``unknown`` or is about to be.
    if claim.is_told or now_ms >= claim.deadline_ms:
        return _void_on(claim, VOIDING, version)
    held = claim._replace(phase=HELD, version=version, is_granted=True, tries=0)
    return Step(held, (Grant(),))


def _claim_on(claim: Claim, version: int) -> Step:
    row = ClaimRow(CLAIMED, claim.claim_id, claim.digest)
    claim = claim._replace(phase=CLAIMING, version=version, tries=0)
    return Step(claim, (WriteRow(version, row),))


def _void_on(claim: Claim, phase: str, version: int) -> Step:
    tries = claim.tries if claim.phase == phase else 0
    row = ClaimRow(VOID, claim.claim_id, claim.digest)
    claim = claim._replace(phase=phase, version=version, tries=tries + 1)
    return Step(claim, (WriteRow(version, row, _write_delay_ms(tries)),))


def _store(claim: Claim, answer: StoredAnswer | AnswerReference | None) -> Step:
    row = ClaimRow(RAN, claim.claim_id, claim.digest, answer)
    write = WriteRow(claim.version, row, _write_delay_ms(claim.tries))
    return Step(claim._replace(answer=answer, tries=claim.tries + 1), (write,))


def _read_later(claim: Claim) -> Step:
    tries = claim.tries if claim.phase == WAITING else 0
    delay_ms = min(READ_BACKOFF_MS * 2 ** min(tries, 16), READ_BACKOFF_LIMIT_MS)
    claim = claim._replace(phase=WAITING, tries=tries + 1)
    return Step(claim, (ReadRow(delay_ms),))


def _refuse(claim: Claim, refusal: Refuse) -> Step:
    ended = claim._replace(phase=ENDED, is_told=True)
    return Step(ended, () if claim.is_told else (refusal,))


def _write_delay_ms(tries: int) -> float:
    if tries == 0:
        return 0.0
    return min(WRITE_BACKOFF_MS * 2 ** min(tries - 1, 16), WRITE_BACKOFF_LIMIT_MS)


def _is_own_claim(claim: Claim, row: ClaimRow | None) -> bool:
    return row is not None and row.state == CLAIMED and row.claim_id == claim.claim_id


def _without_body(answer: StoredAnswer) -> StoredAnswer:
    return answer._replace(body=b"", is_body_kept=False)
