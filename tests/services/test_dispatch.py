"""Tests of dispatch with stubs of the services around it."""

from random import Random

import pytest

from cuminhatch.codecs.http1 import Header, ResponseHead, find_header
from cuminhatch.decisions.claims import StoredResponse
from cuminhatch.decisions.permits import Permit
from cuminhatch.messages import (
    AttemptCancelled,
    AttemptReadPaused,
    AttemptReadResumed,
    AttemptRequestBody,
    AttemptResponse,
    AttemptResponseBody,
    CallerDisconnected,
    CallerResumed,
    CallerStalled,
    ClaimAbandoned,
    ClaimCompleted,
    ClaimGranted,
    ClaimOutcomeUnknown,
    ClaimRefused,
    ClaimRequested,
    ClaimVoided,
    EventRecorded,
    LeavingServersChanged,
    LoadObserved,
    PermitGranted,
    PermitRefused,
    PermitRequested,
    PermitReturned,
    ProbeFailed,
    RequestBody,
    RequestFailed,
    RequestReadPaused,
    RequestReadResumed,
    RequestReceived,
    RequestRefused,
    ResponseAborted,
    ResponseStarted,
)
from cuminhatch.messages.attempts import CONNECTION_LIMIT
from cuminhatch.outcomes import ATTEMPT_HEADER, OUTCOME_HEADER, Outcome
from cuminhatch.services.dispatch import Dispatch
from cuminhatch.services.dispatch._request_deadlines import fail_request
from tests.proofs.dispatch_harness import DispatchHarness, make_server

KEY_HEADER = (b"idempotency-key", b"k1")


@pytest.fixture
def make_world():
    worlds = []

    def make(*names, servers=3, slots=3):
        world = DispatchHarness(
            lambda kernel: Dispatch(kernel, "i1", "a", Random(7)),
            ("callers", "backends", *names),
        )
        worlds.append(world)
        world.configure(*(make_server(n, slots) for n in range(servers)))
        return world

    yield make
    for world in worlds:
        assert not world.received["supervisor"]
        world.close()


def take_refusal(world):
    """Return the only refusal sent to callers, after a trace id check."""
    (refused,) = world.take("callers", RequestRefused)
    assert refused.trace_id == b"%d" % refused.request_id
    return refused


def take_outcome(world):
    """Return the outcome header of the only response sent to callers."""
    (started,) = world.take("callers", ResponseStarted)
    return find_header(started.head.headers, OUTCOME_HEADER)


def grant_claim(world, request_id):
    world.deliver(ClaimGranted(request_id, f"c{request_id}"))


# Outcomes, deadlines, trace ids


def test_response_has_outcome_and_request_id(make_world):
    """Guards against outcome headers that are missing or set by a server."""
    world = make_world()
    world.request("read", headers=((b"request-deadline-ms", b"700"),))
    (attempt,) = world.take_attempts()
    assert find_header(attempt.head.headers, b"request-deadline-ms") == b"700"
    spoofed = ((b"cuminhatch-outcome", b"not-run"), (b"etag", b"1"))
    world.respond(attempt, headers=spoofed)
    (started,) = world.take("callers", ResponseStarted)
    assert sorted(started.head.headers) == [
        (b"cuminhatch-outcome", b"ran"),
        (b"etag", b"1"),
        (b"x-request-id", b"1"),
    ]


@pytest.mark.parametrize("given", [b"a b", b"x" * 129, b"", b"a\xff"])
def test_unsafe_request_id_is_replaced(make_world, given):
    """Guards against request ids that forge log lines or fill memory."""
    world = make_world("timeline")
    trace_headers = ((b"x-request-id", given),)
    message_id = world.request("read", trace_headers=trace_headers)
    (attempt,) = world.take_attempts()
    assert find_header(attempt.head.headers, b"x-request-id") == (b"i1-%d" % message_id)


def test_passed_deadline_is_refused_without_an_attempt(make_world):
    """Guards against sending a request whose deadline has passed."""
    world = make_world()
    world.request("read", headers=((b"request-deadline-ms", b"0"),))
    assert take_refusal(world)[1:4] == (503, Outcome.NOT_RUN, "deadline-passed")
    assert world.take_attempts() == []


