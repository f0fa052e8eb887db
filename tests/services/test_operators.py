"""Tests of the operators' port over loopback."""

import json
import socket

import pytest

from cuminhatch import ManualClock
from cuminhatch.decisions.hybrid_clock import Stamp
from cuminhatch.decisions.notes import NoteAccepted, NoteOutcomeUnknown, NoteRefused
from cuminhatch.decisions.timeline import TimelineEvent
from cuminhatch.kernel import SUPERVISOR, Kernel
from cuminhatch.messages import (
    Address,
    DrainRequested,
    MetricsReplied,
    MetricsRequested,
    NoteDecided,
    NoteSubmitted,
    StatusReported,
    TimelineReplied,
    TimelineRequested,
)
from cuminhatch.services.operators import (
    MAX_CLIENTS,
    MAX_REQUEST_BYTES,
    REQUEST_LIMIT_MS,
    Operators,
)
from tests.support import Recorder

KEY = "operators-key"
NOTE = b'id = "n1"\nauthor = "ann"\nsummary = "first"\n'
EVENT = TimelineEvent(Stamp(5, 0), "i1", "notes", "note-applied", "", 1, {})


REPLIES = {
    NoteSubmitted: lambda asked: NoteDecided(asked.token, NoteAccepted(1, False)),
    TimelineRequested: lambda asked: TimelineReplied(asked.token, (EVENT,)),
    MetricsRequested: lambda asked: MetricsReplied(asked.token, "text/plain", b"m 1\n"),
}
METRICS = (200, b"m 1\n")


@pytest.fixture
def kernel():
    kernel = Kernel(ManualClock())
    for name in ("notes", "timeline", "metrics", SUPERVISOR):
        kernel.register(Recorder(kernel, name, DrainRequested, replies=REPLIES))
    kernel.register(Operators(kernel, Address("127.0.0.1", 0), KEY, "i1"))
    kernel.open()
    return kernel


def part(kernel, name):
    return kernel._services[name]


def connect(kernel):
    sock = socket.create_connection(part(kernel, "operators").address)
    sock.setblocking(False)
    return sock


def pump(kernel, sock, steps=40):
    """Run the kernel and return what the socket received, None at its end."""
    data = b""
    for _ in range(steps):
        kernel.tick(0.001)
        try:
            part_read = sock.recv(65536)
        except BlockingIOError:
            continue
        except OSError:
            return None
        if not part_read:
            return data or None
        data += part_read
    return data


def ask(kernel, method, target, body=b"", key=KEY):
    head = f"{method} {target} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
    with connect(kernel) as sock:
        sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        answer = pump(kernel, sock)
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def ask_json(kernel, *arguments):
    status, body = ask(kernel, *arguments)
    return status, json.loads(body)


def test_wrong_key_is_refused_except_for_health(kernel):
    """Guards against operators' commands from anyone on the network."""
    for target in ("/status", "/metrics", "/timeline", "/nowhere"):
        assert ask(kernel, "GET", target, b"", "wrong")[0] == 401
    assert ask(kernel, "POST", "/drain", b"", "wrong")[0] == 401
    assert part(kernel, SUPERVISOR).received == []
    assert ask(kernel, "GET", "/health", b"", "wrong")[0] == 503


def test_health_follows_readiness(kernel):
    """Guards against callers that are sent to an instance not ready."""
    report = StatusReported("readiness", {"ready": True, "not_ready": {}})
    kernel.send("operators", report)
    assert ask_json(kernel, "GET", "/health") == (200, {"ready": True, "not_ready": {}})


@pytest.mark.parametrize(
    ("result", "status", "outcome"),
    [
        (NoteAccepted(1, False), 200, "accepted"),
        (NoteRefused("conflict"), 409, "refused"),
        (NoteOutcomeUnknown("store"), 504, "unknown"),
    ],
)
def test_submission_tells_the_outcome(kernel, result, status, outcome):
    """Guards against an operator who believes the wrong outcome."""
    replies = part(kernel, "notes").replies
    replies[NoteSubmitted] = lambda asked: NoteDecided(asked.token, result)
    answer = ask_json(kernel, "POST", "/notes", NOTE)
    assert (answer[0], answer[1]["outcome"]) == (status, outcome)


def test_replies_of_other_services(kernel):
    """Guards against answers that are never sent or belong to another."""
    events = ask_json(kernel, "GET", "/timeline?note=1")[1]["events"]
    assert events[0]["stamp"] == [5, 0]
    assert ask(kernel, "GET", "/metrics") == METRICS
    assert ask(kernel, "POST", "/drain")[0] == 200
    assert part(kernel, SUPERVISOR).received == [DrainRequested("operator")]
    assert ask(kernel, "GET", "/nowhere")[0] == 404


@pytest.mark.parametrize(
    "data",
    [
        b"\x00" * 100,
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET /status HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        b"GET /status HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
        b"POST /notes HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"POST /notes HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
        b"Content-Length: 3\r\n\r\nabc",
        b"POST /notes HTTP/1.1\r\nHost: x\r\nAuthorization: \xff\xfe\r\n\r\n",
    ],
)
def test_hostile_input_changes_nothing(kernel, data):
    """Guards against bytes that stop the port for everyone else."""
    with connect(kernel) as sock:
        sock.sendall(data)
        pump(kernel, sock)
    assert ask(kernel, "GET", "/metrics") == METRICS


def test_slow_client_is_closed_and_blocks_nobody(kernel):
    """Guards against a request that arrives byte by byte or never ends."""
    slow = connect(kernel)
    for byte in b"GET /health HTTP/1.1\r\nHo":
        slow.sendall(bytes([byte]))
        kernel.tick(0.001)
    assert ask(kernel, "GET", "/metrics") == METRICS
    kernel.clock.advance(REQUEST_LIMIT_MS)
    assert pump(kernel, slow) is None


def test_complete_request_waits_for_a_late_reply(kernel):
    """Guards against a submitter cut off just before the outcome is known."""
    part(kernel, "notes").replies.clear()
    with connect(kernel) as sock:
        head = f"POST /notes HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        sock.sendall(f"{head}Content-Length: {len(NOTE)}\r\n\r\n".encode() + NOTE)
        assert pump(kernel, sock) == b""
        kernel.clock.advance(REQUEST_LIMIT_MS)
        assert pump(kernel, sock) == b""
        kernel.send("operators", NoteDecided(1, NoteAccepted(1, False)))
        assert b"accepted" in pump(kernel, sock)


def test_clients_and_bytes_are_bounded(kernel):
    """Guards against memory and descriptors that a stranger can use up."""
    sock = connect(kernel)
    sock.sendall(b"POST /notes HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n")
    chunk = b"x" * 65536
    for _ in range(2 * MAX_REQUEST_BYTES // len(chunk)):
        try:
            sock.send(chunk)
        except OSError:
            pass
        kernel.tick(0.001)
    assert pump(kernel, sock, steps=200) is None
    clients = [connect(kernel) for _ in range(MAX_CLIENTS + 5)]
    for client in clients:
        pump(kernel, client, steps=2)
    closed = sum(pump(kernel, client, steps=3) is None for client in clients)
    assert closed >= 5
