"""Tests of the ``permits`` service with two instances on one table."""

import pytest

from cuminhatch.decisions.configuration import BackendServer, Configuration, ServiceSpec
from cuminhatch.decisions.permits import LONG, PROBE, Permit
from cuminhatch.messages import (
    ConfigurationChanged,
    PermitGranted,
    PermitRefused,
    PermitReleaseRequested,
    PermitRequested,
    PermitReturned,
    RemotePermitNeeded,
)
from cuminhatch.services import Permits
from tests.proofs.fake_platform import InstanceProcess, SharedPlatform

SERVERS = {
    id_: BackendServer(id_, "s", "127.0.0.1", 1, "leith", 3, 200) for id_ in "bc"
}
FIRST = Permit(LONG, "b", 0)
CONFIGURATION = Configuration(1, {"s": ServiceSpec("s")}, SERVERS, {})


class TwoInstances:
    """Two instances, ``i0`` and ``i1``."""

    def __init__(self, listed_ids=("i0", "i1")):
        self.platform = SharedPlatform()
        self.nodes = [self.start_node(f"i{n}", listed_ids) for n in range(2)]

    def start_node(self, instance_id, listed_ids):
        node = InstanceProcess(instance_id, 1, self.platform, lambda: listed_ids)
        permits = Permits(node.kernel, instance_id, 1, 3000.0)
        node.kernel.register(permits)
        node.replies = node.record("user", (PermitGranted, PermitRefused))
        node.notices = node.record("peers", (RemotePermitNeeded,))
        permits.open()
        node.send("permits", ConfigurationChanged(CONFIGURATION))
        return node

    def request(self, index, token, servers=("b",), kind=LONG, deadline_ms=5000.0):
        message = PermitRequested("user", token, kind, servers, deadline_ms)
        self.nodes[index].send("permits", message)
        self.settle()

    def settle(self):
        while self.platform.pending_requests:
            self.platform.done(0)

    def advance(self, ms):
        for node in self.nodes:
            node.advance(ms)
        self.settle()


@pytest.fixture
def instances():
    instances = TwoInstances()
    yield instances
    for node in instances.nodes:
        node.close()


def test_next_server_is_tried_when_the_first_is_taken(instances):
    """Guards against a long request that waits while a server is free."""
    instances.request(0, 1)
    instances.request(1, 2, ("b", "c"))
    assert instances.nodes[0].replies == [PermitGranted(1, FIRST)]
    assert instances.nodes[1].replies == [PermitGranted(2, Permit(LONG, "c", 0))]


def test_holder_is_asked_and_releases_an_idle_permit(instances):
    """Guards against an idle permit that blocks requests elsewhere."""
    holder, requester = instances.nodes
    instances.request(0, 1)
    instances.request(1, 2)
    assert requester.notices == [RemotePermitNeeded("i0", LONG, "b")]
    holder.send("permits", PermitReleaseRequested("i1", LONG, "b"))
    instances.advance(100)
    assert not requester.replies
    holder.send("permits", PermitReturned(FIRST))
    holder.send("permits", PermitReleaseRequested("i1", LONG, "b"))
    instances.settle()
    for _ in range(4):
        instances.advance(100)
    assert requester.replies == [PermitGranted(2, FIRST)]


def test_idle_permit_serves_the_next_request_without_a_write(instances):
    """Guards against two table writes for each of many long requests."""
    instances.request(0, 1)
    instances.nodes[0].send("permits", PermitReturned(FIRST))
    instances.request(0, 2)
    assert [message.token for message in instances.nodes[0].replies] == [1, 2]
    assert instances.platform.table.writes == 1


def test_returned_probe_permit_is_released_at_once(instances):
    """Guards against a probe permit that is kept after probing has ended."""
    instances.request(0, 1, kind=PROBE)
    instances.nodes[0].send("permits", PermitReturned(Permit(PROBE, "b", 0)))
    instances.settle()
    row = instances.platform.table.rows["permit/probe/b/0"]
    assert row.value["holder"] is None


def test_request_is_refused_at_its_deadline(instances):
    """Guards against a long request that waits past its deadline."""
    instances.request(0, 1)
    instances.request(1, 2, deadline_ms=300.0)
    instances.advance(300)
    assert instances.nodes[1].replies == [PermitRefused(2, "no-permit-free")]


def test_deadline_of_a_granted_request_is_cancelled(instances):
    """Guards against a refusal by the deadline of an earlier request."""
    instances.request(0, 1, deadline_ms=300.0)
    instances.request(0, 1)
    instances.advance(300)
    assert instances.nodes[0].replies == [PermitGranted(1, FIRST)]


def test_outage_is_named_in_the_refusal(instances):
    """Guards against a store outage reported as a lack of permits."""
    instances.nodes[0].send("permits", PermitRequested("user", 1, LONG, ("b",), 300.0))
    instances.platform.unsent(0)
    instances.nodes[0].advance(300)
    assert instances.nodes[0].replies == [PermitRefused(1, "store-outage")]


def test_list_is_read_only_while_a_request_is_pending(instances):
    """Guards against a list read each second without a pending request."""
    list_reads = []
    platform = instances.nodes[0].kernel._services["platform"]
    platform.read_list = lambda: list_reads.append(1) or ("i0", "i1")
    for _ in range(5):
        instances.advance(1000)
    assert not list_reads
    instances.request(1, 1, deadline_ms=20_000.0)
    instances.request(0, 2, deadline_ms=20_000.0)
    instances.advance(1000)
    assert list_reads


def test_unlisted_instance_takes_nothing():
    """Guards against a permit held by an instance that is not listed."""
    instances = TwoInstances(listed_ids=())
    instances.request(0, 1, deadline_ms=300.0)
    instances.advance(300)
    assert instances.platform.table.writes == 0
    assert instances.nodes[0].replies == [PermitRefused(1, "not-listed")]
    for node in instances.nodes:
        node.close()
