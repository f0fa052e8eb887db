"""Tests that each check of the soak reports violations of its guarantee."""

import pytest

from soak.guarantees import (
    RequestRecord,
    RequestRun,
    check_drain,
    check_graceful_stop,
    check_invariants,
    check_recovery,
)


def make_record(request_id="c-1", kind="confirm", status=200, **fields):
    values = {
        "gateway": "front-1",
        "started_s": 10.0,
        "ended_s": 10.1,
        "response_id": request_id,
        "seal": f"seal.{request_id}",
        "body": f"answer to {request_id}".encode(),
    } | fields
    return RequestRecord(request_id, kind, status=status, **values)


RUN = RequestRun(10.05, "l1", "c-1")


def test_kept_guarantees_are_not_reported():
    """Guards against checks that report correct behaviour."""
    records = [make_record(), make_record("s-1", "status", 503)]
    assert check_invariants(records, [RUN, RequestRun(10.0, "b1", "s-1")]) == []


@pytest.mark.parametrize(
    ("record", "runs"),
    [
        (make_record(), [RUN, RUN]),
        (make_record(status=503), [RUN]),
        (make_record(status=429), [RUN]),
        (make_record(response_id="c-2"), [RUN]),
        (make_record(seal=""), [RUN]),
        (make_record(body=b"answer to c-"), [RUN]),
        (make_record(), [RUN, RequestRun(10.0, "l1", "unknown")]),
    ],
    ids=["twice", "refused", "limited", "foreign", "unsealed", "cut", "unasked"],
)
def test_violation_is_reported(record, runs):
    """Guards against checks that never report a violation."""
    assert len(check_invariants([record], runs)) == 1


def test_unknown_outcome_may_have_run():
    """Guards against a check that is stricter than the guarantee."""
    assert check_invariants([make_record(status=502)], [RUN]) == []
    assert check_invariants([make_record(status=0)], [RUN]) == []


def test_new_request_at_a_draining_server_is_reported():
    """Guards against a drain check that misses new requests."""
    assert check_drain([RUN], "l1", 10.0)
    assert not check_drain([RUN], "l1", 10.1)
    assert not check_drain([RUN], "l2", 10.0)


def test_request_interrupted_by_a_graceful_stop_is_reported():
    """Guards against a stop check that misses interrupted requests."""
    interrupted = make_record(status=0)
    assert check_graceful_stop([interrupted], "front-1", 10.05)
    assert not check_graceful_stop([interrupted], "front-2", 10.05)
    assert not check_graceful_stop([interrupted], "front-1", 9.0)
    assert not check_graceful_stop([make_record(status=502)], "front-1", 10.05)


def test_missing_recovery_is_reported():
    """Guards against a check that misses a system which stays down."""
    records = [make_record(f"c-{n}", status=503) for n in range(2)]
    succeeded = [make_record(f"d-{n}") for n in range(9)]
    assert check_recovery([*records, *succeeded], 0.0)
    assert not check_recovery([records[0], *succeeded], 0.0)
    assert check_recovery([], 0.0)
