"""Tests of forwarding while a failure domain is evacuated."""

from contextlib import suppress
from socket import socketpair

import pytest

from cuminhatch.messages import (
    ConfigurationChanged,
    HttpFailed,
    RequestRefused,
    ResponseStarted,
)
from cuminhatch.messages.attempts import SERVER_EVACUATED
from cuminhatch.messages.loads import LoadsMeasured, ProbeRequested
from cuminhatch.services.backends import _pool as pool_module
from tests.services.forwarding_world import ForwardingWorld, make_server
from tests.services.test_loads import World as LoadsWorld

NEAR = make_server("a")
FAR = make_server("z", failure_domain="there")


@pytest.fixture
def world():
    world = ForwardingWorld()
    world.configure(NEAR, FAR)
    yield world
    world.close()


def evacuate(world, *domains):
    world.configure(NEAR, FAR, evacuated=domains)


def take_refusals(world):
    return [(m.status, m.reason) for m in world.take("callers", RequestRefused)]


def test_request_measured_when_the_evacuation_starts_goes_elsewhere(world):
    """Guards against a request placed by loads asked for before."""
    world.is_measuring = False
    world.request("read")
    (measured,) = world.unanswered_load_requests
    evacuate(world, "here")
    world.is_measuring = True
    world.answer_load_request(measured)
    world.run()
    assert [attempt.server_id for attempt in world.take_attempts()] == ["z"]


def test_waiting_request_goes_elsewhere(world):
    """Guards against a request that waits and is sent later."""
    world.loads = {"a": (3, 3, 1.0), "z": (3, 3, 1.0)}
    world.request("read")
    assert not world.take_attempts()
    evacuate(world, "here")
    world.loads = {}
    world.advance(50.0)
    assert [attempt.server_id for attempt in world.take_attempts()] == ["z"]


def test_hedge_and_resend_go_elsewhere(world):
    """Guards against second sends to an evacuated server."""
    world.request("read")
    (first,) = world.take_attempts()
    assert first.server_id == "a"
    evacuate(world, "there")
    world.advance(390.0)
    assert not world.take_attempts(), "hedged"
    world.fail(first)
    assert [attempt.server_id for attempt in world.take_attempts()] == ["a"]


def test_running_attempt_ends_normally(world):
    """Guards against responses that an evacuation interrupts."""
    world.request("read")
    (attempt,) = world.take_attempts()
    evacuate(world, "here", "there")
    world.respond(attempt)
    assert [m.head.status for m in world.take("callers", ResponseStarted)] == [200]


def test_service_without_other_servers_is_refused_at_once(world):
    """Guards against requests that wait for the end of an evacuation."""
    world.is_measuring = False
    world.request("read")
    evacuate(world, "here", "there")
    world.request("write")
    assert take_refusals(world) == [(503, "failure-domain-evacuated")]
    world.tell(LoadsMeasured(world.unanswered_load_requests[0].token))
    assert take_refusals(world) == [(503, "failure-domain-evacuated")]
    assert len(world.unanswered_load_requests) == 1, "probed"


def test_servers_get_requests_after_the_return(world):
    """Guards against an evacuation that never ends."""
    evacuate(world, "here", "there")
    evacuate(world)
    world.request("read")
    assert [attempt.server_id for attempt in world.take_attempts()] == ["a"]


def test_unsent_attempt_goes_elsewhere(monkeypatch):
    """Guards against a connection that is established after the evacuation."""
    peers = []

    def open_blocked(address):
        sock, peer = socketpair()
        peers.append(peer)
        sock.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                sock.send(bytes(65_536))
        return sock

    monkeypatch.setattr(pool_module, "open_connection", open_blocked)
    world = ForwardingWorld(has_connections=True)
    world.configure(NEAR, FAR)
    world.request("write")
    backends = world.kernel._services["backends"]
    assert backends.connection_count("a") == 1
    evacuate(world, "here")
    state = world.kernel._services["forwarding"]._state
    world.kernel.send("backends", ConfigurationChanged(state.configuration))
    world.run()
    assert backends.connection_count("a") == 0
    assert backends.connection_count("z") == 1
    world.close()
    for peer in peers:
        peer.close()


def test_unsent_probe_is_no_failure_of_the_server():
    """Guards against a server that is left out after its return."""
    world = LoadsWorld()
    world.measure()
    probes = [m for m in world.client.received if type(m) is ProbeRequested]
    failed = HttpFailed(probes[0].token, SERVER_EVACUATED, False)
    world.kernel.send("loads", failed)
    world.run()
    assert not world.forwarding.received
    world.kernel.close()
