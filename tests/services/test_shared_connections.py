"""
Requests and load probes on the same connections, with a faulty server.

The services that route, probe and connect are real; the server is a listening
socket that the test writes to byte by byte.
"""

import pytest

from tests.services.front_ends import ProbedGateway


@pytest.fixture
def gateway():
    gateway = ProbedGateway()
    yield gateway
    gateway.close()


def serve_read(gateway, peer, body=b"ok"):
    """Answer the request that follows a probe on the same connection."""
    given_id = gateway.receive(peer)
    peer.send(gateway.success(given_id, body))
    final = gateway.take_final()
    assert final.data == body
    return given_id


def test_read_follows_its_probe_on_the_same_connection(gateway):
    """Guards against two new connections for each request."""
    gateway.request("read")
    peer = gateway.accept()
    gateway.answer_probe(peer)
    serve_read(gateway, peer)
    assert not gateway.has_new_connection()


def test_write_gets_a_connection_of_its_own(gateway):
    """Guards against a write lost on a connection that is closing."""
    gateway.request("write")
    gateway.answer_probe(gateway.accept())
    peer = gateway.accept()
    serve_read(gateway, peer, b"written")


def test_response_repeated_for_a_probe_is_no_observation(gateway):
    """Guards against a late copy taken for the health of a server."""
    gateway.request("read")
    peer = gateway.accept()
    gateway.answer_probe(peer)
    given_id = serve_read(gateway, peer)
    gateway.request("read")
    gateway.answer_probe(peer, gateway.success(given_id, b"late copy"))
    peer.run_until(lambda: peer.is_closed)
    serve_read(gateway, gateway.accept(), b"own")


@pytest.mark.parametrize("has_own_behind", [False, True])
def test_health_repeated_for_a_read_is_no_response(gateway, has_own_behind):
    """Guards against a caller that gets the response to a probe."""
    gateway.request("read")
    peer = gateway.accept()
    gateway.answer_probe(peer)
    given_id = gateway.receive(peer)
    data = gateway.healthy()
    if has_own_behind:
        data += gateway.success(given_id, b"behind")
    peer.send(data)
    peer.run_until(lambda: peer.is_closed)
    gateway.answer_probe(gateway.accept())
    # The same server again, so the request gets a new connection.
    serve_read(gateway, gateway.accept(), b"own")
