"""Tests of retries and their budget."""

import pytest

from cuminhatch.decisions.retries import (
    FailedAttempt,
    RetryAllowed,
    RetryBudget,
    RetryDenied,
    may_retry,
)

READ = FailedAttempt(
    is_idempotent=True,
    is_keyed=False,
    is_sent=True,
    is_shed=False,
    is_reused=False,
    is_body_kept=True,
    attempts=1,
    left_ms=500.0,
)
WRITE = READ._replace(is_idempotent=False)
KEYED = WRITE._replace(is_keyed=True)


def decide(attempt):
    return may_retry(attempt, RetryBudget(0.0), 0.0)


@pytest.mark.parametrize(
    ("attempt", "is_allowed"),
    [
        (READ, True),
        (READ._replace(attempts=3), False),
        (READ._replace(left_ms=1.0), False),
        (READ._replace(is_body_kept=False), False),
        (WRITE, False),
        (WRITE._replace(is_sent=False), True),
        (WRITE._replace(is_shed=True), False),
        (KEYED, False),
        (KEYED._replace(is_shed=True), True),
        (KEYED._replace(is_reused=True), False),
    ],
)
def test_only_safe_attempts_are_retried(attempt, is_allowed):
    """Guards against running a non-idempotent request twice."""
    assert isinstance(decide(attempt), RetryAllowed) is is_allowed


def test_failed_reused_connection_is_replaced_first():
    """Guards against blaming a server for a stale pooled connection."""
    assert decide(READ._replace(is_reused=True)) == RetryAllowed(is_fresh=True)
    assert decide(READ) == RetryAllowed(is_fresh=False)


def test_retries_do_not_multiply_the_load():
    """Guards against a retry storm when every attempt fails."""
    budget = RetryBudget(0.0)
    allowed = 0
    for number in range(10_000):
        budget.on_request()
        allowed += isinstance(may_retry(READ, budget, float(number)), RetryAllowed)
    # 10% of the requests plus one per second for ten seconds.
    assert 1000 <= allowed <= 1012


def test_single_failures_are_retried_when_traffic_is_low():
    """Guards against a budget that is always empty under low traffic."""
    budget = RetryBudget(0.0)
    for second in range(5):
        assert budget.take(second * 1000.0)
        assert not budget.take(second * 1000.0)


def test_closed_idle_connection_costs_no_budget():
    """Guards against spending the budget on connections closed while idle."""
    budget = RetryBudget(0.0)
    closed = READ._replace(is_reused=True, is_sent=False)
    for _ in range(5):
        assert may_retry(closed, budget, 0.0) == RetryAllowed(is_fresh=True)
    assert budget.take(0.0)


def test_empty_budget_is_the_reason():
    """Guards against a denial without its reason."""
    budget = RetryBudget(0.0)
    budget.take(0.0)
    assert may_retry(READ, budget, 0.0) == RetryDenied("retry-budget-empty")
