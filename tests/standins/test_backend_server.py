"""Tests of the stand-in for a backend server."""

import json
import socket

import pytest

from cuminhatch import ManualClock
from cuminhatch.codecs.http1 import Header, find_header
from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel, Service
from cuminhatch.messages import (
    Address,
    CallerLeft,
    CallerResumed,
    CallerStalled,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch_standins._answers import WholeRequest
from cuminhatch_standins._faults import change_faults, faults_off
from cuminhatch_standins._front import FaultsChanged, Front
from cuminhatch_standins._listener import ConnectionsSilenced, StandinListener
from cuminhatch_standins.backend_server import (
    FAULTS,
    PART_BYTES,
    BackendServer,
    BackendSettings,
)
from tests.support import GIVE_UP_S, Recorder, run_until, running_standin, settle

REQUEST = b"GET /work HTTP/1.1\r\nHost: x\r\n\r\n"
SETTINGS = BackendSettings(slots=2, queue=1, work_ms=10.0)


class Callers(Service):
    """Takes the place of the listener and keeps the answers."""

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


class Bed:
    """The server with a manual clock, without HTTP."""

    def __init__(self, settings=SETTINGS):
        self.kernel = Kernel(ManualClock())
        self.callers = self.kernel.register(Callers(self.kernel))
        supervisor = Recorder(self.kernel, SUPERVISOR, HandlerFailed)
        self.failures = self.kernel.register(supervisor).received
        self.kernel.register(BackendServer(self.kernel, settings))
        self.faults = faults_off(FAULTS)
        self.next_id = 1000

    def run(self, ms=0.0):
        self.kernel.clock.advance(ms)
        settle(self.kernel, 20)
        assert self.failures == []

    def request(self, request_id, target="/work", method="GET", headers=(), **query):
        query = {name: str(value) for name, value in query.items()}
        headers, now_ms = tuple(Header(*h) for h in headers), self.kernel.clock.now_ms
        request = WholeRequest(request_id, method, target, query, headers, b"", now_ms)
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
        head = self.callers.heads.get(request_id)
        return None if head is None else head.status

    def statuses(self, *request_ids):
        return [self.status(request_id) for request_id in request_ids]

    def header(self, request_id, name):
        return find_header(self.callers.heads[request_id].headers, name)

    def ask(self, target):
        """Send a request of an id of its own and return the value answered."""
        self.next_id += 1
        self.request(self.next_id, target)
        return json.loads(self.callers.bodies[self.next_id])

    def is_refused_as_not_run(self, request_id):
        outcome = self.header(request_id, b"request-outcome")
        return (self.status(request_id), outcome) == (503, b"not-run")


@pytest.fixture
def bed():
    return Bed()


def test_full_queue_sheds_and_shed_work_is_no_run(bed):
    """Guards against a "not run" answer for work that has run."""
    for request_id in range(1, 5):
        key = str(request_id).encode()
        bed.request(request_id, headers=[(b"idempotency-key", key)])
    assert bed.is_refused_as_not_run(4)
    assert [run["key"] for run in bed.ask("/runs")] == ["1", "2"]
    assert bed.ask("/load") == {"in_flight": 2, "queued": 1, "slots": 2}
    bed.run(10)
    assert bed.statuses(1, 2, 3) == [200, 200, None]
    assert [run["key"] for run in bed.ask("/runs")] == ["1", "2", "3"]
    bed.run(10)
    assert bed.status(3) == 200
    assert bed.header(3, b"load-report") == b"in_flight=0, queued=0, slots=2"


def test_deadline_before_the_start_is_not_run(bed):
    """Guards against work that starts when nobody waits for it."""
    bed.request_all(1, 2)
    bed.request(3, headers=[(b"request-deadline-ms", b"5")])
    bed.run(5)
    assert bed.is_refused_as_not_run(3)
    bed.run(5)
    bed.request(4, headers=[(b"request-deadline-ms", b"0")])
    assert bed.status(4) == 503
    assert len(bed.ask("/runs")) == 2


def test_cancelled_work_frees_its_slot(bed):
    """Guards against slots that leak when callers leave."""
    bed.request_all(1, 2, 3)
    bed.send(CallerLeft(1))
    assert bed.ask("/load") == {"in_flight": 2, "queued": 0, "slots": 2}
    bed.run(10)
    assert bed.statuses(1, 3) == [None, 200]
    assert bed.ask("/load")["in_flight"] == 0


def test_drain_refuses_new_work_and_finishes_the_rest(bed):
    """Guards against running work that is cut off by a drain."""
    bed.request_all(1, 2, 3)
    bed.request(4, "/drain", "POST")
    bed.request(5)
    bed.request(6, "/health")
    bed.run(10)
    bed.run(10)
    assert bed.statuses(1, 2, 3, 5, 6) == [200, 200, 200, 503, 503]
    assert bed.is_refused_as_not_run(5)
    for request_id in (1, 2, 3, 4, 5, 6):
        assert bed.header(request_id, b"server-state") == b"draining"


def test_cold_and_slow_work_takes_longer():
    """Guards against a cold start or straggler that no test meets."""
    bed = Bed(SETTINGS._replace(cold_ms=100.0, cold_factor=3.0))
    bed.request(1)
    bed.run(29)
    assert bed.status(1) is None
    bed.run(1)
    assert bed.status(1) == 200
    bed.run(70)
    bed.set_faults(slow=2)
    bed.request(2)
    bed.run(19)
    assert bed.status(2) is None
    bed.run(1)
    assert bed.status(2) == 200


def test_stale_load_is_frozen_or_old(bed):
    """Guards against a stale report that is in truth fresh."""
    bed.request(1)
    bed.set_faults(stale_load=True)
    bed.run(10)
    assert bed.ask("/load")["in_flight"] == 1
    bed.set_faults(stale_load=7)
    bed.request(2)
    bed.run(6)
    assert bed.ask("/load")["in_flight"] == 0
    bed.run(1)
    assert bed.ask("/load")["in_flight"] == 1
    bed.run(3)
    assert bed.ask("/load")["in_flight"] == 1
    bed.set_faults(stale_load=False)
    assert bed.ask("/load")["in_flight"] == 0


def test_shed_and_fail_fast_are_no_runs(bed):
    """Guards against refusals that are counted as second runs."""
    bed.set_faults(shed=True)
    bed.request(1)
    bed.set_faults(shed=False, fail_fast=True)
    bed.request(2)
    assert bed.is_refused_as_not_run(1)
    assert bed.status(2) == 500
    assert bed.header(2, b"request-outcome") is None
    assert bed.ask("/runs") == []


def test_frozen_work_has_run_but_is_not_answered(bed):
    """Guards against a freeze that still answers what was running."""
    bed.request(1)
    bed.set_faults(freeze=True)
    bed.run(10)
    assert bed.status(1) is None
    assert len(bed.ask("/runs")) == 1


def test_cut_answer_is_aborted_after_its_head(bed):
    """Guards against a cut answer that is complete after all."""
    bed.set_faults(cut=True)
    bed.request(1, bytes=0)
    bed.run(10)
    assert (bed.status(1), bed.callers.bodies[1]) == (200, b"")
    assert bed.callers.aborted == [1]


def test_large_answer_stops_while_the_caller_is_stalled(bed):
    """Guards against answers that are built in memory as a whole."""
    size = 100 * PART_BYTES + 1
    bed.request(1, bytes=size)
    bed.send(CallerStalled(1))
    bed.run(10)
    sent = len(bed.callers.bodies[1])
    assert sent <= 2 * PART_BYTES
    assert bed.ask("/load")["in_flight"] == 1
    bed.send(CallerResumed(1))
    for _ in range(20):
        bed.run()
    assert len(bed.callers.bodies[1]) == size
    assert bed.ask("/load")["in_flight"] == 0


def test_caller_that_stalls_briefly_gets_one_series_of_parts(bed):
    """Guards against parts that multiply with every stall of the caller."""
    bed.callers.is_slow = True
    bed.request(1, bytes=1000 * PART_BYTES)
    bed.run(10)
    before = len(bed.callers.bodies[1])
    for _ in range(10):
        bed.kernel.send("backend_server", CallerStalled(1))
        bed.kernel.send("backend_server", CallerResumed(1))
    bed.run()
    sent = len(bed.callers.bodies[1]) - before
    # One series hands over one part before the stall that the part causes
    # arrives, and one behind it.
    assert 0 < sent <= 2 * PART_BYTES


@pytest.mark.parametrize("query", [{"ms": "x"}, {"ms": "nan"}, {"bytes": -1}])
def test_bad_query_is_refused(bed, query):
    """Guards against a handler that fails and never answers."""
    bed.request(1, **query)
    assert bed.status(1) == 400


# With HTTP


def assert_silent(sock):
    sock.setblocking(False)
    with pytest.raises(BlockingIOError):
        sock.recv(100)


@pytest.fixture(scope="module")
def server():
    with running_standin("backend_server", slots=4, work_ms=0) as server:
        yield server


def test_echo_answers_the_body_however_it_is_sent(server):
    """Guards against bodies that lose or repeat a part."""
    body = bytes(range(256)) * 2000
    assert server.request("POST", "/echo", body).body == body
    parts = [body[i : i + 10_000] for i in range(0, len(body), 10_000)]
    assert server.request("POST", "/echo", iter(parts)).body == body


def test_large_answer_arrives_whole(server):
    """Guards against back pressure that never ends or loses a part."""
    size = 20_000_000
    assert server.request("GET", f"/work?bytes={size}").body == b"x" * size


def test_faults_are_read_back_and_unknown_ones_refused(server):
    """Guards against a misspelt fault that silently does nothing."""
    assert server.request("POST", "/faults", '{"slwo": 2}').status == 400
    server.set_faults(slow=2)
    assert server.request("GET", "/faults").value["slow"] == 2
    server.set_faults(slow=1)


def test_silent_connection_stays_silent_and_new_ones_work(server):
    """Guards against a silent connection that is closed or answered."""
    with socket.create_connection(server.address, GIVE_UP_S) as old:
        old.sendall(REQUEST)
        assert old.recv(4096).startswith(b"HTTP/1.1 200")
        server.set_faults(silent=True)
        old.sendall(REQUEST)
        assert server.request("GET", "/work").status == 200
        assert_silent(old)
        server.set_faults(silent=False)
        # Closed by now, perhaps with a reset, since a request was unread.
        old.settimeout(GIVE_UP_S)
        try:
            assert old.recv(100) == b""
        except ConnectionResetError:
            pass


def test_work_running_when_connections_go_silent_is_not_answered():
    """Guards against an answer on a connection that is silent."""
    kernel = Kernel(ManualClock())
    kernel.register(BackendServer(kernel, SETTINGS))
    kernel.register(Front(kernel, "backend_server", FAULTS))
    address = Address("127.0.0.1", 0)
    listener = kernel.register(StandinListener(kernel, address, "front"))
    kernel.open()

    def finish_work():
        settle(kernel)
        kernel.clock.advance(SETTINGS.work_ms)
        settle(kernel)

    with (
        socket.create_connection(listener.address, GIVE_UP_S) as old,
        socket.create_connection(listener.address, GIVE_UP_S) as older,
    ):
        older.sendall(REQUEST)
        run_until(kernel, lambda: listener.exchange_count == 1)
        finish_work()
        assert older.recv(4096).startswith(b"HTTP/1.1 200")
        old.sendall(REQUEST)
        run_until(kernel, lambda: listener.exchange_count == 1)
        kernel.send(listener.name, ConnectionsSilenced())
        finish_work()
        assert_silent(old)


def test_frozen_server_accepts_and_thaws_for_new_requests(server):
    """Guards against a freeze that cannot be switched off."""
    server.set_faults(freeze=True)
    with socket.create_connection(server.address, GIVE_UP_S) as caller:
        caller.sendall(b"GET /load HTTP/1.1\r\nHost: x\r\n\r\n")
        server.set_faults(freeze=False)
        assert server.request("GET", "/load").status == 200
        assert_silent(caller)


def test_stats_list_each_probe_and_no_other_request(bed):
    """Guards against a probe count that hides probes above the budget."""
    bed.ask("/load")
    bed.run(250.0)
    bed.ask("/load")
    bed.request(1)
    first_ms, second_ms = bed.ask("/stats")["probes_ms"]
    assert second_ms - first_ms == 250.0