def test_deadline_of_a_running_request_is_unknown(make_world):
    """Guards against reporting not-run while a server may run the request."""
    world = make_world()
    world.request("write")
    (attempt,) = world.take_attempts()
    world.advance(2000.0)
    assert take_refusal(world)[1:3] == (504, Outcome.UNKNOWN)
    (cancelled,) = world.take("backends", AttemptCancelled)
    assert cancelled.attempt_id == attempt.attempt_id
    world.respond(attempt)
    assert world.take("callers") == []
    assert world.dispatch.count_in_flight(attempt.server_id) == 0


# Queue


def test_requests_beyond_the_window_are_sent_earliest_deadline_first(make_world):
    """Guards against overloaded servers, and a queue in order of arrival."""
    world = make_world(servers=1)
    for _ in range(3):
        world.request("read")
    running = world.take_attempts()
    assert len(running) == 3
    world.request("read", headers=((b"request-deadline-ms", b"1900"),))
    urgent = world.request("read", headers=((b"request-deadline-ms", b"500"),))
    assert world.take_attempts() == []
    world.respond(running[0])
    (attempt,) = world.take_attempts()
    assert find_header(attempt.head.headers, b"x-request-id") == b"%d" % urgent


def test_request_that_expires_in_the_queue_did_not_run(make_world):
    """Guards against refusing or sending a request after its deadline."""
    world = make_world(servers=1)
    for _ in range(3):
        world.request("put")
    running = world.take_attempts()
    world.request("read", headers=((b"request-deadline-ms", b"100"),))
    world.advance(96.0)
    assert take_refusal(world)[1:4] == (503, Outcome.NOT_RUN, "deadline-passed")
    world.respond(running[0])
    assert world.take_attempts() == []


def test_queue_is_bounded(make_world):
    """Guards against memory that grows with the number of waiting requests."""
    world = make_world(servers=1)
    for _ in range(1004):
        world.request("read")
    assert take_refusal(world).reason == "queue-full"


def test_caller_that_leaves_the_queue_is_not_served(make_world):
    """Guards against sending requests of callers that have disconnected."""
    world = make_world(servers=1)
    for _ in range(4):
        world.request("read")
    running = world.take_attempts()
    world.deliver(CallerDisconnected(4))
    world.respond(running[0])
    assert world.take_attempts() == []
    assert world.dispatch.request_count == 2


# Retries


def test_failed_read_goes_to_another_server_with_its_body(make_world):
    """Guards against errors where another server can answer."""
    world = make_world()
    world.request("put", b"abc", is_complete=False)
    (first,) = world.take_attempts()
    world.deliver(RequestBody(1, b"def", True))
    world.fail(first)
    (second,) = world.take_attempts()
    assert second.server_id != first.server_id
    assert (second.data, second.is_complete) == (b"abcdef", True)
    world.respond(second)
    assert take_outcome(world) == b"ran"


def test_large_body_is_streamed_and_not_sent_twice(make_world):
    """Guards against a retry with an incomplete body."""
    world = make_world()
    world.request("put", b"x" * 60_000, is_complete=False)
    (first,) = world.take_attempts()
    world.deliver(RequestBody(1, b"y" * 9000, True))
    assert world.take("backends", AttemptRequestBody) == [
        AttemptRequestBody(first.attempt_id, b"y" * 9000, True)
    ]
    world.fail(first)
    assert world.take_attempts() == []
    assert take_refusal(world)[1:3] == (504, Outcome.UNKNOWN)


def test_body_of_a_waiting_request_is_bounded(make_world):
    """Guards against memory filled by the bodies of waiting requests."""
    world = make_world(servers=1)
    for _ in range(3):
        world.request("read")
    running = world.take_attempts()
    world.request("put", b"x" * 60_000, is_complete=False)
    world.deliver(RequestBody(4, b"y" * 9000, False))
    assert world.take("callers", RequestReadPaused) == [RequestReadPaused(4)]
    world.respond(running[0])
    (attempt,) = world.take_attempts()
    assert len(attempt.data) == 69_000
    assert world.take("callers", RequestReadResumed) == [RequestReadResumed(4)]
    world.deliver(RequestBody(4, b"z", True))
    assert world.take("backends", AttemptRequestBody) == [
        AttemptRequestBody(attempt.attempt_id, b"z", True)
    ]


