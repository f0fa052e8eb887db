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
    REQUEST_TIMEOUT_MS,
    Operators,
)
from tests.support import Recorder

KEY = "operators-key"
NOTE = b'id = "n1"\nauthor = "ann"\nsummary = "first"\n'
EVENT = TimelineEvent(Stamp(5, 0), "i1", "notes", "note-applied", "", 1, {})


REPLIES = {
    NoteSubmitted: lambda request: NoteDecided(request.token, NoteAccepted(1, False)),
    TimelineRequested: lambda request: TimelineReplied(request.token, (EVENT,)),
    MetricsRequested: lambda request: MetricsReplied(
        request.token, "text/plain", b"m 1\n"
    ),
}
METRICS_RESPONSE = (200, b"m 1\n")


@pytest.fixture
def kernel():
    kernel = Kernel(ManualClock())
    for name in ("notes", "timeline", "metrics", SUPERVISOR):
        kernel.register(Recorder(kernel, name, DrainRequested, replies=REPLIES))
    kernel.register(Operators(kernel, Address("127.0.0.1", 0), KEY, "i1"))
    kernel.open()
    return kernel


def get_service(kernel, name):
    return kernel._services[name]


def connect(kernel):
    sock = socket.create_connection(get_service(kernel, "operators").address)
    sock.setblocking(False)
    return sock


def receive(kernel, sock, ticks=40):
    """Tick and return what the socket receives; None if it was closed."""
    data = b""
    for _ in range(ticks):
        kernel.tick(0.001)
        try:
            chunk = sock.recv(65536)
        except BlockingIOError:
            continue
        except OSError:
            return None
        if not chunk:
            return data or None
        data += chunk
    return data


def send_request(kernel, method, target, body=b"", key=KEY):
    head = f"{method} {target} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
    with connect(kernel) as sock:
        sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        response = receive(kernel, sock)
    head, _, body = response.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def request_json(kernel, *arguments):
    status, body = send_request(kernel, *arguments)
    return status, json.loads(body)


def test_wrong_key_is_refused_except_for_health(kernel):
    """Guards against operator commands from unauthorized clients."""
    for target in ("/status", "/metrics", "/timeline", "/nowhere"):
        assert send_request(kernel, "GET", target, b"", "wrong")[0] == 401
    assert send_request(kernel, "POST", "/drain", b"", "wrong")[0] == 401
    assert get_service(kernel, SUPERVISOR).received == []
    assert send_request(kernel, "GET", "/health", b"", "wrong")[0] == 503


def test_health_follows_readiness(kernel):
    """Guards against traffic routed to an instance that is not ready."""
    report = StatusReported("readiness", {"ready": True, "not_ready": {}})
    kernel.send("operators", report)
    assert request_json(kernel, "GET", "/health") == (
        200,
        {"ready": True, "not_ready": {}},
    )


@pytest.mark.parametrize(
    ("result", "status", "outcome"),
    [
        (NoteAccepted(1, False), 200, "accepted"),
        (NoteRefused("conflict"), 409, "refused"),
        (NoteOutcomeUnknown("store"), 504, "unknown"),
    ],
)
def test_submission_returns_the_outcome(kernel, result, status, outcome):
    """Guards against a wrong outcome reported to the operator."""
    replies = get_service(kernel, "notes").replies
    replies[NoteSubmitted] = lambda request: NoteDecided(request.token, result)
    response = request_json(kernel, "POST", "/notes", NOTE)
    assert (response[0], response[1]["outcome"]) == (status, outcome)


def test_replies_of_other_services_reach_the_client(kernel):
    """Guards against responses never sent or sent to another client."""
    events = request_json(kernel, "GET", "/timeline?note=1")[1]["events"]
    assert events[0]["stamp"] == [5, 0]
    assert send_request(kernel, "GET", "/metrics") == METRICS_RESPONSE
    assert send_request(kernel, "POST", "/drain")[0] == 200
    assert get_service(kernel, SUPERVISOR).received == [DrainRequested("operator")]
    assert send_request(kernel, "GET", "/nowhere")[0] == 404


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
def test_malformed_request_does_not_affect_other_clients(kernel, data):
    """Guards against malformed input that stops the port for all clients."""
    with connect(kernel) as sock:
        sock.sendall(data)
        receive(kernel, sock)
    assert send_request(kernel, "GET", "/metrics") == METRICS_RESPONSE


def test_slow_client_times_out_without_blocking_others(kernel):
    """Guards against requests that arrive byte by byte or never end."""
    slow = connect(kernel)
    for byte in b"GET /health HTTP/1.1\r\nHo":
        slow.sendall(bytes([byte]))
        kernel.tick(0.001)
    assert send_request(kernel, "GET", "/metrics") == METRICS_RESPONSE
    kernel.clock.advance(REQUEST_TIMEOUT_MS)
    assert receive(kernel, slow) is None


def test_complete_request_is_not_timed_out(kernel):
    """Guards against a closed connection before the outcome is known."""
    get_service(kernel, "notes").replies.clear()
    with connect(kernel) as sock:
        head = f"POST /notes HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        sock.sendall(f"{head}Content-Length: {len(NOTE)}\r\n\r\n".encode() + NOTE)
        assert receive(kernel, sock) == b""
        kernel.clock.advance(REQUEST_TIMEOUT_MS)
        assert receive(kernel, sock) == b""
        kernel.send("operators", NoteDecided(1, NoteAccepted(1, False)))
        assert b"accepted" in receive(kernel, sock)


def test_connections_and_request_size_are_limited(kernel):
    """Guards against clients that exhaust memory or file descriptors."""
    sock = connect(kernel)
    sock.sendall(b"POST /notes HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n")
    chunk = b"x" * 65536
    for _ in range(2 * MAX_REQUEST_BYTES // len(chunk)):
        try:
            sock.send(chunk)
        except OSError:
            pass
        kernel.tick(0.001)
    assert receive(kernel, sock, ticks=200) is None
    clients = [connect(kernel) for _ in range(MAX_CLIENTS + 5)]
    for client in clients:
        receive(kernel, client, ticks=2)
    closed = sum(receive(kernel, client, ticks=3) is None for client in clients)
    assert closed >= 5
