"""Timers of all services, kept in one heap."""

from heapq import heappop, heappush
from itertools import count
from typing import Any, NamedTuple

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler

from cuminhatch.clock import MS_PER_SECOND, Clock


class Timer(NamedTuple):
    """A message to be sent at a given time; the token breaks ties."""

    at_ms: float
    token: int
    service: str
    message: Any


class TimerHeap(BaseComponent):
    """
    Sends messages at their scheduled times.

    One component holds the timers of the whole process, because ``circuits``
    visits each of its own timers on every tick.

    A timer that is due waits until the sockets have been polled once more and
    their messages have been delivered. After a pause of the process, for
    example, a response that has arrived meanwhile is handled before the
    timeout of its request.
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
        self._heap: list[Timer] = []
        self._active_tokens: set[int] = set()
        self._tokens = count(1)
        # Time of the last tick; the sockets have been polled since.
        self._polled_ms = float("-inf")

    def add(self, at_ms: float, service: str, message: Any) -> int:
        """
        Schedule a message.

        :param at_ms: monotonic time in milliseconds.
        :param service: name of the receiving service.
        :param message: message to send.
        :returns: a token for :meth:`cancel`.
        """
        token = next(self._tokens)
        self._active_tokens.add(token)
        heappush(self._heap, Timer(at_ms, token, service, message))
        return token

    def cancel(self, token: int) -> None:
        """
        Cancel a timer; one that has expired or was cancelled is ignored.

        :param token: value returned by :meth:`add`.
        """
        self._active_tokens.discard(token)
        # A cancelled timer stays in the heap until its time. Most timers are
        # cancelled, so the heap is rebuilt once they take up most of it.
        if len(self._heap) > 64 and len(self._heap) > 4 * len(self._active_tokens):
            self._heap = sorted(
                timer for timer in self._heap if timer.token in self._active_tokens
            )

    # Runs after the mailbox has delivered the messages of the last poll, and
    # before the next poll.
    @handler("generate_events")
    def _on_generate_events(self, event: Any) -> None:
        now_ms = self._clock.now_ms
        is_sent = self._send_due(self._polled_ms)
        self._polled_ms = now_ms
        next_ms = now_ms if is_sent else self._find_next_ms()
        if next_ms is not None:
            left_ms = max(0.0, next_ms - now_ms)
            event.reduce_time_left(left_ms / MS_PER_SECOND)

    def _send_due(self, until_ms: float) -> bool:
        heap = self._heap
        is_sent = False
        while heap and heap[0].at_ms <= until_ms:
            timer = heappop(heap)
            if timer.token in self._active_tokens:
                self._active_tokens.discard(timer.token)
                self._send(timer.service, timer.message)
                is_sent = True
        return is_sent

    def _find_next_ms(self) -> float | None:
        heap = self._heap
        while heap and heap[0].token not in self._active_tokens:
            heappop(heap)
        return heap[0].at_ms if heap else None
