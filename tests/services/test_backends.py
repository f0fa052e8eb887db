"""Tests of connections to backend servers over loopback."""

import socket
from types import MappingProxyType

import pytest

from cuminhatch import ManualClock
from cuminhatch.codecs.http1 import Header, RequestHead
from cuminhatch.decisions.configuration import (
    EMPTY_CONFIGURATION,
    BackendServer,
    ServiceSpec,
)
from cuminhatch.kernel import Kernel
from cuminhatch.messages import (
    Address,
    AttemptBody,
    AttemptBodySent,
    AttemptCancelled,
    AttemptFailed,
    AttemptReadPaused,
    AttemptReadResumed,
    AttemptRequested,
    AttemptResponse,
    AttemptResumed,
    AttemptStalled,
    ConfigurationChanged,
)
from cuminhatch.services.backends import IDLE_AGE_MS, BackendConnections
from tests.services._loopback import Peer, run_until
from tests.support import Recorder, settle

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TIMEOUT_MS = 1000.0


REPORTS = (AttemptResponse, AttemptBody, AttemptFailed, AttemptStalled, AttemptResumed)


class Pool:
    """A kernel with the service, and the listening socket of a server."""

    def __init__(self):
        self.kernel = Kernel(ManualClock())
        asker = self.kernel.register(Recorder(self.kernel, "dispatch", *REPORTS))
        self.messages = asker.received
        self.backends = self.kernel.register(BackendConnections(self.kernel))
        self.kernel.open()
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = Address(*self.sock.getsockname())
        self.next_id = 0

    @property
    def connections(self):
        return self.backends.connection_count("server")

    def of(self, attempt_id, kind):
        found = [m for m in self.messages if m.attempt_id == attempt_id]
        return [m for m in found if type(m) is kind]

    def failures_of(self, attempt_id):
        return self.of(attempt_id, AttemptFailed)

    def body_of(self, attempt_id):
        parts = self.of(attempt_id, AttemptResponse) + self.of(attempt_id, AttemptBody)
        return b"".join(part.data for part in parts)

    def wait_ok(self, attempt_id):
        run_until(self.kernel, lambda: self.body_of(attempt_id) == b"ok")

    def accept(self):
        for _ in range(100):
            self.kernel.tick(0)
            try:
                return Peer(self.kernel, self.sock.accept()[0])
            except BlockingIOError:
                pass
        raise AssertionError("no connection was opened")

    def request(self, method=b"GET", **changes):
        self.next_id += 1
        head = RequestHead(method, b"/", (Header(b"host", b"a"),))
        message = AttemptRequested(
            self.next_id, "server", self.address, head, 0, b"", True, TIMEOUT_MS, False
        )
        self.kernel.send("backends", message._replace(**changes))
        return self.next_id

    def send(self, message):
        self.kernel.send("backends", message)
        settle(self.kernel, 3)

    def serve_new(self):
        attempt_id = self.request()
        peer = self.accept()
        peer.run_until(lambda: peer.received)
        peer.send(OK)
        self.wait_ok(attempt_id)
        return peer

    def serve(self, peer, data=OK, step=0, **changes):
        """Run one attempt on the connection of a peer."""
        attempt_id = self.request(**changes)
        peer.received = b""
        peer.run_until(lambda: b"\r\n\r\n" in peer.received)
        peer.send(data, step)
        settle(self.kernel)
        return attempt_id

    def wait(self, ms):
        self.kernel.clock.advance(ms)
        settle(self.kernel)


@pytest.fixture
def pool():
    pool = Pool()
    yield pool
    pool.sock.close()


@pytest.fixture
def peer(pool):
    """Return a server's end of a connection that has served a request."""
    peer = pool.serve_new()
    yield peer
    peer.sock.close()


