"""
Claims on idempotency keys: each key's request is executed at most once.

Every write of a claim row is conditional on the version of the row. To abandon
a claim whose write may still take effect, ``void`` is written on the same
version: exactly one of the two writes succeeds, so a delayed claim write
fails. A read never proves that a claim will not be written later.

A claim does not expire. An instance paused between the grant and the first
byte of the request still holds the claim when it resumes, so it may proceed.

The functions return a :class:`Transition`: the new state of the claim and the
actions to perform. A claim has at most one table operation in progress.
"""

from collections.abc import Callable
from hashlib import sha256
from typing import NamedTuple

from cuminhatch.decisions.claims import (
    CLAIMED,
    CLAIMING,
    ENDED,
    FETCHING,
    HELD,
    RAN,
    SETTLING,
    STORING,
    UNREADABLE,
    VOID,
    VOIDING,
    WAITING,
    Claim,
    ClaimRow,
    ClaimRowFound,
    ClaimRowWritten,
    EndRequest,
    FetchObject,
    Grant,
    PutObject,
    ReadRow,
    ReportVoid,
    ResponseReference,
    StoredResponse,
    Transition,
    WriteRow,
)
from cuminhatch.decisions.platform import (
    ObjectAbsent,
    ObjectFound,
    ObjectStored,
    ObjectUnavailable,
    TableUnavailable,
)
from cuminhatch.outcomes import Outcome

# Largest bodies stored in the claim row and in the object store (section 5.1
# of docs/design.md).
INLINE_BODY_BYTES = 16 * 1024
KEPT_BODY_BYTES = 1024 * 1024

READ_BACKOFF_MS = 50.0
READ_BACKOFF_LIMIT_MS = 1600.0
WRITE_BACKOFF_MS = 50.0
# Interval between the writes of an unsettled claim during a long outage.
WRITE_BACKOFF_LIMIT_MS = 5000.0
# Longer than a usual restart of the table service. After this time the row
# stays claimed and other attempts under the key are refused as ``unknown``.
RESPONSE_RETRY_LIMIT_MS = 60_000.0


def claim_row_key(service_id: str, key: str) -> str:
    """
    Return the key of a claim row.

    :param service_id: id of the service.
    :param key: idempotency key of the caller.
    """
    return f"claim/{service_id}/{key}"


def begin_claim(
    claim_id: str, digest: str, deadline_ms: float, now_ms: float
) -> Transition:
    """
    Claim a key without reading its row first.

    :param claim_id: unique id of this attempt.
    :param digest: digest of method, path and body.
    :param deadline_ms: monotonic deadline of the request.
    :param now_ms: monotonic time.
    """
    claim = Claim(claim_id, digest, deadline_ms)
    if now_ms >= deadline_ms:
        return _refuse(claim, EndRequest(Outcome.NOT_RUN, 503, "deadline"))
    return _write_claim(claim, 0)


