"""Tests of the ``claims`` service on a table whose replies are chosen."""

import pytest

from cuminhatch.decisions.idempotency import INLINE_BODY_BYTES, StoredAnswer
from cuminhatch.messages import (
    ClaimAbandoned,
    ClaimAnswered,
    ClaimGranted,
    ClaimLeftOpen,
    ClaimRefused,
    ClaimRequested,
    ClaimVoided,
    DrainFinished,
    DrainStarted,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services import Claims, claims as claims_module
from tests.proofs.fakes_table import Node, Platform

ANSWER = StoredAnswer(200, (), b"released")


class Bench:
    """One instance with the real service."""

    def __init__(self):
        self.platform = Platform()
        self.node = Node("i0", 1, self.platform)
        self.node.kernel.register(Claims(self.node.kernel, "i0", 1))
        kinds = (ClaimGranted, ClaimRefused, ClaimVoided)
        self.heard = self.node.record("dispatch", kinds)

    def request(self, request_id, key="k", digest="d", deadline_ms=1000.0):
        message = ClaimRequested(request_id, "s", key, digest, deadline_ms)
        self.node.send("claims", message)

    def grant(self, request_id, key="k"):
        self.request(request_id, key)
        self.platform.done(0)
        return self.heard[-1].claim_id

    def tell(self, message):
        self.node.send("claims", message)

    def row(self):
        return self.platform.table.rows["claim/s/k"].value


@pytest.fixture
def bench():
    bench = Bench()
    yield bench
    bench.node.close()


def test_second_request_joins_the_first(bench):
    """Guards against two table claims, or two runs, on one instance."""
    claim_id = bench.grant(1)
    bench.request(2)
    assert not bench.platform.asked
    bench.tell(ClaimAnswered(claim_id, ANSWER))
    expected = ClaimRefused(2, Outcome.RAN, 200, "stored-answer", ANSWER)
    assert bench.heard[-1] == expected
    bench.request(3)
    assert bench.heard[-1] == expected._replace(request_id=3)
    bench.platform.done(0)
    assert bench.row()["state"] == "ran"


def test_joined_request_claims_when_the_first_did_not_run(bench):
    """Guards against a request that waits for one that has ended."""
    claim_id = bench.grant(1)
    bench.request(2)
    bench.tell(ClaimAbandoned(claim_id))
    bench.platform.done(0)
    assert bench.heard[-1] == ClaimVoided(1, True)
    bench.platform.done(0)
    bench.platform.done(0)
    assert isinstance(bench.heard[-1], ClaimGranted)
    assert bench.heard[-1].request_id == 2


def test_joined_request_keeps_its_own_deadline(bench):
    """Guards against a caller held by the longer deadline of another."""
    bench.grant(1)
    bench.request(2, deadline_ms=100.0)
    bench.node.advance(100)
    expected = ClaimRefused(2, Outcome.UNKNOWN, 504, "claimed-by-another", None)
    assert bench.heard[-1] == expected


def test_joined_request_of_another_payload_is_refused(bench):
    """Guards against the answer of one payment given for another."""
    bench.grant(1)
    bench.request(2, digest="other")
    assert bench.heard[-1] == ClaimRefused(2, Outcome.NOT_RUN, 422, "key-reused", None)


def test_open_end_leaves_the_key_claimed(bench):
    """Guards against a second run after a connection went silent."""
    bench.tell(ClaimLeftOpen(bench.grant(1)))
    assert bench.row()["state"] == "claimed"
    bench.request(2)
    bench.platform.done(0)
    assert not isinstance(bench.heard[-1], ClaimRefused)
    bench.node.advance(1000)
    assert bench.heard[-1].outcome == Outcome.UNKNOWN


def test_outage_is_refused_at_once(bench):
    """Guards against callers kept waiting in a known outage."""
    bench.request(1)
    bench.platform.unsent(0)
    expected = ClaimRefused(1, Outcome.NOT_RUN, 503, "store-outage", None)
    assert bench.heard == [expected]


def test_late_request_sends_no_claim(bench):
    """Guards against claims for requests that cannot be answered any more."""
    bench.node.advance(2000)
    bench.request(1)
    assert not bench.platform.asked
    assert bench.heard[-1].outcome == Outcome.NOT_RUN


def test_unconfirmed_void_goes_on_after_the_final_word(bench):
    """Guards against a key that stays blocked after a lost reply."""
    bench.tell(ClaimAbandoned(bench.grant(1)))
    bench.platform.lost(0)
    bench.node.advance(2000)
    assert bench.heard[-1] == ClaimVoided(1, False)
    while bench.row()["state"] != "void":
        bench.node.advance(5000)
        bench.platform.done(0)


def test_unsettled_claims_are_bounded(bench, monkeypatch):
    """Guards against memory that grows for as long as an outage lasts."""
    monkeypatch.setattr(claims_module, "UNSETTLED_CLAIMS_MAX", 2)
    for number in range(4):
        bench.request(number, key=f"k{number}")
        bench.platform.lost(0)
    bench.node.advance(1000)
    while bench.platform.asked:
        bench.platform.lost(0)
    bench.node.advance(5000)
    assert len(bench.platform.asked) == 2


def test_large_answer_is_fetched_from_the_object_store(bench):
    """Guards against a large stored answer that is lost or cut short."""
    answer = ANSWER._replace(body=bytes(INLINE_BODY_BYTES + 1))
    bench.tell(ClaimAnswered(bench.grant(1), answer))
    bench.platform.done(0)
    bench.platform.done(0)
    bench.request(2)
    bench.platform.done(0)
    bench.platform.done(0)
    assert bench.heard[-1].answer == answer


def test_answers_waiting_for_the_store_are_bounded(bench, monkeypatch):
    """Guards against answers that fill the memory in an outage."""
    monkeypatch.setattr(claims_module, "STORING_BYTES_MAX", 4)
    bench.tell(ClaimAnswered(bench.grant(1), ANSWER))
    bench.request(2)
    expected = ClaimRefused(2, Outcome.RAN, 504, "answer-not-kept", None)
    assert bench.heard[-1] == expected


def test_drain_waits_for_rows_to_be_stored_and_voided(bench):
    """Guards against a key left claimed because its instance stopped."""
    claim_id, other_id = bench.grant(1), bench.grant(2, key="other")
    bench.tell(DrainStarted())
    bench.tell(ClaimAnswered(claim_id, ANSWER))
    bench.tell(ClaimAbandoned(other_id))
    bench.platform.done(0)
    assert bench.node.reports == []
    bench.platform.done(0)
    assert bench.row()["state"] == "ran"
    assert bench.node.reports == [DrainFinished("claims")]


def test_drain_without_claims_ends_at_once(bench):
    """Guards against a stop that waits for claims which do not exist."""
    bench.tell(DrainStarted())
    assert bench.node.reports == [DrainFinished("claims")]
