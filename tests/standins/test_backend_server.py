"""Tests of the stand-in for a backend server."""

import json
import socket

import pytest

from cuminhatch import ManualClock
from cuminhatch.codecs.http1 import Header, find_header
from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel, Service
from cuminhatch.messages import (
    Address,
    CallerDisconnected,
    CallerResumed,
    CallerStalled,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch_standins._fault_injector import FaultInjector, FaultsChanged
from cuminhatch_standins._faults import change_faults, make_disabled_faults
from cuminhatch_standins._listener import SilentFaultEnabled, StandinListener
from cuminhatch_standins._responses import CompleteRequest
from cuminhatch_standins.backend_server import (
    CHUNK_BYTES,
    FAULTS,
    BackendServer,
    BackendSettings,
)
from tests.support import (
    WAIT_TIMEOUT_S,
    Recorder,
    run_ticks,
    run_until,
    running_standin,
)

REQUEST = b"GET /work HTTP/1.1\r\nHost: x\r\n\r\n"
SETTINGS = BackendSettings(slots=2, queue=1, work_ms=10.0)


class RecordingListener(Service):
    """Replaces the listener and records the responses."""

    name = "callers"
    is_slow = False

    def __init__(self, kernel):
        super().__init__(kernel)
        self.heads = {}
        self.bodies = {}
        self.aborted = []

    def message_handlers(self):
        return {
            ResponseStarted: self._on_started,
            ResponseBody: self._on_body,
            ResponseAborted: lambda message: self.aborted.append(message.request_id),
        }

    def _on_started(self, message):
        self.heads[message.request_id] = message.head
        self.bodies[message.request_id] = b""
        self._on_body(message)

    def _on_body(self, message):
        self.bodies[message.request_id] += message.data
        if self.is_slow:
            self.send("backend_server", CallerStalled(message.request_id))


class Harness:
    """Runs the server with a manual clock and without HTTP."""

    def __init__(self, settings=SETTINGS):
        self.kernel = Kernel(ManualClock())
        self.listener = self.kernel.register(RecordingListener(self.kernel))
        supervisor = Recorder(self.kernel, SUPERVISOR, HandlerFailed)
        self.failures = self.kernel.register(supervisor).received
        self.kernel.register(BackendServer(self.kernel, settings))
        self.faults = make_disabled_faults(FAULTS)
        self.next_id = 1000

    def run(self, ms=0.0):
        self.kernel.clock.advance(ms)
        run_ticks(self.kernel, 20)
        assert self.failures == []

    def request(self, request_id, target="/work", method="GET", headers=(), **query):
        query = {name: str(value) for name, value in query.items()}
        headers, now_ms = tuple(Header(*h) for h in headers), self.kernel.clock.now_ms
        request = CompleteRequest(
            request_id, method, target, query, headers, b"", now_ms
        )
        self.send(request)

    def request_all(self, *request_ids):
        for request_id in request_ids:
            self.request(request_id)

    def send(self, message):
        self.kernel.send("backend_server", message)
        self.run()

    def set_faults(self, **faults):
        body = json.dumps(faults).encode()
        self.faults = change_faults(FAULTS, self.faults, body)
        self.send(FaultsChanged(frozenset(faults), self.faults))

    def status(self, request_id):
        head = self.listener.heads.get(request_id)
        return None if head is None else head.status

    def statuses(self, *request_ids):
        return [self.status(request_id) for request_id in request_ids]

    def header(self, request_id, name):
        return find_header(self.listener.heads[request_id].headers, name)

    def get_json(self, target):
        """Send a request with a new id and return the JSON of its response."""
        self.next_id += 1
        self.request(self.next_id, target)
        return json.loads(self.listener.bodies[self.next_id])

    def is_refused_as_not_run(self, request_id):
        outcome = self.header(request_id, b"request-outcome")
        return (self.status(request_id), outcome) == (503, b"not-run")


@pytest.fixture
def harness():
    return Harness()


def test_full_queue_sheds_requests_that_are_not_run(harness):
    """Guards against "not run" responses to requests that have run."""
    for request_id in range(1, 5):
        key = str(request_id).encode()
        harness.request(request_id, headers=[(b"idempotency-key", key)])
    assert harness.is_refused_as_not_run(4)
    assert [run["key"] for run in harness.get_json("/runs")] == ["1", "2"]
    assert harness.get_json("/load") == {"in_flight": 2, "queued": 1, "slots": 2}
    harness.run(10)
    assert harness.statuses(1, 2, 3) == [200, 200, None]
    assert [run["key"] for run in harness.get_json("/runs")] == ["1", "2", "3"]
    harness.run(10)
    assert harness.status(3) == 200
    assert harness.header(3, b"load-report") == b"in_flight=0, queued=0, slots=2"


def test_request_past_its_deadline_is_not_run(harness):
    """Guards against requests that start after their deadline."""
    harness.request_all(1, 2)
    harness.request(3, headers=[(b"request-deadline-ms", b"5")])
    harness.run(5)
    assert harness.is_refused_as_not_run(3)
    harness.run(5)
    harness.request(4, headers=[(b"request-deadline-ms", b"0")])
    assert harness.status(4) == 503
    assert len(harness.get_json("/runs")) == 2


def test_cancelled_request_frees_its_slot(harness):
    """Guards against slots that are never freed when callers disconnect."""
    harness.request_all(1, 2, 3)
    harness.send(CallerDisconnected(1))
    assert harness.get_json("/load") == {"in_flight": 2, "queued": 0, "slots": 2}
    harness.run(10)
    assert harness.statuses(1, 3) == [None, 200]
    assert harness.get_json("/load")["in_flight"] == 0


def test_drain_refuses_new_requests_and_finishes_the_others(harness):
    """Guards against a drain that aborts running requests."""
    harness.request_all(1, 2, 3)
    harness.request(4, "/drain", "POST")
    harness.request(5)
    harness.request(6, "/health")
    harness.run(10)
    harness.run(10)
    assert harness.statuses(1, 2, 3, 5, 6) == [200, 200, 200, 503, 503]
    assert harness.is_refused_as_not_run(5)
    for request_id in (1, 2, 3, 4, 5, 6):
        assert harness.header(request_id, b"server-state") == b"draining"


def test_cold_and_slow_requests_take_longer():
    """Guards against a slow start or ``slow`` fault without effect."""
    harness = Harness(SETTINGS._replace(cold_ms=100.0, cold_factor=3.0))
    harness.request(1)
    harness.run(29)
    assert harness.status(1) is None
    harness.run(1)
    assert harness.status(1) == 200
    harness.run(70)
    harness.set_faults(slow=2)
    harness.request(2)
    harness.run(19)
    assert harness.status(2) is None
    harness.run(1)
    assert harness.status(2) == 200


def test_stale_load_is_frozen_or_old(harness):
    """Guards against a ``stale_load`` fault that reports current load."""
    harness.request(1)
    harness.set_faults(stale_load=True)
    harness.run(10)
    assert harness.get_json("/load")["in_flight"] == 1
    harness.set_faults(stale_load=7)
    harness.request(2)
    harness.run(6)
    assert harness.get_json("/load")["in_flight"] == 0
    harness.run(1)
    assert harness.get_json("/load")["in_flight"] == 1
    harness.run(3)
    assert harness.get_json("/load")["in_flight"] == 1
    harness.set_faults(stale_load=False)
    assert harness.get_json("/load")["in_flight"] == 0


def test_shed_and_fail_fast_requests_do_not_run(harness):
    """Guards against refused requests that are listed as runs."""
    harness.set_faults(shed=True)
    harness.request(1)
    harness.set_faults(shed=False, fail_fast=True)
    harness.request(2)
    assert harness.is_refused_as_not_run(1)
    assert harness.status(2) == 500
    assert harness.header(2, b"request-outcome") is None
    assert harness.get_json("/runs") == []


def test_frozen_request_has_run_without_a_response(harness):
    """Guards against a freeze that lets running requests get responses."""
    harness.request(1)
    harness.set_faults(freeze=True)
    harness.run(10)
    assert harness.status(1) is None
    assert len(harness.get_json("/runs")) == 1


def test_cut_response_is_aborted_after_its_head(harness):
    """Guards against a ``cut`` fault that sends a complete response."""
    harness.set_faults(cut=True)
    harness.request(1, bytes=0)
    harness.run(10)
    assert (harness.status(1), harness.listener.bodies[1]) == (200, b"")
    assert harness.listener.aborted == [1]


def test_large_response_pauses_while_the_caller_is_stalled(harness):
    """Guards against large responses that are buffered in memory."""
    size = 100 * CHUNK_BYTES + 1
    harness.request(1, bytes=size)
    harness.send(CallerStalled(1))
    harness.run(10)
    sent = len(harness.listener.bodies[1])
    assert sent <= 2 * CHUNK_BYTES
    assert harness.get_json("/load")["in_flight"] == 1
    harness.send(CallerResumed(1))
    for _ in range(20):
        harness.run()
    assert len(harness.listener.bodies[1]) == size
    assert harness.get_json("/load")["in_flight"] == 0


def test_caller_that_stalls_briefly_gets_one_sequence_of_chunks(harness):
    """Guards against extra chunks after each stall of the caller."""
    harness.listener.is_slow = True
    harness.request(1, bytes=1000 * CHUNK_BYTES)
    harness.run(10)
    before = len(harness.listener.bodies[1])
    for _ in range(10):
        harness.kernel.send("backend_server", CallerStalled(1))
        harness.kernel.send("backend_server", CallerResumed(1))
    harness.run()
    sent = len(harness.listener.bodies[1]) - before
    # The listener stalls the response at each chunk. One sequence of chunks
    # sends one before that message arrives, and one after it.
    assert 0 < sent <= 2 * CHUNK_BYTES


@pytest.mark.parametrize("query", [{"ms": "x"}, {"ms": "nan"}, {"bytes": -1}])
def test_bad_query_is_refused(harness, query):
    """Guards against a handler that fails without a response."""
    harness.request(1, **query)
    assert harness.status(1) == 400


# Over HTTP


def assert_nothing_received(sock):
    sock.setblocking(False)
    with pytest.raises(BlockingIOError):
        sock.recv(100)


@pytest.fixture(scope="module")
def server():
    with running_standin("backend_server", slots=4, work_ms=0) as server:
        yield server


def test_echo_returns_the_body_with_any_framing(server):
    """Guards against bodies with lost or repeated chunks."""
    body = bytes(range(256)) * 2000
    assert server.request("POST", "/echo", body).body == body
    parts = [body[i : i + 10_000] for i in range(0, len(body), 10_000)]
    assert server.request("POST", "/echo", iter(parts)).body == body


def test_large_response_arrives_complete(server):
    """Guards against flow control that stays stalled or loses chunks."""
    size = 20_000_000
    assert server.request("GET", f"/work?bytes={size}").body == b"x" * size


def test_faults_are_read_back_and_unknown_ones_refused(server):
    """Guards against misspelt faults that are ignored silently."""
    assert server.request("POST", "/faults", '{"slwo": 2}').status == 400
    server.set_faults(slow=2)
    assert server.request("GET", "/faults").value["slow"] == 2
    server.set_faults(slow=1)


def test_silent_connection_stays_silent_and_new_ones_work(server):
    """Guards against a silenced connection that is closed or gets data."""
    with socket.create_connection(server.address, WAIT_TIMEOUT_S) as old:
        old.sendall(REQUEST)
        assert old.recv(4096).startswith(b"HTTP/1.1 200")
        server.set_faults(silent=True)
        old.sendall(REQUEST)
        assert server.request("GET", "/work").status == 200
        assert_nothing_received(old)
        server.set_faults(silent=False)
        # Closed by now, perhaps with a reset, since a request was not read.
        old.settimeout(WAIT_TIMEOUT_S)
        try:
            assert old.recv(100) == b""
        except ConnectionResetError:
            pass


def test_request_running_when_its_connection_is_silenced_gets_no_response():
    """Guards against a response on a silenced connection."""
    kernel = Kernel(ManualClock())
    kernel.register(BackendServer(kernel, SETTINGS))
    kernel.register(FaultInjector(kernel, "backend_server", FAULTS))
    address = Address("127.0.0.1", 0)
    listener = kernel.register(StandinListener(kernel, address, "front"))
    kernel.open()

    def finish_work():
        run_ticks(kernel)
        kernel.clock.advance(SETTINGS.work_ms)
        run_ticks(kernel)

    with (
        socket.create_connection(listener.address, WAIT_TIMEOUT_S) as old,
        socket.create_connection(listener.address, WAIT_TIMEOUT_S) as older,
    ):
        older.sendall(REQUEST)
        run_until(kernel, lambda: listener.exchange_count == 1)
        finish_work()
        assert older.recv(4096).startswith(b"HTTP/1.1 200")
        old.sendall(REQUEST)
        run_until(kernel, lambda: listener.exchange_count == 1)
        kernel.send(listener.name, SilentFaultEnabled())
        finish_work()
        assert_nothing_received(old)


def test_frozen_server_accepts_and_serves_again_after_the_fault(server):
    """Guards against a freeze that cannot be switched off."""
    server.set_faults(freeze=True)
    with socket.create_connection(server.address, WAIT_TIMEOUT_S) as caller:
        caller.sendall(b"GET /load HTTP/1.1\r\nHost: x\r\n\r\n")
        server.set_faults(freeze=False)
        assert server.request("GET", "/load").status == 200
        assert_nothing_received(caller)


def test_stats_list_each_probe_and_no_other_request(harness):
    """Guards against a probe count that misses probes beyond the budget."""
    harness.get_json("/load")
    harness.run(250.0)
    harness.get_json("/load")
    harness.request(1)
    first_ms, second_ms = harness.get_json("/stats")["probes_ms"]
    assert second_ms - first_ms == 250.0
