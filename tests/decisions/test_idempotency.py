"""Tests of the claim state machine and the JSON encoding of its rows."""

import pytest

from cuminhatch.codecs.claim_json import decode_claim_row, encode_claim_row
from cuminhatch.decisions.claims import (
    CLAIMED,
    CLAIMING,
    ENDED,
    HELD,
    RAN,
    SETTLING,
    UNREADABLE,
    VOID,
    VOIDING,
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
    WriteRow,
)
from cuminhatch.decisions.idempotency import (
    INLINE_BODY_BYTES,
    KEPT_BODY_BYTES,
    abandon_claim,
    begin_claim,
    on_deadline,
    on_object_fetched,
    on_object_put,
    on_read_result,
    on_response_received,
    on_write_result,
)
from cuminhatch.decisions.platform import (
    ObjectAbsent,
    ObjectUnavailable,
    TableUnavailable,
)
from cuminhatch.outcomes import Outcome

LOST = TableUnavailable("no reply", True)
UNSENT = TableUnavailable("outage", False)
ANSWER = StoredResponse(200, ((b"a", b"b"),), b"released")
NOT_KEPT = ANSWER._replace(is_body_kept=False)
WITHOUT_BODY = NOT_KEPT._replace(body=b"")
REFERENCE = ResponseReference(200, (), "answer/x", "")
OUTAGE = EndRequest(Outcome.NOT_RUN, 503, "store-outage")
OWN = ClaimRow(CLAIMED, "c", "d")
OWN_VOID = ClaimRow(VOID, "c", "d")
OTHER = ClaimRow(CLAIMED, "x", "d")


def make_claiming():
    return begin_claim("c", "d", 100.0, 0.0).claim


def make_held():
    return on_write_result(make_claiming(), ClaimRowWritten(1), 0.0).claim


def make_found(state, answer=None, digest="d"):
    return ClaimRowFound(4, ClaimRow(state, "x", digest, answer))


def test_claim_is_written_without_reading_the_row_first():
    """Guards against a read or an unconditional write for each request."""
    assert begin_claim("c", "d", 100.0, 0.0).actions == (WriteRow(0, OWN),)


@pytest.mark.parametrize(
    ("row", "action"),
    [
        (
            make_found(RAN, ANSWER),
            EndRequest(Outcome.RAN, 200, "stored-answer", ANSWER),
        ),
        (make_found(RAN, NOT_KEPT), EndRequest(Outcome.RAN, 504, "answer-not-kept")),
        (make_found(RAN, REFERENCE), FetchObject("answer/x")),
        (make_found(RAN, ANSWER, "e"), EndRequest(Outcome.NOT_RUN, 422, "key-reused")),
        (make_found(CLAIMED), ReadRow(50.0)),
        (ClaimRowFound(4, ClaimRow(UNREADABLE, "", "")), ReadRow(50.0)),
        (make_found(VOID), WriteRow(4, OWN)),
    ],
)
def test_row_found_determines_the_next_action(row, action):
    """Guards against a second execution or a lost response for a used key."""
    assert on_write_result(make_claiming(), row, 0.0).actions == (action,)


def test_reads_back_off_until_the_deadline():
    """Guards against polling that slows down a busy table service."""
    claim, delays = make_claiming(), []
    step = on_write_result(claim, ClaimRowFound(1, OTHER), 0.0)
    for _ in range(4):
        delays += [action.delay_ms for action in step.actions]
        step = on_read_result(step.claim, ClaimRowFound(1, OTHER), 0.0)
    assert delays == [50.0, 100.0, 200.0, 400.0]
    refusal = EndRequest(Outcome.UNKNOWN, 504, "claimed-by-another")
    assert on_deadline(step.claim).actions == (refusal,)


def test_unsent_claim_write_is_refused_as_not_run():
    """Guards against callers kept waiting during a known outage."""
    assert on_write_result(make_claiming(), UNSENT, 0.0).actions == (OUTAGE,)