@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize(
    ("data", "body", "is_kept"),
    [
        (OK, b"ok", True),
        (b"HTTP/1.1 100 Go on\r\n\r\n" + OK, b"ok", True),
        (OK + b"surplus", b"ok", False),
        (OK + OK, b"ok", False),
        (OK.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"), b"ok", False),
        (CHUNKED + b"1\r\no\r\n1;x=y\r\nk\r\n0\r\nX: y\r\n\r\n", b"ok", True),
    ],
)
def test_whole_response_is_reported(pool, peer, data, body, is_kept, step):
    """Guards against wrong or mixed-up answers on a reused connection."""
    attempt_id = pool.serve(peer, data, step)
    assert pool.body_of(attempt_id) == body
    last = pool.messages[-1]
    assert last.attempt_id == attempt_id and last.is_complete
    assert pool.connections == is_kept
    if is_kept:
        assert pool.body_of(pool.serve(peer)) == b"ok"
    assert pool.failures_of(attempt_id) == []


@pytest.mark.parametrize(
    ("data", "is_complete"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\nabc", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", False),
        (CHUNKED + b"3\r\nabc\r\n", False),
        (b"HTTP/1.1 200 OK\r\nContent-Le", False),
        (b"", False),
    ],
)
def test_end_of_connection(pool, peer, data, is_complete):
    """Guards against a part of a response that is taken for the whole."""
    attempt_id = pool.serve(peer, data)
    peer.sock.close()
    run_until(pool.kernel, lambda: pool.connections == 0)
    settle(pool.kernel)
    failures = pool.failures_of(attempt_id)
    if is_complete:
        assert failures == []
        assert pool.messages[-1].is_complete
    else:
        assert failures == [AttemptFailed(attempt_id, "connection closed", True, True)]
        assert not any(m.is_complete for m in pool.of(attempt_id, AttemptBody))


def test_refused_connection_is_reported_as_not_sent(pool):
    """Guards against a "may have run" that prevents a safe retry."""
    pool.sock.close()
    attempt_id = pool.request()
    run_until(pool.kernel, lambda: pool.messages)
    failed = AttemptFailed(attempt_id, "connection refused", False, False)
    assert pool.messages == [failed]
    assert pool.connections == 0


def test_silent_reused_connection_is_reported_and_a_fresh_one_works(pool, peer):
    """Guards against a server judged by one silent connection."""
    attempt_id = pool.request()
    settle(pool.kernel)
    pool.wait(TIMEOUT_MS - 1)
    assert pool.failures_of(attempt_id) == []
    pool.wait(1)
    failed = AttemptFailed(attempt_id, "timeout", True, True)
    assert pool.failures_of(attempt_id) == [failed]
    again = pool.request(is_fresh_wanted=True)
    fresh = pool.accept()
    fresh.send(OK)
    pool.wait_ok(again)


@pytest.mark.parametrize("data", [b"", b"HTTP/1.1 408 Request Timeout\r\n\r\n"])
def test_idle_connection_that_ended_is_not_used(pool, peer, data):
    """Guards against a late message taken for the answer to a request."""
    if data:
        peer.sock.send(data)
    peer.sock.shutdown(socket.SHUT_WR)
    attempt_id = pool.request()
    fresh = pool.accept()
    fresh.run_until(lambda: fresh.received)
    fresh.send(OK)
    pool.wait_ok(attempt_id)
    assert pool.failures_of(attempt_id) == []


