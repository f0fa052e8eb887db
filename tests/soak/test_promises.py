"""Tests that each check of the soak sees what breaks its promise."""

import pytest

from soak.promises import (
    Attempt,
    Run,
    check_all,
    check_drain,
    check_recovery,
    check_stop,
)


def make_attempt(request_id="c-1", kind="confirm", status=200, **fields):
    values = {
        "gateway": "front-1",
        "begun_s": 10.0,
        "ended_s": 10.1,
        "answer_id": request_id,
        "seal": f"seal.{request_id}",
        "body": f"answer to {request_id}".encode(),
    } | fields
    return Attempt(request_id, kind, status=status, **values)


RUN = Run(10.05, "l1", "c-1")


def test_kept_promises_are_not_reported():
    """Guards against a soak that always fails."""
    attempts = [make_attempt(), make_attempt("s-1", "status", 503)]
    assert check_all(attempts, [RUN, Run(10.0, "b1", "s-1")]) == []


@pytest.mark.parametrize(
    ("attempt", "runs"),
    [
        (make_attempt(), [RUN, RUN]),
        (make_attempt(status=503), [RUN]),
        (make_attempt(status=429), [RUN]),
        (make_attempt(answer_id="c-2"), [RUN]),
        (make_attempt(seal=""), [RUN]),
        (make_attempt(body=b"answer to c-"), [RUN]),
        (make_attempt(), [RUN, Run(10.0, "l1", "unknown")]),
    ],
    ids=["twice", "refused", "limited", "foreign", "unsealed", "cut", "unasked"],
)
def test_broken_promise_is_reported(attempt, runs):
    """Guards against a soak that any version passes."""
    assert len(check_all([attempt], runs)) == 1


def test_unknown_outcome_may_have_run():
    """Guards against a check that is stricter than the promise."""
    assert check_all([make_attempt(status=502)], [RUN]) == []
    assert check_all([make_attempt(status=0)], [RUN]) == []


def test_late_work_of_a_leaving_server_is_reported():
    """Guards against a drain that nobody checks."""
    assert check_drain([RUN], "l1", 10.0)
    assert not check_drain([RUN], "l1", 10.1)
    assert not check_drain([RUN], "l2", 10.0)


def test_request_cut_by_a_gentle_stop_is_reported():
    """Guards against a stop that nobody checks."""
    cut = make_attempt(status=0)
    assert check_stop([cut], "front-1", 10.05)
    assert not check_stop([cut], "front-2", 10.05)
    assert not check_stop([cut], "front-1", 9.0)
    assert not check_stop([make_attempt(status=502)], "front-1", 10.05)


def test_missing_recovery_is_reported():
    """Guards against a system that stays down after the last fault."""
    attempts = [make_attempt(f"c-{n}", status=503) for n in range(2)]
    answered = [make_attempt(f"d-{n}") for n in range(9)]
    assert check_recovery([*attempts, *answered], 0.0)
    assert not check_recovery([attempts[0], *answered], 0.0)
    assert check_recovery([], 0.0)
