"""How often one instance may ask a backend server for its load."""

from cuminhatch.clock import MS_PER_SECOND

# Requests arrive in bunches; the allowance of this time may be used at once.
BURST_MS = 4_000.0
# Instances that are not known yet ask as well.
RESERVE = 0.8


class ProbeAllowance:
    """State of the token bucket of one backend server."""

    __slots__ = ("_filled_ms", "_max", "_per_s", "_tokens")

    def __init__(self, probes_per_s: float, now_ms: float) -> None:
        """
        Start with a full bucket.

        :param probes_per_s: this instance's part of the bound.
        :param now_ms: current time.
        """
        self._per_s = probes_per_s * RESERVE
        self._max = max(1.0, self._per_s * BURST_MS / MS_PER_SECOND)
        self._tokens = self._max
        self._filled_ms = now_ms

    def is_full(self, now_ms: float) -> bool:
        """
        Tell whether nothing has been used lately.

        :param now_ms: current time.
        """
        self._fill(now_ms)
        return self._tokens >= self._max

    def take(self, now_ms: float) -> bool:
        """
        Take one probe.

        :param now_ms: current time.
        :returns: whether it may be sent.
        """
        self._fill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _fill(self, now_ms: float) -> None:
        gained = (now_ms - self._filled_ms) / MS_PER_SECOND * self._per_s
        self._tokens = min(self._max, self._tokens + gained)
        self._filled_ms = now_ms
