"""
Limit on the load probes that one instance sends to a backend server.

Load probes are sent before a placement, by every instance; the periodic probes
of ``probing`` are others, sent only by the holder of the probing permit.
"""

from cuminhatch.clock import MS_PER_SECOND

# Requests arrive in bursts; the bucket holds the tokens of this period.
BURST_MS = 4_000.0
# The rest is a reserve for instances that this one does not know of yet.
USABLE_SHARE = 0.8


class ProbeAllowance:
    """State of the token bucket of one backend server."""

    __slots__ = ("_capacity", "_refilled_ms", "_tokens", "_tokens_per_s")

    def __init__(self, probes_per_s: float, now_ms: float) -> None:
        """
        Start with a full bucket.

        :param probes_per_s: this instance's share of the probe budget.
        :param now_ms: current time.
        """
        self._tokens_per_s = probes_per_s * USABLE_SHARE
        self._capacity = max(1.0, self._tokens_per_s * BURST_MS / MS_PER_SECOND)
        self._tokens = self._capacity
        self._refilled_ms = now_ms

    def is_full(self, now_ms: float) -> bool:
        """
        Tell whether the bucket is full, that is, has not been used lately.

        :param now_ms: current time.
        """
        self._refill(now_ms)
        return self._tokens >= self._capacity

    def take(self, now_ms: float) -> bool:
        """
        Take one token.

        :param now_ms: current time.
        :returns: whether a probe may be sent.
        """
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now_ms: float) -> None:
        gained = (now_ms - self._refilled_ms) / MS_PER_SECOND * self._tokens_per_s
        self._tokens = min(self._capacity, self._tokens + gained)
        self._refilled_ms = now_ms
