"""Tests of the probes service."""

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
from cuminhatch.services.probes import PERMIT_REQUEST_INTERVAL_MS
from tests.proofs.fake_platform import InstanceProcess, SharedPlatform


def make_configuration(sequence, count):
    servers = {
        id_: BackendServer(id_, "s", "127.0.0.1", 1, "leith", 3, 200)
        for id_ in (f"b{number}" for number in range(count))
    }
    return Configuration(sequence, {"s": ServiceSpec("s")}, servers, {})


def test_requested_permits_follow_servers_and_members():
    """Guards against a cached choice of servers that outlives a change."""
    node = InstanceProcess("i0", 1, SharedPlatform(), lambda: ())
    probes = Probes(node.kernel, "i0")
    node.kernel.register(probes)
    requests = node.record("permits", (PermitRequested,))
    probes.open()

    def request_permits():
        requests.clear()
        node.advance(PERMIT_REQUEST_INTERVAL_MS)
        requested = {request.server_ids[0] for request in requests}
        for request in requests:
            node.send("probes", PermitRefused(request.token, "no-permit-free"))
        return requested

    node.send("probes", ConfigurationChanged(make_configuration(1, 20)))
    assert len(request_permits()) == len(request_permits()) == 20
    node.send("probes", ConfigurationChanged(make_configuration(2, 30)))
    assert len(request_permits()) == 30
    other = Member("i1", "127.0.0.1", 1, 1, "live")
    node.send("probes", MembershipChanged((other,)))
    assert 0 < len(request_permits()) < 30
    node.send("probes", MembershipChanged((other._replace(state="suspect"),)))
    assert len(request_permits()) == 30
    node.close()
