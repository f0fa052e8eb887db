"""Monotonic and wall-clock time in milliseconds."""

import time

MS_PER_SECOND = 1000.0
NS_PER_MS = 1_000_000


class Clock:
    """The system clock; all times are float milliseconds."""

    @property
    def now_ms(self) -> float:
        """
        Return the monotonic time.

        :returns: milliseconds since an arbitrary origin; never decreases.
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
    """A clock for tests that only :meth:`advance` moves."""

    def __init__(self, now_ms: float = 0.0) -> None:
        """
        Set the initial time.

        :param now_ms: initial monotonic and wall-clock time, in
            milliseconds.
        """
        self._now_ms = now_ms

    @property
    def now_ms(self) -> float:
        """Return the current manual time in milliseconds."""
        return self._now_ms

    @property
    def wall_ms(self) -> float:
        """Return the current manual time in milliseconds."""
        return self._now_ms

    def advance(self, ms: float) -> None:
        """
        Move the clock forward.

        :param ms: step in milliseconds, not negative.
        """
        self._now_ms += ms
