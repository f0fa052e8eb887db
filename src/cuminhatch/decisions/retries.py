"""Which failed attempts are tried again, and how often over all requests."""

from typing import NamedTuple

from cuminhatch.clock import MS_PER_SECOND

# 10% of recent requests and one per second: enough for single failures, too
# little to multiply the load when everything fails.
TOKENS_PER_REQUEST = 0.1
TOKENS_PER_SECOND = 1.0
# Bounds the burst of retries after a quiet time.
TOKENS_MAX = 20.0
ATTEMPTS_MAX = 3
# A retry that cannot end in time only adds load.
MIN_LEFT_MS = 2.0


class RetryBudget:
    """State of the token bucket that all retries of a service draw on."""

    __slots__ = ("_refilled_ms", "_tokens")

    def __init__(self, now_ms: float) -> None:
        """
        Start with one second's worth.

        :param now_ms: current time.
        """
        self._tokens = TOKENS_PER_SECOND
        self._refilled_ms = now_ms

    def on_request(self) -> None:
        """Add the share that a new request brings."""
        self._tokens = min(TOKENS_MAX, self._tokens + TOKENS_PER_REQUEST)

    def take(self, now_ms: float) -> bool:
        """
        Take one retry.

        :param now_ms: current time.
        :returns: whether there was one left.
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
    An attempt that brought no answer.

    ``is_sent`` is False only if no byte of the request has left.
    ``is_shed`` tells that the backend server said that it did not run the
    request. ``is_reused`` tells that the connection had served other
    requests. ``is_body_kept`` tells that the body can be sent again.
    ``attempts`` counts this one.
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
    """The request may be sent again, or to the same server if ``is_fresh``."""

    is_fresh: bool


class RetryDenied(NamedTuple):
    """Sentinel: the request must not be sent again."""

    reason: str


def may_retry(
    attempt: FailedAttempt, budget: RetryBudget, now_ms: float
) -> RetryAllowed | RetryDenied:
    """
    Decide whether a request is tried again; an allowed retry is paid for.

    :param attempt: the attempt that failed.
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
    # The far end had closed an idle connection before anything was sent. That
    # is no sign of overload and costs the backend server nothing.
    is_free = attempt.is_reused and not attempt.is_sent
    if not is_free and not budget.take(now_ms):
        return RetryDenied("retry-budget-empty")
    return RetryAllowed(is_fresh=attempt.is_reused and not attempt.is_shed)


def _is_safe(attempt: FailedAttempt) -> bool:
    if attempt.is_idempotent or not attempt.is_sent:
        return True
    # Without a key nothing but the word of the backend server stands between
    # a retry and a second run; design 5.1 allows at most one send.
    return attempt.is_keyed and attempt.is_shed
