"""Tests of readiness and of the graceful stop."""

from typing import NamedTuple

import pytest

from cuminhatch import ManualClock
from cuminhatch.kernel import HandlerFailed, Kernel, Service
from cuminhatch.messages import (
    DrainAnnounced,
    DrainFinished,
    DrainRequested,
    DrainStarted,
    ReadinessChanged,
    RequestFailed,
    StatusReported,
)
from cuminhatch.services.supervisor import Supervisor

ANNOUNCE_MS = 3000.0
LIMIT_MS = 60_000.0


class FakePart(Service):
    """Keeps the messages it gets."""

    def __init__(self, kernel, name):
        super().__init__(kernel, name)
        self.received = []

    def message_handlers(self):
        kinds = (DrainAnnounced, DrainStarted, StatusReported, RequestFailed)
        return dict.fromkeys(kinds, self.received.append)


class Setup(NamedTuple):
    """A supervisor among fake parts."""

    kernel: Kernel
    stops: list
    parts: dict

    def run(self, *messages):
        for message in messages:
            self.kernel.send("supervisor", message)
        for _ in range(4):
            self.kernel.tick()

    def pass_time(self, ms):
        self.kernel.clock.advance(ms)
        self.run()


@pytest.fixture
def setup(monkeypatch):
    kernel = Kernel(ManualClock())
    stops = []
    monkeypatch.setattr(kernel, "stop", lambda: stops.append(kernel.clock.now_ms))
    kernel.register(Supervisor(kernel, ANNOUNCE_MS, LIMIT_MS, ("callers", "claims")))
    names = ("callers", "claims", "peers", "operators", "dispatch")
    parts = {name: kernel.register(FakePart(kernel, name)) for name in names}
    return Setup(kernel, stops, parts)


def test_requests_are_accepted_while_the_list_lags(setup):
    """Guards against a port that closes while the balancer still uses it."""
    setup.run(DrainRequested("operator"))
    assert setup.parts["peers"].received == [DrainAnnounced()]
    assert setup.parts["callers"].received == []
    setup.pass_time(ANNOUNCE_MS)
    assert setup.parts["callers"].received == [DrainStarted()]


def test_claims_drain_after_the_last_caller(setup):
    """Guards against an answer not stored because claims were done early."""
    setup.run(DrainRequested("operator"))
    setup.pass_time(ANNOUNCE_MS)
    assert setup.parts["claims"].received == []
    setup.run(DrainFinished("callers"))
    assert setup.parts["claims"].received == [DrainStarted()]


def test_daemon_ends_when_every_part_has_finished(setup):
    """Guards against a stop that cuts off a request in flight."""
    setup.run(DrainRequested("operator"))
    setup.pass_time(ANNOUNCE_MS)
    setup.run(DrainFinished("callers"))
    assert setup.stops == []
    setup.run(DrainFinished("claims"))
    assert len(setup.stops) == 1


def test_drain_limit_ends_what_never_finishes(setup):
    """Guards against an instance that a silent caller keeps for ever."""
    setup.run(DrainRequested("operator"), DrainRequested("operator"))
    setup.pass_time(ANNOUNCE_MS)
    setup.pass_time(LIMIT_MS)
    assert len(setup.stops) == 1


def test_readiness_needs_every_part(setup):
    """Guards against a health answer that hides a part that is not ready."""
    setup.run(
        ReadinessChanged("notes", True, ""), ReadinessChanged("other", False, "x")
    )
    reports = [report.values for report in setup.parts["operators"].received]
    assert [report["ready"] for report in reports] == [True, False]
    assert reports[-1]["not_ready"] == {"other": "x"}


def test_failed_handler_fails_its_request(setup):
    """Guards against a caller that waits for ever after an internal error."""
    setup.run(HandlerFailed("claims", RequestFailed(7, "x"), ValueError()))
    assert setup.parts["dispatch"].received == [RequestFailed(7, "internal-error")]


def test_failure_at_another_port_fails_no_request_of_a_caller(setup):
    """Guards against a caller's request that has the id of a pull."""
    for name in ("catalog", "readiness", "metrics_port"):
        setup.run(HandlerFailed(name, RequestFailed(7, "x"), ValueError()))
    failed = [m for m in setup.parts["dispatch"].received if type(m) is RequestFailed]
    assert not failed
