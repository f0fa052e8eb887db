"""Responses of backend servers whose status is none that HTTP knows."""

import pytest

from cuminhatch.address import Address
from cuminhatch.messages import (
    HttpFailed,
    HttpReplied,
    HttpRequested,
    RequestRefused,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services.http_client import HttpClient
from tests.services._loopback import run_until
from tests.services.front_ends import Daemon, Gateway, ProbedGateway, is_not_run
from tests.support import Recorder

BODY = b"content-length: 3\r\n\r\nBAD"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n3\r\nBAD\r\n0\r\n\r\n"
UNTIL_CLOSE = b"\r\nBAD"
INVALID_STATUSES = [b"000", b"007", b"099", b"600", b"999"]
# An interim response has no body.
CASES = [(status, BODY) for status in (*INVALID_STATUSES, b"100", b"103", b"199")]
CASES += [(b"000", CHUNKED), (b"199", CHUNKED), (b"000", UNTIL_CLOSE)]
CASES += [(b"000", b"\r\n"), (b"600", b"content-length: 0\r\n\r\n")]


@pytest.fixture(params=[Gateway, Daemon])
def front_end(request):
    front_end = request.param()
    yield front_end
    front_end.close()


def make_response(status, rest, headers=()):
    """Return a response with any status, and with a body that is no body."""
    lines = [b"HTTP/1.1 %s X" % status, *headers]
    return b"".join(line + b"\r\n" for line in lines) + rest


def send_own_response_behind(front_end, peer, status, rest, is_one_read):
    """Send an invalid response, and the right one behind it."""
    given_id = front_end.receive(peer)
    headers = (front_end.id_header + b": " + given_id, *front_end.success_headers)
    invalid = make_response(status, rest, headers)
    if not is_one_read:
        peer.send(invalid)
        for _ in range(5):
            front_end.kernel.tick(0)
        invalid = b""
    peer.send(invalid + front_end.success(given_id, b"late"))


@pytest.mark.parametrize("is_one_read", [True, False])
@pytest.mark.parametrize(("status", "rest"), CASES)
def test_read_with_an_invalid_status_is_sent_again(
    front_end, status, rest, is_one_read
):
    """Guards against a body with bytes of a response before it (MIXED)."""
    front_end.request("read")
    peer = front_end.accept()
    send_own_response_behind(front_end, peer, status, rest, is_one_read)
    other = front_end.accept()
    other.send(front_end.success(front_end.receive(other), b"whole"))
    final = front_end.take_final()
    assert (final.head.status, final.data) == (200, b"whole")
    peer.run_until(lambda: peer.is_closed)


@pytest.mark.parametrize("is_one_read", [True, False])
@pytest.mark.parametrize(("status", "rest"), CASES)
def test_write_with_an_invalid_status_is_unknown(front_end, status, rest, is_one_read):
    """Guards against a second run (TWICE), and a false not-run (REFUSED)."""
    front_end.request("write")
    peer = front_end.accept()
    send_own_response_behind(front_end, peer, status, rest, is_one_read)
    final = front_end.take_final()
    assert isinstance(final, RequestRefused)
    assert final.outcome is Outcome.UNKNOWN
    assert not is_not_run(final)
    assert not front_end.has_new_connection()


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_refusal_with_an_invalid_status_proves_nothing(front_end, status):
    """Guards against a write that is sent again on such a proof (TWICE)."""
    front_end.request("write")
    peer = front_end.accept()
    headers = (
        front_end.id_header + b": " + front_end.receive(peer),
        front_end.refusal_header,
    )
    peer.send(make_response(status, b"content-length: 0\r\n\r\n", headers))
    assert not is_not_run(front_end.take_final())
    assert not front_end.has_new_connection()


def test_invalid_status_is_logged():
    """Guards against a fault of a server that operators can't see."""
    gateway = Gateway()
    try:
        events = gateway.world.received["event_log"]
        gateway.request("write")
        peer = gateway.accept()
        gateway.receive(peer)
        peer.send(make_response(b"000", BODY))
        gateway.take_final()
    finally:
        gateway.close()
    (failed,) = [e for e in events if getattr(e, "name", "") == "send_failed"]
    assert failed.details["reason"] == "invalid-status"
    assert failed.details["is_sent"]


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_health_check_with_an_invalid_status_fails(status):
    """Guards against a load that is read from such a response."""
    gateway = ProbedGateway()
    try:
        gateway.request("read")
        peer = gateway.accept()
        headers = (b"server: a", b"load: 0,0,1")
        gateway.answer_probe(peer, make_response(status, BODY, headers))
        peer.run_until(lambda: peer.is_closed)
    finally:
        gateway.close()


@pytest.mark.parametrize(("status", "rest"), CASES)
def test_client_for_store_and_instances_refuses_an_invalid_status(
    front_end, status, rest
):
    """Guards against bytes before a body that is read as a document."""
    kernel = front_end.kernel
    kernel.register(HttpClient(kernel)).open()
    replies = kernel.register(Recorder(kernel, "asker", HttpReplied, HttpFailed))
    request = HttpRequested(
        "asker", 1, Address("127.0.0.1", front_end.port), b"GET", b"/", (), b"", 1000.0
    )
    kernel.send("http_client", request)
    peer = front_end.accept()
    peer.run_until(lambda: b"\r\n\r\n" in peer.received)
    peer.send(make_response(status, rest) + front_end.success(None, b"{}"))
    run_until(kernel, lambda: replies.received)
    is_interim = status.startswith(b"1")
    reason = "malformed response" if is_interim else "invalid status"
    assert replies.received == [HttpFailed(1, reason, True)]
