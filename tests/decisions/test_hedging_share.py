"""Tests of hedging within a share: the loads of days with trouble."""

from bisect import bisect_right
from random import Random

import pytest

from cuminhatch.decisions.hedging_share import (
    LEFT_TO_FAILURES,
    HedgeAllowance,
    LateRequest,
    hedge_gain,
    plan_hedge,
)
from cuminhatch.decisions.resending import ResendBudget, ResendLimits
from cuminhatch.decisions.response_times import ResponseTimes
from tests.decisions.hedging_model import WINDOW_MS, Kind, play

CATALOG = Kind(150.0, 518.0, 20.0, tail_share=0.03)


def list_window_counts(hedges):
    """Return the hedges in each window that ends at a hedge."""
    return [
        n + 1 - bisect_right(hedges, at_ms - WINDOW_MS)
        for n, at_ms in enumerate(hedges)
    ]


@pytest.mark.parametrize("seed", [1, 2])
def test_heavy_tail_is_cut_within_the_share(seed):
    """
    Guards against hedges that are spent on requests that would be in time.

    Load: three in 100 requests take seven times as long.
    """
    kind, share = CATALOG, 0.06
    hedged = play(kind, share, Random(seed), 60_000)
    plain = play(kind, 1e-9, Random(seed), 60_000)
    assert not plain.hedges
    assert hedged.late / hedged.requests < 0.7 * plain.late / plain.requests
    assert hedged.useful > 0.4 * len(hedged.hedges)
    assert max(list_window_counts(hedged.hedges)) <= share * 20.0 * 10.0 * 1.2


def test_full_service_gets_no_hedge():
    """
    Guards against hedges that add load when capacity is short.

    Load: a service with 0.9 of its slots in use.
    """
    assert not play(CATALOG, 0.1, Random(1), 30_000, occupancy=0.9).hedges


def test_failures_use_the_budget_before_hedges():
    """
    Guards against hedges that take the resends that failures need.

    Load: four retries per second, more than the budget allows.
    """
    calm = play(CATALOG, 0.1, Random(1), 30_000)
    failing = play(CATALOG, 0.1, Random(1), 30_000, retries_per_s=4.0)
    assert len(calm.hedges) > 5
    assert len(failing.hedges) < len(calm.hedges) / 3


def test_retries_use_what_hedges_leave():
    """Guards against a reserve that is kept from failures as well."""
    budget = ResendBudget(ResendLimits(0.2, 0.0, WINDOW_MS), 1)
    allowance = HedgeAllowance(1.0, WINDOW_MS)
    for _ in range(50):
        budget.count_request(0.0)
        allowance.count_request(0.0)
    for _ in range(4):
        assert budget.take(1.0)
        allowance.count_retry(1.0)
    assert allowance.find_denial(budget, 1.0) == LEFT_TO_FAILURES
    assert [budget.take(1.0) for _ in range(6)] == [True] * 5 + [False]


def test_price_rises_as_the_allowance_is_used_up():
    """Guards against an allowance spent first come, first served."""
    allowance = HedgeAllowance(0.1, WINDOW_MS)
    for _ in range(100):
        allowance.count_request(0.0)
    prices = []
    for _ in range(9):
        prices.append(allowance.get_price(1.0))
        allowance.take(1.0)
    assert prices == sorted(prices) and prices[0] < 0.2 < 0.45 < prices[-1]


def test_planned_hedge_can_end_within_the_target():
    """
    Guards against hedges too late to help, and against planning one for now
    that is denied now.
    """
    times = ResponseTimes()
    for elapsed_ms in (0.0, 200.0, 340.0, 367.0, 400.0):
        late = LateRequest(elapsed_ms, 150.0, 518.0 - elapsed_ms, 150.0)
        delay_ms = plan_hedge(times, late, 0.0)
        if delay_ms is None:
            assert hedge_gain(times, late) == 0.0
        else:
            assert delay_ms + 150.0 <= late.left_ms
