"""Tests of the HTTP client against a server made of plain sockets."""

import socket
from select import select

import pytest

from cuminhatch import ManualClock
from cuminhatch.kernel import Kernel
from cuminhatch.messages import Address, HttpFailed, HttpReplied, HttpRequested
from cuminhatch.services import HttpClient
from cuminhatch.services.http_client import (
    IDLE_TIMEOUT_MS,
    MAX_CONNECTIONS_PER_ADDRESS,
    MAX_WAITING_PER_ADDRESS,
    SWEEP_INTERVAL_MS,
)
from tests.support import Recorder, refusing_address, run_ticks, run_until

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"
TIMEOUT_MS = 1000.0


class Harness:
    """A client, its kernel with a manual clock, and a listening socket."""

    def __init__(self):
        self.kernel = Kernel(ManualClock())
        self.client = HttpClient(self.kernel, max_response_bytes=1000)
        self.kernel.register(self.client)
        requester = Recorder(self.kernel, "requester", HttpReplied, HttpFailed)
        self.replies = self.kernel.register(requester).received
        self.kernel.open()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self.server.getsockname())
        self.accepted = []

    def send(
        self,
        token,
        method=b"GET",
        body=b"",
        address=None,
        timeout_ms=TIMEOUT_MS,
        **options,
    ):
        request = ("requester", token, address or self.address, method, b"/x", (), body)
        self.kernel.send("http_client", HttpRequested(*request, timeout_ms, **options))

    def request(self, *arguments, **options):
        self.send(*arguments, **options)
        run_ticks(self.kernel, 3)

    def begin(self, token):
        """Send a request on a new connection and return its server end."""
        self.request(token)
        connection = self.accept()
        self.receive(connection)
        return connection

    @property
    def connection_count(self):
        return self.client.connection_count(self.address)

    def wait_readable(self, sock):
        run_until(self.kernel, lambda: select([sock], [], [], 0)[0])

    def accept(self):
        self.wait_readable(self.server)
        connection, _ = self.server.accept()
        self.accepted.append(connection)
        return connection

    def receive(self, connection):
        self.wait_readable(connection)
        return connection.recv(4096)

    def next_reply(self):
        run_until(self.kernel, lambda: self.replies)
        return self.replies.pop(0)

    def advance(self, ms):
        self.kernel.clock.advance(ms)
        run_ticks(self.kernel, 3)


@pytest.fixture
def harness():
    harness = Harness()
    yield harness
    for connection in (*harness.accepted, harness.server):
        connection.close()


def exchange(harness, token):
    connection = harness.begin(token)
    connection.sendall(OK)
    assert harness.next_reply() == HttpReplied(token, 200, (), b"hi")
    return connection


def test_connection_is_reused_and_body_parts_are_joined(harness):
    """Guards against truncated responses and a connection per request."""
    connection = exchange(harness, 1)
    harness.request(2, b"POST", b"abc")
    data = harness.receive(connection)
    assert data.startswith(b"POST /x HTTP/1.1\r\nhost: 127.0.0.1:")
    assert data.endswith(b"content-length: 3\r\n\r\nabc")
    head = b"HTTP/1.1 201 Created\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"
    connection.sendall(head)
    run_ticks(harness.kernel, 3)
    connection.sendall(b"1\r\nd\r\n0\r\n\r\n")
    assert harness.next_reply() == HttpReplied(2, 201, (), b"abcd")


def test_refused_connection_is_reported_as_not_sent(harness):
    """Guards against an unknown outcome of a request that was never sent."""
    with refusing_address() as address:
        harness.request(1, b"POST", b"abc", address)
        reply = harness.next_reply()
    assert (reply.token, reply.is_sent) == (1, False)


@pytest.mark.parametrize("address", [("a\0b", 80), ("10.0.0.1", 70_000)])
def test_address_that_cannot_be_connected_to_fails_the_request(harness, address):
    """Guards against a reply that never comes after a handler has failed."""
    harness.request(1, address=Address(*address))
    assert harness.next_reply() == HttpFailed(1, "no connection", False)


def test_lost_connection_counts_as_sent_and_post_is_not_retried(harness):
    """Guards against a transaction that is sent twice."""
    connection = exchange(harness, 1)
    harness.request(2, b"POST", b"abc")
    harness.receive(connection)
    connection.close()
    assert harness.next_reply() == HttpFailed(2, "connection closed", True)
    assert harness.connection_count == 0


def test_get_on_reused_connection_is_retried_once(harness):
    """Guards against reads that fail when a server closes idle connections."""
    connection = exchange(harness, 1)
    harness.request(2)
    harness.receive(connection)
    connection.close()
    second = harness.accept()
    assert harness.receive(second).startswith(b"GET /x")
    second.close()
    assert harness.next_reply() == HttpFailed(2, "connection closed", True)


