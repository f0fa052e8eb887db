"""Refusals of backend servers that don't prove that a request has not run."""

import pytest

from cuminhatch.decisions.not_run_promise import NOT_RUN_STATUSES, is_unproven_promise
from cuminhatch.messages import RequestRefused, ResponseStarted
from cuminhatch.outcomes import Outcome
from tests.services.forwarding_world import ForwardingWorld
from tests.services.front_ends import Daemon, Gateway, is_not_run

LONG_BODY = b"x" * 400_000
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


# The dialect of the gateway takes 421 for a proof.
CASES = [
    (front_end, status)
    for front_end in (Gateway, Daemon)
    for status in sorted(NOT_RUN_STATUSES)
    if (front_end, status) != (Gateway, 421)
]


@pytest.fixture
def start_front_end():
    front_ends = []

    def start(kind):
        front_ends.append(kind())
        return front_ends[-1]

    yield start
    for front_end in front_ends:
        front_end.close()


@pytest.mark.parametrize(
    "body", [b"", b"busy", LONG_BODY], ids=["empty", "text", "long"]
)
@pytest.mark.parametrize("interim", [b"", INTERIM], ids=["final", "interim"])
@pytest.mark.parametrize(("kind", "status"), CASES)
def test_unproven_refusal_of_unsafe_work_is_not_passed_on(
    start_front_end, kind, status, interim, body
):
    """Guards against 'not run' for work that a server has run (REFUSED)."""
    front_end = start_front_end(kind)
    front_end.request("write")
    peer = front_end.accept()
    given_id = front_end.receive(peer)
    extra = front_end.success_headers
    peer.send(interim + front_end.response(given_id, body, status, extra))
    final = front_end.take_final()
    assert isinstance(final, RequestRefused)
    assert not is_not_run(final)
    assert final.outcome is Outcome.UNKNOWN
    assert not front_end.has_new_connection(), "the request was sent again"


@pytest.mark.parametrize("status", [408, 429, 503])
def test_idempotent_request_gets_the_status_of_its_servers(status):
    """Guards against a 502 in place of a status that the caller may retry."""
    world = ForwardingWorld("a")
    world.request("read")
    while attempts := world.take_attempts():
        world.respond(attempts[0], status)
    (response,) = world.take("callers", ResponseStarted)
    assert response.head.status == status
    world.close()


@pytest.mark.parametrize(
    ("status", "is_idempotent", "is_proven", "is_unproven"),
    [
        (503, False, False, True),
        (503, False, True, False),
        (503, True, False, False),
        (500, False, False, False),
        (502, False, False, False),
    ],
)
def test_promise_needs_proof(status, is_idempotent, is_proven, is_unproven):
    """Guards against a rule that hides errors which promise nothing."""
    assert is_unproven_promise(status, is_idempotent, is_proven) == is_unproven
