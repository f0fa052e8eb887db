"""Tests of the ``permits`` service with two instances on one table."""

import pytest

from cuminhatch.decisions.configuration import BackendServer, Configuration, ServiceSpec
from cuminhatch.decisions.permits import LONG, PROBE, Permit
from cuminhatch.messages import (
    ConfigurationChanged,
    PermitGranted,
    PermitNeeded,
    PermitRefused,
    PermitRequested,
    PermitReturned,
    PermitWanted,
)
from cuminhatch.services import Permits
from tests.proofs.fakes_table import Node, Platform

SERVERS = {
    id_: BackendServer(id_, "s", "127.0.0.1", 1, "leith", 3, 200) for id_ in "bc"
}
FIRST = Permit(LONG, "b", 0)
CONFIGURATION = Configuration(1, {"s": ServiceSpec("s")}, SERVERS, {})


class Pair:
    """Two instances, ``i0`` and ``i1``."""

    def __init__(self, listed_ids=("i0", "i1")):
        self.platform = Platform()
        self.nodes = [self.start(f"i{n}", listed_ids) for n in range(2)]

    def start(self, instance_id, listed_ids):
        node = Node(instance_id, 1, self.platform, lambda: listed_ids)
        permits = Permits(node.kernel, instance_id, 1, 3000.0)
        node.kernel.register(permits)
        node.heard = node.record("user", (PermitGranted, PermitRefused))
        node.needs = node.record("peers", (PermitNeeded,))
        permits.open()
        node.send("permits", ConfigurationChanged(CONFIGURATION))
        return node

    def request(self, index, token, servers=("b",), kind=LONG, deadline_ms=5000.0):
        message = PermitRequested("user", token, kind, servers, deadline_ms)
        self.nodes[index].send("permits", message)
        self.settle()

    def settle(self):
        while self.platform.asked:
            self.platform.done(0)

    def advance(self, ms):
        for node in self.nodes:
            node.advance(ms)
        self.settle()


@pytest.fixture
def pair():
    pair = Pair()
    yield pair
    for node in pair.nodes:
        node.close()


def test_next_server_is_tried_when_the_first_is_taken(pair):
    """Guards against long work that waits while another server is free."""
    pair.request(0, 1)
    pair.request(1, 2, ("b", "c"))
    assert pair.nodes[0].heard == [PermitGranted(1, FIRST)]
    assert pair.nodes[1].heard == [PermitGranted(2, Permit(LONG, "c", 0))]


def test_holder_is_asked_and_releases_an_idle_permit(pair):
    """Guards against an idle permit that keeps long work waiting."""
    holder, asking = pair.nodes
    pair.request(0, 1)
    pair.request(1, 2)
    assert asking.needs == [PermitNeeded("i0", LONG, "b")]
    holder.send("permits", PermitWanted("i1", LONG, "b"))
    pair.advance(100)
    assert not asking.heard
    holder.send("permits", PermitReturned(FIRST))
    holder.send("permits", PermitWanted("i1", LONG, "b"))
    pair.settle()
    for _ in range(4):
        pair.advance(100)
    assert asking.heard == [PermitGranted(2, FIRST)]


def test_idle_permit_serves_the_next_request_without_a_write(pair):
    """Guards against two writes for each request in a run of long work."""
    pair.request(0, 1)
    pair.nodes[0].send("permits", PermitReturned(FIRST))
    pair.request(0, 2)
    assert [message.token for message in pair.nodes[0].heard] == [1, 2]
    assert pair.platform.table.writes == 1


def test_returned_probe_permit_is_released_at_once(pair):
    """Guards against a server that nobody probes after its holder stopped."""
    pair.request(0, 1, kind=PROBE)
    pair.nodes[0].send("permits", PermitReturned(Permit(PROBE, "b", 0)))
    pair.settle()
    row = pair.platform.table.rows["permit/probe/b/0"]
    assert row.value["holder"] is None


def test_request_is_refused_at_its_deadline(pair):
    """Guards against long work that waits past its deadline."""
    pair.request(0, 1)
    pair.request(1, 2, deadline_ms=300.0)
    pair.advance(300)
    assert pair.nodes[1].heard == [PermitRefused(2, "no-permit-free")]


def test_deadline_of_a_granted_request_is_dropped(pair):
    """Guards against a refusal by the deadline of an earlier request."""
    pair.request(0, 1, deadline_ms=300.0)
    pair.request(0, 1)
    pair.advance(300)
    assert pair.nodes[0].heard == [PermitGranted(1, FIRST)]


def test_outage_is_named_in_the_refusal(pair):
    """Guards against an outage reported as work of others."""
    pair.nodes[0].send("permits", PermitRequested("user", 1, LONG, ("b",), 300.0))
    pair.platform.unsent(0)
    pair.nodes[0].advance(300)
    assert pair.nodes[0].heard == [PermitRefused(1, "store-outage")]


def test_list_is_read_only_while_it_matters(pair):
    """Guards against a list reading per second and instance for nothing."""
    readings = []
    platform = pair.nodes[0].kernel._services["platform"]
    platform.read_list = lambda: readings.append(1) or ("i0", "i1")
    for _ in range(5):
        pair.advance(1000)
    assert not readings
    pair.request(1, 1, deadline_ms=20_000.0)
    pair.request(0, 2, deadline_ms=20_000.0)
    pair.advance(1000)
    assert readings


def test_unlisted_instance_takes_nothing():
    """Guards against a permit whose holder the list does not name yet."""
    pair = Pair(listed_ids=())
    pair.request(0, 1, deadline_ms=300.0)
    pair.advance(300)
    assert pair.platform.table.writes == 0
    assert pair.nodes[0].heard == [PermitRefused(1, "not-listed")]
    for node in pair.nodes:
        node.close()
