"""
Circuit breaker for requests to a store.

While the breaker is open, requests fail at once instead of each waiting for
its own timeout. One trial request per interval detects that the store is
available again.
"""

from typing import NamedTuple

FAILURES_TO_OPEN = 3
TRIAL_INTERVAL_MS = 500.0


class BreakerState(NamedTuple):
    """
    State of the breaker of one store.

    ``trial_at_ms`` is the earliest time of the next trial while it is open.
    """

    failures_in_row: int = 0
    trial_at_ms: float = 0.0

    @property
    def is_open(self) -> bool:
        """Tell whether requests fail at once."""
        return self.failures_in_row >= FAILURES_TO_OPEN


class BreakerOpen(NamedTuple):
    """The breaker is open; the request must not be sent."""

    reason: str = "store outage known"


def admit_request(
    state: BreakerState, now_ms: float, is_trial_allowed: bool = True
) -> BreakerState | BreakerOpen:
    """
    Decide whether a request may be sent.

    :param state: state of the breaker.
    :param now_ms: current time in milliseconds.
    :param is_trial_allowed: False for a request that must not be used as a
        trial; it fails at once while the breaker is open.
    :returns: the state after sending, or ``BreakerOpen``.
    """
    if not state.is_open:
        return state
    if not is_trial_allowed or now_ms < state.trial_at_ms:
        return BreakerOpen()
    return state._replace(trial_at_ms=now_ms + TRIAL_INTERVAL_MS)


def record_success(state: BreakerState) -> BreakerState:
    """
    Close the breaker after a reply from the store.

    :param state: state of the breaker.
    """
    return BreakerState() if state.failures_in_row else state


def record_failure(state: BreakerState, now_ms: float) -> BreakerState:
    """
    Count a failure; the one that opens the breaker schedules a trial.

    :param state: state of the breaker.
    :param now_ms: current time in milliseconds.
    """
    counted = state._replace(failures_in_row=state.failures_in_row + 1)
    # Requests sent before the breaker opened may still fail one by one; these
    # failures must not postpone the trial.
    if counted.is_open and not state.is_open:
        return counted._replace(trial_at_ms=now_ms + TRIAL_INTERVAL_MS)
    return counted
