"""Tests of the ``claims`` service on a fake platform."""

import pytest

from cuminhatch.decisions.claims import StoredResponse
from cuminhatch.decisions.idempotency import INLINE_BODY_BYTES
from cuminhatch.messages import (
    ClaimAbandoned,
    ClaimCompleted,
    ClaimGranted,
    ClaimOutcomeUnknown,
    ClaimRefused,
    ClaimRequested,
    ClaimVoided,
    DrainFinished,
    DrainStarted,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services import Claims, claims as claims_module
from tests.proofs.fake_platform import InstanceProcess, SharedPlatform

ANSWER = StoredResponse(200, (), b"released")


class ClaimsInstance:
    """One instance with the real ``claims`` service."""

    def __init__(self):
        self.platform = SharedPlatform()
        self.node = InstanceProcess("i0", 1, self.platform)
        self.node.kernel.register(Claims(self.node.kernel, "i0", 1))
        kinds = (ClaimGranted, ClaimRefused, ClaimVoided)
        self.replies = self.node.record("dispatch", kinds)

    def request(self, request_id, key="k", digest="d", deadline_ms=1000.0):
        message = ClaimRequested(request_id, "s", key, digest, deadline_ms)
        self.node.send("claims", message)

    def grant(self, request_id, key="k"):
        self.request(request_id, key)
        self.platform.done(0)
        return self.replies[-1].claim_id

    def send(self, message):
        self.node.send("claims", message)

    def read_row_value(self):
        return self.platform.table.rows["claim/s/k"].value


@pytest.fixture
def instance():
    instance = ClaimsInstance()
    yield instance
    instance.node.close()


def test_second_request_waits_for_the_first(instance):
    """Guards against two claim rows, or two runs, for one key."""
    claim_id = instance.grant(1)
    instance.request(2)
    assert not instance.platform.pending_requests
    instance.send(ClaimCompleted(claim_id, ANSWER))
    expected = ClaimRefused(2, Outcome.RAN, 200, "stored-answer", ANSWER)
    assert instance.replies[-1] == expected
    instance.request(3)
    assert instance.replies[-1] == expected._replace(request_id=3)
    instance.platform.done(0)
    assert instance.read_row_value()["state"] == "ran"


def test_waiter_claims_when_the_first_did_not_run(instance):
    """Guards against a request that waits for one that has ended."""
    claim_id = instance.grant(1)
    instance.request(2)
    instance.send(ClaimAbandoned(claim_id))
    instance.platform.done(0)
    assert instance.replies[-1] == ClaimVoided(1, True)
    instance.platform.done(0)
    instance.platform.done(0)
    assert isinstance(instance.replies[-1], ClaimGranted)
    assert instance.replies[-1].request_id == 2


def test_waiter_keeps_its_own_deadline(instance):
    """Guards against a caller that waits for the deadline of another."""
    instance.grant(1)
    instance.request(2, deadline_ms=100.0)
    instance.node.advance(100)
    expected = ClaimRefused(2, Outcome.UNKNOWN, 504, "claimed-by-another", None)
    assert instance.replies[-1] == expected


def test_request_with_another_payload_is_refused(instance):
    """Guards against the answer to one request given for another."""
    instance.grant(1)
    instance.request(2, digest="other")
    assert instance.replies[-1] == ClaimRefused(
        2, Outcome.NOT_RUN, 422, "key-reused", None
    )


def test_unknown_outcome_leaves_the_key_claimed(instance):
    """Guards against a second run when the outcome of the first is unknown."""
    instance.send(ClaimOutcomeUnknown(instance.grant(1)))
    assert instance.read_row_value()["state"] == "claimed"
    instance.request(2)
    instance.platform.done(0)
    assert not isinstance(instance.replies[-1], ClaimRefused)
    instance.node.advance(1000)
    assert instance.replies[-1].outcome == Outcome.UNKNOWN


def test_outage_is_refused_at_once(instance):
    """Guards against callers kept waiting in a known outage."""
    instance.request(1)
    instance.platform.unsent(0)
    expected = ClaimRefused(1, Outcome.NOT_RUN, 503, "store-outage", None)
    assert instance.replies == [expected]


def test_late_request_sends_no_claim(instance):
    """Guards against a table write for a request past its deadline."""
    instance.node.advance(2000)
    instance.request(1)
    assert not instance.platform.pending_requests
    assert instance.replies[-1].outcome == Outcome.NOT_RUN


def test_unconfirmed_void_is_retried_after_the_deadline(instance):
    """Guards against a key that stays blocked after a lost reply."""
    instance.send(ClaimAbandoned(instance.grant(1)))
    instance.platform.lost(0)
    instance.node.advance(2000)
    assert instance.replies[-1] == ClaimVoided(1, False)
    while instance.read_row_value()["state"] != "void":
        instance.node.advance(5000)
        instance.platform.done(0)


def test_unsettled_claims_are_bounded(instance, monkeypatch):
    """Guards against memory that grows for as long as an outage lasts."""
    monkeypatch.setattr(claims_module, "MAX_UNSETTLED_CLAIMS", 2)
    for number in range(4):
        instance.request(number, key=f"k{number}")
        instance.platform.lost(0)
    instance.node.advance(1000)
    while instance.platform.pending_requests:
        instance.platform.lost(0)
    instance.node.advance(5000)
    assert len(instance.platform.pending_requests) == 2


def test_large_answer_is_fetched_from_the_object_store(instance):
    """Guards against a large stored answer that is lost or cut short."""
    answer = ANSWER._replace(body=bytes(INLINE_BODY_BYTES + 1))
    instance.send(ClaimCompleted(instance.grant(1), answer))
    instance.platform.done(0)
    instance.platform.done(0)
    instance.request(2)
    instance.platform.done(0)
    instance.platform.done(0)
    assert instance.replies[-1].response == answer


def test_answers_waiting_for_the_store_are_bounded(instance, monkeypatch):
    """Guards against answers that fill the memory in an outage."""
    monkeypatch.setattr(claims_module, "MAX_PENDING_ANSWER_BYTES", 4)
    instance.send(ClaimCompleted(instance.grant(1), ANSWER))
    instance.request(2)
    expected = ClaimRefused(2, Outcome.RAN, 504, "answer-not-kept", None)
    assert instance.replies[-1] == expected


def test_drain_waits_for_rows_to_be_stored_and_voided(instance):
    """Guards against a key left claimed because its instance stopped."""
    claim_id, other_id = instance.grant(1), instance.grant(2, key="other")
    instance.send(DrainStarted())
    instance.send(ClaimCompleted(claim_id, ANSWER))
    instance.send(ClaimAbandoned(other_id))
    instance.platform.done(0)
    assert instance.node.reports == []
    instance.platform.done(0)
    assert instance.read_row_value()["state"] == "ran"
    assert instance.node.reports == [DrainFinished("claims")]


def test_drain_without_claims_ends_at_once(instance):
    """Guards against a stop that waits for claims which do not exist."""
    instance.send(DrainStarted())
    assert instance.node.reports == [DrainFinished("claims")]
