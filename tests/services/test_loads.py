"""Tests of the service that measures the load of backend servers."""

import pytest

from cuminhatch.clock import ManualClock
from cuminhatch.codecs.http1 import Header
from cuminhatch.kernel import Kernel
from cuminhatch.messages import Address, HttpFailed, HttpReplied
from cuminhatch.messages.attempts import CONNECTION_LIMIT
from cuminhatch.messages.catalog import InstanceCountChanged
from cuminhatch.messages.loads import (
    HealthCheckAnswered,
    HealthCheckConnectionClosed,
    HealthCheckFailed,
    LoadsMeasured,
    LoadsRequested,
    LoadTarget,
    ProbeRequested,
    ProbeResponseRejected,
)
from cuminhatch.platform.headers import DIALECT
from cuminhatch.services.loads import Loads
from tests.support import Recorder

TARGETS = tuple(
    LoadTarget(name, Address("10.0.0.1", 80 + n), "/health", True)
    for n, name in enumerate("ab")
)
SPARE_TARGET = LoadTarget("c", Address("10.0.0.1", 82), "/health", True)


class World:
    """The service with fakes of the connections and of forwarding."""

    def __init__(self, probes_per_s=100.0):
        self.clock = ManualClock(1_000.0)
        self.kernel = Kernel(self.clock)
        message_types = (
            LoadsMeasured,
            HealthCheckAnswered,
            HealthCheckFailed,
            HealthCheckConnectionClosed,
        )
        self.forwarding = self.kernel.register(
            Recorder(self.kernel, "forwarding", *message_types)
        )
        self.client = self.kernel.register(
            Recorder(self.kernel, "backends", ProbeRequested, ProbeResponseRejected)
        )
        self.kernel.register(Loads(self.kernel, DIALECT, probes_per_s))

    def run(self):
        for _ in range(5):
            self.kernel.tick()

    def measure(self, token=7, wait_ms=12.0, spare=()):
        request = LoadsRequested("forwarding", token, TARGETS, spare, wait_ms)
        self.kernel.send("loads", request)
        self.run()

    def reply(self, probe, server_id, status=200, load=b"1,0,3,100", extra=()):
        headers = (
            Header(b"instance-id", server_id),
            Header(b"backend-load", load),
            *extra,
        )
        self.kernel.send("loads", HttpReplied(probe.token, status, headers, b""))
        self.run()


@pytest.fixture
def world():
    new_world = World()
    yield new_world
    new_world.kernel.close()


def test_measurement_ends_when_all_servers_have_answered(world):
    """Guards against a measurement that outlasts its last response."""
    world.measure()
    first, second = world.client.received
    world.reply(first, b"a", load=b"2,1,3,400")
    assert LoadsMeasured(7) not in world.forwarding.received
    world.reply(second, b"b", status=503)
    received = world.forwarding.received
    assert received[0].load[:4] == (2, 1, 3, 4.0)
    assert not received[1].is_healthy
    assert received[2] == LoadsMeasured(7)


def test_measurement_ends_without_late_servers(world):
    """Guards against a failed server that delays every request."""
    world.measure()
    first, second = world.client.received
    world.reply(first, b"a")
    world.clock.advance(13.0)
    world.run()
    assert world.forwarding.received[-1] == LoadsMeasured(7)
    world.kernel.send("loads", HttpFailed(second.token, "timeout", True))
    world.run()
    assert world.forwarding.received[-1] == HealthCheckFailed("b", False, "timeout")


def test_response_of_another_server_is_not_used(world):
    """Guards against requests to an address that another server has taken."""
    world.measure()
    first, _ = world.client.received
    world.reply(first, b"someone-else")
    silent = world.forwarding.received[0]
    assert (silent.server_id, silent.is_unreachable) == ("a", True)


def test_health_checks_stay_within_the_share_of_the_instance(world):
    """Guards against health checks beyond the limit over all instances."""
    world.kernel.send("loads", InstanceCountChanged(50, 50))
    for token in range(40):
        world.measure(token)
    probed_ports = [request.address.port for request in world.client.received]
    assert probed_ports.count(80) <= 100.0 / 50 * 4
    measured = [m for m in world.forwarding.received if type(m) is LoadsMeasured]
    assert len(measured) >= 30, (
        "measurements must not wait for servers that are not asked"
    )


def test_spare_server_is_probed_instead_of_one_without_allowance(world):
    """Guards against a placement without a load report in a large fleet."""
    world.kernel.send("loads", InstanceCountChanged(1_000, 1_000))
    world.measure(1, spare=(SPARE_TARGET,))
    assert [request.address.port for request in world.client.received] == [80, 81]
    world.measure(2, spare=(SPARE_TARGET,))
    assert [request.address.port for request in world.client.received] == [80, 81, 82]
    world.measure(3, spare=(SPARE_TARGET,))
    assert len(world.client.received) == 3


@pytest.mark.parametrize("reason", ["connection failed", "connection closed"])
def test_full_server_is_not_treated_as_failed(world, reason):
    """Guards against healthy servers that all instances leave out at once."""
    world.measure()
    first, _ = world.client.received
    world.kernel.send("loads", HttpFailed(first.token, reason, False))
    world.run()
    assert world.forwarding.received == [HealthCheckConnectionClosed("a", reason)]


def test_server_that_refuses_connections_is_unreachable(world):
    """Guards against requests to a server that has stopped."""
    world.measure()
    first, _ = world.client.received
    world.kernel.send("loads", HttpFailed(first.token, "connection refused", False))
    world.run()
    assert world.forwarding.received == [
        HealthCheckFailed("a", True, "connection refused")
    ]


def test_repeated_response_of_a_request_is_no_observation(world):
    """
    Guards against a load, or a health, taken from an earlier response.

    Requests and probes use the same connections, so a faulty server may write
    the response of a request again where that of a probe is due.
    """
    world.measure()
    first, _ = world.client.received
    world.reply(first, b"a", extra=(Header(b"attempt-id", b"9"),))
    failed = world.forwarding.received[0]
    assert (failed.server_id, failed.is_unreachable) == ("a", False)
    assert world.client.received[-1] == ProbeResponseRejected("loads", first.token)


def test_probe_without_a_connection_says_nothing_about_the_server(world):
    """Guards against servers left out while their connections are in use."""
    world.measure()
    for probe in list(world.client.received):
        failed = HttpFailed(probe.token, CONNECTION_LIMIT, False)
        world.kernel.send("loads", failed)
    world.run()
    assert world.forwarding.received == [LoadsMeasured(7)]


def test_answer_tells_when_its_question_was_sent(world):
    """Guards against an answer that a frozen process takes for a new one."""
    world.measure()
    first, _ = world.client.received
    world.clock.advance(300.0)
    world.reply(first, b"a", extra=(Header(b"warmup-remaining", b"700"),))
    received = world.forwarding.received
    (answered,) = [m for m in received if type(m) is HealthCheckAnswered]
    assert (answered.asked_ms, answered.warmup_left_ms) == (1_000.0, 700.0)
    assert answered.load.observed_ms == 1_300.0
