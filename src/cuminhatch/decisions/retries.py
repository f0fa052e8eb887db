"""
Which failed attempts are retried, and the budget for retries.

Used by the ``dispatch`` service; ``forwarding`` uses ``resending`` instead.
"""

from typing import NamedTuple

from cuminhatch.clock import MS_PER_SECOND

# 10% of recent requests plus one per second: enough for single failures, too
# little to multiply the load when everything fails.
TOKENS_PER_REQUEST = 0.1
TOKENS_PER_SECOND = 1.0
# Limits the burst of retries after a quiet period.
TOKENS_MAX = 20.0
ATTEMPTS_MAX = 3
# A retry that cannot complete in time only adds load.
MIN_LEFT_MS = 2.0


class RetryBudget:
    """State of the token bucket for the retries of one service."""

    __slots__ = ("_refilled_ms", "_tokens")

    def __init__(self, now_ms: float) -> None:
        """
        Start with the tokens of one second.

        :param now_ms: current time.
        """
        self._tokens = TOKENS_PER_SECOND
        self._refilled_ms = now_ms

    def on_request(self) -> None:
        """Add the tokens for a new request."""
        self._tokens = min(TOKENS_MAX, self._tokens + TOKENS_PER_REQUEST)

    def take(self, now_ms: float) -> bool:
        """
        Take the token of one retry.

        :param now_ms: current time.
        :returns: whether there was one.
        """
        gained = (now_ms - self._refilled_ms) / MS_PER_SECOND * TOKENS_PER_SECOND
        self._refilled_ms = now_ms
        self._tokens = min(TOKENS_MAX, self._tokens + gained)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class FailedAttempt(NamedTuple):
    """
    An attempt that ended without a usable response.

    ``is_keyed`` tells that the request has an idempotency key. ``is_sent`` is
    False only if no byte of the request was sent. ``is_shed`` tells that the
    backend server reported that it did not run the request. ``is_reused``
    tells that the connection had served other requests. ``is_body_kept``
    tells that the body is still buffered and can be sent again. ``attempts``
    includes this one. ``left_ms`` is the time to the deadline.
    """

    is_idempotent: bool
    is_keyed: bool
    is_sent: bool
    is_shed: bool
    is_reused: bool
    is_body_kept: bool
    attempts: int
    left_ms: float


class RetryAllowed(NamedTuple):
    """
    The request may be retried.

    ``is_fresh`` tells that the retry may use the same server, on a new
    connection.
    """

    is_fresh: bool


class RetryDenied(NamedTuple):
    """The request must not be retried; ``reason`` says why."""

    reason: str


def may_retry(
    attempt: FailedAttempt, budget: RetryBudget, now_ms: float
) -> RetryAllowed | RetryDenied:
    """
    Decide whether to retry a request, and charge the budget if so.

    :param attempt: the failed attempt.
    :param budget: budget of the service.
    :param now_ms: current time.
    """
    if not _is_safe(attempt):
        return RetryDenied("may-have-run")
    if not attempt.is_body_kept:
        return RetryDenied("body-not-kept")
    if attempt.attempts >= ATTEMPTS_MAX:
        return RetryDenied("attempts-used-up")
    if attempt.left_ms < MIN_LEFT_MS:
        return RetryDenied("deadline-passed")
    # The server had closed an idle connection before anything was sent. That
    # is no sign of overload and costs the server nothing.
    is_free = attempt.is_reused and not attempt.is_sent
    if not is_free and not budget.take(now_ms):
        return RetryDenied("retry-budget-empty")
    return RetryAllowed(is_fresh=attempt.is_reused and not attempt.is_shed)


def _is_safe(attempt: FailedAttempt) -> bool:
    """Tell whether a retry cannot run a non-idempotent request twice."""
    if attempt.is_idempotent or not attempt.is_sent:
        return True
    # Without an idempotency key, a non-idempotent request is sent at most
    # once, even if the backend server reports that it did not run it (section
    # 5.1 of docs/design.md).
    return attempt.is_keyed and attempt.is_shed
