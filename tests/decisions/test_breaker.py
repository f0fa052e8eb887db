"""Tests of the circuit breaker of a store."""

from cuminhatch.decisions.breaker import (
    FAILURES_TO_OPEN,
    TRIAL_INTERVAL_MS,
    BreakerOpen,
    BreakerState,
    admit_request,
    record_failure,
    record_success,
)


def open_breaker(now_ms):
    state = BreakerState()
    for _ in range(FAILURES_TO_OPEN):
        assert admit_request(state, now_ms) == state
        state = record_failure(state, now_ms)
    return state


def test_success_between_failures_keeps_it_closed():
    """Guards against opening because of single failures."""
    state = BreakerState()
    for _ in range(10):
        for _ in range(FAILURES_TO_OPEN - 1):
            state = record_failure(state, 0)
        state = record_success(state)
    assert state == BreakerState()


def test_open_breaker_admits_one_trial_per_interval():
    """Guards against requests that each wait for a timeout in an outage."""
    state = open_breaker(100)
    assert admit_request(state, 100 + TRIAL_INTERVAL_MS - 1) == BreakerOpen()
    assert admit_request(state, 100 + TRIAL_INTERVAL_MS, False) == BreakerOpen()
    state = admit_request(state, 100 + TRIAL_INTERVAL_MS)
    assert isinstance(state, BreakerState)
    assert admit_request(state, 100 + 2 * TRIAL_INTERVAL_MS - 1) == BreakerOpen()
    assert admit_request(state, 100 + 2 * TRIAL_INTERVAL_MS) != BreakerOpen()


def test_late_failures_do_not_postpone_the_trial():
    """Guards against a store that has recovered but is never tried."""
    state = open_breaker(100)
    for now_ms in range(100, 600, 50):
        state = record_failure(state, now_ms)
    assert admit_request(state, 100 + TRIAL_INTERVAL_MS) != BreakerOpen()


def test_success_closes_at_once():
    """Guards against refusing requests after the store has recovered."""
    state = record_success(open_breaker(100))
    assert admit_request(state, 101) == BreakerState()
