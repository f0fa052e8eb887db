"""Shares of connections, and the concurrency window per backend server."""

# Decrease on a shed answer: large, because the backend server has said that
# it is full.
SHED_FACTOR = 0.7
# Decrease on rising latency: small, because latency is a noisy signal.
LATENCY_FACTOR = 0.9
# The recent average must exceed the long-term one by this factor, and by
# LATENCY_SLACK_MS, before the window narrows.
LATENCY_RISE = 2.0
LATENCY_SLACK_MS = 2.0
RECENT_WEIGHT = 1 / 8
# The long-term average follows a rise slowly and a fall quickly, so that it
# stays close to the latency without queueing.
BASE_RISE_WEIGHT = 1 / 256
BASE_FALL_WEIGHT = 1 / 8
# Answers of one burst report the same congestion; one decrease covers it.
DECREASE_INTERVAL_MS = 100.0
MIN_WINDOW = 1.0


def connection_share(connections: int, instances_max: int) -> int:
    """
    Return how many connections one instance may open to a backend server.

    The share depends on no view of membership, so the total over all
    instances holds while instances come and go.

    :param connections: connections that the backend server accepts.
    :param instances_max: largest number of instances, from the notes.
    :returns: the share, at least 1.
    """
    return max(1, connections // max(1, instances_max))


class ConcurrencyWindow:
    """State of the window of one backend server."""

    __slots__ = (
        "_base_ms",
        "_decreased_ms",
        "_recent_ms",
        "_share",
        "_size",
    )

    def __init__(self, slots: int, share: int) -> None:
        """
        Start at the slots of the backend server.

        :param slots: requests that the backend server runs at a time.
        :param share: connections of this instance to it.
        """
        self._share = share
        self._size = float(max(1, min(slots, share)))
        self._base_ms = 0.0
        self._recent_ms = 0.0
        self._decreased_ms = float("-inf")

    @property
    def size(self) -> int:
        """Return the short requests allowed in flight, at least 1."""
        return int(self._size)

    @property
    def share(self) -> int:
        """Return the connections of this instance."""
        return self._share

    def set_share(self, share: int) -> None:
        """
        Take a changed share; running requests above it end by themselves.

        :param share: connections of this instance.
        """
        self._share = share
        self._size = min(self._size, float(share))

    def on_answer(self, latency_ms: float, in_flight: int, now_ms: float) -> None:
        """
        Take an answer into account.

        :param latency_ms: time from sending to the response head.
        :param in_flight: requests in flight, the answered one included.
        :param now_ms: current time.
        """
        if self._base_ms == 0.0:
            self._base_ms = self._recent_ms = latency_ms
        self._recent_ms += (latency_ms - self._recent_ms) * RECENT_WEIGHT
        gap_ms = latency_ms - self._base_ms
        weight = BASE_RISE_WEIGHT if gap_ms > 0 else BASE_FALL_WEIGHT
        self._base_ms += gap_ms * weight
        if self._recent_ms > self._base_ms * LATENCY_RISE + LATENCY_SLACK_MS:
            self._decrease(LATENCY_FACTOR, now_ms)
        elif in_flight >= self.size:
            # A window that is not used says nothing about a larger one.
            self._size = min(self._size + 1 / self._size, float(self._share))

    def on_shed(self, now_ms: float) -> None:
        """
        Take a shed answer into account.

        :param now_ms: current time.
        """
        self._decrease(SHED_FACTOR, now_ms)

    def _decrease(self, factor: float, now_ms: float) -> None:
        if now_ms - self._decreased_ms >= DECREASE_INTERVAL_MS:
            self._decreased_ms = now_ms
            self._size = max(MIN_WINDOW, self._size * factor)
