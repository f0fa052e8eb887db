"""
Whether a store that keeps failing is asked again.

While the breaker is open, requests fail at once instead of each waiting for
its own timeout; one trial per interval finds out when the store is back.
"""

from typing import NamedTuple

FAILURES_TO_OPEN = 3
TRIAL_INTERVAL_MS = 500.0


class BreakerState(NamedTuple):
    """
    What is known about a store.

    ``trial_at_ms`` is the earliest time of the next trial while open.
    """

    failures_in_row: int = 0
    trial_at_ms: float = 0.0

    @property
    def is_open(self) -> bool:
        """Tell whether requests fail at once."""
        return self.failures_in_row >= FAILURES_TO_OPEN


class BreakerOpen(NamedTuple):
    """Sentinel: the request is not to be sent."""

    reason: str = "store outage known"


def admit_request(
    state: BreakerState, now_ms: float, is_trial_allowed: bool = True
) -> BreakerState | BreakerOpen:
    """
    Decide whether a request may be sent.

    :param state: what is known about the store.
    :param now_ms: current time in milliseconds.
    :param is_trial_allowed: False for a request that must fail at once while
        the breaker is open.
    :returns: the state after sending, or that it must not be sent.
    """
    if not state.is_open:
        return state
    if not is_trial_allowed or now_ms < state.trial_at_ms:
        return BreakerOpen()
    return state._replace(trial_at_ms=now_ms + TRIAL_INTERVAL_MS)


def record_success(state: BreakerState) -> BreakerState:
    """
    Close the breaker after a reply of the store.

    :param state: what is known about the store.
    """
    return BreakerState() if state.failures_in_row else state


def record_failure(state: BreakerState, now_ms: float) -> BreakerState:
    """
    Count a failure; the one that opens the breaker sets the first trial.

    :param state: what is known about the store.
    :param now_ms: current time in milliseconds.
    """
    counted = state._replace(failures_in_row=state.failures_in_row + 1)
    # Requests sent before the breaker opened fail one after another; they
    # must not put the trial off.
    if counted.is_open and not state.is_open:
        return counted._replace(trial_at_ms=now_ms + TRIAL_INTERVAL_MS)
    return counted
