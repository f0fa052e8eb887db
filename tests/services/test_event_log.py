"""Tests of the structured event log."""

import json
import os

import pytest

from cuminhatch.clock import ManualClock
from cuminhatch.kernel import Kernel
from cuminhatch.messages import EventRecorded
from cuminhatch.services.event_log import (
    MAX_BUFFERED_LINES,
    MAX_ROUTINE_LINES_PER_S,
    EventLog,
)


@pytest.fixture
def world():
    reader, writer = os.pipe()
    log_world = World(reader, writer)
    yield log_world
    log_world.kernel.close()
    os.close(reader)
    os.close(writer)


class World:
    """An event log that writes to a pipe."""

    def __init__(self, reader, writer):
        self.reader = reader
        os.set_blocking(reader, False)
        self.clock = ManualClock(5_000.0)
        self.kernel = Kernel(self.clock)
        self.log = self.kernel.register(EventLog(self.kernel, "front-1", writer))
        self.log.open()

    def record(self, name, count=1, **details):
        for _ in range(count):
            event = EventRecorded("forwarding", name, "9c41", 0, details)
            self.kernel.send("event_log", event)
        for _ in range(3 + count // 500):
            self.kernel.tick(0)

    def read(self):
        data = b""
        while True:
            try:
                chunk = os.read(self.reader, 1 << 16)
            except BlockingIOError:
                return [json.loads(line) for line in data.splitlines()]
            data += chunk
            self.kernel.tick(0)


def test_line_names_instance_part_event_and_request(world):
    """Guards against a line that cannot be found by its request id."""
    world.record("refused", reason="servers-full", waited_ms=50.0)
    (line,) = world.read()
    assert line["instance"] == "front-1"
    assert (line["part"], line["event"]) == ("forwarding", "refused")
    assert (line["request"], line["reason"]) == ("9c41", "servers-full")


def test_stalled_reader_does_not_block(world):
    """Guards against a daemon blocked by a full pipe or silent line loss."""
    world.record("refused", count=MAX_BUFFERED_LINES * 3, reason="x" * 200)
    first = world.read()
    assert MAX_BUFFERED_LINES <= len(first) < MAX_BUFFERED_LINES * 3
    world.record("refused")
    assert world.read()[-1]["lines_dropped"] > 0


def test_routine_lines_are_rate_limited_and_refusals_are_not(world):
    """Guards against a burst of successful requests that floods the log."""
    world.record("answered", count=MAX_ROUTINE_LINES_PER_S + 50)
    world.record("refused", count=MAX_ROUTINE_LINES_PER_S + 50)
    lines = world.read()
    names = [line["event"] for line in lines]
    assert names.count("answered") == MAX_ROUTINE_LINES_PER_S
    assert names.count("refused") == MAX_ROUTINE_LINES_PER_S + 50
    assert sum(line.get("lines_thinned", 0) for line in lines) == 50
    world.clock.advance(1_001.0)
    world.record("answered")
    assert len(world.read()) == 1
