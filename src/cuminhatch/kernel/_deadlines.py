"""One heap of deadlines for the whole process."""

from heapq import heappop, heappush
from itertools import count
from typing import Any, NamedTuple

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler

from cuminhatch.clock import MS_PER_SECOND, Clock


class Deadline(NamedTuple):
    """A message to be sent at a time; the token breaks ties."""

    at_ms: float
    token: int
    service: str
    message: Any


class DeadlineHeap(BaseComponent):
    """
    Sends messages when their time has come.

    A single component serves the process, because each ``circuits`` timer
    would be visited on every tick.
    """

    channel = "deadlines"

    def __init__(self, clock: Clock, send: Any) -> None:
        """
        Create an empty heap.

        :param clock: source of the current time.
        :param send: callable taking a service name and a message.
        """
        super().__init__()
        self._clock = clock
        self._send = send
        self._heap: list[Deadline] = []
        self._live: set[int] = set()
        self._tokens = count(1)

    def add(self, at_ms: float, service: str, message: Any) -> int:
        """
        Schedule a message.

        :param at_ms: monotonic time in milliseconds.
        :param service: name of the receiving service.
        :param message: message to send.
        :returns: a token for :meth:`cancel`.
        """
        token = next(self._tokens)
        self._live.add(token)
        heappush(self._heap, Deadline(at_ms, token, service, message))
        return token

    def cancel(self, token: int) -> None:
        """
        Drop a scheduled message; a token already used is ignored.

        :param token: value returned by :meth:`add`.
        """
        self._live.discard(token)
        # Cancelled entries stay in the heap until their time comes. Most
        # deadlines are cancelled, so the heap is rebuilt when they dominate.
        if len(self._heap) > 64 and len(self._heap) > 4 * len(self._live):
            self._heap = sorted(d for d in self._heap if d.token in self._live)

    @handler("generate_events")
    def _on_generate_events(self, event: Any) -> None:
        heap = self._heap
        while heap and heap[0].token not in self._live:
            heappop(heap)
        if not heap:
            return
        now_ms = self._clock.now_ms
        if heap[0].at_ms > now_ms:
            event.reduce_time_left((heap[0].at_ms - now_ms) / MS_PER_SECOND)
            return
        while heap and heap[0].at_ms <= now_ms:
            deadline = heappop(heap)
            if deadline.token in self._live:
                self._live.discard(deadline.token)
                self._send(deadline.service, deadline.message)
        event.reduce_time_left(0)