def test_unkeyed_write_is_sent_at_most_once(make_world):
    """Guards against running a write twice, such as a second payment."""
    world = make_world()
    world.request("write")
    world.fail(*world.take_attempts(), is_sent=False)
    (second,) = world.take_attempts()
    world.fail(second, is_sent=True)
    assert world.take_attempts() == []
    assert take_refusal(world)[1:3] == (504, Outcome.UNKNOWN)


def test_shed_read_is_retried_and_the_last_shed_is_reported(make_world):
    """Guards against shed responses to callers while a server is free."""
    world = make_world()
    for _ in range(20):
        world.request("read")
        world.respond(*world.take_attempts())
    world.take("callers")
    world.request("read")
    seen = []
    for _ in range(3):
        (attempt,) = world.take_attempts()
        seen.append(attempt.server_id)
        assert world.take("callers") == []
        world.shed(attempt)
    assert seen[0] != seen[1]
    assert take_outcome(world) == b"not-run"


def test_shed_after_a_failure_is_unknown(make_world):
    """Guards against reporting not-run if an earlier attempt may have run."""
    world = make_world()
    for _ in range(20):
        world.request("read")
        world.respond(*world.take_attempts())
    world.take("callers")
    world.request("read")
    world.fail(*world.take_attempts())
    world.shed(*world.take_attempts())
    world.shed(*world.take_attempts())
    assert take_refusal(world)[1:3] == (504, Outcome.UNKNOWN)


def test_retry_storm_is_bounded(make_world):
    """Guards against retries that multiply the load of a broken service."""
    world = make_world()
    sent = 0
    for _ in range(100):
        world.request("read")
        while attempts := world.take_attempts():
            sent += 1
            world.fail(*attempts)
    assert sent <= 112


def test_silent_reused_connection_is_not_a_failure_of_the_server(make_world):
    """Guards against ejecting a server whose idle connections went silent."""
    world = make_world()
    world.request("read")
    (first,) = world.take_attempts()
    world.fail(first, is_reused=True, reason="timeout")
    (second,) = world.take_attempts()
    assert (second.server_id, second.is_new_connection_required) == (
        first.server_id,
        True,
    )
    view = world.dispatch._state.table.find_server(first.server_id)[1]
    assert view.failures == 0


# Connection limit


AT_CONNECTION_LIMIT = {"is_sent": False, "reason": CONNECTION_LIMIT}


def test_request_beyond_the_connection_limit_goes_to_another_server(make_world):
    """Guards against refusals and ejections at the connection limit."""
    world = make_world(servers=2)
    world.request("write")
    (first,) = world.take_attempts()
    world.fail(first, **AT_CONNECTION_LIMIT)
    (second,) = world.take_attempts()
    assert second.server_id != first.server_id
    world.fail(second, **AT_CONNECTION_LIMIT)
    assert world.take_attempts() == world.take("callers") == []
    for _ in range(4):
        world.advance(20.0)
        world.fail(*world.take_attempts(), **AT_CONNECTION_LIMIT)
    world.advance(20.0)
    world.respond(*world.take_attempts())
    assert take_outcome(world) == b"ran"
    views = world.dispatch._state.table.get_pool("s").views.values()
    assert [(v.failures, v.leaving_signs.refused_count) for v in views] == [(0, 0)] * 2


def test_long_request_waits_for_a_connection_and_a_permit(make_world):
    """Guards against long requests refused, or sent without a permit."""
    world = make_world("permits", servers=1)
    world.request("pull")
    permit = Permit("long", "b0", 0)
    for _ in range(5):
        world.deliver(PermitGranted(1, permit))
        world.fail(*world.take_attempts(), **AT_CONNECTION_LIMIT)
        world.deliver(PermitGranted(1, permit))
        assert world.take_attempts() == world.take("callers") == []
        world.take("permits")
        world.advance(20.0)
        assert len(world.take("permits", PermitRequested)) == 1
    world.deliver(PermitGranted(1, permit))
    world.respond(*world.take_attempts())
    assert take_outcome(world) == b"ran"


# Backend servers that fail, recover or leave


def fail_writes(world, rounds, status=None):
    for _ in range(rounds):
        world.request("write")
        for attempt in world.take_attempts():
            if status is None:
                world.fail(attempt)
            else:
                world.respond(attempt, status)


