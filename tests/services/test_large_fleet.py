"""Tests of one instance of a large fleet, with its share of the budgets."""

from functools import partial
from random import Random

import pytest

from cuminhatch.codecs.http1 import Header
from cuminhatch.messages import HttpReplied
from cuminhatch.messages.catalog import InstanceCountChanged
from cuminhatch.messages.loads import ProbeRequested
from cuminhatch.services.loads import Loads
from tests.services.forwarding_world import DIALECT, ForwardingWorld, make_server

INSTANCES = 312
NEAR_INSTANCES = 62
NEAR_SERVERS = 48
FAR_SERVERS = 192
REQUESTS_PER_S = 1.7
SECONDS = 60
SPEED_PERIOD_S = 0.3
SLOW_SHARE = 0.25
SLOWDOWN = 4.0
WORK_MS = 140.0
STEP_MS = 5.0
SERVER_IDLE_TIMEOUT_MS = 10_000.0


class HealthChecks:
    """Answers health checks; a quarter of the servers is slow at any time."""

    def __init__(self, kernel):
        self._kernel = kernel
        self.probed = []

    def get_slowdown(self, server_id):
        """Return the slowdown of a server at this moment."""
        period = int(self._kernel.clock.now_ms / 1_000.0 / SPEED_PERIOD_S)
        is_slow = Random(f"{server_id} {period}").random() < SLOW_SHARE
        return SLOWDOWN if is_slow else 1.0

    def answer(self, message: ProbeRequested):
        server_id = message.server_id
        self.probed.append((self._kernel.clock.now_ms, server_id))
        load = f"0,0,{self.get_slowdown(server_id)}".encode()
        headers = (Header(b"server", server_id.encode()), Header(b"load", load))
        reply = HttpReplied(message.token, 200, headers, b"")
        self._kernel.send(message.reply_to, reply)


class LargeFleet(ForwardingWorld):
    """One instance of the fleet, with the real ``loads`` service."""

    def __init__(self):
        super().__init__()
        servers = [
            make_server(f"{domain}-{n:03d}", failure_domain=domain, port=first_port + n)
            for domain, count, first_port in (
                ("here", NEAR_SERVERS, 10_000),
                ("there", FAR_SERVERS, 20_000),
            )
            for n in range(count)
        ]
        self.checks = HealthChecks(self.kernel)
        self.loads = self.kernel.register(Loads(self.kernel, DIALECT, 60.0))
        for name in ("loads", "forwarding"):
            self.kernel.send(name, InstanceCountChanged(INSTANCES, NEAR_INSTANCES))
        self.configure(*servers)

    def _add_fake(self, name, handle):
        if name == "backends":
            super()._add_fake(name, partial(self._handle_backends, handle))
        elif name != "loads":
            super()._add_fake(name, handle)

    def _handle_backends(self, record, message):
        if isinstance(message, ProbeRequested):
            self.checks.answer(message)
        else:
            record(message)

    def serve(self, seconds):
        """Send requests at random times; return the servers and slowdowns."""
        rng = Random(5)
        sent, running = [], []
        next_request_ms = self.clock.now_ms
        end_ms = next_request_ms + seconds * 1_000.0
        while self.clock.now_ms < end_ms:
            if self.clock.now_ms >= next_request_ms:
                self.request("read")
                next_request_ms += rng.expovariate(REQUESTS_PER_S) * 1_000.0
            self.advance(STEP_MS)
            now_ms = self.clock.now_ms
            for attempt in self.take_attempts():
                slowdown = self.checks.get_slowdown(attempt.server_id)
                sent.append((attempt.server_id, slowdown))
                running.append((now_ms + WORK_MS * slowdown, attempt))
            for ended in [item for item in running if item[0] <= now_ms]:
                running.remove(ended)
                self.respond(ended[1])
        return sent


@pytest.fixture
def fleet():
    world = LargeFleet()
    yield world
    world.close()


def test_requests_stay_in_the_failure_domain_while_it_is_idle(fleet):
    """
    Guards against far servers chosen because near ones may not be probed.

    A share of the probe budget that is divided by all instances was used up by
    a third of the requests; the others found a load report of far servers
    only.
    """
    sent = fleet.serve(SECONDS)
    near = sum(server_id.startswith("here") for server_id, _ in sent)
    assert near / len(sent) >= 0.95


def test_requests_avoid_slow_servers(fleet):
    """Guards against placements without a recent load report."""
    sent = fleet.serve(SECONDS)
    slow = sum(slowdown > 1.0 for _, slowdown in sent)
    assert slow / len(sent) <= 0.1


def test_probes_reuse_connections(fleet):
    """
    Guards against a new connection for most probes.

    Servers close connections that are idle for 10 s.
    """
    fleet.serve(SECONDS)
    last_ms = {}
    new_connections = 0
    for at_ms, server_id in fleet.checks.probed:
        idle_ms = at_ms - last_ms.get(server_id, float("-inf"))
        new_connections += idle_ms > SERVER_IDLE_TIMEOUT_MS
        last_ms[server_id] = at_ms
    assert new_connections / len(fleet.checks.probed) <= 0.1


def test_probes_of_a_large_fleet_stay_within_the_budget(fleet):
    """Guards against a near share that exceeds the budget of a server."""
    fleet.serve(SECONDS)
    counts = {}
    for _, server_id in fleet.checks.probed:
        counts[server_id] = counts.get(server_id, 0) + 1
    near = max(count for name, count in counts.items() if name.startswith("here"))
    assert near * NEAR_INSTANCES / SECONDS <= 60.0
