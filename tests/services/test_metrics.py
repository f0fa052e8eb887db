"""Tests of collecting and scraping metrics."""

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
from cuminhatch.services.metrics import MAX_BUFFERED_SAMPLES, Metrics
from tests.support import Recorder


class World:
    """The metrics service, services with gauges, and a scraper."""

    def __init__(self, gauge_parts=()):
        self.kernel = Kernel(ManualClock(1_000.0))
        self.scraper = self.kernel.register(
            Recorder(self.kernel, "scraper", MetricsReplied)
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

    def send(self, message):
        self.kernel.send("metrics", message)
        for _ in range(6):
            self.kernel.tick()

    def scrape(self):
        self.send(MetricsRequested("scraper", 1))
        return self.scraper.received[-1].data.decode()


@pytest.fixture
def make_world():
    worlds = []

    def make(*parts):
        worlds.append(World(parts))
        return worlds[-1]

    yield make
    for world in worlds:
        world.kernel.close()


def test_samples_before_the_first_scrape_are_counted(make_world):
    """Guards against counts that start only with the first scrape."""
    world = make_world()
    world.send(CounterIncremented("calls_total", {"result": "200"}, 2.0))
    for _ in range(MAX_BUFFERED_SAMPLES + 5):
        world.send(ValueObserved("took_ms", {}, 7.0))
    text = world.scrape()
    assert 'cuminhatch_calls_total{result="200"} 2' in text
    assert f"cuminhatch_took_ms_count {MAX_BUFFERED_SAMPLES + 5}" in text
    assert 'cuminhatch_calls_total{result="200"} 2' in world.scrape()


def test_gauges_are_current_at_each_scrape(make_world):
    """Guards against gauges that are left over from an earlier scrape."""
    world = make_world("forwarding", "catalog")
    assert 'cuminhatch_queue{stage="waiting"} 3' in world.scrape()
    world.value = 5.0
    assert 'cuminhatch_queue{stage="waiting"} 5' in world.scrape()


def test_concurrent_scrapes_each_get_a_reply(make_world):
    """Guards against a scraper that never gets its reply."""
    world = make_world("forwarding")
    world.kernel.send("metrics", MetricsRequested("scraper", 1))
    world.send(MetricsRequested("scraper", 2))
    assert sorted(reply.token for reply in world.scraper.received) == [1, 2]