@pytest.mark.parametrize(
    ("result", "phase", "action"),
    [
        (ClaimRowWritten(1), ENDED, OUTAGE),
        (ClaimRowFound(1, OWN_VOID), ENDED, OUTAGE),
        (ClaimRowFound(1, OWN), HELD, Grant()),
        (LOST, SETTLING, WriteRow(0, OWN_VOID, 50.0)),
        (UNSENT, SETTLING, WriteRow(0, OWN_VOID, 50.0)),
    ],
)
def test_unconfirmed_claim_is_settled_by_voiding_its_version(result, phase, action):
    """Guards against ``not-run`` while the claim may still be written."""
    step = on_write_result(make_claiming(), LOST, 0.0)
    assert step.actions == (WriteRow(0, OWN_VOID),)
    step = on_write_result(step.claim, result, 0.0)
    assert (step.claim.phase, step.actions) == (phase, (action,))


def test_grant_past_the_deadline_is_voided():
    """Guards against execution after the caller has got ``unknown``."""
    step = on_write_result(make_claiming(), ClaimRowWritten(1), 100.0)
    assert step.claim.phase == VOIDING
    assert step.actions == (WriteRow(1, OWN_VOID),)


def test_void_is_confirmed_only_by_the_table_service():
    """Guards against ``not-run`` reported before the void is written."""
    step = abandon_claim(make_held())
    assert step.actions == (WriteRow(1, OWN_VOID),)
    lost = on_write_result(step.claim, LOST, 0.0)
    assert lost.actions == (WriteRow(1, OWN_VOID, 50.0),)
    assert on_deadline(lost.claim).actions == (ReportVoid(False),)
    done = on_write_result(lost.claim, ClaimRowFound(2, OWN_VOID), 0.0)
    assert done.actions == (ReportVoid(True),)


def test_claim_pending_at_the_deadline_is_unknown_and_voided_later():
    """Guards against a claim that blocks its key after its request ended."""
    step = on_deadline(make_claiming())
    assert step.actions == (EndRequest(Outcome.UNKNOWN, 504, "claim-unsettled"),)
    assert step.claim.phase == CLAIMING
    step = on_write_result(step.claim, ClaimRowWritten(1), 50.0)
    assert step.actions == (WriteRow(1, OWN_VOID),)


def test_response_size_decides_where_it_is_stored():
    """Guards against rows or objects above the size limits of the design."""
    small = on_response_received(make_held(), ANSWER, 0.0)
    assert small.actions == (WriteRow(1, ClaimRow(RAN, "c", "d", ANSWER)),)
    large = ANSWER._replace(body=bytes(INLINE_BODY_BYTES + 1))
    step = on_response_received(make_held(), large, 0.0)
    assert step.actions == (PutObject("answer/c", large.body),)
    failed = on_object_put(step.claim, ObjectUnavailable("outage")).actions[0]
    assert failed.row.answer == WITHOUT_BODY
    huge = ANSWER._replace(body=bytes(KEPT_BODY_BYTES + 1))
    written = on_response_received(make_held(), huge, 0.0).actions[0]
    assert written.row.answer == WITHOUT_BODY


def test_stored_response_without_its_body_is_an_error():
    """Guards against returning a stored response without its body."""
    claim = on_write_result(make_claiming(), make_found(RAN, REFERENCE), 0.0).claim
    step = on_object_fetched(claim, ObjectAbsent())
    assert step.actions == (EndRequest(Outcome.RAN, 504, "answer-unavailable"),)


@pytest.mark.parametrize(
    "row",
    [OWN, ClaimRow(RAN, "c", "d", ANSWER), OWN_VOID]
    + [ClaimRow(RAN, "c", "d", ResponseReference(200, ((b"\xff", b""),), "o", "e"))],
)
def test_rows_round_trip_through_json(row):
    """Guards against responses altered by their encoding."""
    assert decode_claim_row(encode_claim_row(row)) == row


@pytest.mark.parametrize("value", [{}, {"state": "x"}, {"state": RAN}, None])
def test_unreadable_row_blocks_the_key(value):
    """Guards against a damaged row treated as an unused key."""
    assert decode_claim_row(value).state == UNREADABLE
