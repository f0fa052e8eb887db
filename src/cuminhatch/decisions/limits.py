"""
Per-instance connection shares and adaptive concurrency windows.

A shed response is one by which a backend server rejects a request because it
is overloaded.
"""

# Decrease on a shed response: large, because the backend server has reported
# that it is full.
SHED_FACTOR = 0.7
# Decrease on rising latency: small, because latency is a noisy signal.
LATENCY_FACTOR = 0.9
# The window shrinks when the recent average latency exceeds LATENCY_RISE times
# the baseline plus LATENCY_SLACK_MS.
LATENCY_RISE = 2.0
LATENCY_SLACK_MS = 2.0
RECENT_WEIGHT = 1 / 8
# The baseline follows a rise slowly and a fall quickly, so that it stays
# close to the latency without queueing.
BASELINE_RISE_WEIGHT = 1 / 256
BASELINE_FALL_WEIGHT = 1 / 8
# Responses of one burst report the same congestion, so they cause only one
# decrease.
DECREASE_INTERVAL_MS = 100.0
MIN_WINDOW = 1.0


def connection_share(connections: int, instances_max: int) -> int:
    """
    Return how many connections one instance may open to a backend server.

    The share is independent of the current membership, so the total over all
    instances stays within the limit while instances join and leave. Only a
    server that accepts fewer connections than there are instances may get more
    than that, as every instance may open one.

    :param connections: connections that the backend server accepts.
    :param instances_max: maximum number of instances, from the configuration.
    :returns: the share, at least 1.
    """
    return max(1, connections // max(1, instances_max))


class ConcurrencyWindow:
    """
    State of the concurrency window of one backend server.

    The window is the number of short requests allowed in flight. It grows
    additively and shrinks multiplicatively (AIMD).
    """

    __slots__ = (
        "_baseline_ms",
        "_decreased_ms",
        "_recent_ms",
        "_share",
        "_size",
    )

    def __init__(self, slots: int, share: int) -> None:
        """
        Start with the number of slots of the backend server.

        :param slots: requests that the backend server runs concurrently.
        :param share: connections that this instance may open to it.
        """
        self._share = share
        self._size = float(max(1, min(slots, share)))
        self._baseline_ms = 0.0
        self._recent_ms = 0.0
        self._decreased_ms = float("-inf")

    @property
    def size(self) -> int:
        """Return the number of short requests allowed in flight."""
        return int(self._size)

    @property
    def share(self) -> int:
        """Return the connections that this instance may open."""
        return self._share

    def set_share(self, share: int) -> None:
        """
        Change the share; requests in flight above it are not cancelled.

        :param share: connections that this instance may open.
        """
        self._share = share
        self._size = min(self._size, float(share))

    def on_response(self, latency_ms: float, in_flight: int, now_ms: float) -> None:
        """
        Adjust the window to a response.

        :param latency_ms: time from sending to the response head.
        :param in_flight: requests in flight, including the answered one.
        :param now_ms: current time.
        """
        if self._baseline_ms == 0.0:
            self._baseline_ms = self._recent_ms = latency_ms
        self._recent_ms += (latency_ms - self._recent_ms) * RECENT_WEIGHT
        gap_ms = latency_ms - self._baseline_ms
        weight = BASELINE_RISE_WEIGHT if gap_ms > 0 else BASELINE_FALL_WEIGHT
        self._baseline_ms += gap_ms * weight
        if self._recent_ms > self._baseline_ms * LATENCY_RISE + LATENCY_SLACK_MS:
            self._decrease(LATENCY_FACTOR, now_ms)
        elif in_flight >= self.size:
            # While the window is not fully used, low latency does not show
            # that a larger one is safe.
            self._size = min(self._size + 1 / self._size, float(self._share))

    def on_shed(self, now_ms: float) -> None:
        """
        Shrink the window after a shed response.

        :param now_ms: current time.
        """
        self._decrease(SHED_FACTOR, now_ms)

    def _decrease(self, factor: float, now_ms: float) -> None:
        if now_ms - self._decreased_ms >= DECREASE_INTERVAL_MS:
            self._decreased_ms = now_ms
            self._size = max(MIN_WINDOW, self._size * factor)