@pytest.mark.parametrize("status", [None, 500])
def test_at_most_half_of_the_servers_are_ejected(make_world, status):
    """Guards against ejecting all servers when all of them fail."""
    world = make_world(servers=4)
    fail_writes(world, 60, status)
    pool = world.dispatch._state.table.get_pool("s")
    assert len(pool.ejected_ids) == 2
    assert len(pool.open_views) == 2


@pytest.mark.parametrize("source", ["list", "note"])
def test_ejected_servers_return_when_the_others_leave(make_world, source):
    """Guards against a service whose remaining servers are all ejected."""
    world = make_world(servers=4)
    for server_id in ("b0", "b1"):
        for _ in range(3):
            world.deliver(ProbeFailed(server_id, "timeout"))
    world.request("put")
    assert {a.server_id for a in world.take_attempts()} <= {"b2", "b3"}
    if source == "list":
        world.deliver(LeavingServersChanged(frozenset({"b2", "b3"})))
    else:
        world.configure(make_server(0), make_server(1), sequence=2)
    world.request("put")
    assert {a.server_id for a in world.take_attempts()} <= {"b0", "b1"}
    assert world.dispatch._state.table.get_pool("s").ejected_ids <= {"b0", "b1"}
    assert len(world.dispatch._state.table.get_pool("s").ejected_ids) == 1


def test_ejected_server_gets_one_trial_request(make_world):
    """Guards against servers that stay ejected, or are flooded afterwards."""
    world = make_world(servers=2)
    for _ in range(3):
        world.deliver(ProbeFailed("b0", "timeout"))
    for _ in range(3):
        world.request("put")
    assert {a.server_id for a in world.take_attempts()} == {"b1"}
    world.request("put")
    world.advance(1000.0)
    (trial,) = world.take_attempts()
    assert trial.server_id == "b0"
    world.request("put")
    assert world.take_attempts() == []
    world.respond(trial)
    assert {a.server_id for a in world.take_attempts()} == {"b0"}


def test_missed_deadline_counts_as_a_failure(make_world):
    """Guards against a frozen server that is never ejected.

    With short deadlines its requests end before the response timeout.
    """
    world = make_world(servers=2)
    for _ in range(8):
        world.request("read", headers=((b"request-deadline-ms", b"300"),))
        for attempt in world.take_attempts():
            if attempt.server_id == "b1":
                world.respond(attempt)
        world.advance(300.0)
    assert world.dispatch._state.table.find_server("b0")[1].failures >= 1


def test_draining_server_keeps_its_requests_and_gets_no_new_ones(make_world):
    """Guards against new requests to a server that says it is draining."""
    world = make_world("peers", servers=2)
    world.request("pull")
    (first,) = world.take_attempts()
    head = ResponseHead(200, b"", (Header(b"server-state", b"draining"),))
    world.deliver(AttemptResponse(first.attempt_id, head, 2, b"o", False, False, False))
    assert world.take("backends") == []
    [shared] = world.take("peers", LoadObserved)
    assert (shared.server_id, shared.is_leaving) == (first.server_id, True)
    for _ in range(3):
        world.request("read")
    assert first.server_id not in {a.server_id for a in world.take_attempts()}
    world.deliver(AttemptResponse(first.attempt_id, head, 2, b"o", False, False, False))
    assert world.dispatch.count_in_flight(first.server_id) == 1


@pytest.mark.parametrize("source", ["list", "peer"])
def test_leaving_server_gets_no_new_requests(make_world, source):
    """Guards against ignoring the platform's list or a peer's observation."""
    world = make_world(servers=2)
    if source == "list":
        world.deliver(LeavingServersChanged(frozenset({"b0"})))
    else:
        now_ms = world.clock.now_ms
        world.deliver(LoadObserved("b0", 0, 0, 3, 0.0, True, now_ms, "peer"))
    for _ in range(3):
        world.request("put")
    assert {a.server_id for a in world.take_attempts()} == {"b1"}


def test_server_that_refuses_connections_is_tried_again_later(make_world):
    """Guards against sending to a stopped server, or excluding it for good."""
    world = make_world(servers=1)
    world.request("write")
    world.fail(*world.take_attempts(), is_sent=False)
    world.fail(*world.take_attempts(), is_sent=False)
    world.request("read")
    assert world.take_attempts() == []
    world.advance(1000.0)
    assert len(world.take_attempts()) == 1