def test_get_that_is_not_repeatable_is_not_retried(harness):
    """Guards against a probe that reaches a backend server twice."""
    connection = exchange(harness, 1)
    harness.request(2, is_retryable=False)
    harness.receive(connection)
    connection.close()
    assert harness.next_reply() == HttpFailed(2, "connection closed", True)


def test_timeout_closes_silent_connections(harness):
    """Guards against a pool whose connections are all dead."""
    first = exchange(harness, 1)
    harness.request(2)
    harness.request(3)
    second = harness.accept()
    harness.receive(second)
    second.sendall(OK)
    assert harness.next_reply().token == 3
    harness.advance(TIMEOUT_MS)
    assert harness.next_reply() == HttpFailed(2, "timeout", True)
    assert harness.receive(first).startswith(b"GET /x")
    assert harness.receive(first) == b""
    assert harness.receive(second) == b""
    exchange(harness, 4)


def test_timeout_applies_to_a_slow_response(harness):
    """Guards against a response that is sent byte by byte without end."""
    connection = harness.begin(1)
    for byte in OK[:10]:
        connection.sendall(bytes([byte]))
        harness.advance(TIMEOUT_MS / 10)
    assert harness.next_reply() == HttpFailed(1, "timeout", True)


@pytest.mark.parametrize(
    ("response", "reason"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 1001, "response too large"),
        (b"HTTP/1.1 2x0 OK\r\n\r\n", "malformed response"),
    ],
)
def test_bad_response_fails_and_closes_the_connection(harness, response, reason):
    """Guards against unbounded memory and reuse after a framing error."""
    connection = harness.begin(1)
    connection.sendall(response)
    assert harness.next_reply() == HttpFailed(1, reason, True)
    assert harness.connection_count == 0


@pytest.mark.parametrize("is_idle", [False, True])
def test_second_copy_of_a_response_closes_the_connection(harness, is_idle):
    """Guards against a late copy that is taken for the next response."""
    connection = harness.begin(1)
    connection.sendall(OK if is_idle else OK + OK[:10])
    assert harness.next_reply() == HttpReplied(1, 200, (), b"hi")
    if is_idle:
        # The copy has arrived, but the kernel has not read it yet.
        connection.sendall(OK)
    else:
        assert harness.connection_count == 0
    exchange(harness, 2)


def test_response_limit_of_a_request_applies(harness):
    """Guards against health checks that fill the memory."""
    harness.request(1, response_max_bytes=10)
    connection = harness.accept()
    harness.receive(connection)
    connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 11)
    assert harness.next_reply() == HttpFailed(1, "response too large", True)


def test_connections_are_limited_and_waiting_requests_are_not_sent(harness):
    """Guards against a slow server that uses up all file descriptors."""
    for token in range(MAX_CONNECTIONS_PER_ADDRESS + MAX_WAITING_PER_ADDRESS):
        harness.request(token)
    assert harness.connection_count == MAX_CONNECTIONS_PER_ADDRESS
    harness.request(999)
    assert harness.next_reply() == HttpFailed(999, "too many requests waiting", False)
    connection = harness.accept()
    harness.receive(connection)
    connection.sendall(OK)
    assert isinstance(harness.next_reply(), HttpReplied)
    # The freed connection serves the first request that waited.
    assert harness.receive(connection).startswith(b"GET /x")
    harness.advance(TIMEOUT_MS)
    run_until(harness.kernel, lambda: len(harness.replies) == 271)
    sent = [reply.is_sent for reply in harness.replies]
    assert sent.count(True) == MAX_CONNECTIONS_PER_ADDRESS


def test_many_refused_connections_do_not_recurse(harness):
    """Guards against one level of recursion per waiting request."""
    count = MAX_CONNECTIONS_PER_ADDRESS + MAX_WAITING_PER_ADDRESS
    with refusing_address() as address:
        for token in range(count):
            harness.send(token, address=address)
        run_until(harness.kernel, lambda: len(harness.replies) == count)
    assert not any(reply.is_sent for reply in harness.replies)


def test_request_whose_timeout_is_zero_is_not_sent(harness):
    """Guards against sending a request that can only time out."""
    harness.send(1, b"POST", b"abc", timeout_ms=0.0)
    assert harness.next_reply() == HttpFailed(1, "timeout", False)
    assert harness.connection_count == 0


def test_old_idle_connection_is_closed(harness):
    """Guards against requests on a connection that the server is closing."""
    connection = exchange(harness, 1)
    harness.advance(IDLE_TIMEOUT_MS + SWEEP_INTERVAL_MS)
    assert harness.receive(connection) == b""
    assert harness.connection_count == 0
