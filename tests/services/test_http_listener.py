"""Tests of the callers' port over loopback connections."""

import re

import h11
import pytest

from cuminhatch import ManualClock
from cuminhatch.codecs.http1 import MAX_HEAD_BYTES
from cuminhatch.kernel import SUPERVISOR, Kernel
from cuminhatch.messages import (
    Address,
    CallerLeft,
    CallerResumed,
    CallerStalled,
    DrainFinished,
    DrainStarted,
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
    MAX_UNASKED_BYTES,
    SWEEP_INTERVAL_MS,
    WRITE_HIGH_BYTES,
    HttpListener,
    ListenerLimits,
)
from tests.services._loopback import Answers, connect, run_until
from tests.support import Recorder, settle

HOST = b"Host: a\r\n"
GET = b"GET /%d HTTP/1.1\r\n" + HOST + b"\r\n"
POST = b"POST / HTTP/1.1\r\n" + HOST
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
SIZE = 16 << 20
BIG = bytes(range(256)) * 16 * 1024


class Port:
    """A kernel with a listener and a service that records and echoes."""

    def __init__(self, **limits):
        self.kernel = Kernel(ManualClock())
        self.answers = self.kernel.register(Answers(self.kernel))
        address, limits = Address("127.0.0.1", 0), ListenerLimits(**limits)
        self.listener = HttpListener(self.kernel, address, "answers", limits=limits)
        self.kernel.register(self.listener)
        self.kernel.open()

    def connect(self, data=b""):
        peer = connect(self.kernel, self.listener.address)
        peer.send(data)
        return peer

    def begin(self, data):
        """Send a request that is not answered by itself."""
        self.answers.is_echoing = False
        peer = self.connect(data)
        run_until(self.kernel, lambda: self.answers.messages)
        return peer

    def send(self, message):
        self.kernel.send("callers", message)

    def record_drain(self):
        recorder = Recorder(self.kernel, SUPERVISOR, DrainFinished)
        return self.kernel.register(recorder).received

    def wait(self, ms):
        """Let time pass in steps of the sweep."""
        for _ in range(int(ms // SWEEP_INTERVAL_MS) + 1):
            self.kernel.clock.advance(SWEEP_INTERVAL_MS)
            settle(self.kernel, 4)


@pytest.fixture
def port():
    return Port()


def fill(peer, part_after):
    """Send until nothing more is taken, which must be before the size."""
    sent, idle = 0, 0
    while idle < 50:
        try:
            sent += peer.sock.send(part_after(sent))
            idle = 0
        except BlockingIOError:
            idle += 1
        peer.kernel.tick(0)
        assert sent < SIZE
    return sent


def read_body(client, peer):
    """Read one answer by another parser and return its body."""
    body = b""
    while type(event := client.next_event()) is not h11.EndOfMessage:
        if event is h11.NEED_DATA:
            peer.run_until(lambda: peer.received)
            client.receive_data(peer.received)
            peer.received = b""
        elif type(event) is h11.Data:
            body += event.data
    return body


def answers_in(data):
    return [int(n) for n in re.findall(rb"x-answer: (\d+)", data)]


@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("body", [None, b"", b"abc", BIG[:5000]])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_independent_client_gets_its_answers(port, method, body, is_chunked, step):
    """Guards against framing that only our own parser understands."""
    client = h11.Connection(h11.CLIENT)
    peer = port.connect()
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
        assert port.answers.heads[-1].headers == ((b"host", b"a"),)
        client.start_next_cycle()
    assert len(port.answers.heads) == 2


LENGTH = POST + b"Content-Length: "
ENCODING = POST + b"Transfer-Encoding: "
LINE = b"GET / HTTP/1.1\r\n"
LAST = b"\r\n\r\n0\r\n\r\n"
BAD = [
    LENGTH + b"1\r\nTransfer-Encoding: chunked" + LAST,
    ENCODING + b"chunked\r\nContent-Length: 1" + LAST,
    LENGTH + b"1\r\nContent-Length: 1\r\n\r\na",
    *(
        LENGTH + value + b"\r\n\r\na"
        for value in (b"1, 1", b"+1", b"-1", b"0x1", b"1 1", b"9" * 23)
    ),
    POST + b"Content-Length:\r\n\r\na",
    POST + b"Content-Length : 1\r\n\r\na",
    POST + b"Transfer-Encoding : chunked" + LAST,
    ENCODING + b"gzip\r\n\r\na",
    ENCODING + b"gzip, chunked" + LAST,
    ENCODING + b"identity\r\nContent-Length: 1\r\n\r\na",
    ENCODING + b"x\r\nTransfer-Encoding: chunked" + LAST,
    ENCODING.replace(b"1.1", b"1.0") + b"chunked" + LAST,
    b"GET / HTTP/1.1\n" + HOST + b"\r\n",
    LINE + b"Host: a\n\r\n",
    LINE + HOST + b"\n",
    b"\n" + LINE + HOST + b"\r\n",
    *(
        LINE + HOST + header + b"\r\n\r\n"
        for header in (b"X: a\rY: b", b"X: a\r\n b", b"X: a\x00b", b": b", b"Host: a")
    ),
    LINE + b" Host: a\r\n\r\n",
    LINE + b"\r\n",
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
    [(400, data) for data in BAD] + [(431, data) for data in TOO_LARGE],
)
def test_broken_framing_is_refused_and_nothing_passed_on(port, status, data, step):
    """Guards against requests that two parsers would split differently."""
    if step and len(data) > 1000:
        step = 1000
    peer = port.connect()
    peer.send(data, step)
    peer.run_until(lambda: peer.is_closed)
    assert peer.received.startswith(b"HTTP/1.1 %d " % status)
    assert b"cuminhatch-outcome: not-run\r\n" in peer.received
    assert b"connection: close\r\n" in peer.received
    assert not peer.is_reset
    assert port.answers.messages == []


def test_requests_before_a_broken_one_are_answered_in_order(port):
    """Guards against a fault that takes the caller's other answers along."""
    peer = port.connect()
    port.answers.is_echoing = False
    peer.send(GET % 1 + GET % 2 + b"GET / HTTP/1.1\nHost: a\r\n\r\n" + GET % 3)
    settle(port.kernel)
    for request_id in (1, 2):
        port.answers.answer(request_id, b"body")
        settle(port.kernel)
    peer.run_until(lambda: peer.is_closed)
    assert answers_in(peer.received) == [1, 2]
    assert peer.received.count(b"HTTP/1.1 400 ") == 1
    assert [head.target for head in port.answers.heads] == [b"/1", b"/2"]


def test_broken_chunk_after_part_was_passed_on_is_reported_as_unknown(port):
    """Guards against a "not run" for a request that may have run."""
    peer = port.connect(CHUNKED + b"5000\r\n" + b"a" * 0x5000 + b"\r\n")
    run_until(port.kernel, lambda: port.answers.messages)
    peer.send(b"zz\r\n")
    peer.run_until(lambda: peer.is_closed)
    assert b"HTTP/1.1 400 " in peer.received
    assert b"cuminhatch-outcome: unknown\r\n" in peer.received
    run_until(port.kernel, lambda: port.answers.count(CallerLeft) == 1)
    assert not any(getattr(m, "is_complete", False) for m in port.answers.messages)


def test_many_pipelined_requests_are_answered_in_order(port):
    """Guards against a backlog that stops reading for good."""
    peer = port.connect(
        b"".join(GET % n for n in range(500)) + CHUNKED + b"1\r\na\r\n0\r\n\r\n"
    )
    peer.run_until(lambda: len(answers_in(peer.received)) == 501)
    assert answers_in(peer.received) == list(range(1, 502))


def test_continue_is_sent_when_the_body_is_asked_for(port):
    """Guards against bodies sent for requests that are refused."""
    head = POST + b"Content-Length: 3\r\nExpect: 100-continue\r\n\r\n"
    peer = port.connect(head)
    settle(port.kernel)
    peer.read()
    assert peer.received == b""
    port.send(RequestReadResumed(1))
    peer.run_until(lambda: peer.received == b"HTTP/1.1 100 Continue\r\n\r\n")
    peer.send(b"abc")
    peer.run_until(lambda: peer.received.endswith(b"\r\n\r\nabc"))
    refused = port.connect(head)
    settle(port.kernel)
    port.send(RequestRefused(2, 503, Outcome.NOT_RUN, "no-capacity", b"r-2"))
    refused.run_until(lambda: refused.is_closed)
    assert refused.received.startswith(b"HTTP/1.1 503 ")
    assert b"100 Continue" not in refused.received
    assert b"x-request-id: r-2\r\n" in refused.received


@pytest.mark.parametrize("is_paused", [False, True])
def test_big_request_body_waits_for_its_receiver(port, is_paused):
    """Guards against a body that fills the daemon's memory."""
    peer = port.begin(POST + b"Content-Length: %d\r\n\r\n" % SIZE)
    if is_paused:
        port.send(RequestReadResumed(1))
        port.send(RequestReadPaused(1))
        settle(port.kernel)
    sent = fill(peer, lambda sent: BIG[: SIZE - sent])
    passed = len(port.answers.bodies[1])
    assert passed <= (0 if is_paused else 2 * MAX_UNASKED_BYTES)
    # A caller that is held back is not too slow.
    port.wait(2 * DEFAULT_LIMITS.body_progress_ms)
    port.send(RequestReadResumed(1))
    peer.send(b"x" * (SIZE - sent))
    run_until(port.kernel, lambda: port.answers.messages[-1].is_complete)
    assert len(port.answers.bodies[1]) == SIZE


def test_slow_reader_stalls_the_answer_and_gets_all_of_it(port):
    """Guards against answers that pile up in memory or lose parts."""
    peer = port.begin(GET % 1)
    port.answers.answer(1, b"", is_complete=False, length=None)
    parts = 0
    while not port.answers.count(CallerStalled):
        port.send(ResponseBody(1, BIG[:WRITE_HIGH_BYTES], False))
        parts += 1
        settle(port.kernel, 2)
    peer.run_until(lambda: port.answers.count(CallerResumed))
    port.send(ResponseBody(1, b"the end", True))
    peer.run_until(lambda: peer.received.endswith(b"0\r\n\r\n"))
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    client.send(h11.EndOfMessage())
    assert read_body(client, peer) == BIG[:WRITE_HIGH_BYTES] * parts + b"the end"


def test_pipelining_caller_that_does_not_read_is_bounded(port):
    """Guards against complete answers that pile up in memory."""
    peer = port.connect()
    request = POST + b"Content-Length: 60000\r\n\r\n" + b"x" * 60000
    fill(peer, lambda sent: request[sent % len(request) :])
    port.wait(DEFAULT_LIMITS.answer_progress_ms + 2 * SWEEP_INTERVAL_MS)
    assert port.listener.connection_count == 0


def test_caller_that_leaves_is_reported_once(port):
    """Guards against work for nobody."""
    peer = port.begin(GET % 1)
    assert port.listener.exchange_count == 1
    peer.sock.close()
    run_until(port.kernel, lambda: port.answers.count(CallerLeft))
    port.answers.answer(1, b"late")
    settle(port.kernel)
    assert port.answers.count(CallerLeft) == 1
    assert port.listener.connection_count == port.listener.exchange_count == 0


FAILED = RequestRefused(1, 504, Outcome.UNKNOWN, "internal-error")


@pytest.mark.parametrize("end", [ResponseAborted(1), FAILED], ids=["aborted", "failed"])
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_answer_that_breaks_off_is_not_taken_for_whole(port, version, end):
    """Guards against a truncated answer, above all one without a length."""
    peer = port.begin(GET.replace(b"1.1", version) % 1)
    port.answers.answer(1, b"part", is_complete=False, length=None)
    peer.run_until(lambda: b"part" in peer.received)
    port.send(end)
    peer.run_until(lambda: peer.is_closed)
    assert peer.is_reset


def test_answer_without_length_to_http_1_0_ends_with_the_connection(port):
    """Guards against chunks sent to a caller that does not know them."""
    peer = port.begin(b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
    port.answers.answer(1, b"part", is_complete=False, length=None)
    port.send(ResponseBody(1, b"end", True))
    peer.run_until(lambda: peer.is_closed)
    assert peer.received.endswith(b"connection: close\r\n\r\npartend")
    assert not peer.is_reset


def test_early_answer_reaches_a_caller_that_is_still_sending(port):
    """Guards against a reset that destroys an answer in flight."""
    peer = port.begin(POST + b"Content-Length: 10000000\r\n\r\n")
    port.send(RequestRefused(1, 503, Outcome.NOT_RUN, "no-capacity"))
    peer.send(b"x" * 3_000_000)
    peer.run_until(lambda: peer.is_closed)
    assert peer.received.endswith(b"no-capacity\n")
    assert not peer.is_reset
    port.wait(DEFAULT_LIMITS.linger_ms)
    assert port.listener.connection_count == 0


@pytest.mark.parametrize(
    ("data", "limit"),
    [
        (b"", "idle_age_ms"),
        (b"GET / HT", "head_ms"),
        (GET % 1 + b"GET / HT", "head_ms"),
        (POST + b"Content-Length: 3\r\n\r\na", "body_progress_ms"),
        (CHUNKED + b"3\r\na", "body_progress_ms"),
    ],
)
def test_callers_without_progress_are_closed(port, data, limit):
    """Guards against connections that are held for ever."""
    peer = port.connect(data)
    settle(port.kernel)
    limit_ms = getattr(DEFAULT_LIMITS, limit)
    port.wait(limit_ms - 2 * SWEEP_INTERVAL_MS)
    assert port.listener.connection_count == 1
    port.wait(2 * SWEEP_INTERVAL_MS)
    assert port.listener.connection_count == port.listener.exchange_count == 0
    peer.run_until(lambda: peer.is_closed)


def test_head_sent_byte_by_byte_has_a_deadline(port):
    """Guards against heads that keep a connection for hours."""
    peer = port.connect()
    for byte in b"GET / HTTP/1.1":
        peer.send(bytes([byte]))
        port.wait(0)
    assert port.listener.connection_count == 0


def test_callers_above_the_limit_wait_for_a_place():
    """Guards against more connections than the memory is meant for."""
    port = Port(connections=2)
    peers = [port.connect(GET % 1) for _ in range(3)]
    settle(port.kernel)
    assert port.listener.connection_count == 2
    assert port.answers.count(RequestReceived) == 2
    peers[0].sock.close()
    peers[2].run_until(lambda: peers[2].received)
    assert port.listener.connection_count == 2


def test_drain_cuts_off_nothing(port):
    """Guards against requests lost when a daemon stops."""
    port.answers.is_echoing = False
    idle, busy, uploading, fresh = (port.connect() for _ in range(4))
    idle.send(GET % 1)
    run_until(port.kernel, lambda: port.answers.messages)
    port.answers.answer(1, b"first")
    idle.run_until(lambda: idle.received)
    busy.send(GET % 2)
    uploading.send(POST + b"Content-Length: 3\r\n\r\na")
    run_until(port.kernel, lambda: port.listener.exchange_count == 2)
    queued = port.connect()
    queued.sock.send(GET % 4)
    port.send(DrainStarted())
    idle.run_until(lambda: idle.is_closed)
    with pytest.raises(ConnectionRefusedError):
        port.connect()
    fresh.send(GET % 5)
    uploading.send(b"bc")
    run_until(port.kernel, lambda: port.answers.count(RequestBody) == 1)
    run_until(port.kernel, lambda: port.listener.exchange_count == 4)
    for request_id in range(2, 6):
        port.answers.answer(request_id, b"last")
    for peer in (busy, uploading, fresh, queued):
        peer.run_until(lambda peer=peer: peer.is_closed)
        assert peer.received.endswith(b"\r\nconnection: close\r\n\r\nlast")
        assert not peer.is_reset
    port.wait(DEFAULT_LIMITS.linger_ms)
    assert port.listener.connection_count == port.listener.exchange_count == 0


def test_drain_closes_connections_that_never_send():
    """Guards against a drain that waits for callers without a request."""
    port = Port(drain_first_request_ms=1000)
    peer = port.connect()
    run_until(port.kernel, lambda: port.listener.connection_count)
    port.send(DrainStarted())
    port.wait(1000)
    assert port.listener.connection_count == 0
    peer.run_until(lambda: peer.is_closed)


def test_drain_is_finished_when_the_last_connection_has_closed(port):
    """Guards against a daemon that ends too early, or only at its limit."""
    reports = port.record_drain()
    peer = port.begin(GET % 1)
    port.send(DrainStarted())
    settle(port.kernel)
    assert reports == []
    port.answers.answer(1, b"last")
    peer.run_until(lambda: peer.is_closed)
    assert peer.received.endswith(b"last")
    peer.sock.close()
    run_until(port.kernel, lambda: reports)
    settle(port.kernel)
    assert reports == [DrainFinished("callers")]


def test_drain_without_connections_is_finished_at_once(port):
    """Guards against a stop that waits for callers which do not exist."""
    reports = port.record_drain()
    port.send(DrainStarted())
    settle(port.kernel)
    assert reports == [DrainFinished("callers")]


@pytest.fixture
def pipelined():
    return Port(pipelined=3)


def test_pipelined_reads_are_passed_on_together(pipelined):
    """
    Guards against a short read that waits for the long one before it.

    At most three are answered at the same time; answers leave in order,
    whichever is there first.
    """
    peer = pipelined.begin(b"".join(GET % n for n in range(5)))
    run_until(pipelined.kernel, lambda: len(pipelined.answers.heads) == 3)
    settle(pipelined.kernel, 10)
    assert len(pipelined.answers.heads) == 3
    for request_id in (3, 2):
        pipelined.answers.answer(request_id, b"later")
    settle(pipelined.kernel, 10)
    peer.read()
    assert not peer.received
    pipelined.answers.answer(1, b"first")
    run_until(pipelined.kernel, lambda: len(pipelined.answers.heads) == 5)
    for request_id in (5, 4):
        pipelined.answers.answer(request_id, b"last")
    peer.run_until(lambda: len(answers_in(peer.received)) == 5)
    assert answers_in(peer.received) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize(
    "second",
    [
        POST + b"Content-Length: 1\r\n\r\na",
        b"GET / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\n\r\na",
        b"GET / HTTP/1.1\r\n" + HOST,
    ],
)
def test_only_whole_reads_are_passed_on_before_their_turn(pipelined, second):
    """Guards against effects of a request whose connection then ends."""
    pipelined.begin(GET % 1 + second)
    settle(pipelined.kernel, 10)
    assert len(pipelined.answers.heads) == 1


def test_nothing_is_passed_on_behind_the_last_request(pipelined):
    """Guards against a read whose answer can't be sent."""
    closing = b"GET /1 HTTP/1.1\r\nConnection: close\r\n" + HOST + b"\r\n"
    pipelined.begin(closing + GET % 2)
    settle(pipelined.kernel, 10)
    assert len(pipelined.answers.heads) == 1


def test_caller_that_leaves_takes_its_pipelined_requests_along(pipelined):
    """Guards against work for a caller that has gone."""
    peer = pipelined.begin(GET % 1 + GET % 2)
    run_until(pipelined.kernel, lambda: len(pipelined.answers.heads) == 2)
    peer.sock.close()
    run_until(pipelined.kernel, lambda: pipelined.answers.count(CallerLeft) == 2)
    assert pipelined.listener.exchange_count == 0


def test_answer_that_breaks_off_waits_for_those_before_it(pipelined):
    """Guards against a broken answer that cuts an earlier one."""
    peer = pipelined.begin(GET % 1 + GET % 2 + GET % 3)
    run_until(pipelined.kernel, lambda: len(pipelined.answers.heads) == 3)
    pipelined.answers.answer(2, b"part", is_complete=False, length=100)
    pipelined.send(ResponseAborted(2))
    settle(pipelined.kernel, 10)
    pipelined.answers.answer(1, b"first")
    peer.run_until(lambda: peer.is_closed)
    assert b"first" in peer.received
    run_until(pipelined.kernel, lambda: pipelined.answers.count(CallerLeft) == 1)
    assert pipelined.listener.exchange_count == 0


def test_refusal_of_a_pipelined_request_keeps_its_place(pipelined):
    """Guards against a refusal that is taken for the answer before it."""
    peer = pipelined.begin(GET % 1 + GET % 2)
    run_until(pipelined.kernel, lambda: len(pipelined.answers.heads) == 2)
    refusal = RequestRefused(2, 503, Outcome.NOT_RUN, "servers-full", b"", 100.0)
    pipelined.send(refusal)
    settle(pipelined.kernel, 10)
    pipelined.answers.answer(1, b"first")
    peer.run_until(lambda: b"servers-full\n" in peer.received)
    assert peer.received.index(b"first") < peer.received.index(b" 503 ")


def test_long_answer_that_waits_is_stalled(pipelined):
    """Guards against memory for answers that wait for a slow one."""
    peer = pipelined.begin(GET % 1 + GET % 2)
    run_until(pipelined.kernel, lambda: len(pipelined.answers.heads) == 2)
    size = WRITE_HIGH_BYTES + 1
    pipelined.answers.answer(2, bytes(size), is_complete=False, length=size + 1)
    run_until(pipelined.kernel, lambda: pipelined.answers.count(CallerStalled) == 1)
    pipelined.answers.answer(1, b"first")
    peer.run_until(lambda: pipelined.answers.count(CallerResumed) == 1)
    pipelined.send(ResponseBody(2, b"a", True))
    peer.run_until(lambda: peer.received.endswith(b"a"))
    assert pipelined.listener.exchange_count == 0


def test_drain_answers_pipelined_requests_that_were_passed_on(pipelined):
    """Guards against reads that are cut off when a daemon stops."""
    peer = pipelined.begin(GET % 1 + GET % 2)
    run_until(pipelined.kernel, lambda: len(pipelined.answers.heads) == 2)
    pipelined.send(DrainStarted())
    settle(pipelined.kernel, 4)
    pipelined.answers.answer(1, b"first")
    pipelined.answers.answer(2, b"second")
    peer.run_until(lambda: peer.is_closed)
    assert peer.received.count(b"connection: close") == 1
    assert peer.received.endswith(b"\r\nconnection: close\r\n\r\nsecond")