def test_withdrawn_server_keeps_its_requests_in_flight(make_world):
    """
    Guards against requests that are cut off when their server is removed.

    They also have to be counted after a later configuration restores it.
    """
    world = make_world(servers=1, slots=1)
    world.request("read")
    (first,) = world.take_attempts()
    world.configure(make_server(5), sequence=2)
    world.request("read")
    assert [a.server_id for a in world.take_attempts()] == ["b5"]
    world.configure(make_server(0, slots=1), sequence=3)
    assert world.dispatch.count_in_flight("b0") == 1
    world.request("read")
    assert world.take_attempts() == []
    world.respond(first)
    assert take_outcome(world) == b"ran"
    assert [a.server_id for a in world.take_attempts()] == ["b0"]


def test_older_configuration_is_ignored(make_world):
    """Guards against an older configuration replacing a newer one."""
    world = make_world()
    world.configure(make_server(9), sequence=5)
    world.configure(make_server(1), sequence=4)
    world.request("read")
    assert [a.server_id for a in world.take_attempts()] == ["b9"]


def test_request_without_any_server_is_not_run(make_world):
    """Guards against requests that hang when all servers are withdrawn."""
    world = make_world()
    world.configure(sequence=2)
    world.request("read")
    assert take_refusal(world)[1:4] == (503, Outcome.NOT_RUN, "no-backend-server")


# Claims


def test_keyed_write_without_claims_is_refused(make_world):
    """Guards against a second run where no service keeps the keys."""
    world = make_world()
    world.request("write", headers=(KEY_HEADER,))
    assert take_refusal(world)[1:4] == (503, Outcome.NOT_RUN, "no-claims")
    assert world.take_attempts() == []


def test_keyed_write_is_claimed_and_its_response_stored(make_world):
    """Guards against a run without a claim, and a response not stored."""
    world = make_world("claims")
    world.request("write", b"ab", False, (KEY_HEADER,))
    assert world.take("claims") == []
    world.deliver(RequestBody(1, b"c", True))
    (wanted,) = world.take("claims", ClaimRequested)
    assert (wanted.service_id, wanted.key) == ("s", "k1")
    assert world.take_attempts() == []
    grant_claim(world, 1)
    (attempt,) = world.take_attempts()
    assert attempt.data == b"abc"
    world.respond(attempt, 201, b"done", ((b"etag", b"7"),))
    assert take_outcome(world) == b"ran"
    answer = StoredResponse(201, ((b"etag", b"7"),), b"done")
    assert world.take("claims", ClaimCompleted) == [ClaimCompleted("c1", answer)]
    assert world.take("claims") == []


def test_digest_covers_target_and_body(make_world):
    """Guards against one key used for two different requests."""
    world = make_world("claims")
    for body in (b"a", b"b", b"a"):
        world.request("write", body, True, (KEY_HEADER,))
    digests = [m.digest for m in world.take("claims", ClaimRequested)]
    assert digests[0] == digests[2] != digests[1]


@pytest.mark.parametrize("is_complete", [True, False])
def test_keyed_body_is_bounded(make_world, is_complete):
    """Guards against memory filled by bodies buffered for their digest."""
    world = make_world("claims")
    world.request("write", b"x" * 1_100_000, is_complete, (KEY_HEADER,))
    if not is_complete:
        world.deliver(RequestBody(1, b"", False))
    assert take_refusal(world)[1:3] == (413, Outcome.NOT_RUN)


def test_stored_response_is_sent(make_world):
    """Guards against a caller's retry that does not get the response."""
    world = make_world("claims")
    world.request("write", headers=(KEY_HEADER,))
    answer = StoredResponse(201, ((b"etag", b"7"),), b"done")
    world.deliver(ClaimRefused(1, Outcome.RAN, 200, "ran", answer))
    (started,) = world.take("callers", ResponseStarted)
    assert (started.head.status, started.data) == (201, b"done")
    assert world.dispatch.request_count == 0


