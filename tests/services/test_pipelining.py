"""Tests of pipelined requests at the HTTP listener."""

import re

import pytest

from cuminhatch.messages import (
    CallerDisconnected,
    CallerResumed,
    CallerStalled,
    DrainAnnounced,
    DrainLimitReached,
    DrainStarted,
    PipeliningAllowed,
    PipeliningRequested,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services.http_listener import WRITE_HIGH_WATER_BYTES
from tests.services._loopback import run_until
from tests.services.listener_harness import (
    GET,
    HOST,
    POST,
    Harness,
    response_ids_in,
)
from tests.support import run_ticks


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
