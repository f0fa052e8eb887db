"""Structured event log: one JSON line per event on standard output."""

import os
from collections import deque

import orjson

from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import CounterIncremented, EventRecorded

# Lines buffered for a slow reader: 600 KB at 300 bytes per line.
MAX_BUFFERED_LINES = 2_000
# Rate limit for ROUTINE_EVENTS; refusals and failures are not limited. Lines
# above it are not written, but counted in ``lines_thinned`` of the next line.
MAX_ROUTINE_LINES_PER_S = 200
ROUTINE_EVENTS = frozenset({"received", "placed", "answered"})
RATE_WINDOW_MS = 1_000.0


class EventLog(Service):
    """Owns standard output and writes to it without blocking."""

    name = "event_log"

    def __init__(self, kernel: Kernel, instance_id: str, fileno: int = 1) -> None:
        """
        Create the log without writing to it.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance, written in every line.
        :param fileno: file descriptor to write to.
        """
        super().__init__(kernel)
        self._instance_id = instance_id
        self._fileno = fileno
        self._buffered_lines: deque[bytes] = deque()
        self._unwritten_bytes = b""
        self._is_awaiting_write = False
        self._dropped_count = 0
        self._thinned_count = 0
        self._window_start_ms = 0.0
        self._routine_count = 0

    def message_handlers(self) -> MessageTable:
        """Return the handler of the events of all services."""
        return {EventRecorded: self._on_event_recorded}

    def open(self) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(self._fileno, False)

    def _on_event_recorded(self, message: EventRecorded) -> None:
        if message.name in ROUTINE_EVENTS and not self._is_routine_line_allowed():
            self._thinned_count += 1
            self.send("metrics", CounterIncremented("log_lines_thinned_total", {}))
            return
        if len(self._buffered_lines) >= MAX_BUFFERED_LINES:
            self._dropped_count += 1
            self.send("metrics", CounterIncremented("log_lines_dropped_total", {}))
            return
        self._buffered_lines.append(self._encode(message))
        self._write_lines()

    def _is_routine_line_allowed(self) -> bool:
        now_ms = self.kernel.clock.now_ms
        if now_ms - self._window_start_ms >= RATE_WINDOW_MS:
            self._window_start_ms = now_ms
            self._routine_count = 0
        self._routine_count += 1
        return self._routine_count <= MAX_ROUTINE_LINES_PER_S

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
        if self._dropped_count or self._thinned_count:
            line["lines_dropped"] = self._dropped_count
            line["lines_thinned"] = self._thinned_count
            self._dropped_count = self._thinned_count = 0
        return orjson.dumps(line | message.details) + b"\n"

    def _write_lines(self) -> None:
        while self._unwritten_bytes or self._buffered_lines:
            if not self._unwritten_bytes:
                self._unwritten_bytes = self._buffered_lines.popleft()
            try:
                written = os.write(self._fileno, self._unwritten_bytes)
            except BlockingIOError:
                self._await_write()
                return
            except OSError as error:
                # The reader is gone; requests are served without a log.
                logger.warning("event log: Cannot write: {}.", error.strerror)
                self._buffered_lines.clear()
                self._unwritten_bytes = b""
                return
            self._unwritten_bytes = self._unwritten_bytes[written:]
        if self._is_awaiting_write:
            self._is_awaiting_write = False
            self.kernel.poller.set_writer(self.name, self._fileno, None)

    def _await_write(self) -> None:
        if self._is_awaiting_write:
            return
        try:
            self.kernel.poller.set_writer(self.name, self._fileno, self._write_lines)
        except OSError as error:
            # Not expected: writes can block on a pipe or terminal, which epoll
            # can watch. For a regular file epoll raises this error, but writes
            # to it do not block. The next event repeats the write.
            logger.warning("event log: Cannot poll the output: {}.", error.strerror)
            return
        self._is_awaiting_write = True