def test_response_is_stored_after_the_caller_has_left(make_world):
    """Guards against losing the response, which a retry could then not get."""
    world = make_world("claims")
    world.request("write", headers=(KEY_HEADER,))
    grant_claim(world, 1)
    (attempt,) = world.take_attempts()
    world.deliver(CallerDisconnected(1))
    assert world.take("backends", AttemptCancelled) == []
    world.respond(attempt)
    assert world.take("claims", ClaimCompleted)
    assert world.take("callers") == []


@pytest.mark.parametrize("is_caller_gone", [True, False])
def test_response_with_another_one_in_its_body_is_not_stored(
    make_world, is_caller_gone
):
    """Guards against a wrong body for each later request with the key."""
    world = make_world("claims")
    world.request("write", headers=(KEY_HEADER,))
    grant_claim(world, 1)
    (attempt,) = world.take_attempts()
    if is_caller_gone:
        world.deliver(CallerDisconnected(1))
    own_id = dict(attempt.head.headers)[ATTEMPT_HEADER]
    copy = b"HTTP/1.1 200 OK\r\n%s: %s\r\n\r\ndone" % (ATTEMPT_HEADER, own_id)
    world.respond(attempt, 200, b"done" + copy, ((ATTEMPT_HEADER, own_id),))
    assert not world.take("claims", ClaimCompleted)
    assert not world.take("callers", ResponseStarted)


def test_response_without_end_is_given_up_after_the_caller_has_left(make_world):
    """Guards against an attempt that a server holds by sending on."""
    world = make_world("claims", servers=1)
    world.request("write", headers=(KEY_HEADER,))
    world.take("claims")
    world.deliver(ClaimGranted(1, "c1"))
    (attempt,) = world.take_attempts()
    world.deliver(CallerDisconnected(1))
    head = ResponseHead(200, b"", ())
    message = AttemptResponse(attempt.attempt_id, head, None, b"x", False, False, False)
    world.deliver(message)
    for _ in range(90):
        world.deliver(AttemptResponseBody(attempt.attempt_id, b"x", False))
        world.advance(1000.0)
    assert world.take("backends", AttemptCancelled)
    assert world.take("claims", ClaimOutcomeUnknown)
    assert world.dispatch.count_in_flight("b0") == 0


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_not_run_is_reported_only_after_the_claim_is_voided(make_world, is_confirmed):
    """Guards against not-run while a delayed claim write may take effect."""
    world = make_world("claims", servers=1)
    world.request("write", headers=(KEY_HEADER,))
    grant_claim(world, 1)
    world.shed(*world.take_attempts())
    world.shed(*world.take_attempts())
    assert world.take("callers") == []
    assert world.take("claims", ClaimAbandoned) == [ClaimAbandoned("c1")]
    world.deliver(ClaimVoided(1, is_confirmed))
    expected = Outcome.NOT_RUN if is_confirmed else Outcome.UNKNOWN
    assert take_refusal(world).outcome is expected


def test_failed_keyed_write_is_unknown_and_keeps_its_claim(make_world):
    """Guards against a second run after a connection failure."""
    world = make_world("claims")
    world.request("write", headers=(KEY_HEADER,))
    grant_claim(world, 1)
    world.fail(*world.take_attempts())
    assert take_refusal(world)[1:3] == (504, Outcome.UNKNOWN)
    assert world.take_attempts() == []
    assert world.take("claims", ClaimOutcomeUnknown) == [ClaimOutcomeUnknown("c1")]


def test_late_grant_is_abandoned(make_world):
    """Guards against claims left behind after their request has ended."""
    world = make_world("claims")
    world.request("write", headers=(KEY_HEADER,))
    world.advance(2250.0)
    assert take_refusal(world)[1:4] == (504, Outcome.UNKNOWN, "claim-unknown")
    grant_claim(world, 1)
    assert world.take("claims", ClaimAbandoned) == [ClaimAbandoned("c1")]


# Permits and long requests


def test_long_request_is_sent_with_a_permit(make_world):
    """Guards against more long requests on a server than the permits allow."""
    world = make_world("permits")
    world.request("pull")
    (wanted,) = world.take("permits", PermitRequested)
    assert world.take_attempts() == []
    permit = Permit("long", wanted.server_ids[0], 0)
    world.deliver(PermitGranted(wanted.token, permit))
    (attempt,) = world.take_attempts()
    assert attempt.server_id == permit.server_id
    world.respond(attempt)
    assert world.take("permits", PermitReturned) == [PermitReturned(permit)]


