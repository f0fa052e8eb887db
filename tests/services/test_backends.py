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
    AttemptCancelled,
    AttemptFailed,
    AttemptReadPaused,
    AttemptReadResumed,
    AttemptRequestBody,
    AttemptRequested,
    AttemptResponse,
    AttemptResponseBody,
    AttemptWriteResumed,
    AttemptWriteStalled,
    ConfigurationChanged,
)
from cuminhatch.messages.attempts import ATTEMPT_WITHDRAWN, UnsentAttemptWithdrawn
from cuminhatch.services._stream import RESET_ON_CLOSE, Stream
from cuminhatch.services.backends import IDLE_TIMEOUT_MS, BackendConnections
from tests.services._loopback import Peer, run_until
from tests.support import Recorder, run_ticks

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TIMEOUT_MS = 1000.0


REPORTS = (
    AttemptResponse,
    AttemptResponseBody,
    AttemptFailed,
    AttemptWriteStalled,
    AttemptWriteResumed,
)


class Harness:
    """A kernel with the service, and a listening socket as its server."""

    def __init__(self):
        self.kernel = Kernel(ManualClock())
        dispatch = self.kernel.register(Recorder(self.kernel, "dispatch", *REPORTS))
        self.messages = dispatch.received
        self.backends = self.kernel.register(BackendConnections(self.kernel))
        self.kernel.open()
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = Address(*self.sock.getsockname())
        self.next_id = 0

    @property
    def connections(self):
        return self.backends.connection_count("server")

    def find_messages(self, attempt_id, kind):
        found = [m for m in self.messages if m.attempt_id == attempt_id]
        return [m for m in found if type(m) is kind]

    def failures_of(self, attempt_id):
        return self.find_messages(attempt_id, AttemptFailed)

    def body_of(self, attempt_id):
        parts = self.find_messages(attempt_id, AttemptResponse) + self.find_messages(
            attempt_id, AttemptResponseBody
        )
        return b"".join(part.data for part in parts)

    def wait_for_ok(self, attempt_id):
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
        run_ticks(self.kernel, 3)

    def serve_on_new_connection(self):
        attempt_id = self.request()
        peer = self.accept()
        peer.run_until(lambda: peer.received)
        peer.send(OK)
        self.wait_for_ok(attempt_id)
        return peer

    def serve(self, peer, data=OK, step=0, **changes):
        """Run one attempt on the connection of a peer."""
        attempt_id = self.request(**changes)
        peer.received = b""
        peer.run_until(lambda: b"\r\n\r\n" in peer.received)
        peer.send(data, step)
        run_ticks(self.kernel)
        return attempt_id

    def advance(self, ms):
        self.kernel.clock.advance(ms)
        run_ticks(self.kernel)


@pytest.fixture
def harness():
    harness = Harness()
    yield harness
    harness.sock.close()


@pytest.fixture
def peer(harness):
    """Return the server end of a connection that is idle in the pool."""
    peer = harness.serve_on_new_connection()
    yield peer
    peer.sock.close()