def test_each_part_of_a_response_has_its_own_time(pool, peer):
    """Guards against long downloads cut off by the timeout of a head."""
    attempt_id = pool.serve(peer, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
    for _ in range(8):
        pool.wait(TIMEOUT_MS - 1)
        peer.send(b"x")
        settle(pool.kernel)
    assert pool.failures_of(attempt_id) == []
    pool.wait(TIMEOUT_MS)
    failures = pool.failures_of(attempt_id)
    assert [failed.reason for failed in failures] == ["timeout"]


def test_slow_caller_is_not_taken_for_a_slow_server(pool, peer):
    """Guards against servers ejected because of slow uploads or downloads."""
    attempt_id = pool.request(b"POST", body_length=3, data=b"a", is_complete=False)
    settle(pool.kernel)
    pool.wait(10 * TIMEOUT_MS)
    pool.send(AttemptBodySent(attempt_id, b"bc", True))
    peer.run_until(lambda: peer.received.endswith(b"abc"))
    peer.send(OK[:-1])
    settle(pool.kernel)
    pool.send(AttemptReadPaused(attempt_id))
    peer.send(OK[-1:])
    pool.wait(10 * TIMEOUT_MS)
    assert pool.body_of(attempt_id) == b"o"
    pool.send(AttemptReadResumed(attempt_id))
    pool.wait_ok(attempt_id)
    assert pool.failures_of(attempt_id) == []


def test_big_request_stalls_and_arrives_whole(pool, peer):
    """Guards against uploads that pile up in memory or lose parts."""
    part, sent = bytes(range(256)) * 256, 0
    peer.received = b""
    attempt_id = pool.request(
        b"POST", body_length=None, data=b"", is_complete=False, timeout_ms=1e9
    )
    while not pool.of(attempt_id, AttemptStalled):
        pool.send(AttemptBodySent(attempt_id, part, False))
        sent += 1
    pool.send(AttemptBodySent(attempt_id, b"", True))
    peer.run_until(lambda: pool.of(attempt_id, AttemptResumed))
    peer.run_until(lambda: peer.received.endswith(b"\r\n0\r\n\r\n"))
    body = peer.received.partition(b"\r\n\r\n")[2]
    assert body == (b"10000\r\n" + part + b"\r\n") * sent + b"0\r\n\r\n"


def test_early_response_to_a_request_still_being_sent_is_reported(pool, peer):
    """Guards against a refusal that is lost with the broken upload."""
    attempt_id = pool.request(b"POST", body_length=1 << 30, is_complete=False)
    peer.run_until(lambda: b"content-length: 1073741824\r\n" in peer.received)
    peer.sock.send(OK)
    peer.sock.close()
    for _ in range(3):
        pool.kernel.send("backends", AttemptBodySent(attempt_id, b"x" * 1000, False))
    pool.wait_ok(attempt_id)
    assert pool.connections == 0


def test_cancelled_attempt_closes_its_connection(pool, peer):
    """Guards against servers that go on working for nobody."""
    attempt_id = pool.request()
    settle(pool.kernel)
    pool.send(AttemptCancelled(attempt_id))
    peer.run_until(lambda: peer.is_closed)
    assert pool.connections == 0
    assert pool.failures_of(attempt_id) == []


def test_limit_counts_busy_and_idle_connections():
    """Guards against more connections than a server's share for one daemon."""
    pool = Pool()
    server = BackendServer("server", "s", *pool.address, "a", 3, 48)
    configuration = EMPTY_CONFIGURATION._replace(
        sequence=1,
        services=MappingProxyType({"s": ServiceSpec("s")}),
        servers=MappingProxyType({"server": server}),
    )
    pool.send(ConfigurationChanged(configuration))
    first, second = pool.request(), pool.request()
    peers = [pool.accept(), pool.accept()]
    third = pool.request()
    settle(pool.kernel)
    failed = AttemptFailed(third, "connection limit", False, False)
    assert pool.messages == [failed]
    peers[0].send(OK)
    pool.wait_ok(first)
    moved = socket.create_server(("127.0.0.1", 0))
    pool.request(address=Address(*moved.getsockname()))
    peers[0].run_until(lambda: peers[0].is_closed)
    assert pool.connections == 2
    assert pool.failures_of(second) == []
    # A note that lowers the share closes what is idle above it.
    peers[1].send(OK)
    pool.wait_ok(second)
    servers = MappingProxyType({"server": server._replace(connections=24)})
    pool.send(ConfigurationChanged(configuration._replace(servers=servers)))
    assert pool.connections == 1
    moved.close()


def test_connection_to_an_old_address_is_not_used(pool, peer):
    """Guards against requests to an address that a note has replaced."""
    moved = socket.create_server(("127.0.0.1", 0))
    pool.request(address=Address(*moved.getsockname()))
    settle(pool.kernel)
    assert pool.connections == 2
    moved.close()


def test_idle_connections_are_closed(pool, peer):
    """Guards against requests on connections that the server drops."""
    pool.wait(IDLE_AGE_MS)
    assert pool.connections == 1
    pool.wait(1000)
    assert pool.connections == 0
    pool.serve_new()
    assert pool.connections == 1
    pool.send(ConfigurationChanged(EMPTY_CONFIGURATION))
    assert pool.connections == 0