def test_late_permit_is_returned(make_world):
    """Guards against permits not returned after callers disconnect."""
    world = make_world("permits")
    world.request("pull")
    world.deliver(CallerDisconnected(1))
    permit = Permit("long", "b0", 0)
    world.deliver(PermitGranted(1, permit))
    assert world.take("permits", PermitReturned) == [PermitReturned(permit)]


def test_request_with_a_refused_permit_is_not_run(make_world):
    """Guards against long requests that wait after they were refused."""
    world = make_world("permits")
    world.request("pull")
    world.deliver(PermitRefused(1, "none free"))
    assert take_refusal(world)[1:4] == (503, Outcome.NOT_RUN, "none-free")


@pytest.mark.parametrize("names", [(), ("permits",)])
def test_short_requests_do_not_wait_behind_long_ones(make_world, names):
    """Guards against long downloads that delay short requests."""
    world = make_world(*names, servers=1)
    for _ in range(300):
        world.request("pull")
    assert len(world.take_attempts()) == (0 if names else 1)
    assert {r.reason for r in world.take("callers")} == {"queue-full"}
    world.request("read")
    assert len(world.take_attempts()) == 1


# Flow control, events, failed handlers


def test_slow_caller_pauses_its_backend_connection(make_world):
    """Guards against responses that accumulate in memory."""
    world = make_world()
    world.request("pull")
    (attempt,) = world.take_attempts()
    world.deliver(CallerStalled(1))
    world.deliver(CallerResumed(1))
    paused, resumed = world.take("backends")
    assert isinstance(paused, AttemptReadPaused)
    assert isinstance(resumed, AttemptReadResumed)
    assert paused.attempt_id == resumed.attempt_id == attempt.attempt_id


def test_one_event_per_request_and_one_per_retry(make_world):
    """Guards against a timeline that costs more than the requests."""
    world = make_world("timeline", "metrics")
    world.request("read")
    world.fail(*world.take_attempts())
    world.respond(*world.take_attempts())
    world.request("read", headers=((b"request-deadline-ms", b"0"),))
    world.configure(sequence=2)
    world.request("read")
    events = world.take("timeline", EventRecorded)
    assert [e.details["note_sequence"] for e in events] == [1, 1, 1, 2]
    assert {e.note_sequence for e in events} == {0}
    assert [(e.name, e.request_id) for e in events] == [
        ("attempt", "1"),
        ("answered", "1"),
        ("refused", "2"),
        ("refused", "3"),
    ]


def test_failed_handler_ends_its_request_with_the_true_outcome(make_world):
    """Guards against requests that hang, or a false not-run after a send."""
    world = make_world("claims", "permits", servers=1)
    world.request("read")
    world.request("pull")
    world.request("write", headers=(KEY_HEADER,))
    world.request("read")
    head = ResponseHead(200, b"", ())
    streaming = world.take_attempts()[1]
    world.deliver(
        AttemptResponse(streaming.attempt_id, head, 9, b"a", False, False, False)
    )
    world.take("callers")
    for request_id in (1, 2, 3, 4, 4):
        fail_request(world.dispatch._state, request_id, "handler-failed")
    world.run()
    answers = {m.request_id: m for m in world.take("callers")}
    assert answers[1].outcome is Outcome.UNKNOWN
    assert answers[2].outcome is Outcome.NOT_RUN
    assert answers[3].outcome is Outcome.UNKNOWN
    assert isinstance(answers[4], ResponseAborted)
    assert world.dispatch.request_count == 0
    assert world.dispatch.count_in_flight("b0") == 0


def test_request_whose_handler_failed_is_answered(make_world):
    """Guards against callers that wait for a request without a record."""
    world = make_world()
    world.request("read")
    world.deliver(RequestFailed(1, "internal-error"))
    assert take_refusal(world)[1:4] == (504, Outcome.UNKNOWN, "internal-error")
    assert world.take("backends", AttemptCancelled)
    world.kernel.send("dispatch", RequestReceived(2, None, 0, b"", True, 0.0))
    world.run()
    assert world.received.pop("supervisor")
    world.deliver(RequestFailed(2, "internal-error"))
    (refused,) = world.take("callers", RequestRefused)
    assert refused[:4] == (2, 504, Outcome.UNKNOWN, "internal-error")
