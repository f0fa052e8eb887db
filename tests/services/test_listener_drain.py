"""Tests of the drain of the HTTP listener over loopback connections."""

import pytest

from cuminhatch.messages import (
    DrainFinished,
    DrainStarted,
    RequestBody,
)
from cuminhatch.services.http_listener import (
    DEFAULT_LIMITS,
    SWEEP_INTERVAL_MS,
)
from tests.services._loopback import run_until
from tests.services.listener_harness import GET, POST, Harness
from tests.support import run_ticks


@pytest.fixture
def harness():
    return Harness()


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