@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize(
    ("data", "body", "is_reused"),
    [
        (OK, b"ok", True),
        (b"HTTP/1.1 100 Go on\r\n\r\n" + OK, b"ok", True),
        (OK + b"surplus", b"ok", False),
        (OK + OK, b"ok", False),
        (OK.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"), b"ok", False),
        (CHUNKED + b"1\r\no\r\n1;x=y\r\nk\r\n0\r\nX: y\r\n\r\n", b"ok", True),
    ],
)
def test_complete_response_is_reported(harness, peer, data, body, is_reused, step):
    """Guards against wrong or swapped responses on a reused connection."""
    attempt_id = harness.serve(peer, data, step)
    assert harness.body_of(attempt_id) == body
    last = harness.messages[-1]
    assert last.attempt_id == attempt_id and last.is_complete
    assert harness.connections == is_reused
    if is_reused:
        assert harness.body_of(harness.serve(peer)) == b"ok"
    assert harness.failures_of(attempt_id) == []


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
def test_response_ended_by_close(harness, peer, data, is_complete):
    """Guards against a truncated response that is reported as complete."""
    attempt_id = harness.serve(peer, data)
    peer.sock.close()
    run_until(harness.kernel, lambda: harness.connections == 0)
    run_ticks(harness.kernel)
    failures = harness.failures_of(attempt_id)
    if is_complete:
        assert failures == []
        assert harness.messages[-1].is_complete
    else:
        assert failures == [AttemptFailed(attempt_id, "connection closed", True, True)]
        assert not any(
            m.is_complete
            for m in harness.find_messages(attempt_id, AttemptResponseBody)
        )


def test_refused_connection_is_reported_as_not_sent(harness):
    """Guards against an unsent request reported as sent, so not retried."""
    harness.sock.close()
    attempt_id = harness.request()
    run_until(harness.kernel, lambda: harness.messages)
    failed = AttemptFailed(attempt_id, "connection refused", False, False)
    assert harness.messages == [failed]
    assert harness.connections == 0


def test_bytes_before_the_request_answer_nothing(harness, monkeypatch):
    """Guards against a response that was written before its request."""
    monkeypatch.setattr(Stream, "write", lambda stream, data: None)
    attempt_id = harness.request()
    peer = harness.accept()
    peer.send(OK)
    run_until(harness.kernel, lambda: harness.failures_of(attempt_id))
    [failed] = harness.failures_of(attempt_id)
    assert (failed.reason, failed.is_sent) == ("unsolicited data", False)
    assert not harness.body_of(attempt_id)
    peer.run_until(lambda: peer.is_closed)


def test_rejected_response_closes_its_idle_connection(harness, peer):
    """Guards against a connection on which the own response may still come."""
    attempt_id = harness.serve(peer)
    assert harness.connections == 1
    harness.send(AttemptCancelled(attempt_id))
    assert harness.connections == 0
    peer.run_until(lambda: peer.is_closed)


@pytest.mark.parametrize("address", [("a\0b", 80), ("10.0.0.1", 70_000), ("", -1)])
def test_address_that_cannot_be_connected_to_fails_the_attempt(harness, address):
    """Guards against a request that hangs after an error of its handler."""
    attempt_id = harness.request(address=Address(*address))
    run_ticks(harness.kernel, 3)
    [failed] = harness.failures_of(attempt_id)
    assert (failed.reason, failed.is_sent) == ("connection failed", False)
    assert harness.connections == 0


def test_timeout_on_reused_connection_is_reported_and_a_new_one_works(harness, peer):
    """Guards against one dead connection that counts against its server."""
    attempt_id = harness.request()
    run_ticks(harness.kernel)
    harness.advance(TIMEOUT_MS - 1)
    assert harness.failures_of(attempt_id) == []
    harness.advance(1)
    failed = AttemptFailed(attempt_id, "timeout", True, True)
    assert harness.failures_of(attempt_id) == [failed]
    again = harness.request(is_new_connection_required=True)
    new_peer = harness.accept()
    new_peer.send(OK)
    harness.wait_for_ok(again)


def test_connection_in_use_a_moment_ago_is_used_again(harness):
    """Guards against a new connection for each request that may run once."""
    peer = harness.serve_on_new_connection()
    harness.advance(49)
    harness.serve(peer, idle_max_ms=50.0)


def test_connection_that_was_idle_for_longer_is_not_used(harness):
    """Guards against a request lost on a connection that is closing."""
    harness.serve_on_new_connection()
    harness.advance(51)
    attempt_id = harness.request(idle_max_ms=50.0)
    new_peer = harness.accept()
    new_peer.run_until(lambda: new_peer.received)
    new_peer.send(OK)
    harness.wait_for_ok(attempt_id)


@pytest.mark.parametrize("data", [b"", b"HTTP/1.1 408 Request Timeout\r\n\r\n"])
def test_closed_idle_connection_is_not_reused(harness, peer, data):
    """Guards against a stale message taken for the response to a request."""
    if data:
        peer.sock.send(data)
    peer.sock.shutdown(socket.SHUT_WR)
    attempt_id = harness.request()
    new_peer = harness.accept()
    new_peer.run_until(lambda: new_peer.received)
    new_peer.send(OK)
    harness.wait_for_ok(attempt_id)
    assert harness.failures_of(attempt_id) == []


def test_timeout_restarts_with_each_part_of_a_response(harness, peer):
    """Guards against long downloads that the head's timeout cuts off."""
    attempt_id = harness.serve(peer, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
    for _ in range(8):
        harness.advance(TIMEOUT_MS - 1)
        peer.send(b"x")
        run_ticks(harness.kernel)
    assert harness.failures_of(attempt_id) == []
    harness.advance(TIMEOUT_MS)
    failures = harness.failures_of(attempt_id)
    assert [failed.reason for failed in failures] == ["timeout"]


def test_slow_caller_does_not_time_out_the_server(harness, peer):
    """Guards against servers ejected because of slow callers."""
    attempt_id = harness.request(b"POST", body_length=3, data=b"a", is_complete=False)
    run_ticks(harness.kernel)
    harness.advance(10 * TIMEOUT_MS)
    harness.send(AttemptRequestBody(attempt_id, b"bc", True))
    peer.run_until(lambda: peer.received.endswith(b"abc"))
    peer.send(OK[:-1])
    run_ticks(harness.kernel)
    harness.send(AttemptReadPaused(attempt_id))
    peer.send(OK[-1:])
    harness.advance(10 * TIMEOUT_MS)
    assert harness.body_of(attempt_id) == b"o"
    harness.send(AttemptReadResumed(attempt_id))
    harness.wait_for_ok(attempt_id)
    assert harness.failures_of(attempt_id) == []


def test_large_request_stalls_and_arrives_complete(harness, peer):
    """Guards against uploads that fill the memory or lose parts."""
    part, sent = bytes(range(256)) * 256, 0
    peer.received = b""
    attempt_id = harness.request(
        b"POST", body_length=None, data=b"", is_complete=False, timeout_ms=1e9
    )
    while not harness.find_messages(attempt_id, AttemptWriteStalled):
        harness.send(AttemptRequestBody(attempt_id, part, False))
        sent += 1
    harness.send(AttemptRequestBody(attempt_id, b"", True))
    peer.run_until(lambda: harness.find_messages(attempt_id, AttemptWriteResumed))
    peer.run_until(lambda: peer.received.endswith(b"\r\n0\r\n\r\n"))
    body = peer.received.partition(b"\r\n\r\n")[2]
    assert body == (b"10000\r\n" + part + b"\r\n") * sent + b"0\r\n\r\n"


def test_early_response_to_a_request_still_being_sent_is_reported(harness, peer):
    """Guards against a refusal that is lost when the upload fails."""
    attempt_id = harness.request(b"POST", body_length=1 << 30, is_complete=False)
    peer.run_until(lambda: b"content-length: 1073741824\r\n" in peer.received)
    peer.sock.send(OK)
    peer.sock.close()
    for _ in range(3):
        harness.kernel.send(
            "backends", AttemptRequestBody(attempt_id, b"x" * 1000, False)
        )
    harness.wait_for_ok(attempt_id)
    assert harness.connections == 0


@pytest.mark.parametrize(
    ("data", "is_complete"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\nok", False),
        (OK, True),
        (CHUNKED + b"2\r\nok\r\n0\r\n\r\n", True),
        (OK[:-1], False),
    ],
    ids=["until close", "length", "chunked", "length cut"],
)
def test_reset_that_a_write_meets_first_proves_no_end(harness, peer, data, is_complete):
    """
    Guards against a broken-off response that passes for complete (MIXED).

    The failed write takes the reset off the socket, so the next read ends as
    if the server had closed the connection.
    """
    attempt_id = harness.request(b"POST", body_length=1 << 30, is_complete=False)
    peer.run_until(lambda: b"content-length: 1073741824\r\n" in peer.received)
    peer.sock.send(data)
    peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.sock.close()
    part = AttemptRequestBody(attempt_id, b"x" * 1000, False)
    for _ in range(2):
        # Delivered before the socket is read.
        harness.kernel.send("backends", part)
    run_until(harness.kernel, lambda: harness.connections == 0)
    run_ticks(harness.kernel)
    reports = harness.find_messages(attempt_id, AttemptResponse)
    reports += harness.find_messages(attempt_id, AttemptResponseBody)
    assert any(m.is_complete for m in reports) == is_complete
    assert bool(harness.failures_of(attempt_id)) != is_complete


def test_connection_is_not_used_again_after_an_early_response(harness, peer):
    """Guards against a request where the rest of a body is due (UNASKED)."""
    attempt_id = harness.request(
        b"POST", body_length=1000, data=b"x" * 10, is_complete=False
    )
    peer.run_until(lambda: peer.received.endswith(b"x" * 10))
    peer.sock.send(OK)
    harness.wait_for_ok(attempt_id)
    peer.run_until(lambda: peer.is_closed)
    assert harness.connections == 0


def test_connection_is_not_kept_if_a_part_of_the_body_was_dropped(harness, peer):
    """
    Guards against a request where the rest of a body is due (UNASKED).

    The failed write discards the rest, so nothing is pending any more when the
    early response is read.
    """
    attempt_id = harness.request(
        b"POST", body_length=1 << 24, data=b"x" * (1 << 24), is_complete=True
    )
    peer.run_until(lambda: b"content-length: 16777216\r\n" in peer.received)
    connection = harness.backends._find(attempt_id)
    assert connection.stream.pending_bytes
    peer.sock.send(OK)
    peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.sock.close()
    connection.stream._flush()
    assert not connection.stream.pending_bytes
    connection.stream.read()
    assert connection.is_closed
    harness.wait_for_ok(attempt_id)


def test_cancelled_attempt_closes_its_connection(harness, peer):
    """Guards against servers that work on cancelled requests."""
    attempt_id = harness.request()
    run_ticks(harness.kernel)
    harness.send(AttemptCancelled(attempt_id))
    peer.run_until(lambda: peer.is_closed)
    assert harness.connections == 0
    assert harness.failures_of(attempt_id) == []


def test_limit_counts_busy_and_idle_connections():
    """Guards against more connections to a server than the share allows."""
    harness = Harness()
    server = BackendServer("server", "s", *harness.address, "a", 3, 48)
    configuration = EMPTY_CONFIGURATION._replace(
        sequence=1,
        services=MappingProxyType({"s": ServiceSpec("s")}),
        servers=MappingProxyType({"server": server}),
    )
    harness.send(ConfigurationChanged(configuration))
    first, second = harness.request(), harness.request()
    peers = [harness.accept(), harness.accept()]
    third = harness.request()
    run_ticks(harness.kernel)
    failed = AttemptFailed(third, "connection limit", False, False)
    assert harness.messages == [failed]
    peers[0].send(OK)
    harness.wait_for_ok(first)
    moved = socket.create_server(("127.0.0.1", 0))
    harness.request(address=Address(*moved.getsockname()))
    peers[0].run_until(lambda: peers[0].is_closed)
    assert harness.connections == 2
    assert harness.failures_of(second) == []
    # A configuration that lowers this instance's share of the connections
    # closes the idle ones above it.
    peers[1].send(OK)
    harness.wait_for_ok(second)
    servers = MappingProxyType({"server": server._replace(connections=24)})
    harness.send(ConfigurationChanged(configuration._replace(servers=servers)))
    assert harness.connections == 1
    moved.close()


def test_connection_to_an_old_address_is_not_used(harness, peer):
    """Guards against requests to an address that a server no longer has."""
    moved = socket.create_server(("127.0.0.1", 0))
    harness.request(address=Address(*moved.getsockname()))
    run_ticks(harness.kernel)
    assert harness.connections == 2
    moved.close()


def test_idle_connections_are_closed(harness, peer):
    """Guards against requests on connections that the server closes."""
    harness.advance(IDLE_TIMEOUT_MS)
    assert harness.connections == 1
    harness.advance(1000)
    assert harness.connections == 0
    harness.serve_on_new_connection()
    assert harness.connections == 1
    harness.send(ConfigurationChanged(EMPTY_CONFIGURATION))
    assert harness.connections == 0


def withdraw(harness, attempt_id):
    harness.kernel.send("backends", UnsentAttemptWithdrawn(attempt_id))
    run_ticks(harness.kernel)


def test_attempt_is_withdrawn_while_its_connection_opens(harness):
    """Guards against a request that is sent once a lost packet is repeated."""
    # With a full backlog the system drops the first packet of a connection.
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = Address(*listener.getsockname())
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(address)
    attempt_id = harness.request(address=address)
    run_ticks(harness.kernel)
    assert not harness.failures_of(attempt_id)
    withdraw(harness, attempt_id)
    (failed,) = harness.failures_of(attempt_id)
    assert (failed.reason, failed.is_sent) == (ATTEMPT_WITHDRAWN, False)
    assert harness.connections == 0
    for sock in (listener, *fillers):
        sock.close()


def test_attempt_that_was_sent_is_not_withdrawn(harness):
    """Guards against a request that counts as not run, and runs."""
    attempt_id = harness.request()
    peer = harness.accept()
    peer.run_until(lambda: peer.received)
    withdraw(harness, attempt_id)
    assert not harness.failures_of(attempt_id)
    peer.send(OK)
    harness.wait_for_ok(attempt_id)
