"""
Bytes without end at every place other than the requests of callers.

Callers may send without end, and so may the servers that answer load probes,
health checks, calls to the store and pulls of other instances. Each has to be
cut off after a bounded number of bytes, and a trickle after a bounded time.
"""

import tracemalloc
from functools import partial

import pytest

from cuminhatch import ManualClock
from cuminhatch.kernel import Kernel
from cuminhatch.messages import Address, HttpFailed, HttpReplied, HttpRequested
from cuminhatch.messages.http_client import PROBE_RESPONSE_MAX_BYTES
from cuminhatch.services import HttpClient
from cuminhatch.services.http_client import MAX_RESPONSE_BYTES
from tests.services._loopback import Peer, run_until
from tests.services.listener_harness import CHUNKED, POST, Harness
from tests.services.test_backend_probes import ProbeHarness
from tests.support import Recorder, run_ticks

TIMEOUT_MS = 400.0
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Start of a response, and what follows it without end.
RESPONSES = {
    "status line": (b"HTTP/1.1 200 ", b"OK"),
    "empty lines": (b"", b"\r\n"),
    "header line": (HEAD + b"x: ", b"y"),
    "headers": (HEAD, b"x: y\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 Early\r\n\r\n"),
    "garbage": (b"", b"\x00\xff?"),
    "chunk size": (CHUNKED_HEAD, b"0"),
    "chunk extension": (CHUNKED_HEAD + b"1;", b"x"),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"x: y\r\n"),
    "no length": (HEAD + b"\r\n", b"x" * 1000),
    "chunks": (CHUNKED_HEAD, b"400\r\n" + b"x" * 0x400 + b"\r\n"),
    "huge length": (HEAD + b"Content-Length: 999999999999\r\n\r\n", b"x" * 1000),
    "failure": (b"HTTP/1.1 503 X\r\n\r\n", b"x" * 1000),
}
REQUESTS = {
    "request line": (b"GET /", b"x"),
    "empty lines": (b"", b"\r\n"),
    "header line": (POST + b"x: ", b"y"),
    "headers": (POST, b"x: y\r\n"),
    "garbage": (b"", b"\x00\xff?"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"x: y\r\n"),
}
BLOCK_BYTES = 64 * 1024
# Beyond the limit of a body, what the parser and the socket hold at a time.
# Longer than the listener takes to time out and to close a connection.
FLOOD_MS = 20_000.0
MEMORY_MARGIN_BYTES = 2 * 1024 * 1024


class ProbedServer(ProbeHarness):
    """A server that answers load probes."""

    limit_bytes = PROBE_RESPONSE_MAX_BYTES

    def start(self):
        self.probe()
        return self.accept()


class ClientHarness:
    """A server that the HTTP client calls, as for the store."""

    limit_bytes = MAX_RESPONSE_BYTES
    response_max_bytes = None

    def __init__(self):
        self.server = ProbeHarness()
        self.sock, address = self.server.sock, self.server.address
        self.address = Address(*address)
        self.kernel = Kernel(ManualClock())
        self.kernel.register(HttpClient(self.kernel))
        requester = Recorder(self.kernel, "requester", HttpReplied, HttpFailed)
        self.replies = self.kernel.register(requester).received
        self.kernel.open()

    def start(self):
        request = HttpRequested(
            "requester",
            1,
            self.address,
            b"GET",
            b"/x",
            (),
            b"",
            TIMEOUT_MS,
            is_retryable=False,
            response_max_bytes=self.response_max_bytes,
        )
        self.kernel.send("http_client", request)
        run_ticks(self.kernel, 3)
        return Peer(self.kernel, self.sock.accept()[0])

    def advance(self, ms):
        self.kernel.clock.advance(ms)
        run_ticks(self.kernel, 3)

    def take_reply(self):
        run_until(self.kernel, lambda: self.replies)
        return self.replies.pop()


class HealthChecked(ClientHarness):
    """A server that answers periodic health checks."""

    limit_bytes = response_max_bytes = PROBE_RESPONSE_MAX_BYTES


@pytest.fixture(params=[ProbedServer, ClientHarness, HealthChecked])
def client(request):
    client = request.param()
    yield client
    client.sock.close()


def flood(peer, data, limit_bytes, has_ended):
    """Send the same bytes until the other side gives up; return the peak."""
    block = data * (BLOCK_BYTES // len(data) + 1)
    sent = 0
    tracemalloc.start()
    try:
        while not has_ended():
            assert sent < 2 * limit_bytes + 4 * MEMORY_MARGIN_BYTES, "no end"
            peer.send(block)
            peer.kernel.tick(0)
            sent += len(block)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("kind", RESPONSES)
def test_flood_in_a_response_is_cut_off(client, kind):
    """Guards against memory that grows with what a server sends."""
    begin, repeated = RESPONSES[kind]
    peer = client.start()
    peer.run_until(lambda: peer.received)
    peer.send(begin)
    peak_bytes = flood(
        peer, repeated, client.limit_bytes, partial(bool, client.replies)
    )
    assert type(client.take_reply()) is HttpFailed
    peer.run_until(lambda: peer.is_closed)
    assert peak_bytes < 1.5 * client.limit_bytes + MEMORY_MARGIN_BYTES


@pytest.mark.parametrize("kind", RESPONSES)
def test_trickle_in_a_response_ends_at_the_timeout(client, kind):
    """Guards against a call that lasts as long as the server sends."""
    begin, repeated = RESPONSES[kind]
    peer = client.start()
    peer.run_until(lambda: peer.received)
    peer.send(begin)
    for _ in range(8):
        peer.send(repeated[:1])
        client.advance(TIMEOUT_MS / 8)
    assert type(client.take_reply()) is HttpFailed
    peer.run_until(lambda: peer.is_closed)


@pytest.mark.parametrize("kind", REQUESTS)
def test_flood_in_a_request_is_cut_off(kind):
    """Guards against memory that grows with what a caller sends."""
    harness = Harness()
    harness.target.is_echoing = False
    begin, repeated = REQUESTS[kind]
    peer = harness.connect(begin)
    flooded_ms = harness.kernel.clock.now_ms + FLOOD_MS

    def has_ended():
        # The listener reads on for a while, so that the refusal arrives.
        harness.kernel.clock.advance(FLOOD_MS / 100)
        return harness.kernel.clock.now_ms > flooded_ms

    peak_bytes = flood(peer, repeated, 8 * MEMORY_MARGIN_BYTES, has_ended)
    assert peak_bytes < MEMORY_MARGIN_BYTES
    assert not harness.listener.connection_count


@pytest.mark.parametrize("kind", REQUESTS)
def test_trickle_in_a_request_ends_at_a_limit(kind):
    """Guards against a connection that a caller holds by a byte at a time."""
    harness = Harness()
    harness.target.is_echoing = False
    begin, repeated = REQUESTS[kind]
    peer = harness.connect(begin)

    def has_limit():
        # The deadline of a request that is forwarded ends it.
        return harness.target.messages or not harness.listener.connection_count

    while not has_limit():
        assert harness.kernel.clock.now_ms < FLOOD_MS
        peer.send(repeated[:1])
        harness.advance(0)
