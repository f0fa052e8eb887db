"""
Backend servers that send bytes without end, until the connection is closed.

A flood has to be cut off after a bounded number of bytes, a trickle after a
bounded time, and the caller gets a true outcome.
"""

import tracemalloc

import pytest

from cuminhatch.messages import CallerDisconnected, ResponseAborted, ResponseStarted
from tests.services._loopback import run_until
from tests.services.front_ends import Daemon, Gateway, is_not_run

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
# Start of a response, and what follows it without end.
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"OK"),
    "empty lines": (b"", b"\r\n"),
    "header line": (b"HTTP/1.1 200 OK\r\nx: ", b"y"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 Early\r\n\r\n"),
    "garbage": (b"", b"\x00\xff?"),
}
ENDLESS_BODY = {
    "chunk size": (b"", b"0"),
    "chunk extension": (b"1;", b"x"),
    "trailers": (b"0\r\n", b"x: y\r\n"),
    "body": (b"", b"1\r\nx\r\n"),
}
FLOOD_BYTES = 4 * 1024 * 1024
# Far below a flood that would be kept.
MEMORY_BYTES_MAX = 1024 * 1024
# Timeout of the route ``brief``, and the time that is left after it.
TIMEOUT_MS = 300.0
SLACK_MS = 500.0


@pytest.fixture(params=[Gateway, Daemon])
def front_end(request):
    front_end = request.param()
    yield front_end
    front_end.close()


@pytest.fixture
def gateway():
    gateway = Gateway()
    yield gateway
    gateway.close()


def start(front_end, kind, with_body):
    """Send a request; return the server end and the start of a response."""
    front_end.request(kind)
    peer = front_end.accept()
    given_id = front_end.receive(peer)
    if not with_body:
        return peer, b""
    head = front_end.success(given_id).partition(b"\r\n")[2]
    lines = [line for line in head.split(b"\r\n") if line and b":" in line]
    kept = [line for line in lines if not line.startswith(b"content-length")]
    return peer, CHUNKED + b"\r\n".join([*kept, b"", b""])


