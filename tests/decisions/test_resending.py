"""Tests of resends and their shared budget."""

import random

import pytest

from cuminhatch.decisions.resending import (
    ResendBudget,
    ResendDenied,
    ResendLimits,
    SendHistory,
    check_resend,
)

LIMITS = ResendLimits(ratio=0.2, extra=56.0, window_ms=10_000.0)
READ = SendHistory(
    is_idempotent=True,
    may_have_run=True,
    is_body_kept=True,
    servers=1,
    servers_max=2,
    left_ms=500.0,
)
WRITE = READ._replace(is_idempotent=False)


@pytest.mark.parametrize(
    ("history", "reason"),
    [
        (READ, None),
        (WRITE, "may-have-run"),
        (WRITE._replace(may_have_run=False), None),
        (READ._replace(is_body_kept=False), "body-not-kept"),
        (READ._replace(left_ms=5.0), "no-time-left"),
        (READ._replace(servers=2), "servers-used-up"),
        (WRITE._replace(servers=0, may_have_run=False), None),
    ],
)
def test_request_is_resent_only_if_that_is_safe(history, reason):
    """Guards against running twice and against a rule's limit exceeded."""
    denied = check_resend(history, ResendBudget(LIMITS, 13), 0.0)
    assert denied == (None if reason is None else ResendDenied(reason))


def test_first_send_costs_no_budget():
    """Guards against charging sends that never reached a server."""
    budget = ResendBudget(LIMITS._replace(extra=0.0), 13)
    unsent = READ._replace(servers=0, may_have_run=False)
    assert check_resend(unsent, budget, 0.0) is None
    assert check_resend(READ, budget, 0.0) == ResendDenied("resend-budget-empty")


@pytest.mark.parametrize("instances", [1, 2, 13, 18, 142])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_sum_over_instances_keeps_the_budget_in_any_window(instances, seed):
    """
    Guards against resends that multiply the load when all servers fail.

    A resend may belong to a request that arrived before the window. So the
    bound uses the largest number of requests in the window itself and in those
    that start half a window and a whole window earlier.
    """
    rng = random.Random(seed)
    budgets = [ResendBudget(LIMITS, instances) for _ in range(instances)]
    requests, resends = [], []
    now_ms = 0.0
    for _ in range(6_000):
        now_ms += rng.expovariate(1 / rng.choice([5.0, 40.0]))
        budget = rng.choice(budgets)
        budget.count_request(now_ms)
        requests.append(now_ms)
        if rng.random() < 0.9 and budget.take(now_ms):
            resends.append(now_ms)
    for start in resends:
        end = start + LIMITS.window_ms
        within = sum(1 for at in resends if start <= at < end)
        asked = max(
            sum(1 for at in requests if start - back <= at < end - back)
            for back in (0.0, LIMITS.window_ms / 2, LIMITS.window_ms)
        )
        assert within <= LIMITS.ratio * asked + LIMITS.extra
    assert resends
