"""The entry queue: earliest deadline first, bounded, with early refusal."""

from bisect import bisect_left, insort
from typing import NamedTuple

from cuminhatch.clock import MS_PER_SECOND

# A longer queue only holds requests that miss their deadlines: at 1000
# answers a second it stands for one second of waiting.
QUEUE_MAX = 1000
# The rate is that of the last interval; before the first one is over, that of
# the requests so far if they are not too few.
RATE_INTERVAL_MS = 250.0
COUNT_MIN = 20
# The rate is kept over a short time without waiting requests.
RATE_KEPT_MS = 1000.0
# The estimate of the wait is an average; without a reserve half of the
# requests at the limit would come too late.
WAIT_RESERVE = 1.25


class Queued(NamedTuple):
    """The request waits in the queue."""


class NotAdmitted(NamedTuple):
    """Sentinel: the request is refused; ``reason`` says why."""

    reason: str


class ServiceRate:
    """
    State of the count of ends of requests while others wait.

    Ends at other times say how few requests there were, not how fast they
    could have been served; a burst after a quiet time must not be refused
    because of them.
    """

    __slots__ = ("_count", "_ended_ms", "_last_rate", "_started_ms")

    def __init__(self) -> None:
        """Start without knowledge."""
        self._started_ms = 0.0
        self._ended_ms = float("-inf")
        self._count = 0
        self._last_rate: float | None = None

    def start(self, now_ms: float) -> None:
        """
        Begin to count, when the first request waits.

        :param now_ms: current time.
        """
        if now_ms - self._ended_ms > RATE_KEPT_MS:
            self._last_rate = None
        self._started_ms = now_ms
        self._count = 0

    def on_end(self, now_ms: float) -> None:
        """
        Count the end of a request.

        :param now_ms: current time.
        """
        self._roll(now_ms)
        self._count += 1
        self._ended_ms = now_ms

    def per_second(self, now_ms: float) -> float | None:
        """
        Return ends per second, None as long as too little is known.

        :param now_ms: current time.
        """
        self._roll(now_ms)
        if self._last_rate is None and self._count >= COUNT_MIN:
            return self._count * MS_PER_SECOND / max(1.0, now_ms - self._started_ms)
        return self._last_rate

    def _roll(self, now_ms: float) -> None:
        age_ms = now_ms - self._started_ms
        if age_ms < RATE_INTERVAL_MS:
            return
        self._last_rate = max(1, self._count) * MS_PER_SECOND / age_ms
        self._started_ms = now_ms
        self._count = 0


class _Entry(NamedTuple):
    """A waiting request; entries sort by falling deadline."""

    negative_deadline_ms: float
    negative_number: int
    request_id: int


class EntryQueue:
    """State of the queue of one service and work class."""

    __slots__ = ("_deadlines", "_entries", "_limit", "_number", "_rate")

    def __init__(self, limit: int = QUEUE_MAX) -> None:
        """
        Start empty.

        :param limit: most requests that may wait.
        """
        self._entries: list[_Entry] = []
        self._deadlines: dict[int, _Entry] = {}
        self._limit = limit
        self._number = 0
        self._rate = ServiceRate()

    @property
    def length(self) -> int:
        """Return the number of requests waiting."""
        return len(self._entries)

    @property
    def request_ids(self) -> tuple[int, ...]:
        """Return the waiting requests, the earliest deadline last."""
        return tuple(entry.request_id for entry in self._entries)

    def check(
        self, deadline_ms: float, service_ms: float, now_ms: float
    ) -> NotAdmitted | None:
        """
        Tell whether a request would be refused if it came now.

        :param deadline_ms: its deadline.
        :param service_ms: usual time from sending to the answer.
        :param now_ms: current time.
        :returns: the refusal, None if it would wait.
        """
        if deadline_ms <= now_ms:
            return NotAdmitted("deadline-passed")
        if len(self._entries) >= self._limit:
            return NotAdmitted("queue-full")
        rate = self._rate.per_second(now_ms) if self._entries else None
        if rate is None:
            is_late = now_ms + service_ms > deadline_ms
            return NotAdmitted("deadline-too-near") if is_late else None
        key = _Entry(-deadline_ms, -self._number - 1, 0)
        ahead = len(self._entries) - bisect_left(self._entries, key)
        wait_ms = (ahead + 1) * MS_PER_SECOND / rate
        if now_ms + wait_ms * WAIT_RESERVE + service_ms > deadline_ms:
            return NotAdmitted("deadline-too-near")
        return None

    def offer(
        self, request_id: int, deadline_ms: float, service_ms: float, now_ms: float
    ) -> Queued | NotAdmitted:
        """
        Queue a request, or refuse what cannot be served in time.

        :param request_id: the request.
        :param deadline_ms: its deadline.
        :param service_ms: usual time from sending to the answer.
        :param now_ms: current time.
        """
        refusal = self.check(deadline_ms, service_ms, now_ms)
        if refusal is not None:
            return refusal
        if not self._entries:
            self._rate.start(now_ms)
        self._number += 1
        entry = _Entry(-deadline_ms, -self._number, request_id)
        insort(self._entries, entry)
        self._deadlines[request_id] = entry
        return Queued()

    def on_end(self, now_ms: float) -> None:
        """
        Count the end of a request that this queue or an empty one let pass.

        :param now_ms: current time.
        """
        if self._entries:
            self._rate.on_end(now_ms)

    def take(self) -> int | None:
        """Remove and return the request with the earliest deadline."""
        if not self._entries:
            return None
        entry = self._entries.pop()
        del self._deadlines[entry.request_id]
        return entry.request_id

    def remove(self, request_id: int) -> bool:
        """
        Remove a request that waits no longer.

        :param request_id: the request.
        :returns: whether it was in the queue.
        """
        entry = self._deadlines.pop(request_id, None)
        if entry is None:
            return False
        del self._entries[bisect_left(self._entries, entry)]
        return True