def flood(peer, data):
    """Send the same bytes until the connection is closed or enough is sent."""
    block = data * (64 * 1024 // len(data))
    sent = 0
    while sent < FLOOD_BYTES and not is_closed(peer):
        peer.send(block)
        sent += len(block)


def is_closed(peer):
    """Tell whether a connection is closed, without a large read buffer."""
    try:
        return not peer.sock.recv(1024)
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True


def answer_resend(front_end):
    """Answer the request that was sent again after a failure."""
    peer = front_end.accept()
    peer.send(front_end.success(front_end.receive(peer), b"sent again"))
    return front_end.take_final()


@pytest.mark.parametrize("place", [*ENDLESS, "chunk size", "chunk extension"])
def test_flood_is_cut_off(front_end, place):
    """Guards against memory that grows with what a server sends."""
    is_body = place in ENDLESS_BODY
    peer, head = start(front_end, "read", is_body)
    begin, repeated = (ENDLESS_BODY if is_body else ENDLESS)[place]
    tracemalloc.start()
    try:
        peer.send(head + begin)
        flood(peer, repeated)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    peer.run_until(lambda: peer.is_closed)
    assert peak_bytes < MEMORY_BYTES_MAX
    received = front_end.world.received["callers"]
    if isinstance(front_end, Daemon) and is_body:
        # The head was forwarded; the response is aborted, not completed.
        run_until(front_end.kernel, lambda: len(received) > 1)
        assert not any(getattr(m, "is_complete", False) for m in received)
        return
    assert answer_resend(front_end).data == b"sent again"


@pytest.mark.parametrize("place", [*ENDLESS, *ENDLESS_BODY])
def test_trickle_ends_at_the_deadline(gateway, place):
    """Guards against a caller that waits as long as a server sends."""
    is_body = place in ENDLESS_BODY
    # A write is sent once, so nothing hides how the first attempt ends.
    peer, head = start(gateway, "write", is_body)
    begin, repeated = (ENDLESS_BODY if is_body else ENDLESS)[place]
    peer.send(head + begin)
    for _ in range(30):
        if peer.is_closed:
            break
        peer.send(repeated)
        peer.read()
        gateway.world.advance(50.0)
    peer.run_until(lambda: peer.is_closed)
    final = gateway.take_final()
    assert not is_not_run(final)
    assert final.status in (502, 504)


@pytest.mark.parametrize("is_idle", [False, True])
def test_bytes_after_a_complete_response_close_the_connection(front_end, is_idle):
    """Guards against a kept connection that is read without end."""
    front_end.request("read")
    peer = front_end.accept()
    response = front_end.success(front_end.receive(peer))
    peer.send(response if is_idle else response + b"x" * 1000)
    assert front_end.take_final().data == b"ok"
    flood(peer, b"x")
    peer.run_until(lambda: peer.is_closed)


def test_body_without_end_ends_with_its_caller(front_end):
    """Guards against a stream that outlives the caller who reads it."""
    request_id = front_end.request("read")
    peer = front_end.accept()
    given_id = front_end.receive(peer)
    head = front_end.success(given_id, b"").replace(b"content-length: 0\r\n", b"")
    peer.send(head)
    received = front_end.world.received["callers"]
    for _ in range(10):
        peer.send(b"x" * 65_536)
    run_until(
        front_end.kernel, lambda: any(type(m) is ResponseStarted for m in received)
    )
    assert not any(getattr(m, "is_complete", False) for m in received)
    front_end.kernel.send(front_end.world_service, CallerDisconnected(request_id))
    peer.run_until(lambda: peer.is_closed)


ENDLESS_STREAMS = {
    "no length": (200, b"", b"x" * 65_536),
    "chunks": (
        200,
        b"transfer-encoding: chunked\r\n",
        b"10000\r\n" + b"x" * 65_536 + b"\r\n",
    ),
    "huge length": (200, b"content-length: 1000000000000\r\n", b"x" * 65_536),
    "failure": (500, b"", b"x" * 65_536),
}


def start_stream(gateway, status, framing, part):
    """Request a brief route; return the server end of a streamed response."""
    gateway.request("brief")
    peer = gateway.accept()
    head = gateway.response(gateway.receive(peer), b"", status, (b"seal: 1",))
    peer.send(head.replace(b"content-length: 0\r\n", framing))
    received = gateway.world.received["callers"]
    while not any(type(message) is ResponseStarted for message in received):
        peer.send(part)
        gateway.world.run()
    return peer


@pytest.mark.parametrize("kind", ENDLESS_STREAMS)
def test_stream_without_end_ends_at_the_timeout_of_its_route(gateway, kind):
    """Guards against callers that are kept past the timeout of their route."""
    peer = start_stream(gateway, *ENDLESS_STREAMS[kind])
    part = ENDLESS_STREAMS[kind][2]
    received = gateway.world.received["callers"]
    started_ms = gateway.world.clock.now_ms
    while not any(type(message) is ResponseAborted for message in received):
        assert gateway.world.clock.now_ms < started_ms + TIMEOUT_MS + SLACK_MS
        peer.send(part)
        gateway.world.advance(20.0)
    assert gateway.world.clock.now_ms >= started_ms + TIMEOUT_MS
    assert not any(getattr(message, "is_complete", False) for message in received)
    peer.run_until(lambda: peer.is_closed)


def test_stream_that_ends_soon_after_the_timeout_is_delivered(gateway):
    """Guards against a response that is cut just before its end."""
    started_ms = gateway.world.clock.now_ms
    peer = start_stream(gateway, 200, b"content-length: 400000\r\n", b"x" * 100_000)
    received = gateway.world.received["callers"]

    def count_bytes():
        return sum(len(message.data) for message in received)

    run_until(gateway.kernel, lambda: count_bytes() and not count_bytes() % 100_000)
    for _ in range(7):
        peer.send(b"x")
        gateway.world.advance(50.0)
    assert gateway.world.clock.now_ms > started_ms + TIMEOUT_MS
    run_until(gateway.kernel, lambda: count_bytes() % 100_000 == 7)
    peer.send(b"x" * (400_000 - count_bytes()))
    run_until(gateway.kernel, lambda: count_bytes() == 400_000)
    assert received[-1].is_complete
    gateway.world.advance(SLACK_MS)
    assert not any(type(message) is ResponseAborted for message in received)


def test_stream_outlives_the_deadline_of_its_caller(gateway):
    """Guards against a response withheld from a caller that still reads."""
    gateway.world.request("read", wait_ms=300)
    peer = gateway.accept()
    head = gateway.success(gateway.receive(peer), b"")
    peer.send(head.replace(b"content-length: 0\r\n", b""))
    received = gateway.world.received["callers"]
    for _ in range(8):
        peer.send(b"x" * 65_536)
        gateway.world.run()
    for _ in range(30):
        peer.send(b"x")
        gateway.world.advance(50.0)
    assert not any(type(message) is ResponseAborted for message in received)


def test_body_without_end_ends_at_the_deadline_if_its_caller_has_left(gateway):
    """Guards against a write's response that is read for nobody."""
    request_id = gateway.request("write")
    peer = gateway.accept()
    given_id = gateway.receive(peer)
    gateway.kernel.send(gateway.world_service, CallerDisconnected(request_id))
    gateway.world.run()
    head = gateway.success(given_id, b"").replace(b"content-length: 0\r\n", b"")
    peer.send(head)
    for _ in range(8):
        peer.send(b"x" * 65_536)
    assert not peer.is_closed
    for _ in range(40):
        peer.send(b"x")
        peer.read()
        gateway.world.advance(50.0)
    peer.run_until(lambda: peer.is_closed)
