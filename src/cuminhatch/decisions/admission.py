"""
A bounded admission queue, ordered by earliest deadline first.

A request that is unlikely to meet its deadline is refused on arrival.
"""

from bisect import bisect_left, insort
from typing import NamedTuple

from cuminhatch.clock import MS_PER_SECOND

# At 1000 responses a second, the last request in a full queue waits for one
# second. With deadlines of one or two seconds, a longer queue would mostly
# hold requests that miss them.
QUEUE_MAX = 1000
# The completion rate is measured over intervals of this length. Until the
# first interval is over, a rate needs at least RATE_MIN_COUNT completions.
RATE_INTERVAL_MS = 250.0
RATE_MIN_COUNT = 20
# The last rate stays valid for this long while no request waits.
RATE_MAX_AGE_MS = 1000.0
# The estimated wait is an average; without a margin half of the requests at
# the limit would miss their deadlines.
WAIT_SAFETY_FACTOR = 1.25


class Queued(NamedTuple):
    """The request waits in the queue."""


class NotAdmitted(NamedTuple):
    """The request is refused; ``reason`` says why."""

    reason: str


class CompletionRate:
    """
    State of the completion rate, measured while requests wait.

    Completions while the queue is empty reflect the arrival rate rather than
    the capacity. Counting them would refuse a burst after a quiet period.
    """

    __slots__ = ("_ended_ms", "_interval_count", "_interval_start_ms", "_last_rate")

    def __init__(self) -> None:
        """Start without a known rate."""
        self._interval_start_ms = 0.0
        self._ended_ms = float("-inf")
        self._interval_count = 0
        self._last_rate: float | None = None

    def start(self, now_ms: float) -> None:
        """
        Start counting when the queue becomes non-empty.

        :param now_ms: current time.
        """
        if now_ms - self._ended_ms > RATE_MAX_AGE_MS:
            self._last_rate = None
        self._interval_start_ms = now_ms
        self._interval_count = 0

    def on_end(self, now_ms: float) -> None:
        """
        Count a completed request.

        :param now_ms: current time.
        """
        self._roll_interval(now_ms)
        self._interval_count += 1
        self._ended_ms = now_ms

    def per_second(self, now_ms: float) -> float | None:
        """
        Return completions per second, None without enough samples.

        :param now_ms: current time.
        """
        self._roll_interval(now_ms)
        if self._last_rate is None and self._interval_count >= RATE_MIN_COUNT:
            return (
                self._interval_count
                * MS_PER_SECOND
                / max(1.0, now_ms - self._interval_start_ms)
            )
        return self._last_rate

    def _roll_interval(self, now_ms: float) -> None:
        """Store the rate of an interval that is over and start a new one."""
        age_ms = now_ms - self._interval_start_ms
        if age_ms < RATE_INTERVAL_MS:
            return
        self._last_rate = max(1, self._interval_count) * MS_PER_SECOND / age_ms
        self._interval_start_ms = now_ms
        self._interval_count = 0


class _Entry(NamedTuple):
    """A waiting request; the entry with the earliest deadline sorts last."""

    negative_deadline_ms: float
    negative_sequence: int
    request_id: int


class AdmissionQueue:
    """State of the admission queue of one service and work class."""

    __slots__ = ("_entries", "_entries_by_id", "_limit", "_rate", "_sequence")

    def __init__(self, limit: int = QUEUE_MAX) -> None:
        """
        Start empty.

        :param limit: maximum number of waiting requests.
        """
        self._entries: list[_Entry] = []
        self._entries_by_id: dict[int, _Entry] = {}
        self._limit = limit
        self._sequence = 0
        self._rate = CompletionRate()

    @property
    def length(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    @property
    def request_ids(self) -> tuple[int, ...]:
        """Return the ids of waiting requests, the earliest deadline last."""
        return tuple(entry.request_id for entry in self._entries)

    def check(
        self, deadline_ms: float, expected_latency_ms: float, now_ms: float
    ) -> NotAdmitted | None:
        """
        Check whether a request that arrives now would be refused.

        :param deadline_ms: deadline of the request.
        :param expected_latency_ms: expected time from send to response.
        :param now_ms: current time.
        :returns: the refusal, None if the request would be queued.
        """
        if deadline_ms <= now_ms:
            return NotAdmitted("deadline-passed")
        if len(self._entries) >= self._limit:
            return NotAdmitted("queue-full")
        rate = self._rate.per_second(now_ms) if self._entries else None
        if rate is None:
            is_late = now_ms + expected_latency_ms > deadline_ms
            return NotAdmitted("deadline-too-near") if is_late else None
        key = _Entry(-deadline_ms, -self._sequence - 1, 0)
        ahead = len(self._entries) - bisect_left(self._entries, key)
        wait_ms = (ahead + 1) * MS_PER_SECOND / rate
        if now_ms + wait_ms * WAIT_SAFETY_FACTOR + expected_latency_ms > deadline_ms:
            return NotAdmitted("deadline-too-near")
        return None

    def offer(
        self,
        request_id: int,
        deadline_ms: float,
        expected_latency_ms: float,
        now_ms: float,
    ) -> Queued | NotAdmitted:
        """
        Queue a request, or refuse it if it cannot meet its deadline.

        :param request_id: id of the request.
        :param deadline_ms: deadline of the request.
        :param expected_latency_ms: expected time from send to response.
        :param now_ms: current time.
        """
        refusal = self.check(deadline_ms, expected_latency_ms, now_ms)
        if refusal is not None:
            return refusal
        if not self._entries:
            self._rate.start(now_ms)
        self._sequence += 1
        entry = _Entry(-deadline_ms, -self._sequence, request_id)
        insort(self._entries, entry)
        self._entries_by_id[request_id] = entry
        return Queued()

    def on_end(self, now_ms: float) -> None:
        """
        Count a completed request; it counts only while others wait.

        :param now_ms: current time.
        """
        if self._entries:
            self._rate.on_end(now_ms)

    def take(self) -> int | None:
        """Remove the request with the earliest deadline and return its id."""
        if not self._entries:
            return None
        entry = self._entries.pop()
        del self._entries_by_id[entry.request_id]
        return entry.request_id

    def remove(self, request_id: int) -> bool:
        """
        Remove a request that no longer waits.

        :param request_id: id of the request.
        :returns: whether it was in the queue.
        """
        entry = self._entries_by_id.pop(request_id, None)
        if entry is None:
            return False
        del self._entries[bisect_left(self._entries, entry)]
        return True
