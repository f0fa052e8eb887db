"""Tests of the quota service, and of forwarding with quotas."""

from functools import partial
from random import Random
from types import MappingProxyType

import pytest

from cuminhatch.address import Address
from cuminhatch.clock import ManualClock
from cuminhatch.codecs.gateway_toml import parse_gateway_settings
from cuminhatch.codecs.quota_thrift import encode_message
from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION, Team
from cuminhatch.decisions.quota import QuotaFigures, QuotaLimits, QuotaPeer, TeamFigures
from cuminhatch.gateway import build_kernel
from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel
from cuminhatch.messages import (
    CallerDisconnected,
    ConfigurationChanged,
    CounterIncremented,
    EventRecorded,
    GaugesReported,
    GaugesRequested,
    RequestRefused,
)
from cuminhatch.messages.quota import InstanceAddress, InstancesListed
from cuminhatch.services.catalog import CatalogService
from cuminhatch.services.catalog._members import add_members
from cuminhatch.services.quota import QuotaGate, QuotaService
from tests.codecs.test_gateway_toml import TEXT
from tests.services.forwarding_world import ForwardingWorld, make_server
from tests.support import Recorder, free_port

LIMITS = QuotaLimits(5_000.0, 0.1, 20.0)
TEAM = Team("t", None, 20.0, 20.0)
WITH_QUOTA = EMPTY_CONFIGURATION._replace(teams=MappingProxyType({"t": TEAM}))
QUOTA_SECTION = """
[quota]
window_s = 5
overshoot = 0.1
slack = 20
address = "10.1.0.18:8383"
"""


class Node:
    """An instance with the quota service on an address of its own."""

    def __init__(self, clock, number, port):
        self.id = f"front-{number}"
        self.host = f"127.0.0.{number}"
        self.kernel = Kernel(clock)
        self.quota = QuotaService(
            self.kernel,
            self.id,
            "north",
            Address(self.host, port),
            "key",
            LIMITS,
            True,
            Random(number),
        )
        self.kernel.register(self.quota)
        self.events = self._record("event_log", EventRecorded)
        self.metrics = self._record("metrics", CounterIncremented, GaugesReported)
        self.failures = self._record(SUPERVISOR, HandlerFailed)
        self.kernel.open()

    def _record(self, name, *kinds):
        return self.kernel.register(Recorder(self.kernel, name, *kinds)).received

    @property
    def event_names(self):
        return [event.name for event in self.events]

    def close(self):
        self.quota.close_socket(self.quota._sock)
        self.kernel.close()


class Nodes:
    """Some instances that know each other."""

    def __init__(self, count):
        self.clock = ManualClock(100_000.0)
        port = free_port()
        self.all = [Node(self.clock, number, port) for number in range(1, count + 1)]
        self.up = list(self.all)
        for node in self.all:
            others = {
                other.id: InstanceAddress(other.host, "north")
                for other in self.all
                if other is not node
            }
            node.kernel.send("quota", InstancesListed(others))

    def configure(self, configuration):
        for node in self.up:
            node.kernel.send("quota", ConfigurationChanged(configuration))

    def advance(self, ms, requests_per_step=0):
        """Advance in steps of 20 ms, each with some requests at each node."""
        for _ in range(int(ms / 20)):
            self.clock.advance(20.0)
            for node in self.up:
                for _ in range(3):
                    node.kernel.tick()
                for _ in range(requests_per_step):
                    node.quota.gate.admit(TEAM, self.clock.now_ms)

    def count_admitted(self):
        """Return how many requests all nodes have admitted."""
        return sum(
            message.name == "quota_admitted_total"
            for node in self.all
            for message in node.metrics
        )

    def find_aggregator(self):
        (node,) = [node for node in self.up if node.quota._peer.is_aggregator]
        return node

    def stop(self, node):
        self.up.remove(node)
        node.close()


@pytest.fixture
def nodes():
    nodes = Nodes(4)
    yield nodes
    for node in nodes.up:
        assert not node.failures
        node.close()


