"""Tests of the HTTP client against a server of plain sockets."""

import socket
from select import select

import pytest

from cuminhatch import ManualClock
from cuminhatch.kernel import Kernel
from cuminhatch.messages import Address, HttpFailed, HttpReplied, HttpRequested
from cuminhatch.services import HttpClient
from cuminhatch.services.http_client import (
    IDLE_AGE_MS,
    MAX_CONNECTIONS_PER_ADDRESS,
    MAX_WAITING_PER_ADDRESS,
    SWEEP_INTERVAL_MS,
)
from tests.support import Recorder, refusing_address, run_until, settle

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"
TIMEOUT_MS = 1000.0


class Bed:
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
        **more,
    ):
        request = ("requester", token, address or self.address, method, b"/x", (), body)
        self.kernel.send("http_client", HttpRequested(*request, timeout_ms, **more))

    def request(self, *arguments, **more):
        self.send(*arguments, **more)
        settle(self.kernel, 3)

    def begin(self, token):
        """Send a request on a new connection, which is returned."""
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

    def pass_time(self, ms):
        self.kernel.clock.advance(ms)
        settle(self.kernel, 3)


@pytest.fixture
def bed():
    bed = Bed()
    yield bed
    for connection in (*bed.accepted, bed.server):
        connection.close()


def exchange(bed, token):
    connection = bed.begin(token)
    connection.sendall(OK)
    assert bed.next_reply() == HttpReplied(token, 200, (), b"hi")
    return connection


def test_connection_is_kept_and_parts_are_joined(bed):
    """Guards against a response cut short and a connection per request."""
    connection = exchange(bed, 1)
    bed.request(2, b"POST", b"abc")
    data = bed.receive(connection)
    assert data.startswith(b"POST /x HTTP/1.1\r\nhost: 127.0.0.1:")
    assert data.endswith(b"content-length: 3\r\n\r\nabc")
    head = b"HTTP/1.1 201 Created\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"
    connection.sendall(head)
    settle(bed.kernel, 3)
    connection.sendall(b"1\r\nd\r\n0\r\n\r\n")
    assert bed.next_reply() == HttpReplied(2, 201, (), b"abcd")


def test_refused_connection_is_not_sent(bed):
    """Guards against a keyed request that is unknown without need."""
    with refusing_address() as address:
        bed.request(1, b"POST", b"abc", address)
        reply = bed.next_reply()
    assert (reply.token, reply.is_sent) == (1, False)


def test_lost_connection_counts_as_sent_and_post_is_not_repeated(bed):
    """Guards against a transaction that is sent twice."""
    connection = exchange(bed, 1)
    bed.request(2, b"POST", b"abc")
    bed.receive(connection)
    connection.close()
    assert bed.next_reply() == HttpFailed(2, "connection closed", True)
    assert bed.connection_count == 0


def test_get_on_reused_connection_is_repeated_once(bed):
    """Guards against reads that fail as the server closes an idle one."""
    connection = exchange(bed, 1)
    bed.request(2)
    bed.receive(connection)
    connection.close()
    second = bed.accept()
    assert bed.receive(second).startswith(b"GET /x")
    second.close()
    assert bed.next_reply() == HttpFailed(2, "connection closed", True)


def test_get_that_is_not_repeatable_is_sent_once(bed):
    """Guards against a probe that reaches a backend server twice."""
    connection = exchange(bed, 1)
    bed.request(2, is_repeatable=False)
    bed.receive(connection)
    connection.close()
    assert bed.next_reply() == HttpFailed(2, "connection closed", True)


def test_deadline_closes_silent_connections(bed):
    """Guards against a pool in which every connection is silent."""
    first = exchange(bed, 1)
    bed.request(2)
    bed.request(3)
    second = bed.accept()
    bed.receive(second)
    second.sendall(OK)
    assert bed.next_reply().token == 3
    bed.pass_time(TIMEOUT_MS)
    assert bed.next_reply() == HttpFailed(2, "timeout", True)
    assert bed.receive(first).startswith(b"GET /x")
    assert bed.receive(first) == b""
    assert bed.receive(second) == b""
    exchange(bed, 4)


def test_deadline_bounds_a_response_that_trickles(bed):
    """Guards against a store that holds a request by single bytes."""
    connection = bed.begin(1)
    for byte in OK[:10]:
        connection.sendall(bytes([byte]))
        bed.pass_time(TIMEOUT_MS / 10)
    assert bed.next_reply() == HttpFailed(1, "timeout", True)


@pytest.mark.parametrize(
    ("response", "reason"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 1001, "response too large"),
        (b"HTTP/1.1 2x0 OK\r\n\r\n", "malformed response"),
    ],
)
def test_bad_response_fails_and_closes(bed, response, reason):
    """Guards against unbounded memory and a connection out of step."""
    connection = bed.begin(1)
    connection.sendall(response)
    assert bed.next_reply() == HttpFailed(1, reason, True)
    assert bed.connection_count == 0


def test_connections_are_capped_and_waiting_requests_are_not_sent(bed):
    """Guards against a slow store that takes all file descriptors."""
    for token in range(MAX_CONNECTIONS_PER_ADDRESS + MAX_WAITING_PER_ADDRESS):
        bed.request(token)
    assert bed.connection_count == MAX_CONNECTIONS_PER_ADDRESS
    bed.request(999)
    assert bed.next_reply() == HttpFailed(999, "too many requests waiting", False)
    connection = bed.accept()
    bed.receive(connection)
    connection.sendall(OK)
    assert isinstance(bed.next_reply(), HttpReplied)
    # The freed connection serves the first request that waited.
    assert bed.receive(connection).startswith(b"GET /x")
    bed.pass_time(TIMEOUT_MS)
    run_until(bed.kernel, lambda: len(bed.replies) == 271)
    sent = [reply.is_sent for reply in bed.replies]
    assert sent.count(True) == MAX_CONNECTIONS_PER_ADDRESS


def test_many_refused_connections_fail_one_by_one(bed):
    """Guards against recursion as deep as there are waiting requests."""
    count = MAX_CONNECTIONS_PER_ADDRESS + MAX_WAITING_PER_ADDRESS
    with refusing_address() as address:
        for token in range(count):
            bed.send(token, address=address)
        run_until(bed.kernel, lambda: len(bed.replies) == count)
    assert not any(reply.is_sent for reply in bed.replies)


def test_request_without_time_left_is_not_sent(bed):
    """Guards against a request that is sent when it can only time out."""
    bed.send(1, b"POST", b"abc", timeout_ms=0.0)
    assert bed.next_reply() == HttpFailed(1, "timeout", False)
    assert bed.connection_count == 0


def test_old_idle_connection_is_closed(bed):
    """Guards against a request that meets a connection being closed."""
    connection = exchange(bed, 1)
    bed.pass_time(IDLE_AGE_MS + SWEEP_INTERVAL_MS)
    assert bed.receive(connection) == b""
    assert bed.connection_count == 0
