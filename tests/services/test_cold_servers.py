"""Tests of forwarding to servers that warm up, with a limit on requests."""

from types import MappingProxyType

import pytest

from cuminhatch.decisions.configuration import Configuration, ServiceSpec
from cuminhatch.decisions.server_records import ServerLoad
from cuminhatch.decisions.warmup import WarmupLimit
from cuminhatch.messages import ConfigurationChanged, RequestRefused
from cuminhatch.messages.catalog import InstancesChanged
from cuminhatch.messages.loads import HealthCheckAnswered, LoadsMeasured
from cuminhatch.messages.telemetry import GaugesRequested
from tests.services.forwarding_world import RULES, ForwardingWorld, make_server

LIMIT = WarmupLimit(1.0, 1.5)


class World(ForwardingWorld):
    """Forwarding with a limit, and servers that tell their warm-up."""

    def __init__(self, warmup=LIMIT, rate=0.5):
        super().__init__()
        self.rate = rate
        # Remaining warm-up by server; None for an answer without the header.
        self.warmups = {}
        self.state = self.kernel._services["forwarding"]._state
        self.state.settings = self.state.settings._replace(warmup=warmup)
        self.set_servers(make_server("a"), make_server("b"))

    def set_servers(self, *servers):
        configuration = Configuration(
            1,
            MappingProxyType({"s": ServiceSpec("s", warmup_rate=self.rate)}),
            MappingProxyType({server.server_id: server for server in servers}),
            MappingProxyType(RULES),
        )
        self.tell(ConfigurationChanged(configuration))

    def know_all(self, *ids):
        """Let the instance know all others for long enough."""
        domains = {"front-1": "here"} | dict.fromkeys(ids, "here")
        self.tell(InstancesChanged(domains, len(domains), False))
        self.advance(6_000.0)

    def answer_load_request(self, message):
        for target in message.targets:
            left_ms = self.warmups.get(target.server_id, 0.0)
            now_ms = self.clock.now_ms
            load = ServerLoad(0, 0, 3, 1.0, now_ms)
            answer = HealthCheckAnswered(target.server_id, True, load, left_ms, now_ms)
            self.kernel.send("forwarding", answer)
        self.kernel.send("forwarding", LoadsMeasured(message.token))

    def send_requests(self, count):
        for _ in range(count):
            self.request("read")
        return [attempt.server_id for attempt in self.take_attempts()]


@pytest.fixture
def world():
    world = World()
    yield world
    world.close()


def test_first_instance_sends_once_per_interval(world):
    """Guards against more requests than a cold server tolerates."""
    world.know_all()
    world.warmups = {"a": 9_000.0, "b": 9_000.0}
    assert sorted(world.send_requests(4)) == ["a", "b"]
    world.advance(1_200.0)
    assert sorted(world.send_requests(4)) == ["a", "b"]


def test_instance_that_does_not_know_the_others_sends_nothing(world):
    """Guards against a new instance that takes itself for the only one."""
    world.warmups = {"a": 9_000.0}
    assert set(world.send_requests(6)) == {"b"}


def test_request_waits_for_an_answer_and_is_refused_in_time(world):
    """Guards against sends to servers that may be cold, and endless waits."""
    world.loads = {}
    world.answer_load_request = lambda message: world.kernel.send(
        "forwarding", LoadsMeasured(message.token)
    )
    request_id = world.request("read")
    world.advance(400.0)
    assert not world.take_attempts()
    (refusal,) = world.take("callers", RequestRefused)
    assert refusal.request_id == request_id
    assert (refusal.status, refusal.reason) == (503, "servers-warming-up")


def test_no_hedge_goes_to_a_cold_server(world):
    """Guards against a request that the server gets for nothing."""
    world.know_all()
    world.request("read")
    (first,) = world.take_attempts()
    other = "b" if first.server_id == "a" else "a"
    world.warmups = {other: 9_000.0}
    world.advance(390.0)
    assert not world.take_attempts()


def test_registration_makes_a_server_cold_again(world):
    """Guards against a server that an instance has not asked lately."""
    world.know_all("front-2", "front-3")
    cold = make_server("a", warmup_left_ms=9_000.0)
    world.warmups = {"a": None}
    world.set_servers(cold, make_server("b"))
    assert set(world.send_requests(6)) == {"b"}
    world.tell(GaugesRequested("metrics", 1))
    gauges = world.received["metrics"][-1].gauges
    assert [g.value for g in gauges if g.name == "servers_warming_up"] == [1]


@pytest.mark.parametrize(("warmup", "rate"), [(None, 3.1), (LIMIT, 0.0)])
def test_without_a_limit_nothing_changes(warmup, rate):
    """Guards against deployments that wait for answers they do not need."""
    world = World(warmup, rate)
    world.warmups = {"a": 9_000.0, "b": 9_000.0}
    assert len(world.send_requests(4)) == 4
    world.tell(GaugesRequested("metrics", 1))
    gauges = world.received["metrics"][-1].gauges
    assert "servers_warming_up" not in [gauge.name for gauge in gauges]
    world.close()
