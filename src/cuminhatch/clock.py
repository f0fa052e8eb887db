"""Time in milliseconds."""

import time

MS_PER_SECOND = 1000.0
NS_PER_MS = 1_000_000


class Clock:
    """The clock of a process; all times are float milliseconds."""

    @property
    def now_ms(self) -> float:
        """
        Return the monotonic time.

        :returns: milliseconds since an arbitrary start; never goes back.
        """
        return time.monotonic_ns() / NS_PER_MS

    @property
    def wall_ms(self) -> float:
        """
        Return the wall-clock time.

        :returns: milliseconds since the Unix epoch; may jump.
        """
        return time.time_ns() / NS_PER_MS


class ManualClock(Clock):
    """A clock that moves only when told to, for tests."""

    def __init__(self, now_ms: float = 0.0) -> None:
        """
        Set the start time.

        :param now_ms: first value of both readings, in milliseconds.
        """
        self._now_ms = now_ms

    @property
    def now_ms(self) -> float:
        """Return the time set, in milliseconds."""
        return self._now_ms

    @property
    def wall_ms(self) -> float:
        """Return the time set, in milliseconds."""
        return self._now_ms

    def advance(self, ms: float) -> None:
        """
        Move the clock forward.

        :param ms: step in milliseconds, not negative.
        """
        self._now_ms += ms
