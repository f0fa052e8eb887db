"""Tests of the HTTP listener over loopback connections."""

import re
import socket

import h11
import pytest

from cuminhatch import ManualClock
from cuminhatch.codecs.http1_parsers import MAX_HEAD_BYTES
from cuminhatch.kernel import SUPERVISOR, Kernel
from cuminhatch.messages import (
    Address,
    CallerDisconnected,
    CallerResumed,
    CallerStalled,
    DrainAnnounced,
    DrainFinished,
    DrainLimitReached,
    DrainStarted,
    PipeliningAllowed,
    PipeliningRequested,
    RequestBody,
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
    HttpListener,
    ListenerLimits,
)
from tests.services._loopback import EchoService, connect, run_until
from tests.support import Recorder, run_ticks

HOST = b"Host: a\r\n"
GET = b"GET /%d HTTP/1.1\r\n" + HOST + b"\r\n"
POST = b"POST / HTTP/1.1\r\n" + HOST
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
UPLOAD_BYTES = 16 << 20
BODY_PATTERN = bytes(range(256)) * 16 * 1024


class Harness:
    """A kernel with a listener and a service that echoes requests."""

    def __init__(self, **limits):
        self.kernel = Kernel(ManualClock())
        self.target = self.kernel.register(EchoService(self.kernel))
        address, limits = Address("127.0.0.1", 0), ListenerLimits(**limits)
        self.listener = HttpListener(self.kernel, address, "answers", limits=limits)
        self.kernel.register(self.listener)
        self.kernel.open()

    def connect(self, data=b""):
        peer = connect(self.kernel, self.listener.address)
        peer.send(data)
        return peer

    def begin(self, data):
        """Send a request that the test answers itself."""
        self.target.is_echoing = False
        peer = self.connect(data)
        run_until(self.kernel, lambda: self.target.messages)
        return peer

    def send(self, message):
        self.kernel.send("callers", message)

    def record_drain_reports(self):
        recorder = Recorder(self.kernel, SUPERVISOR, DrainFinished)
        return self.kernel.register(recorder).received

    def advance(self, ms):
        """Advance the clock in steps of the sweep interval."""
        for _ in range(int(ms // SWEEP_INTERVAL_MS) + 1):
            self.kernel.clock.advance(SWEEP_INTERVAL_MS)
            run_ticks(self.kernel, 4)


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


def response_ids_in(data):
    return [int(n) for n in re.findall(rb"x-answer: (\d+)", data)]


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


def test_drain_completes_all_requests(harness):
    """Guards against requests that are lost when a daemon stops."""
    harness.target.is_echoing = False
    idle, busy, uploading, fresh = (harness.connect() for _ in range(4))
    idle.send(GET % 1)
    run_until(harness.kernel, lambda: harness.target.messages)
    harness.target.respond(1, b"first")
    idle.run_until(lambda: idle.received)
    busy.send(GET % 2)
    uploading.send(POST + b"Content-Length: 3\r\n\r\na")
    run_until(harness.kernel, lambda: harness.listener.exchange_count == 2)
    queued = harness.connect()
    queued.sock.send(GET % 4)
    harness.send(DrainStarted())
    run_ticks(harness.kernel, 10)
    idle.read()
    # Its caller may have sent a request that has not arrived.
    assert not idle.is_closed
    with pytest.raises(ConnectionRefusedError):
        harness.connect()
    fresh.send(GET % 5)
    idle.send(GET % 6)
    uploading.send(b"bc")
    run_until(harness.kernel, lambda: harness.target.count(RequestBody) == 1)
    run_until(harness.kernel, lambda: harness.listener.exchange_count == 5)
    for request_id in range(2, 7):
        harness.target.respond(request_id, b"last")
    for peer in (idle, busy, uploading, fresh, queued):
        peer.run_until(lambda peer=peer: peer.is_closed)
        assert peer.received.endswith(b"\r\nconnection: close\r\n\r\nlast")
        assert not peer.is_reset
    harness.advance(DEFAULT_LIMITS.linger_timeout_ms)
    assert harness.listener.connection_count == harness.listener.exchange_count == 0


def test_drain_serves_callers_that_waited_for_a_connection():
    """Guards against callers at the limit that a planned stop cuts off."""
    harness = Harness(max_connections=1)
    busy = harness.begin(GET % 1)
    waiting = harness.connect(GET % 2)
    run_ticks(harness.kernel)
    assert harness.listener.connection_count == 1
    harness.send(DrainStarted())
    run_until(harness.kernel, lambda: harness.listener.exchange_count == 2)
    for request_id, peer in enumerate((busy, waiting), start=1):
        harness.target.respond(request_id, b"last")
        peer.run_until(lambda peer=peer: peer.is_closed)
        assert peer.received.endswith(b"last")
        assert not peer.is_reset


def test_drain_closes_connections_that_never_send():
    """Guards against a drain that waits for callers without a request."""
    harness = Harness(drain_first_request_timeout_ms=1000)
    peer = harness.connect()
    run_until(harness.kernel, lambda: harness.listener.connection_count)
    harness.send(DrainStarted())
    harness.advance(1000)
    assert harness.listener.connection_count == 0
    peer.run_until(lambda: peer.is_closed)


def test_drain_closes_connections_that_stay_idle(harness):
    """Guards against a drain that waits for callers without a request."""
    peer = harness.connect(GET % 1)
    peer.run_until(lambda: peer.received)
    # How long it has been idle before tells nothing about the next request.
    harness.advance(DEFAULT_LIMITS.idle_timeout_ms / 2)
    harness.send(DrainStarted())
    harness.advance(DEFAULT_LIMITS.drain_idle_timeout_ms - 3 * SWEEP_INTERVAL_MS)
    peer.read()
    assert not peer.is_closed
    harness.advance(3 * SWEEP_INTERVAL_MS)
    peer.run_until(lambda: peer.is_closed)
    assert harness.listener.connection_count == 0


def test_drain_is_finished_when_the_last_connection_has_closed(harness):
    """Guards against a stop before, or long after, the last response."""
    reports = harness.record_drain_reports()
    peer = harness.begin(GET % 1)
    harness.send(DrainStarted())
    run_ticks(harness.kernel)
    assert reports == []
    harness.target.respond(1, b"last")
    peer.run_until(lambda: peer.is_closed)
    assert peer.received.endswith(b"last")
    peer.sock.close()
    run_until(harness.kernel, lambda: reports)
    run_ticks(harness.kernel)
    assert reports == [DrainFinished("callers")]


def test_drain_without_connections_is_finished_at_once(harness):
    """Guards against a stop that waits although no caller is connected."""
    reports = harness.record_drain_reports()
    harness.send(DrainStarted())
    run_ticks(harness.kernel)
    assert reports == [DrainFinished("callers")]


@pytest.fixture
def pipelined():
    return Harness(pipelined=3)


def test_pipelined_reads_are_passed_on_together(pipelined):
    """
    Guards against a short request that waits for a long one before it.

    At most three are in progress at the same time; the responses are sent in
    the order of the requests, whichever is complete first.
    """
    peer = pipelined.begin(b"".join(GET % n for n in range(5)))
    run_until(pipelined.kernel, lambda: len(pipelined.target.heads) == 3)
    run_ticks(pipelined.kernel, 10)
    assert len(pipelined.target.heads) == 3
    for request_id in (3, 2):
        pipelined.target.respond(request_id, b"later")
    run_ticks(pipelined.kernel, 10)
    peer.read()
    assert not peer.received
    pipelined.target.respond(1, b"first")
    run_until(pipelined.kernel, lambda: len(pipelined.target.heads) == 5)
    for request_id in (5, 4):
        pipelined.target.respond(request_id, b"last")
    peer.run_until(lambda: len(response_ids_in(peer.received)) == 5)
    assert response_ids_in(peer.received) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize(
    "second",
    [
        POST + b"Content-Length: 1\r\n\r\na",
        b"GET / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\n\r\na",
        b"GET / HTTP/1.1\r\n" + HOST,
    ],
)
def test_only_complete_safe_requests_are_pipelined(pipelined, second):
    """Guards against side effects of a request that the caller resends."""
    pipelined.begin(GET % 1 + second)
    run_ticks(pipelined.kernel, 10)
    assert len(pipelined.target.heads) == 1


def test_nothing_is_forwarded_ahead_of_its_turn_unless_it_is_allowed(pipelined):
    """Guards against a request behind a response that may be streamed."""
    pipelined.target.allows_pipelining = False
    peer = pipelined.begin(GET % 1 + GET % 2)
    run_ticks(pipelined.kernel, 10)
    assert len(pipelined.target.heads) == 1
    assert pipelined.target.count(PipeliningRequested) == 1
    pipelined.target.respond(1, b"first")
    run_until(pipelined.kernel, lambda: len(pipelined.target.heads) == 2)
    # An answer that comes too late changes nothing.
    pipelined.send(PipeliningAllowed(1))
    pipelined.target.respond(2, b"second")
    peer.run_until(lambda: peer.received.endswith(b"second"))


def test_nothing_is_forwarded_behind_a_response_that_has_begun(pipelined):
    """Guards against a request behind a response that is streamed."""
    peer = pipelined.begin(GET % 1)
    pipelined.target.respond(1, b"part", is_complete=False, length=100)
    peer.run_until(lambda: b"part" in peer.received)
    peer.send(GET % 2)
    pipelined.send(PipeliningAllowed(1))
    run_ticks(pipelined.kernel, 10)
    assert len(pipelined.target.heads) == 1


def test_nothing_is_forwarded_after_connection_close(pipelined):
    """Guards against a request whose response cannot be sent."""
    closing = b"GET /1 HTTP/1.1\r\nConnection: close\r\n" + HOST + b"\r\n"
    pipelined.begin(closing + GET % 2)
    run_ticks(pipelined.kernel, 10)
    assert len(pipelined.target.heads) == 1


def test_pipelined_requests_are_cancelled_when_the_caller_leaves(pipelined):
    """Guards against work on pipelined requests whose caller is gone."""
    peer = pipelined.begin(GET % 1 + GET % 2)
    run_until(pipelined.kernel, lambda: len(pipelined.target.heads) == 2)
    peer.sock.close()
    run_until(pipelined.kernel, lambda: pipelined.target.count(CallerDisconnected) == 2)
    assert pipelined.listener.exchange_count == 0


def test_aborted_response_waits_for_earlier_ones(pipelined):
    """Guards against an aborted response that truncates an earlier one."""
    peer = pipelined.begin(GET % 1 + GET % 2 + GET % 3)
    run_until(pipelined.kernel, lambda: len(pipelined.target.heads) == 3)
    pipelined.target.respond(2, b"part", is_complete=False, length=100)
    pipelined.send(ResponseAborted(2))
    run_ticks(pipelined.kernel, 10)
    pipelined.target.respond(1, b"first")
    peer.run_until(lambda: peer.is_closed)
    assert b"first" in peer.received
    run_until(pipelined.kernel, lambda: pipelined.target.count(CallerDisconnected) == 1)
    assert pipelined.listener.exchange_count == 0


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


def test_response_message_out_of_order_of_a_pipelined_request(pipelined):
    """Guards against a second head that was buffered behind the first one."""
    peer = pipelined.begin(GET % 1 + GET % 2)
    run_until(pipelined.kernel, lambda: len(pipelined.target.heads) == 2)
    pipelined.target.respond(2, b"part", is_complete=False, length=20)
    pipelined.target.respond(2, b"second")
    run_ticks(pipelined.kernel, 10)
    pipelined.target.respond(1, b"first")
    peer.run_until(lambda: peer.is_closed)
    assert peer.is_reset
    assert b"second" not in peer.received
    assert pipelined.listener.exchange_count == 0


def test_refusal_of_a_pipelined_request_is_sent_in_order(pipelined):
    """Guards against a refusal that is taken for an earlier response."""
    peer = pipelined.begin(GET % 1 + GET % 2)
    run_until(pipelined.kernel, lambda: len(pipelined.target.heads) == 2)
    refusal = RequestRefused(2, 503, Outcome.NOT_RUN, "servers-full", b"", 100.0)
    pipelined.send(refusal)
    run_ticks(pipelined.kernel, 10)
    pipelined.target.respond(1, b"first")
    peer.run_until(lambda: b"servers-full\n" in peer.received)
    assert peer.received.index(b"first") < peer.received.index(b" 503 ")


def test_long_buffered_response_is_stalled(pipelined):
    """Guards against memory use by responses behind a slow one."""
    peer = pipelined.begin(GET % 1 + GET % 2)
    run_until(pipelined.kernel, lambda: len(pipelined.target.heads) == 2)
    size = WRITE_HIGH_WATER_BYTES + 1
    pipelined.target.respond(2, bytes(size), is_complete=False, length=size + 1)
    run_until(pipelined.kernel, lambda: pipelined.target.count(CallerStalled) == 1)
    pipelined.target.respond(1, b"first")
    peer.run_until(lambda: pipelined.target.count(CallerResumed) == 1)
    pipelined.send(ResponseBody(2, b"a", True))
    peer.run_until(lambda: peer.received.endswith(b"a"))
    assert pipelined.listener.exchange_count == 0


def test_drain_completes_pipelined_requests(pipelined):
    """Guards against pipelined requests lost when a daemon stops."""
    peer = pipelined.begin(GET % 1 + GET % 2)
    run_until(pipelined.kernel, lambda: len(pipelined.target.heads) == 2)
    pipelined.send(DrainStarted())
    run_ticks(pipelined.kernel, 4)
    pipelined.target.respond(1, b"first")
    pipelined.target.respond(2, b"second")
    peer.run_until(lambda: peer.is_closed)
    assert peer.received.count(b"connection: close") == 1
    assert peer.received.endswith(b"\r\nconnection: close\r\n\r\nsecond")


def test_no_request_is_passed_on_ahead_of_its_turn_once_a_stop_is_announced(pipelined):
    """Guards against responses that still wait when the process ends."""
    pipelined.send(DrainAnnounced())
    peer = pipelined.begin(GET % 1 + GET % 2)
    run_ticks(pipelined.kernel, 10)
    assert len(pipelined.target.heads) == 1
    pipelined.target.respond(1, b"first")
    run_until(pipelined.kernel, lambda: len(pipelined.target.heads) == 2)
    pipelined.target.respond(2, b"second")
    peer.run_until(lambda: peer.received.endswith(b"second"))


def test_complete_responses_are_sent_when_the_limit_of_the_drain_is_reached(pipelined):
    """Guards against a response that a stop cuts off behind a slower one."""
    peer = pipelined.begin(GET % 1 + GET % 2 + GET % 3)
    run_until(pipelined.kernel, lambda: len(pipelined.target.heads) == 3)
    pipelined.send(DrainStarted())
    pipelined.target.respond(2, b"second")
    run_ticks(pipelined.kernel, 10)
    assert not peer.received
    pipelined.send(DrainLimitReached())
    peer.run_until(lambda: b"second" in peer.received)
    assert re.findall(rb"HTTP/1.1 (\d+)", peer.received) == [b"504", b"200"]
    assert b"cuminhatch-outcome: unknown" in peer.received.lower()