def test_another_aggregator_takes_over(nodes):
    """Guards against quotas that end with the loss of one instance."""
    nodes.configure(WITH_QUOTA)
    nodes.advance(8_000, requests_per_step=1)
    lost = nodes.find_aggregator()
    nodes.stop(lost)
    before = nodes.count_admitted()
    nodes.advance(5_000, requests_per_step=1)
    successor = nodes.find_aggregator()
    for node in nodes.up:
        assert node.quota._peer.aggregator_id == successor.id
        assert node.quota._peer.local.has_recent_figures(nodes.clock.now_ms)
        assert "quota_limited" in node.event_names
        # Not more often than at the start and at the loss.
        assert node.event_names.count("quota_aggregator_changed") <= 3
    # One of four instances is missing, so 15 of the 20 a second are left.
    assert 50 <= nodes.count_admitted() - before <= 5 * 20 + 20 + 8


def test_sudden_load_is_reported_before_its_turn(nodes):
    """Guards against a burst that is unknown until the next report."""
    nodes.configure(WITH_QUOTA)
    nodes.advance(3_000)
    aggregator = nodes.find_aggregator()
    node = next(node for node in nodes.all if node is not aggregator)
    while node.quota._peer._reported_ms < nodes.clock.now_ms - 20.0:
        nodes.advance(20)
    nodes.advance(60)
    for _ in range(8):
        assert node.quota.gate.admit(TEAM, nodes.clock.now_ms).is_admitted
    nodes.advance(20)
    counts = aggregator.quota._peer._aggregation.instances[node.id].counts
    assert counts["t"].admitted >= 4


def test_metrics_name_only_teams_that_were_limited(nodes):
    """Guards against labels for every team of a configuration."""
    nodes.configure(WITH_QUOTA)
    nodes.advance(1_500)
    nodes.all[0].quota.gate.admit(TEAM, nodes.clock.now_ms)
    nodes.advance(5_000, requests_per_step=1)
    node = nodes.all[0]
    labels = [message.labels["team"] for message in node.metrics]
    assert labels[0] == "other" and "t" in labels
    node.kernel.send("quota", GaugesRequested("metrics", 1))
    nodes.advance(20)
    values = {gauge.name: gauge.value for gauge in node.metrics[-1].gauges}
    assert values["quota_instances_heard"] == 4.0
    assert 0.0 < values["quota_share"] < 1.0 and "quota_left" in values


def test_nothing_is_sent_without_a_quota(nodes):
    """Guards against traffic in deployments that have no quotas."""
    sent = []
    for node in nodes.all:
        node.quota._send_bytes = lambda address, data: sent.append(data)
    unlimited = MappingProxyType({"t": TEAM._replace(rate_per_s=0.0)})
    nodes.configure(EMPTY_CONFIGURATION)
    nodes.configure(EMPTY_CONFIGURATION._replace(teams=unlimited))
    nodes.advance(2_000)
    assert not sent
    assert not any(node.events or node.metrics for node in nodes.all)
    nodes.configure(WITH_QUOTA)
    nodes.advance(500)
    assert sent
    nodes.configure(EMPTY_CONFIGURATION)
    nodes.advance(500)
    sent.clear()
    nodes.advance(2_000)
    assert not sent


def test_malformed_datagram_is_counted_and_ignored(nodes):
    """Guards against a datagram that ends the exchange of counters."""
    nodes.configure(WITH_QUOTA)
    nodes.advance(1_500)
    target, sender = nodes.all[:2]
    address = Address(target.host, target.quota._address.port)
    sender.quota._send_bytes(address, b"x" * 40)
    figures = QuotaFigures(sender.id, "north", 1, True, 4, 4, ())
    sender.quota._send_bytes(address, encode_message(figures, b"another key"))
    nodes.advance(500)
    names = [message.name for message in target.metrics]
    assert names.count("quota_malformed_total") == 2
    assert target.quota._peer.local.has_recent_figures(nodes.clock.now_ms)


def test_deployment_without_the_section_has_no_quota_service():
    """Guards against a socket and gauges that nobody has asked for."""
    for text, is_enabled in ((TEXT, False), (TEXT + QUOTA_SECTION, True)):
        settings = parse_gateway_settings(text, "boot.toml", {})
        kernel = build_kernel(settings, "boot.toml")
        assert kernel.has_service("quota") is is_enabled
        state = kernel._services["forwarding"]._state
        assert (state.quota is not None) is is_enabled
        assert ("quota" in kernel._services["metrics"]._gauge_parts) is is_enabled
        kernel.close()


