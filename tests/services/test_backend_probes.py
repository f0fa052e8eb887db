"""Tests of load probes on the connections of requests."""

import pytest

from cuminhatch.kernel import SUPERVISOR, HandlerFailed
from cuminhatch.messages import HttpFailed, HttpReplied
from cuminhatch.messages.http_client import PROBE_RESPONSE_MAX_BYTES
from cuminhatch.messages.loads import ProbeRequested, ProbeResponseRejected
from tests.services._loopback import run_until
from tests.services.test_backends import OK, Harness
from tests.support import Recorder, run_ticks

HEALTHY = b"HTTP/1.1 200 OK\r\nBackend-Load: 1,0,3\r\nContent-Length: 0\r\n\r\n"
PROBE_TIMEOUT_MS = 400.0


class ProbeHarness(Harness):
    """The service with a requester of probes."""

    def __init__(self):
        super().__init__()
        loads = Recorder(self.kernel, "loads", HttpReplied, HttpFailed)
        self.replies = self.kernel.register(loads).received
        supervisor = Recorder(self.kernel, SUPERVISOR, HandlerFailed)
        self.failures = self.kernel.register(supervisor).received

    def probe(self):
        self.next_id += 1
        message = ProbeRequested(
            "loads", self.next_id, "server", self.address, "/health", PROBE_TIMEOUT_MS
        )
        self.kernel.send("backends", message)
        return self.next_id

    def take_reply(self):
        run_until(self.kernel, lambda: self.replies)
        return self.replies.pop()

    def answer(self, peer, data=HEALTHY):
        peer.received = b""
        peer.run_until(lambda: b"\r\n\r\n" in peer.received)
        peer.send(data)

    def probe_on_new_connection(self):
        token = self.probe()
        peer = self.accept()
        self.answer(peer)
        assert self.take_reply().token == token
        return peer

    def has_new_connection(self):
        run_ticks(self.kernel)
        try:
            self.sock.accept()[0].close()
        except BlockingIOError:
            return False
        return True


@pytest.fixture
def harness():
    harness = ProbeHarness()
    yield harness
    harness.sock.close()
    assert not harness.failures


def test_request_uses_the_connection_of_the_probe_before_it(harness):
    """Guards against a new connection for each request of a large fleet."""
    peer = harness.probe_on_new_connection()
    attempt_id = harness.serve(peer)
    harness.wait_for_ok(attempt_id)
    assert not harness.has_new_connection()
    assert harness.connections == 1


def test_probe_uses_the_connection_of_an_earlier_request(harness):
    """Guards against two connections where one is enough."""
    peer = harness.serve_on_new_connection()
    token = harness.probe()
    harness.answer(peer)
    reply = harness.take_reply()
    assert (reply.token, reply.status) == (token, 200)
    assert not harness.has_new_connection()


def test_request_that_needs_a_new_connection_gets_one(harness):
    """Guards against a write on a connection that may be closing."""
    harness.probe_on_new_connection()
    attempt_id = harness.request(is_new_connection_required=True)
    peer = harness.accept()
    harness.answer(peer, OK)
    harness.wait_for_ok(attempt_id)


def test_probe_is_repeated_when_its_reused_connection_closes(harness):
    """Guards against a sound server taken for one that rejects connections."""
    old = harness.probe_on_new_connection()
    token = harness.probe()
    old.received = b""
    old.run_until(lambda: old.received)
    old.sock.close()
    harness.answer(harness.accept())
    assert harness.take_reply().token == token


def test_probe_that_fails_on_a_new_connection_is_reported(harness):
    """Guards against probes repeated without end."""
    token = harness.probe()
    peer = harness.accept()
    peer.run_until(lambda: peer.received)
    peer.sock.close()
    reply = harness.take_reply()
    assert isinstance(reply, HttpFailed)
    assert (reply.token, reply.is_sent) == (token, True)


def test_silent_connections_are_dropped_after_a_probe_timed_out(harness):
    """Guards against requests on connections that a middlebox forgot."""
    harness.probe_on_new_connection()
    attempt_id = harness.request(is_new_connection_required=True)
    harness.answer(harness.accept(), OK)
    harness.wait_for_ok(attempt_id)
    harness.probe()
    run_ticks(harness.kernel)
    harness.advance(PROBE_TIMEOUT_MS)
    assert harness.take_reply().reason == "timeout"
    assert harness.connections == 0


def test_probe_response_by_drops_ends_at_the_timeout(harness):
    """Guards against a response that never ends and holds its connection."""
    harness.probe()
    peer = harness.accept()
    peer.run_until(lambda: peer.received)
    for byte in HEALTHY[:8]:
        peer.send(bytes([byte]))
        harness.advance(PROBE_TIMEOUT_MS / 8)
    assert harness.take_reply().reason == "timeout"
    assert harness.connections == 0


def test_long_probe_response_is_cut_off(harness):
    """Guards against a server that sends bytes without end."""
    harness.probe()
    peer = harness.accept()
    peer.run_until(lambda: peer.received)
    peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
    for _ in range(PROBE_RESPONSE_MAX_BYTES // 0x1000 + 1):
        peer.send(chunk)
    assert harness.take_reply().reason == "response too large"
    assert harness.connections == 0


def test_rejected_probe_response_closes_its_connection(harness):
    """Guards against the own response taken for that of the next request."""
    harness.probe_on_new_connection()
    harness.send(ProbeResponseRejected("loads", harness.next_id))
    assert harness.connections == 0
