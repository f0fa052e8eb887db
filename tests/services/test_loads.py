"""Tests of measuring load."""

import pytest

from cuminhatch.clock import ManualClock
from cuminhatch.codecs.http1 import Header
from cuminhatch.kernel import Kernel
from cuminhatch.messages import Address, HttpFailed, HttpReplied, HttpRequested
from cuminhatch.messages.catalog import InstancesCounted
from cuminhatch.messages.loads import (
    LoadsMeasured,
    LoadsRequested,
    LoadTarget,
    ServerObserved,
    ServerSilent,
    ServerTurnedAway,
)
from cuminhatch.platform.headers import DIALECT
from cuminhatch.services.loads import Loads
from tests.support import Recorder

TARGETS = tuple(
    LoadTarget(name, Address("10.0.0.1", 80 + n), "/health")
    for n, name in enumerate("ab")
)


class World:
    """The service between a client and forwarding."""

    def __init__(self, probes_per_s=100.0):
        self.clock = ManualClock(1_000.0)
        self.kernel = Kernel(self.clock)
        kinds = (LoadsMeasured, ServerObserved, ServerSilent, ServerTurnedAway)
        self.forwarding = self.kernel.register(
            Recorder(self.kernel, "forwarding", *kinds)
        )
        self.client = self.kernel.register(
            Recorder(self.kernel, "http_client", HttpRequested)
        )
        self.kernel.register(Loads(self.kernel, DIALECT, probes_per_s))

    def run(self):
        for _ in range(5):
            self.kernel.tick()

    def measure(self, token=7, wait_ms=12.0):
        request = LoadsRequested("forwarding", token, TARGETS, wait_ms)
        self.kernel.send("loads", request)
        self.run()

    def reply(self, probe, server_id, status=200, load=b"1,0,3,100"):
        headers = (
            Header(b"instance-id", server_id),
            Header(b"backend-load", load),
        )
        self.kernel.send("loads", HttpReplied(probe.token, status, headers, b""))
        self.run()


@pytest.fixture
def world():
    made = World()
    yield made
    made.kernel.close()


def test_measurement_ends_when_all_have_answered(world):
    """Guards against a request that waits longer than its servers take."""
    world.measure()
    first, second = world.client.received
    world.reply(first, b"a", load=b"2,1,3,400")
    assert LoadsMeasured(7) not in world.forwarding.received
    world.reply(second, b"b", status=503)
    seen = world.forwarding.received
    assert seen[0].load[:4] == (2, 1, 3, 4.0)
    assert not seen[1].is_healthy
    assert seen[2] == LoadsMeasured(7)


def test_measurement_ends_without_those_that_are_late(world):
    """Guards against a dead server that holds every request back."""
    world.measure()
    first, second = world.client.received
    world.reply(first, b"a")
    world.clock.advance(13.0)
    world.run()
    assert world.forwarding.received[-1] == LoadsMeasured(7)
    world.kernel.send("loads", HttpFailed(second.token, "timeout", True))
    world.run()
    assert world.forwarding.received[-1] == ServerSilent("b", False, "timeout")


def test_another_server_at_the_address_is_no_load(world):
    """Guards against work for a server whose address is used again."""
    world.measure()
    first, _ = world.client.received
    world.reply(first, b"someone-else")
    silent = world.forwarding.received[0]
    assert (silent.server_id, silent.is_unreachable) == ("a", True)


def test_health_checks_keep_this_instances_part(world):
    """Guards against measuring beyond the budget of all instances."""
    world.kernel.send("loads", InstancesCounted(50))
    for token in range(40):
        world.measure(token)
    asked = [request.address.port for request in world.client.received]
    assert asked.count(80) <= 100.0 / 50 * 4
    measured = [m for m in world.forwarding.received if type(m) is LoadsMeasured]
    assert len(measured) >= 30, "what may not be asked is not waited for"


@pytest.mark.parametrize("reason", ["connection failed", "connection closed"])
def test_full_server_is_not_taken_for_a_dead_one(world, reason):
    """Guards against sound servers that all instances leave out at once."""
    world.measure()
    first, _ = world.client.received
    world.kernel.send("loads", HttpFailed(first.token, reason, False))
    world.run()
    assert world.forwarding.received == [ServerTurnedAway("a", reason)]


def test_server_that_nothing_listens_for_is_unreachable(world):
    """Guards against requests to a server that has ended."""
    world.measure()
    first, _ = world.client.received
    world.kernel.send("loads", HttpFailed(first.token, "connection refused", False))
    world.run()
    assert world.forwarding.received == [ServerSilent("a", True, "connection refused")]
