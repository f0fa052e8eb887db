"""Tests of the HTTP listener over loopback connections."""

import socket

import h11
import pytest

from cuminhatch.codecs.http1_parsers import MAX_HEAD_BYTES
from cuminhatch.messages import (
    CallerDisconnected,
    CallerResumed,
    CallerStalled,
    RequestReadPaused,
    RequestReadResumed,
    RequestReceived,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services.http_listener import (
    DEFAULT_LIMITS,
    MAX_UNREQUESTED_BODY_BYTES,
    SWEEP_INTERVAL_MS,
    WRITE_HIGH_WATER_BYTES,
)
from tests.services._loopback import run_until
from tests.services.listener_harness import (
    CHUNKED,
    GET,
    HOST,
    POST,
    Harness,
    response_ids_in,
)
from tests.support import run_ticks

UPLOAD_BYTES = 16 << 20
BODY_PATTERN = bytes(range(256)) * 16 * 1024


@pytest.fixture
def harness():
    return Harness()


def send_until_blocked(peer, next_data):
    """Send until the socket blocks, which must be before all is sent."""
    sent, idle = 0, 0
    while idle < 50:
        try:
            sent += peer.sock.send(next_data(sent))
            idle = 0
        except BlockingIOError:
            idle += 1
        peer.kernel.tick(0)
        assert sent < UPLOAD_BYTES
    return sent


def read_body(client, peer):
    """Read one response with an independent parser; return its body."""
    body = b""
    while type(event := client.next_event()) is not h11.EndOfMessage:
        if event is h11.NEED_DATA:
            peer.run_until(lambda: peer.received)
            client.receive_data(peer.received)
            peer.received = b""
        elif type(event) is h11.Data:
            body += event.data
    return body


@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("body", [None, b"", b"abc", BODY_PATTERN[:5000]])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_independent_client_parses_the_responses(
    harness, method, body, is_chunked, step
):
    """Guards against framing that only the parser of cuminhatch accepts."""
    client = h11.Connection(h11.CLIENT)
    peer = harness.connect()
    for _ in range(2):
        framing = ("Content-Length", str(len(body or b"")))
        if is_chunked:
            framing = ("Transfer-Encoding", "chunked")
        headers = [("Host", "a"), ("Connection", "keep-alive, x-hop"), ("X-Hop", "1")]
        headers += [framing] if body is not None else []
        request = h11.Request(method=method, target="/p?q=1", headers=headers)
        data = client.send(request)
        if body:
            data += client.send(h11.Data(body[:2])) + client.send(h11.Data(body[2:]))
        data += client.send(h11.EndOfMessage())
        peer.send(data, step)
        assert read_body(client, peer) == (b"" if method == "HEAD" else body or b"")
        assert harness.target.heads[-1].headers == ((b"host", b"a"),)
        client.start_next_cycle()
    assert len(harness.target.heads) == 2


LENGTH = POST + b"Content-Length: "
ENCODING = POST + b"Transfer-Encoding: "
REQUEST_LINE = b"GET / HTTP/1.1\r\n"
EMPTY_CHUNKED_BODY = b"\r\n\r\n0\r\n\r\n"
MALFORMED = [
    LENGTH + b"1\r\nTransfer-Encoding: chunked" + EMPTY_CHUNKED_BODY,
    ENCODING + b"chunked\r\nContent-Length: 1" + EMPTY_CHUNKED_BODY,
    LENGTH + b"1\r\nContent-Length: 1\r\n\r\na",
    *(
        LENGTH + value + b"\r\n\r\na"
        for value in (b"1, 1", b"+1", b"-1", b"0x1", b"1 1", b"9" * 23)
    ),
    POST + b"Content-Length:\r\n\r\na",
    POST + b"Content-Length : 1\r\n\r\na",
    POST + b"Transfer-Encoding : chunked" + EMPTY_CHUNKED_BODY,
    ENCODING + b"gzip\r\n\r\na",
    ENCODING + b"gzip, chunked" + EMPTY_CHUNKED_BODY,
    ENCODING + b"identity\r\nContent-Length: 1\r\n\r\na",
    ENCODING + b"x\r\nTransfer-Encoding: chunked" + EMPTY_CHUNKED_BODY,
    ENCODING.replace(b"1.1", b"1.0") + b"chunked" + EMPTY_CHUNKED_BODY,
    b"GET / HTTP/1.1\n" + HOST + b"\r\n",
    REQUEST_LINE + b"Host: a\n\r\n",
    REQUEST_LINE + HOST + b"\n",
    b"\n" + REQUEST_LINE + HOST + b"\r\n",
    *(
        REQUEST_LINE + HOST + header + b"\r\n\r\n"
        for header in (b"X: a\rY: b", b"X: a\r\n b", b"X: a\x00b", b": b", b"Host: a")
    ),
    REQUEST_LINE + b" Host: a\r\n\r\n",
    REQUEST_LINE + b"\r\n",
    *(
        line + b"\r\n" + HOST + b"\r\n"
        for line in (
            b"GET / HTTP/2.0",
            b"GET / HTTP/0.9",
            b"get / HTTP/1.1",
            b"GET /a b HTTP/1.1",
            b"CONNECT a:1 HTTP/1.1",
        )
    ),
    b"GET /\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    POST + b"Upgrade: x\r\nConnection: upgrade\r\nContent-Length: 1\r\n\r\na",
    *(
        CHUNKED + size + b"\r\nabc\r\n0\r\n\r\n"
        for size in (b"3 ", b"-3", b"0x3", b"3;a\nb")
    ),
    CHUNKED + b"3\nabc\r\n0\r\n\r\n",
    CHUNKED + b"3\r\nabc\n0\r\n\r\n",
    CHUNKED + b"3\r\nabcd\r\n0\r\n\r\n",
    CHUNKED + b"fffffffffffffffff\r\nabc",
    CHUNKED + b"\r\n",
    *(
        CHUNKED + b"0\r\n" + trailer + b"\r\n\r\n"
        for trailer in (b"A : b", b"A: b\nC: d", b"Content-Length: 1")
    ),
]


TOO_LARGE = [
    POST + b"X: " + b"a" * 2 * MAX_HEAD_BYTES + b"\r\n\r\n",
    POST + b"X" * 2 * MAX_HEAD_BYTES,
    POST + b"X: a\r\n" * 101 + b"\r\n",
    b"GET /" + b"a" * 2 * MAX_HEAD_BYTES + b" HTTP/1.1\r\n" + HOST + b"\r\n",
    CHUNKED + b"1;" + b"a" * 16 * MAX_HEAD_BYTES,
    CHUNKED + b"0\r\n" + b"X: a\r\n" * MAX_HEAD_BYTES,
    b"\r\n" * 16 * MAX_HEAD_BYTES,
]


@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize(
    ("status", "data"),
    [(400, data) for data in MALFORMED] + [(431, data) for data in TOO_LARGE],
)
def test_malformed_request_is_refused_and_not_forwarded(harness, status, data, step):
    """Guards against request smuggling through ambiguous framing."""
    if step and len(data) > 1000:
        step = 1000
    peer = harness.connect()
    peer.send(data, step)
    peer.run_until(lambda: peer.is_closed)
    assert peer.received.startswith(b"HTTP/1.1 %d " % status)
    assert b"cuminhatch-outcome: not-run\r\n" in peer.received
    assert b"connection: close\r\n" in peer.received
    assert not peer.is_reset
    assert harness.target.messages == []


def test_requests_before_a_malformed_one_are_answered_in_order(harness):
    """Guards against a framing error that loses earlier responses."""
    peer = harness.connect()
    harness.target.is_echoing = False
    peer.send(GET % 1 + GET % 2 + b"GET / HTTP/1.1\nHost: a\r\n\r\n" + GET % 3)
    run_ticks(harness.kernel)
    for request_id in (1, 2):
        harness.target.respond(request_id, b"body")
        run_ticks(harness.kernel)
    peer.run_until(lambda: peer.is_closed)
    assert response_ids_in(peer.received) == [1, 2]
    assert peer.received.count(b"HTTP/1.1 400 ") == 1
    assert [head.target for head in harness.target.heads] == [b"/1", b"/2"]


def test_malformed_chunk_after_forwarded_part_has_unknown_outcome(harness):
    """Guards against the outcome "not-run" for a request that may have run."""
    peer = harness.connect(CHUNKED + b"5000\r\n" + b"a" * 0x5000 + b"\r\n")
    run_until(harness.kernel, lambda: harness.target.messages)
    peer.send(b"zz\r\n")
    peer.run_until(lambda: peer.is_closed)
    assert b"HTTP/1.1 400 " in peer.received
    assert b"cuminhatch-outcome: unknown\r\n" in peer.received
    run_until(harness.kernel, lambda: harness.target.count(CallerDisconnected) == 1)
    assert not any(getattr(m, "is_complete", False) for m in harness.target.messages)


def test_many_pipelined_requests_are_answered_in_order(harness):
    """Guards against flow control that never resumes reading."""
    peer = harness.connect(
        b"".join(GET % n for n in range(500)) + CHUNKED + b"1\r\na\r\n0\r\n\r\n"
    )
    peer.run_until(lambda: len(response_ids_in(peer.received)) == 501)
    assert response_ids_in(peer.received) == list(range(1, 502))


def test_continue_is_sent_when_the_body_is_requested(harness):
    """Guards against bodies that are sent for refused requests."""
    head = POST + b"Content-Length: 3\r\nExpect: 100-continue\r\n\r\n"
    peer = harness.connect(head)
    run_ticks(harness.kernel)
    peer.read()
    assert peer.received == b""
    harness.send(RequestReadResumed(1))
    peer.run_until(lambda: peer.received == b"HTTP/1.1 100 Continue\r\n\r\n")
    peer.send(b"abc")
    peer.run_until(lambda: peer.received.endswith(b"\r\n\r\nabc"))
    refused = harness.connect(head)
    run_ticks(harness.kernel)
    harness.send(RequestRefused(2, 503, Outcome.NOT_RUN, "no-capacity", b"r-2"))
    refused.run_until(lambda: refused.is_closed)
    assert refused.received.startswith(b"HTTP/1.1 503 ")
    assert b"100 Continue" not in refused.received
    assert b"x-request-id: r-2\r\n" in refused.received


@pytest.mark.parametrize("is_paused", [False, True])
def test_large_request_body_is_limited_by_flow_control(harness, is_paused):
    """Guards against a request body that fills the daemon's memory."""
    peer = harness.begin(POST + b"Content-Length: %d\r\n\r\n" % UPLOAD_BYTES)
    if is_paused:
        harness.send(RequestReadResumed(1))
        harness.send(RequestReadPaused(1))
        run_ticks(harness.kernel)
    sent = send_until_blocked(peer, lambda sent: BODY_PATTERN[: UPLOAD_BYTES - sent])
    forwarded = len(harness.target.bodies[1])
    assert forwarded <= (0 if is_paused else 2 * MAX_UNREQUESTED_BODY_BYTES)
    # A caller that is paused by flow control does not time out.
    harness.advance(2 * DEFAULT_LIMITS.body_progress_timeout_ms)
    harness.send(RequestReadResumed(1))
    peer.send(b"x" * (UPLOAD_BYTES - sent))
    run_until(harness.kernel, lambda: harness.target.messages[-1].is_complete)
    assert len(harness.target.bodies[1]) == UPLOAD_BYTES


def test_slow_reader_stalls_the_response_and_receives_all_of_it(harness):
    """Guards against responses that fill the memory or lose parts."""
    peer = harness.begin(GET % 1)
    harness.target.respond(1, b"", is_complete=False, length=None)
    parts = 0
    while not harness.target.count(CallerStalled):
        harness.send(ResponseBody(1, BODY_PATTERN[:WRITE_HIGH_WATER_BYTES], False))
        parts += 1
        run_ticks(harness.kernel, 2)
    peer.run_until(lambda: harness.target.count(CallerResumed))
    harness.send(ResponseBody(1, b"the end", True))
    peer.run_until(lambda: peer.received.endswith(b"0\r\n\r\n"))
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    client.send(h11.EndOfMessage())
    assert (
        read_body(client, peer)
        == BODY_PATTERN[:WRITE_HIGH_WATER_BYTES] * parts + b"the end"
    )


def test_pipelining_caller_that_does_not_read_is_disconnected(harness):
    """Guards against unread responses that fill the memory."""
    peer = harness.connect()
    request = POST + b"Content-Length: 60000\r\n\r\n" + b"x" * 60000
    send_until_blocked(peer, lambda sent: request[sent % len(request) :])
    harness.advance(DEFAULT_LIMITS.response_progress_timeout_ms + 2 * SWEEP_INTERVAL_MS)
    assert harness.listener.connection_count == 0


def test_caller_that_leaves_is_reported_once(harness):
    """Guards against work on a request whose caller is gone."""
    peer = harness.begin(GET % 1)
    assert harness.listener.exchange_count == 1
    peer.sock.close()
    run_until(harness.kernel, lambda: harness.target.count(CallerDisconnected))
    harness.target.respond(1, b"late")
    run_ticks(harness.kernel)
    assert harness.target.count(CallerDisconnected) == 1
    assert harness.listener.connection_count == harness.listener.exchange_count == 0


FAILED = RequestRefused(1, 504, Outcome.UNKNOWN, "internal-error")


@pytest.mark.parametrize("end", [ResponseAborted(1), FAILED], ids=["aborted", "failed"])
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_aborted_response_resets_the_connection(harness, version, end):
    """
    Guards against a truncated response that looks complete.

    Without a length, an HTTP/1.0 caller takes the end of the connection for
    the end of the response; only a reset tells that it is incomplete.
    """
    peer = harness.begin(GET.replace(b"1.1", version) % 1)
    harness.target.respond(1, b"part", is_complete=False, length=None)
    peer.run_until(lambda: b"part" in peer.received)
    harness.send(end)
    peer.run_until(lambda: peer.is_closed)
    assert peer.is_reset


def test_half_closed_caller_sees_a_truncated_response_reset(harness):
    """
    Guards against a truncated response that looks complete (MIXED).

    The request of a caller that shuts down its sending side ends. A regular
    close would be the end of a response to HTTP/1.0 that has no length.
    """
    peer = harness.begin(b"GET / HTTP/1.0\r\n\r\n")
    harness.target.respond(1, b"part", is_complete=False, length=None)
    peer.run_until(lambda: b"part" in peer.received)
    peer.sock.shutdown(socket.SHUT_WR)
    peer.run_until(lambda: peer.is_closed)
    assert peer.is_reset


def test_response_without_length_to_http_1_0_ends_with_the_connection(harness):
    """Guards against chunked encoding sent to an HTTP/1.0 caller."""
    peer = harness.begin(b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
    harness.target.respond(1, b"part", is_complete=False, length=None)
    harness.send(ResponseBody(1, b"end", True))
    peer.run_until(lambda: peer.is_closed)
    assert peer.received.endswith(b"connection: close\r\n\r\npartend")
    assert not peer.is_reset


def test_early_response_reaches_a_caller_that_is_still_sending(harness):
    """Guards against a reset that destroys a response in flight."""
    peer = harness.begin(POST + b"Content-Length: 10000000\r\n\r\n")
    harness.send(RequestRefused(1, 503, Outcome.NOT_RUN, "no-capacity"))
    peer.send(b"x" * 3_000_000)
    peer.run_until(lambda: peer.is_closed)
    assert peer.received.endswith(b"no-capacity\n")
    assert not peer.is_reset
    harness.advance(DEFAULT_LIMITS.linger_timeout_ms)
    assert harness.listener.connection_count == 0


@pytest.mark.parametrize(
    ("data", "limit"),
    [
        (b"", "idle_timeout_ms"),
        (b"GET / HT", "head_timeout_ms"),
        (GET % 1 + b"GET / HT", "head_timeout_ms"),
        (POST + b"Content-Length: 3\r\n\r\na", "body_progress_timeout_ms"),
        (CHUNKED + b"3\r\na", "body_progress_timeout_ms"),
    ],
)
def test_connections_without_progress_are_closed(harness, data, limit):
    """Guards against idle or stuck connections that are never closed."""
    peer = harness.connect(data)
    run_ticks(harness.kernel)
    limit_ms = getattr(DEFAULT_LIMITS, limit)
    harness.advance(limit_ms - 2 * SWEEP_INTERVAL_MS)
    assert harness.listener.connection_count == 1
    harness.advance(2 * SWEEP_INTERVAL_MS)
    assert harness.listener.connection_count == harness.listener.exchange_count == 0
    peer.run_until(lambda: peer.is_closed)


def test_head_sent_byte_by_byte_times_out(harness):
    """Guards against slow heads that keep a connection open for hours."""
    peer = harness.connect()
    for byte in b"GET / HTTP/1.1":
        peer.send(bytes([byte]))
        harness.advance(0)
    assert harness.listener.connection_count == 0


def test_callers_above_the_limit_wait_in_the_listen_queue():
    """Guards against more connections than fit into memory."""
    harness = Harness(max_connections=2)
    peers = [harness.connect(GET % 1) for _ in range(3)]
    run_ticks(harness.kernel)
    assert harness.listener.connection_count == 2
    assert harness.target.count(RequestReceived) == 2
    peers[0].sock.close()
    peers[2].run_until(lambda: peers[2].received)
    assert harness.listener.connection_count == 2


@pytest.mark.parametrize("is_head_first", [True, False])
def test_response_message_out_of_order_resets_the_connection(harness, is_head_first):
    """Guards against a head in a body, and a body without a head (MIXED)."""
    peer = harness.begin(GET % 1)
    if is_head_first:
        harness.target.respond(1, b"part", is_complete=False, length=20)
        peer.run_until(lambda: b"part" in peer.received)
        harness.target.respond(1, b"second")
    else:
        harness.send(ResponseBody(1, b"second", True))
    peer.run_until(lambda: peer.is_closed)
    assert peer.is_reset
    assert b"second" not in peer.received
    assert harness.listener.exchange_count == 0


@pytest.mark.parametrize("parts", [(b"lon", b"ger"), (b"longer",), (b"s",), (b"", b"")])
def test_body_of_another_length_resets_the_connection(harness, parts):
    """
    Guards against a body that runs into the next response (MIXED).

    A short one would let the caller take the next head for the rest of it.
    """
    peer = harness.begin(GET % 1)
    first, *further = parts
    harness.target.respond(1, first, is_complete=not further, length=5)
    for part in further:
        peer.run_until(lambda: b"\r\n\r\n" in peer.received)
        harness.send(ResponseBody(1, part, True))
    peer.run_until(lambda: peer.is_closed)
    assert peer.is_reset
    assert harness.listener.exchange_count == 0
