"""Tests of the metrics and how they are read."""

import pytest

from cuminhatch.clock import ManualClock
from cuminhatch.kernel import Kernel
from cuminhatch.messages import (
    CounterIncremented,
    Gauge,
    GaugesReported,
    GaugesRequested,
    MetricsReplied,
    MetricsRequested,
    ValueObserved,
)
from cuminhatch.services.metrics import SAMPLES_MAX, Metrics
from tests.support import Recorder


class World:
    """Metrics, one part with gauges, and a reader."""

    def __init__(self, gauge_parts=()):
        self.kernel = Kernel(ManualClock(1_000.0))
        self.reader = self.kernel.register(
            Recorder(self.kernel, "reader", MetricsReplied)
        )
        self.value = 3.0
        replies = {
            GaugesRequested: lambda message: GaugesReported(
                message.token, (Gauge("queue", {"stage": "waiting"}, self.value),)
            )
        }
        for part in gauge_parts:
            self.kernel.register(Recorder(self.kernel, part, replies=replies))
        self.kernel.register(Metrics(self.kernel, gauge_parts))

    def tell(self, message):
        self.kernel.send("metrics", message)
        for _ in range(6):
            self.kernel.tick()

    def read(self):
        self.tell(MetricsRequested("reader", 1))
        return self.reader.received[-1].data.decode()


@pytest.fixture
def make_world():
    worlds = []

    def make(*parts):
        worlds.append(World(parts))
        return worlds[-1]

    yield make
    for world in worlds:
        world.kernel.close()


def test_samples_before_the_first_reading_are_kept(make_world):
    """Guards against counts that start with the first reader."""
    world = make_world()
    world.tell(CounterIncremented("calls_total", {"result": "200"}, 2.0))
    for _ in range(SAMPLES_MAX + 5):
        world.tell(ValueObserved("took_ms", {}, 7.0))
    text = world.read()
    assert 'cuminhatch_calls_total{result="200"} 2' in text
    assert f"cuminhatch_took_ms_count {SAMPLES_MAX + 5}" in text
    assert 'cuminhatch_calls_total{result="200"} 2' in world.read()


def test_gauges_are_those_of_the_moment_of_reading(make_world):
    """Guards against a queue that is shown as it was at the last reading."""
    world = make_world("forwarding", "catalog")
    assert 'cuminhatch_queue{stage="waiting"} 3' in world.read()
    world.value = 5.0
    assert 'cuminhatch_queue{stage="waiting"} 5' in world.read()


def test_two_readers_at_once_get_their_own_answers(make_world):
    """Guards against a reader that waits for good."""
    world = make_world("forwarding")
    world.kernel.send("metrics", MetricsRequested("reader", 1))
    world.tell(MetricsRequested("reader", 2))
    assert sorted(reply.token for reply in world.reader.received) == [1, 2]
