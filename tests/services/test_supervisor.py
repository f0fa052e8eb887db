"""Tests of readiness and graceful shutdown."""

from typing import NamedTuple

import pytest

from cuminhatch import ManualClock
from cuminhatch.kernel import HandlerFailed, Kernel, Service
from cuminhatch.messages import (
    DrainAnnounced,
    DrainFinished,
    DrainLimitReached,
    DrainRequested,
    DrainStarted,
    ReadinessChanged,
    RequestFailed,
    StatusReported,
)
from cuminhatch.services.supervisor import Supervisor

ANNOUNCE_MS = 3000.0
LIMIT_MS = 60_000.0


class FakeService(Service):
    """Records the messages that it receives."""

    def __init__(self, kernel, name):
        super().__init__(kernel, name)
        self.received = []

    def message_handlers(self):
        kinds = (
            DrainAnnounced,
            DrainLimitReached,
            DrainStarted,
            StatusReported,
            RequestFailed,
        )
        return dict.fromkeys(kinds, self.received.append)


class Setup(NamedTuple):
    """A supervisor and fake services."""

    kernel: Kernel
    stop_times_ms: list
    services: dict

    def send(self, *messages):
        for message in messages:
            self.kernel.send("supervisor", message)
        for _ in range(4):
            self.kernel.tick()

    def advance(self, duration_ms):
        self.kernel.clock.advance(duration_ms)
        self.send()


@pytest.fixture
def setup(monkeypatch):
    kernel = Kernel(ManualClock())
    stop_times_ms = []
    monkeypatch.setattr(
        kernel, "stop", lambda: stop_times_ms.append(kernel.clock.now_ms)
    )
    kernel.register(Supervisor(kernel, ANNOUNCE_MS, LIMIT_MS, ("callers", "claims")))
    names = ("callers", "claims", "peers", "operators", "dispatch")
    services = {name: kernel.register(FakeService(kernel, name)) for name in names}
    return Setup(kernel, stop_times_ms, services)


def test_port_stays_open_while_the_drain_is_announced(setup):
    """Guards against a port closed while callers are still routed to it."""
    setup.send(DrainRequested("operator"))
    assert setup.services["peers"].received == [DrainAnnounced()]
    # Compares types: named tuples without fields are equal.
    callers = setup.services["callers"]
    assert [type(message) for message in callers.received] == [DrainAnnounced]
    setup.advance(ANNOUNCE_MS)
    assert [type(message) for message in callers.received] == [
        DrainAnnounced,
        DrainStarted,
    ]


def test_claims_drain_after_the_last_caller(setup):
    """Guards against a lost response because claims had already drained."""
    setup.send(DrainRequested("operator"))
    setup.advance(ANNOUNCE_MS)
    assert setup.services["claims"].received == []
    setup.send(DrainFinished("callers"))
    assert setup.services["claims"].received == [DrainStarted()]


def test_kernel_stops_when_every_service_has_drained(setup):
    """Guards against a shutdown that cuts off requests in flight."""
    setup.send(DrainRequested("operator"))
    setup.advance(ANNOUNCE_MS)
    setup.send(DrainFinished("callers"))
    assert setup.stop_times_ms == []
    setup.send(DrainFinished("claims"))
    assert len(setup.stop_times_ms) == 1


def test_drain_timeout_stops_the_kernel(setup):
    """Guards against a drain that an idle caller prolongs forever."""
    setup.send(DrainRequested("operator"), DrainRequested("operator"))
    setup.advance(ANNOUNCE_MS)
    setup.advance(LIMIT_MS)
    assert len(setup.stop_times_ms) == 1


def test_readiness_requires_every_part(setup):
    """Guards against a ready report while a part is not ready."""
    setup.send(
        ReadinessChanged("notes", True, ""), ReadinessChanged("other", False, "x")
    )
    reports = [report.values for report in setup.services["operators"].received]
    assert [report["ready"] for report in reports] == [True, False]
    assert reports[-1]["not_ready"] == {"other": "x"}


def test_failed_handler_fails_its_request(setup):
    """Guards against a caller left waiting after an internal error."""
    setup.send(HandlerFailed("claims", RequestFailed(7, "x"), ValueError()))
    assert setup.services["dispatch"].received == [RequestFailed(7, "internal-error")]


def test_failure_at_another_port_does_not_fail_a_callers_request(setup):
    """Guards against failing a caller's request with the same request id."""
    for name in ("catalog", "readiness", "metrics_port"):
        setup.send(HandlerFailed(name, RequestFailed(7, "x"), ValueError()))
    failed = [
        m for m in setup.services["dispatch"].received if type(m) is RequestFailed
    ]
    assert not failed
