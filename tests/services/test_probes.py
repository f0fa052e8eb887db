"""Tests of the ``probes`` service."""

from cuminhatch.decisions.configuration import (
    BackendServer,
    Configuration,
    ServiceSpec,
)
from cuminhatch.decisions.membership import Member
from cuminhatch.messages import (
    ConfigurationChanged,
    MembershipChanged,
    PermitRefused,
    PermitRequested,
)
from cuminhatch.services import Probes
from cuminhatch.services.probes import ASK_INTERVAL_MS
from tests.proofs.fakes_table import Node, Platform


def configuration(sequence, count):
    servers = {
        id_: BackendServer(id_, "s", "127.0.0.1", 1, "leith", 3, 200)
        for id_ in (f"b{number}" for number in range(count))
    }
    return Configuration(sequence, {"s": ServiceSpec("s")}, servers, {})


def test_permits_asked_for_follow_servers_and_members():
    """Guards against a remembered share that is not renewed after a change."""
    node = Node("i0", 1, Platform(), lambda: ())
    probes = Probes(node.kernel, "i0")
    node.kernel.register(probes)
    requests = node.record("permits", (PermitRequested,))
    probes.open()

    def ask():
        requests.clear()
        node.advance(ASK_INTERVAL_MS)
        asked = {request.server_ids[0] for request in requests}
        for request in requests:
            node.send("probes", PermitRefused(request.token, "no-permit-free"))
        return asked

    node.send("probes", ConfigurationChanged(configuration(1, 20)))
    assert len(ask()) == len(ask()) == 20
    node.send("probes", ConfigurationChanged(configuration(2, 30)))
    assert len(ask()) == 30
    other = Member("i1", "127.0.0.1", 1, 1, "live")
    node.send("probes", MembershipChanged((other,)))
    assert 0 < len(ask()) < 30
    node.send("probes", MembershipChanged((other._replace(state="suspect"),)))
    assert len(ask()) == 30
    node.close()