def test_catalog_lists_instances_only_for_quotas():
    """Guards against messages to a service that is not there."""
    for is_enabled in (False, True):
        kernel = Kernel(ManualClock())
        recorder = Recorder(kernel, "quota" if is_enabled else "x", InstancesListed)
        kernel.register(recorder)
        address = Address("127.0.0.1", 0)
        catalog = CatalogService(kernel, "i", "here", address, "key", (), None)
        view = kernel.register(catalog)._view
        view.send_bytes = lambda address, data: None
        member = view.own._replace(instance_id="j", host="h", failure_domain="there")
        add_members(view, (member,))
        kernel.tick()
        listed = [InstancesListed({"j": InstanceAddress("h", "there")})]
        assert recorder.received == (listed if is_enabled else [])
        kernel.close()


@pytest.fixture
def limited():
    """Forwarding with one server, and a team whose share can be set."""
    peer = QuotaPeer("front-1", "here", LIMITS, False, Random(1), 0.0)
    world = ForwardingWorld("a", quota=QuotaGate(peer, lambda name, labels: None))
    world.configure(make_server("a"), keys={b"key-t": TEAM.team_id}, teams=(TEAM,))
    world.request = partial(world.request, headers=((b"key", b"key-t"),))

    def set_share(share):
        figures = (TeamFigures("t", 80.0, -5.0, share),)
        message = QuotaFigures("front-1", "here", 1, True, 2, 3, figures)
        peer.local.set_figures(message, world.clock.now_ms)

    def count_admitted():
        (counts,) = peer.local.list_counts(True, world.clock.now_ms)
        return counts.admitted

    world.set_share, world.count_admitted = set_share, count_admitted
    set_share(1.0)
    yield world
    world.close()


def test_request_over_the_quota_is_refused_at_once(limited):
    """Guards against requests beyond a quota that reach a server."""
    limited.set_share(0.0)
    limited.request("read")
    (refusal,) = limited.take("callers", RequestRefused)
    assert (refusal.status, refusal.reason) == (429, "quota-exceeded")
    assert 0.7 * 250.0 <= refusal.retry_after_ms <= 1.3 * 5_000.0
    assert not limited.take_attempts()
    (event,) = [
        e for e in limited.take("event_log", EventRecorded) if e.name == "refused"
    ]
    known = {"team": "t", "basis": "figures", "share": 0.0, "balance": -5.0}
    assert known.items() <= event.details.items()
    assert (event.details["instances_heard"], event.details["instances_known"]) == (
        2,
        3,
    )


def test_request_that_has_not_run_does_not_count(limited):
    """Guards against quotas used up by requests that no server ran."""
    limited.request("write")
    for _ in range(300):
        for attempt in limited.take_attempts():
            limited.refuse(attempt)
        limited.advance(5)
    (refusal,) = limited.take("callers", RequestRefused)
    assert refusal.status == 503
    assert limited.count_admitted() == 0


def test_request_of_a_caller_that_left_before_the_send_does_not_count(limited):
    """Guards against quotas used up by requests that were never sent."""
    limited.is_measuring = False
    limited.tell(CallerDisconnected(limited.request("read")))
    assert limited.count_admitted() == 0


def test_request_that_may_have_run_counts(limited):
    """Guards against servers that run more than the quota allows."""
    request_id = limited.request("read")
    assert limited.take_attempts()
    limited.tell(CallerDisconnected(request_id))
    limited.request("read")
    (attempt,) = limited.take_attempts()
    limited.respond(attempt)
    assert limited.count_admitted() == 2


@pytest.mark.parametrize(("share", "is_hedged"), [(1.0, True), (0.5, False)])
def test_request_of_a_team_over_its_quota_is_not_hedged(limited, share, is_hedged):
    """Guards against second sends that run more requests than the quota."""
    servers = [make_server("a"), make_server("b")]
    limited.configure(*servers, keys={b"key-t": TEAM.team_id}, teams=(TEAM,))
    limited.request("read")
    assert limited.take_attempts()
    limited.set_share(share)
    limited.advance(390)
    assert bool(limited.take_attempts()) is is_hedged