def on_write_result(
    claim: Claim,
    result: ClaimRowWritten | ClaimRowFound | TableUnavailable,
    now_ms: float,
) -> Transition:
    """
    Process the result of a write of the row.

    :param claim: state before the result.
    :param result: result of the write.
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
    return Transition(claim)


def on_read_result(
    claim: Claim, result: ClaimRowFound | TableUnavailable, now_ms: float
) -> Transition:
    """
    Process the result of reading a row claimed by another attempt.

    :param claim: state before the result.
    :param result: the row, or why it could not be read.
    :param now_ms: monotonic time.
    """
    if claim.phase != WAITING:
        return Transition(claim)
    if isinstance(result, TableUnavailable):
        return _schedule_read(claim)
    return _act_on_row(claim, result, now_ms)


def on_deadline(claim: Claim) -> Transition:
    """
    End the request with the result known at its deadline.

    A claim write in progress may still succeed; that claim is voided when the
    result of the write is known.

    :param claim: state before the deadline.
    """
    if claim.is_reported or claim.phase in (HELD, STORING, ENDED):
        return Transition(claim)
    reported = claim._replace(is_reported=True)
    if claim.phase == WAITING:
        refusal = EndRequest(Outcome.UNKNOWN, 504, "claimed-by-another")
        return Transition(reported._replace(phase=ENDED), (refusal,))
    if claim.phase == FETCHING:
        refusal = EndRequest(Outcome.RAN, 504, "answer-unavailable")
        return Transition(reported._replace(phase=ENDED), (refusal,))
    if claim.is_granted:
        return Transition(reported, (ReportVoid(False),))
    return Transition(reported, (EndRequest(Outcome.UNKNOWN, 504, "claim-unsettled"),))


def abandon_claim(claim: Claim) -> Transition:
    """
    Void a held claim whose request was never sent to a backend server.

    :param claim: a held claim.
    """
    if claim.phase != HELD:
        return Transition(claim)
    return _write_void(claim, VOIDING, claim.version)


def on_response_received(
    claim: Claim, answer: StoredResponse, now_ms: float
) -> Transition:
    """
    Store the response to an executed request.

    :param claim: a held claim.
    :param answer: the complete response.
    :param now_ms: monotonic time.
    """
    if claim.phase != HELD:
        return Transition(claim)
    claim = claim._replace(
        phase=STORING, tries=0, store_until_ms=now_ms + RESPONSE_RETRY_LIMIT_MS
    )
    size = len(answer.body)
    if size > KEPT_BODY_BYTES or not answer.is_body_kept:
        return _write_response(claim, _without_body(answer))
    if size <= INLINE_BODY_BYTES:
        return _write_response(claim, answer)
    name = f"answer/{claim.claim_id}"
    reference = ResponseReference(
        answer.status, answer.headers, name, sha256(answer.body).hexdigest()
    )
    return Transition(claim._replace(answer=reference), (PutObject(name, answer.body),))


def on_object_put(claim: Claim, result: ObjectStored | ObjectUnavailable) -> Transition:
    """
    Write the row of a response after the attempt to store its body.

    :param claim: a claim whose response is being stored.
    :param result: result of the object store.
    """
    answer = claim.answer
    if claim.phase != STORING or answer is None:
        return Transition(claim)
    if isinstance(result, ObjectStored):
        return _write_response(claim, answer)
    return _write_response(
        claim, StoredResponse(answer.status, answer.headers, b"", False)
    )


def on_object_fetched(
    claim: Claim, result: ObjectFound | ObjectAbsent | ObjectUnavailable
) -> Transition:
    """
    Return a stored response after its body was fetched.

    If the body is missing or damaged, the caller gets an error which says that
    the request was executed, never a truncated response.

    :param claim: a claim whose row is ``ran``.
    :param result: result of the object store.
    """
    reference = claim.answer
    if claim.phase != FETCHING or not isinstance(reference, ResponseReference):
        return Transition(claim)
    if isinstance(result, ObjectFound):
        if sha256(result.data).hexdigest() == reference.body_digest:
            answer = StoredResponse(reference.status, reference.headers, result.data)
            return _refuse(
                claim, EndRequest(Outcome.RAN, answer.status, "stored-answer", answer)
            )
    return _refuse(claim, EndRequest(Outcome.RAN, 504, "answer-unavailable"))


class ClaimDecisions(NamedTuple):
    """Functions used by the kernel service ``claims``; tests replace them."""

    begin_claim: Callable[..., Transition] = begin_claim
    on_write_result: Callable[..., Transition] = on_write_result
    on_read_result: Callable[..., Transition] = on_read_result
    on_deadline: Callable[..., Transition] = on_deadline
    abandon_claim: Callable[..., Transition] = abandon_claim
    on_response_received: Callable[..., Transition] = on_response_received
    on_object_put: Callable[..., Transition] = on_object_put
    on_object_fetched: Callable[..., Transition] = on_object_fetched


def _on_claim_result(
    claim: Claim,
    result: ClaimRowWritten | ClaimRowFound | TableUnavailable,
    now_ms: float,
) -> Transition:
    if isinstance(result, ClaimRowWritten):
        return _hold(claim, result.version, now_ms)
    if isinstance(result, ClaimRowFound):
        return _act_on_row(claim, result, now_ms)
    if result.may_be_applied:
        return _write_void(claim, SETTLING, claim.version)
    # Nothing was sent, and earlier claim writes of this attempt have failed.
    return _refuse(claim, EndRequest(Outcome.NOT_RUN, 503, "store-outage"))


def _on_settling_result(
    claim: Claim,
    result: ClaimRowWritten | ClaimRowFound | TableUnavailable,
    now_ms: float,
) -> Transition:
    if isinstance(result, TableUnavailable):
        return _write_void(claim, SETTLING, claim.version)
    if isinstance(result, ClaimRowFound):
        row = result.row
        if _is_own_claim(claim, row):
            return _hold(claim, result.version, now_ms)
        if row is None or row.claim_id != claim.claim_id:
            # The row no longer has the version that the claim write expects,
            # so that write has failed.
            return _act_on_row(claim, result, now_ms)
    return _refuse(claim, EndRequest(Outcome.NOT_RUN, 503, "store-outage"))


def _on_voiding_result(
    claim: Claim, result: ClaimRowWritten | ClaimRowFound | TableUnavailable
) -> Transition:
    if isinstance(result, TableUnavailable):
        return _write_void(claim, VOIDING, claim.version)
    if isinstance(result, ClaimRowFound) and _is_own_claim(claim, result.row):
        return _write_void(claim, VOIDING, result.version)
    if not claim.is_granted:
        return _refuse(claim, EndRequest(Outcome.NOT_RUN, 503, "deadline"))
    ended = claim._replace(phase=ENDED, is_reported=True)
    return Transition(ended, () if claim.is_reported else (ReportVoid(True),))


def _on_storing_result(
    claim: Claim,
    result: ClaimRowWritten | ClaimRowFound | TableUnavailable,
    now_ms: float,
) -> Transition:
    if isinstance(result, TableUnavailable) and now_ms < claim.store_until_ms:
        return _write_response(claim, claim.answer)
    return Transition(claim._replace(phase=ENDED))


def _act_on_row(claim: Claim, found: ClaimRowFound, now_ms: float) -> Transition:
    """Act on a row found while no claim write of this attempt is pending."""
    row = found.row
    if claim.is_reported:
        return Transition(claim._replace(phase=ENDED))
    if now_ms >= claim.deadline_ms:
        return _refuse(claim, EndRequest(Outcome.UNKNOWN, 504, "deadline"))
    if row is None:
        return _write_claim(claim, 0)
    if row.state == UNREADABLE:
        return _schedule_read(claim)
    if row.digest != claim.digest:
        return _refuse(claim, EndRequest(Outcome.NOT_RUN, 422, "key-reused"))
    if row.state == VOID:
        return _write_claim(claim, found.version)
    if row.state == RAN:
        return _return_response(claim, row.answer)
    if row.claim_id == claim.claim_id:
        return _hold(claim, found.version, now_ms)
    return _schedule_read(claim)


def _return_response(
    claim: Claim, answer: StoredResponse | ResponseReference | None
) -> Transition:
    if isinstance(answer, ResponseReference):
        fetching = claim._replace(phase=FETCHING, answer=answer)
        return Transition(fetching, (FetchObject(answer.object_name),))
    if answer is None or not answer.is_body_kept:
        return _refuse(claim, EndRequest(Outcome.RAN, 504, "answer-not-kept"))
    return _refuse(
        claim, EndRequest(Outcome.RAN, answer.status, "stored-answer", answer)
    )


def _hold(claim: Claim, version: int, now_ms: float) -> Transition:
    # If the process was frozen, the grant may come after the deadline, when
    # the caller has got ``unknown`` or is about to.
    if claim.is_reported or now_ms >= claim.deadline_ms:
        return _write_void(claim, VOIDING, version)
    held = claim._replace(phase=HELD, version=version, is_granted=True, tries=0)
    return Transition(held, (Grant(),))


def _write_claim(claim: Claim, version: int) -> Transition:
    row = ClaimRow(CLAIMED, claim.claim_id, claim.digest)
    claim = claim._replace(phase=CLAIMING, version=version, tries=0)
    return Transition(claim, (WriteRow(version, row),))


def _write_void(claim: Claim, phase: str, version: int) -> Transition:
    tries = claim.tries if claim.phase == phase else 0
    row = ClaimRow(VOID, claim.claim_id, claim.digest)
    claim = claim._replace(phase=phase, version=version, tries=tries + 1)
    return Transition(claim, (WriteRow(version, row, _write_backoff_ms(tries)),))


def _write_response(
    claim: Claim, answer: StoredResponse | ResponseReference | None
) -> Transition:
    row = ClaimRow(RAN, claim.claim_id, claim.digest, answer)
    write = WriteRow(claim.version, row, _write_backoff_ms(claim.tries))
    return Transition(claim._replace(answer=answer, tries=claim.tries + 1), (write,))


def _schedule_read(claim: Claim) -> Transition:
    tries = claim.tries if claim.phase == WAITING else 0
    delay_ms = min(READ_BACKOFF_MS * 2 ** min(tries, 16), READ_BACKOFF_LIMIT_MS)
    claim = claim._replace(phase=WAITING, tries=tries + 1)
    return Transition(claim, (ReadRow(delay_ms),))


def _refuse(claim: Claim, refusal: EndRequest) -> Transition:
    ended = claim._replace(phase=ENDED, is_reported=True)
    return Transition(ended, () if claim.is_reported else (refusal,))


def _write_backoff_ms(tries: int) -> float:
    if tries == 0:
        return 0.0
    return min(WRITE_BACKOFF_MS * 2 ** min(tries - 1, 16), WRITE_BACKOFF_LIMIT_MS)


def _is_own_claim(claim: Claim, row: ClaimRow | None) -> bool:
    return row is not None and row.state == CLAIMED and row.claim_id == claim.claim_id


def _without_body(answer: StoredResponse) -> StoredResponse:
    return answer._replace(body=b"", is_body_kept=False)
