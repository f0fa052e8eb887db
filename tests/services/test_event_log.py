"""Tests of the structured log."""

import json
import os

import pytest

from cuminhatch.clock import ManualClock
from cuminhatch.kernel import Kernel
from cuminhatch.messages import EventRecorded
from cuminhatch.services.event_log import ROUTINE_PER_S, WAITING_MAX, EventLog


@pytest.fixture
def world():
    reader, writer = os.pipe()
    made = World(reader, writer)
    yield made
    made.kernel.close()
    os.close(reader)
    os.close(writer)


class World:
    """A log that writes to a pipe."""

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
                part = os.read(self.reader, 1 << 16)
            except BlockingIOError:
                return [json.loads(line) for line in data.splitlines()]
            data += part
            self.kernel.tick(0)


def test_line_names_instance_part_event_and_request(world):
    """Guards against a line that cannot be found by the request's id."""
    world.record("refused", reason="servers-full", waited_ms=50.0)
    (line,) = world.read()
    assert line["instance"] == "front-1"
    assert (line["part"], line["event"]) == ("forwarding", "refused")
    assert (line["request"], line["reason"]) == ("9c41", "servers-full")


def test_reader_that_stands_still_does_not_block(world):
    """Guards against a full pipe that stops the daemon; losses are told."""
    world.record("refused", count=WAITING_MAX * 3, reason="x" * 200)
    first = world.read()
    assert WAITING_MAX <= len(first) < WAITING_MAX * 3
    world.record("refused")
    assert world.read()[-1]["lines_dropped"] > 0


def test_routine_lines_are_bounded_and_refusals_are_not(world):
    """Guards against a burst that fills the log with what went well."""
    world.record("answered", count=ROUTINE_PER_S + 50)
    world.record("refused", count=ROUTINE_PER_S + 50)
    lines = world.read()
    names = [line["event"] for line in lines]
    assert names.count("answered") == ROUTINE_PER_S
    assert names.count("refused") == ROUTINE_PER_S + 50
    assert sum(line.get("lines_thinned", 0) for line in lines) == 50
    world.clock.advance(1_001.0)
    world.record("answered")
    assert len(world.read()) == 1
