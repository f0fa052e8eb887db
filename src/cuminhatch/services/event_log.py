"""Writes one JSON line for each event to standard output."""

import os
from collections import deque

import orjson

from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import CounterIncremented, EventRecorded

# Lines that wait for a reader; with 300 bytes each, 600 KB.
WAITING_MAX = 2_000
# Lines a second of events that explain a request which went well. Refusals
# and failures are not thinned.
ROUTINE_PER_S = 200
ROUTINE_EVENTS = frozenset({"received", "placed", "answered"})
MS_PER_WINDOW = 1_000.0


class EventLog(Service):
    """Owns standard output; never waits for its reader."""

    name = "event_log"

    def __init__(self, kernel: Kernel, instance_id: str, fileno: int = 1) -> None:
        """
        Start with nothing to write.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance, part of every line.
        :param fileno: descriptor to write to.
        """
        super().__init__(kernel)
        self._instance_id = instance_id
        self._fileno = fileno
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = b""
        self._is_watched = False
        self._dropped = 0
        self._thinned = 0
        self._window_ms = 0.0
        self._routine_count = 0

    def message_handlers(self) -> MessageTable:
        """Return the messages of all parts."""
        return {EventRecorded: self._on_event_recorded}

    def open(self) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(self._fileno, False)

    def _on_event_recorded(self, message: EventRecorded) -> None:
        if message.name in ROUTINE_EVENTS and not self._may_write_routine():
            self._thinned += 1
            self.send("metrics", CounterIncremented("log_lines_thinned_total", {}))
            return
        if len(self._waiting) >= WAITING_MAX:
            self._dropped += 1
            self.send("metrics", CounterIncremented("log_lines_dropped_total", {}))
            return
        self._waiting.append(self._encode(message))
        self._flush()

    def _may_write_routine(self) -> bool:
        now_ms = self.kernel.clock.now_ms
        if now_ms - self._window_ms >= MS_PER_WINDOW:
            self._window_ms = now_ms
            self._routine_count = 0
        self._routine_count += 1
        return self._routine_count <= ROUTINE_PER_S

    def _encode(self, message: EventRecorded) -> bytes:
        clock = self.kernel.clock
        line = {
            "wall_ms": round(clock.wall_ms, 1),
            "now_ms": round(clock.now_ms, 1),
            "instance": self._instance_id,
            "part": message.part,
            "event": message.name,
        }
        if message.request_id:
            line["request"] = message.request_id
        if self._dropped or self._thinned:
            line["lines_dropped"] = self._dropped
            line["lines_thinned"] = self._thinned
            self._dropped = self._thinned = 0
        return orjson.dumps(line | message.details) + b"\n"

    def _flush(self) -> None:
        while self._waiting_bytes or self._waiting:
            if not self._waiting_bytes:
                self._waiting_bytes = self._waiting.popleft()
            try:
                written = os.write(self._fileno, self._waiting_bytes)
            except BlockingIOError:
                self._wait_for_reader()
                return
            except OSError as error:
                # Nobody reads any more; serving goes on without a log.
                logger.warning("event log: Output lost: {}.", error.strerror)
                self._waiting.clear()
                self._waiting_bytes = b""
                return
            self._waiting_bytes = self._waiting_bytes[written:]
        if self._is_watched:
            self._is_watched = False
            self.kernel.poller.set_writer(self.name, self._fileno, None)

    def _wait_for_reader(self) -> None:
        if self._is_watched:
            return
        try:
            self.kernel.poller.set_writer(self.name, self._fileno, self._flush)
        except OSError as error:
            # A file can't be watched, but it doesn't block either.
            logger.warning("event log: Cannot wait: {}.", error.strerror)
            return
        self._is_watched = True
