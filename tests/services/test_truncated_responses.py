"""
Backend servers that break off at any byte of a response.

The services that handle requests run with the real ``backends``; the server is
a listening socket that the test writes to and closes. A response that ends
with its connection can't be told from a shorter one once its head is complete
and the close is regular, so only its head is cut there.
"""

import socket

import pytest

from cuminhatch.address import Address
from cuminhatch.kernel import Kernel
from cuminhatch.messages import (
    HttpFailed,
    HttpReplied,
    HttpRequested,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.services._stream import RESET_ON_CLOSE
from cuminhatch.services.http_client import HttpClient
from tests.services._loopback import Peer, run_until
from tests.services.front_ends import Daemon, Gateway, is_not_run
from tests.support import Recorder

INTERIM = {
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "103": b"HTTP/1.1 103 Early Hints\r\nlink: x\r\ncontent-length: 0\r\n\r\n",
}
FRAMINGS = {
    "length": (b"content-length: 5\r\n", b"hello"),
    "empty": (b"content-length: 0\r\n", b""),
    "chunked": (b"transfer-encoding: chunked\r\n", b"5\r\nhello\r\n0\r\n\r\n"),
    "trailers": (
        b"transfer-encoding: chunked\r\n",
        b"2;a=b\r\nhe\r\n3\r\nllo\r\n0\r\nx: y\r\n\r\n",
    ),
    "until close": (b"connection: close\r\n", b"hello"),
    "until end": (b"", b"hello"),
}
SHAPES = [*FRAMINGS, *INTERIM]
CLOSE_DELIMITED = ("until close", "until end")
ENDINGS = ("close", "reset")


def make_parts(shape, headers):
    """Return the head of a response, and what follows it."""
    framing, body = FRAMINGS.get(shape, FRAMINGS["length"])
    lines = b"".join(line + b"\r\n" for line in headers)
    head = b"HTTP/1.1 200 OK\r\n" + lines + framing + b"\r\n"
    return INTERIM.get(shape, b"") + head, body


def truncate(shape, ending, headers, missing_bytes):
    """Return a response that lacks so many of the bytes that it needs."""
    head, body = make_parts(shape, headers)
    is_whole_after_head = shape in CLOSE_DELIMITED and ending == "close"
    needed = head if is_whole_after_head else head + body
    # A reset cuts off a response that ends with its connection at any byte.
    is_reset_cut = shape in CLOSE_DELIMITED and ending == "reset"
    return needed[: max(0, len(needed) - missing_bytes + is_reset_cut)]


def list_cuts(shape, headers):
    """Return how many bytes can be missing."""
    return range(1, len(b"".join(make_parts(shape, headers))) + 1)


def end(peer, ending):
    if ending == "reset":
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.sock.close()


@pytest.fixture(params=[Gateway, Daemon])
def front_end(request):
    front_end = request.param()
    yield front_end
    front_end.close()


def has_ended(messages):
    return any(
        type(m) in (RequestRefused, ResponseAborted) or getattr(m, "is_complete", False)
        for m in messages
    )


def serve_truncated(front_end, peer, shape, ending, cut):
    """Break off the response to each attempt; return the caller's messages."""
    received = front_end.world.received["callers"]
    while True:
        headers = (
            front_end.id_header + b": " + front_end.receive(peer),
            *front_end.success_headers,
        )
        peer.send(truncate(shape, ending, headers, cut))
        end(peer, ending)
        for _ in range(100):
            front_end.kernel.tick(0)
            if has_ended(received):
                messages = list(received)
                received.clear()
                return messages
            try:
                peer = Peer(front_end.kernel, front_end.sock.accept()[0])
                break
            except BlockingIOError:
                pass
        else:
            raise AssertionError("the request has no final response")


@pytest.mark.parametrize("kind", ["write", "read"])
@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("shape", SHAPES)
def test_truncated_response_is_no_success(front_end, shape, ending, is_reused, kind):
    """Guards against a truncated response that looks whole (MIXED)."""
    example = (front_end.id_header + b": 100", *front_end.success_headers)
    for cut in list_cuts(shape, example):
        if is_reused:
            front_end.request("read")
            peer = front_end.accept()
            peer.send(front_end.success(front_end.receive(peer)))
            front_end.take_final()
            front_end.request(kind)
            if kind == "write" and isinstance(front_end, Gateway):
                # It sends what may run only once on new connections.
                peer = front_end.accept()
        else:
            front_end.request(kind)
            peer = front_end.accept()
        messages = serve_truncated(front_end, peer, shape, ending, cut)
        for message in messages:
            if type(message) is ResponseBody:
                assert not message.is_complete, cut
            elif type(message) is ResponseStarted:
                is_success = 200 <= message.head.status < 300
                assert not (is_success and message.is_complete), cut
            assert kind == "read" or not (
                type(message) in (ResponseStarted, RequestRefused)
                and is_not_run(message)
            ), cut


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("shape", SHAPES)
def test_truncated_response_to_an_internal_request_is_a_failure(shape, ending):
    """Guards against half a page of the store that counts as the whole."""
    kernel = Kernel()
    sock = socket.create_server(("127.0.0.1", 0))
    sock.setblocking(False)
    recorder = kernel.register(Recorder(kernel, "r", HttpReplied, HttpFailed))
    kernel.register(HttpClient(kernel)).open()
    address = Address(*sock.getsockname())
    for cut in list_cuts(shape, ()):
        request = HttpRequested("r", cut, address, b"POST", b"/", (), b"x", 5_000.0)
        kernel.send("http_client", request)
        peers = []

        def accept(peers=peers):
            try:
                peers.append(Peer(kernel, sock.accept()[0]))
            except BlockingIOError:
                pass
            return peers

        run_until(kernel, accept)
        (peer,) = peers
        peer.run_until(lambda peer=peer: peer.received.endswith(b"\r\n\r\nx"))
        peer.send(truncate(shape, ending, (), cut))
        end(peer, ending)
        run_until(kernel, lambda: recorder.received)
        (reply,) = recorder.received
        recorder.received.clear()
        assert isinstance(reply, HttpFailed), cut
    kernel.close()
    sock.close()
