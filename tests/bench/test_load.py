"""Tests of the load generator."""

from bench.load import LoadGenerator, plan_arrivals
from cuminhatch import ManualClock
from cuminhatch.codecs.http1 import Header, ResponseHead
from cuminhatch.kernel import Kernel, Service
from cuminhatch.messages import AttemptRequested, AttemptResponse
from cuminhatch.outcomes import OUTCOME_HEADER

PLAN = {
    "seed": 1,
    "streams": [
        {
            "name": "short",
            "targets": ["127.0.0.1:1"],
            "path": "/short",
            "method": "GET",
            "deadline_ms": 100.0,
            "is_keyed": False,
            "phases": [
                {"seconds": 1.0, "rate": 0.0},
                {"seconds": 1.0, "rate": 50.0},
            ],
        }
    ],
}


class Backends(Service):
    """Replaces the backend connections and records the requests."""

    name = "backends"

    def __init__(self, kernel):
        super().__init__(kernel)
        self.requests = []

    def message_handlers(self):
        return {AttemptRequested: self.requests.append}


def make_response(attempt_id, status):
    headers = (Header(OUTCOME_HEADER, b"ran" if status == 200 else b"not-run"),)
    head = ResponseHead(status, b"", headers)
    return AttemptResponse(attempt_id, head, 0, b"", True, False, False)


def test_arrivals_keep_to_their_phase_and_seed():
    """Guards against runs that can't be repeated and misplaced arrivals."""
    arrivals = plan_arrivals(PLAN)
    assert arrivals == plan_arrivals(PLAN)
    assert arrivals
    assert all(1000.0 <= arrival.at_ms < 2000.0 for arrival in arrivals)


def test_latency_is_measured_from_the_intended_start():
    """Guards against late responses that count as useful or in time."""
    kernel = Kernel(ManualClock())
    backends = kernel.register(Backends(kernel))
    load = kernel.register(LoadGenerator(kernel, PLAN))
    load.open()
    kernel.clock.advance(2_100.0)
    for _ in range(20):
        kernel.tick()
    first, second = backends.requests[0], backends.requests[-1]
    last_ms = plan_arrivals(PLAN)[-1].at_ms
    kernel.clock.advance(max(0.0, last_ms + 101.0 - 2_000.0))
    kernel.send("load", make_response(first.attempt_id, 200))
    kernel.send("load", make_response(second.attempt_id, 503))
    for _ in range(20):
        kernel.tick()
    report = load.report()["short"]
    assert report["outcomes"] == {"late": 1, "not-run 503": 1}
    assert report["late_refusals"] == 1
