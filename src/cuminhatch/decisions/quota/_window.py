"""Count of events in a sliding window, in slots."""

# More slots cost memory, fewer make the window longer than asked for.
SLOTS = 20


class WindowCount:
    """Count over the last window and at most one slot more."""

    __slots__ = ("_counts", "_slot", "_slot_ms", "_total")

    def __init__(self, window_ms: float) -> None:
        """
        Start without events.

        :param window_ms: length of the window.
        """
        self._slot_ms = window_ms / SLOTS
        self._counts = [0] * (SLOTS + 1)
        self._slot = 0
        self._total = 0

    def add(self, amount: int, now_ms: float) -> None:
        """
        Count events.

        :param amount: number of events, negative to take some back.
        :param now_ms: current time.
        """
        self._expire(now_ms)
        self._counts[self._slot % len(self._counts)] += amount
        self._total += amount

    def get_total(self, now_ms: float) -> int:
        """
        Return the number of events in the window.

        :param now_ms: current time.
        """
        self._expire(now_ms)
        return max(0, self._total)

    def _expire(self, now_ms: float) -> None:
        slot = int(now_ms // self._slot_ms)
        length = len(self._counts)
        if slot - self._slot >= length:
            self._counts = [0] * length
            self._total = 0
        else:
            for expired in range(self._slot + 1, slot + 1):
                self._total -= self._counts[expired % length]
                self._counts[expired % length] = 0
        self._slot = max(self._slot, slot)
