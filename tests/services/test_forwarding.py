"""Tests of forwarding with fakes of the other services."""

from types import SimpleNamespace

import pytest

from cuminhatch.clock import ManualClock
from cuminhatch.decisions.configuration import Rule
from cuminhatch.decisions.placement import RETRY_AFTER_MIN_MS
from cuminhatch.decisions.server_records import (
    ServerLoad,
    ServerRecord,
    is_excluded,
    record_load,
)
from cuminhatch.messages import (
    AttemptFailed,
    AttemptRequestBody,
    AttemptWriteStalled,
    CallerDisconnected,
    EventRecorded,
    RequestBody,
    RequestReadPaused,
    RequestReadResumed,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.messages.loads import (
    HealthCheckAnswered,
    HealthCheckFailed,
    LoadsMeasured,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services.forwarding._exchange import REQUEST_BUFFER_MAX_BYTES, Attempt
from cuminhatch.services.forwarding._resending import PLACEMENT_RETRIES_MAX
from cuminhatch.services.forwarding._responses import (
    RESPONSE_BUFFER_MAX_BYTES,
    note_attempt_failure,
)
from tests.services.forwarding_world import (
    RULES,
    SETTINGS,
    ForwardingWorld,
    get_request_id,
    make_server,
)


@pytest.fixture
def make_world():
    worlds = []

    def make(*server_ids, **options):
        worlds.append(ForwardingWorld(*server_ids, **options))
        return worlds[-1]

    yield make
    for world in worlds:
        world.close()


def take_only_attempt(world):
    (attempt,) = world.take_attempts()
    return attempt


def take_only_response(world):
    (response,) = world.take("callers", ResponseStarted)
    return response


def take_only_refusal(world):
    (refusal,) = world.take("callers", RequestRefused)
    return refusal


def test_response_is_returned_to_caller(make_world):
    """Guards against a response that differs from the server's response."""
    world = make_world("a", "b")
    request_id = world.request("read")
    attempt = take_only_attempt(world)
    headers = dict(attempt.head.headers)
    assert headers[b"for"] == attempt.server_id.encode()
    assert 0 < int(headers[b"left"]) <= 1_200
    world.respond(attempt, body=b"fresh")
    response = take_only_response(world)
    assert (response.request_id, response.data, response.is_complete) == (
        request_id,
        b"fresh",
        True,
    )
    assert response.head.status == 200


def test_missing_configuration_is_503(make_world):
    """Guards against a 404 of an instance that has no configuration yet."""
    world = make_world()
    world.request("read")
    refusal = take_only_refusal(world)
    assert (refusal.status, refusal.outcome) == (503, Outcome.NOT_RUN)
    assert refusal.retry_after_ms > 0


@pytest.mark.parametrize(("host", "path"), [(b"else", None), (b"h", b"/other/")])
def test_request_without_rule_is_404(make_world, host, path):
    """Guards against forwarding a request that no rule matches."""
    world = make_world("a")
    world.request("read", host=host, path=path)
    assert take_only_refusal(world).status == 404
    assert not world.take_attempts()


def test_draining_and_removed_servers_get_no_requests(make_world):
    """Guards against a request to a server that is being removed."""
    world = make_world("a")
    world.configure(make_server("a", is_draining=True), make_server("b"))
    for _ in range(5):
        world.request("read")
    assert {attempt.server_id for attempt in world.take_attempts()} == {"b"}
    world.configure(make_server("a", is_draining=True))
    world.request("read")
    refusal = take_only_refusal(world)
    assert (refusal.status, refusal.reason) == (503, "no-backend-server")


def test_server_that_starts_draining_during_placement_gets_no_request(make_world):
    """Guards against a request to a server that began draining meanwhile."""
    world = make_world("a", "b")
    world.is_measuring = False
    world.request("read")
    world.configure(make_server("a", is_draining=True), make_server("b"))
    (load_request,) = world.unanswered_load_requests
    world.tell(LoadsMeasured(load_request.token))
    assert take_only_attempt(world).server_id == "b"


def test_request_that_was_not_executed_is_retried_on_another_server(make_world):
    """Guards against returning the refusal of a full server to the caller."""
    for rule_id in ("read", "write"):
        world = make_world("a", "b")
        world.request(rule_id)
        first = take_only_attempt(world)
        world.refuse(first)
        second = take_only_attempt(world)
        assert second.server_id != first.server_id
        world.respond(second)
        assert take_only_response(world).head.status == 200


def test_non_idempotent_request_is_not_retried_after_its_first_byte(make_world):
    """Guards against executing a non-idempotent request twice."""
    world = make_world("a", "b", "c")
    world.request("write")
    world.fail(take_only_attempt(world), is_sent=True)
    assert not world.take_attempts()
    refusal = take_only_refusal(world)
    assert (refusal.status, refusal.outcome) == (502, Outcome.UNKNOWN)
    assert refusal.retry_after_ms is None


def test_non_idempotent_request_is_retried_if_no_byte_was_sent(make_world):
    """Guards against failing a request that no server has received."""
    world = make_world("a", "b", "c")
    world.request("write")
    first = take_only_attempt(world)
    world.fail(first, is_sent=False, reason="connection refused")
    second = take_only_attempt(world)
    assert second.server_id != first.server_id
    world.fail(second, is_sent=False, reason="connection refused")
    third = take_only_attempt(world)
    world.respond(third)
    assert take_only_response(world).head.status == 200


def test_non_idempotent_request_uses_a_new_connection(make_world):
    """Guards against a request lost on an idle connection that is closing."""
    world = make_world("a")
    world.request("write")
    world.request("read")
    write, read = world.take_attempts()
    assert write.is_new_connection_required
    assert not read.is_new_connection_required


def test_misplaced_response_requires_new_connections(make_world):
    """Guards against an outcome that a late copy of a response hides."""
    settings = SETTINGS._replace(active_connection_ms=50.0)
    world = make_world("a", settings=settings)
    world.request("write")
    first = take_only_attempt(world)
    assert first.idle_max_ms == 50.0
    world.respond(first, request_id=b"other")
    world.request("write")
    second = take_only_attempt(world)
    assert second.is_new_connection_required


def test_resend_denied_because_no_server_accepts_is_logged(make_world):
    """Guards against a request that ends without a logged reason."""
    world = make_world("a")
    world.request("write")
    for _ in range(PLACEMENT_RETRIES_MAX + 1):
        (attempt,) = world.take_attempts()
        world.fail(attempt, is_sent=False, reason="connection refused")
    assert take_only_refusal(world).outcome is Outcome.NOT_RUN
    events = world.take("event_log", EventRecorded)
    denied = [e.details["reason"] for e in events if e.name == "resend_denied"]
    assert denied == ["no-server-accepts"]


def test_callers_without_a_server_are_not_told_to_return_at_once(make_world):
    """Guards against callers that return before a server can have come."""
    world = make_world("a")
    world.configure()
    world.request("read")
    refusal = take_only_refusal(world)
    assert refusal.reason == "no-backend-server"
    assert refusal.retry_after_ms >= RETRY_AFTER_MIN_MS * 0.7


def test_request_is_refused_if_all_servers_refuse_connections(make_world):
    """Guards against reconnecting in a loop until the deadline."""
    world = make_world("a", "b")
    world.request("write")
    for _ in range(20):
        for attempt in world.take_attempts():
            world.fail(attempt, is_sent=False, reason="connection refused")
    refusal = take_only_refusal(world)
    assert (refusal.status, refusal.outcome) == (503, Outcome.NOT_RUN)
    assert refusal.retry_after_ms > 30.0, "no time to retry after"


def test_idempotent_request_is_sent_to_at_most_two_servers(make_world):
    """Guards against using more servers than the rule allows."""
    world = make_world("a", "b", "c")
    world.request("read")
    first = take_only_attempt(world)
    world.fail(first)
    second = take_only_attempt(world)
    assert second.server_id != first.server_id
    world.fail(second)
    assert not world.take_attempts()
    refusal = take_only_refusal(world)
    assert (refusal.status, refusal.outcome) == (502, Outcome.UNKNOWN)


def test_server_error_is_retried_if_the_request_is_idempotent(make_world):
    """Guards against returning errors of a partly failing server."""
    world = make_world("a", "b")
    world.request("read")
    world.respond(take_only_attempt(world), status=500)
    world.respond(take_only_attempt(world))
    assert take_only_response(world).head.status == 200
    world.request("write")
    world.respond(take_only_attempt(world), status=500, body=b"failed")
    assert not world.take_attempts()
    response = take_only_response(world)
    assert (response.head.status, response.data) == (500, b"failed")


def test_response_to_another_request_is_dropped(make_world):
    """Guards against an unsolicited response on a reused connection."""
    world = make_world("a", "b")
    world.request("read")
    first = take_only_attempt(world)
    world.respond(first, request_id=b"999")
    assert world.take_cancelled_ids() == [first.attempt_id]
    world.respond(take_only_attempt(world))
    assert take_only_response(world).head.status == 200
    world.request("write")
    world.respond(take_only_attempt(world), request_id=b"999")
    assert take_only_refusal(world).outcome is Outcome.UNKNOWN


def test_success_response_without_a_seal_is_dropped(make_world):
    """Guards against a success response that no backend server has sealed."""
    world = make_world("a", "b")
    world.request("read")
    first = take_only_attempt(world)
    world.respond(first, headers=((b"id", get_request_id(first)),))
    assert not world.take("callers", ResponseStarted)
    assert len(world.take_attempts()) == 1


def test_truncated_response_is_retried(make_world):
    """Guards against returning a truncated response."""
    world = make_world("a", "b")
    world.request("read")
    first = take_only_attempt(world)
    world.start_response(first, 100, b"half")
    world.fail(first)
    assert not world.take("callers", ResponseStarted)
    world.respond(take_only_attempt(world), body=b"whole")
    assert take_only_response(world).data == b"whole"


def test_long_response_is_streamed_and_aborted_if_truncated(make_world):
    """Guards against buffering long responses, and hiding their truncation."""
    world = make_world("a", "b")
    request_id = world.request("read")
    attempt = take_only_attempt(world)
    world.start_response(attempt, RESPONSE_BUFFER_MAX_BYTES * 2, b"x" * 10)
    assert not take_only_response(world).is_complete
    world.continue_response(attempt, b"y" * 10, False)
    assert world.take("callers", ResponseBody)[0].data == b"y" * 10
    world.fail(attempt)
    assert world.take("callers", ResponseAborted) == [ResponseAborted(request_id)]
    assert not world.take_attempts()


def test_late_response_starts_a_hedged_attempt_and_the_first_response_wins(make_world):
    """Guards against waiting for a server that has become slow."""
    world = make_world("a", "b")
    world.request("read")
    first = take_only_attempt(world)
    world.advance(300.0)
    second = take_only_attempt(world)
    assert second.server_id != first.server_id
    world.respond(second, body=b"second")
    assert take_only_response(world).data == b"second"
    assert world.take_cancelled_ids() == [first.attempt_id]
    world.respond(first, body=b"late")
    assert not world.take("callers", ResponseStarted)


def test_hedge_is_dropped_once_a_long_response_is_streamed(make_world):
    """
    Guards against a second head in the middle of a streamed response.

    The hedge is decided on before the first response arrives, and the loads
    that its placement waits for arrive after the start of the stream.
    """
    world = make_world("a", "b")
    request_id = world.request("read")
    first = take_only_attempt(world)
    world.is_measuring = False
    world.advance(300.0)
    (measurement,) = world.unanswered_load_requests
    length = RESPONSE_BUFFER_MAX_BYTES * 2
    world.start_response(first, length, b"x" * 10)
    assert take_only_response(world).data == b"x" * 10
    world.tell(LoadsMeasured(measurement.token))
    world.continue_response(first, b"y" * 10, False)
    world.continue_response(first, b"z" * (length - 20), True)
    assert not world.take_attempts()
    assert not world.take("callers", ResponseStarted)
    parts = world.take("callers", ResponseBody)
    assert [part.request_id for part in parts] == [request_id] * 2
    assert b"".join(part.data for part in parts) == b"y" * 10 + b"z" * (length - 20)
    assert parts[-1].is_complete


def test_hedge_is_dropped_once_a_long_body_is_not_kept(make_world):
    """
    Guards against a hedge that sends only the rest of a body (UNASKED).

    The hedge is decided on while the body is buffered, and the loads that its
    placement waits for arrive after the body has become too long for that.
    """
    world = make_world("a", "b")
    half = REQUEST_BUFFER_MAX_BYTES // 2
    request_id = world.request("read", body=b"x" * half, body_length=half * 4)
    first = take_only_attempt(world)
    assert first.data == b"x" * half
    world.is_measuring = False
    world.advance(300.0)
    (measurement,) = world.unanswered_load_requests
    world.tell(RequestBody(request_id, b"y" * (half + 1), False))
    world.tell(LoadsMeasured(measurement.token))
    world.tell(RequestBody(request_id, b"z" * (half * 2 - 1), True))
    assert not world.take_attempts()
    parts = world.take("backends", AttemptRequestBody)
    assert {part.attempt_id for part in parts} == {first.attempt_id}
    assert sum(len(part.data) for part in parts) == half * 3
    world.respond(first, body=b"own")
    assert take_only_response(world).data == b"own"


def test_body_goes_on_after_the_failure_of_an_attempt_that_reads_slowly(make_world):
    """Guards against a body that its remaining server never gets whole."""
    world = make_world("a", "b")
    world.request("read", body=b"x", body_length=REQUEST_BUFFER_MAX_BYTES * 8)
    first = take_only_attempt(world)
    world.advance(300.0)
    second = take_only_attempt(world)
    world.take("callers", RequestReadResumed)
    world.tell(AttemptWriteStalled(second.attempt_id))
    assert world.take("callers", RequestReadPaused)
    world.fail(second)
    assert world.take("callers", RequestReadResumed)
    world.respond(first)
    assert take_only_response(world).is_complete


def test_non_idempotent_request_is_not_hedged(make_world):
    """Guards against executing a non-idempotent request twice to save time."""
    world = make_world("a", "b")
    world.request("write")
    take_only_attempt(world)
    world.advance(1_000.0)
    assert not world.take_attempts()


def test_failed_attempt_leaves_the_hedged_one_running(make_world):
    """Guards against reporting a failure while an attempt is in progress."""
    world = make_world("a", "b")
    world.request("read")
    first = take_only_attempt(world)
    world.advance(300.0)
    second = take_only_attempt(world)
    world.fail(first)
    assert not world.take("callers", RequestRefused)
    world.respond(second)
    assert take_only_response(world).head.status == 200


@pytest.mark.parametrize("rule_id", ["read", "write"])
def test_request_is_dropped_if_its_caller_leaves_before_an_attempt(make_world, rule_id):
    """Guards against forwarding the request of a disconnected caller."""
    world = make_world("a")
    world.is_measuring = False
    request_id = world.request(rule_id)
    world.tell(CallerDisconnected(request_id))
    (load_request,) = world.unanswered_load_requests
    world.tell(LoadsMeasured(load_request.token))
    assert not world.take_attempts()


def test_only_idempotent_attempt_is_cancelled_when_the_caller_leaves(make_world):
    """Guards against useless work, and against interrupting a write."""
    world = make_world("a")
    read_id, write_id = world.request("read"), world.request("write")
    read, write = world.take_attempts()
    world.tell(CallerDisconnected(read_id))
    world.tell(CallerDisconnected(write_id))
    assert world.take_cancelled_ids() == [read.attempt_id]
    world.respond(write)
    assert not world.take("callers", ResponseStarted)


def test_timeout_of_a_rule_ends_the_request(make_world):
    """Guards against holding a caller beyond the timeout of the rule."""
    world = make_world("a")
    world.request("brief", wait_ms=5_000)
    attempt = take_only_attempt(world)
    world.advance(295.0)
    assert not world.take("callers", RequestRefused)
    world.advance(10.0)
    refusal = take_only_refusal(world)
    assert (refusal.status, refusal.outcome) == (504, Outcome.UNKNOWN)
    assert attempt.attempt_id in world.take_cancelled_ids()


def test_request_waits_briefly_for_nearly_full_servers_and_is_refused(make_world):
    """Guards against overloading servers in a burst beyond their capacity."""
    world = make_world("a", "b")
    world.loads = {"a": (3, 5, 1.0), "b": (3, 6, 1.0)}
    world.request("read")
    assert not world.take_attempts()
    world.advance(90.0)
    refusal = take_only_refusal(world)
    assert (refusal.status, refusal.outcome) == (503, Outcome.NOT_RUN)
    assert 0.0 < refusal.retry_after_ms < 1_200.0
    assert not world.take_attempts()


def test_waiting_request_is_sent_when_a_server_has_free_capacity(make_world):
    """Guards against refusing requests in a peak that ends while they wait."""
    world = make_world("a")
    world.loads = {"a": (3, 0, 1.0)}
    world.request("read")
    assert not world.take_attempts()
    world.loads = {"a": (1, 0, 1.0)}
    world.advance(20.0)
    assert take_only_attempt(world).server_id == "a"


def test_refused_callers_get_different_retry_times(make_world):
    """Guards against many refused callers that retry at the same time."""
    world = make_world("a")
    world.loads = {"a": (3, 6, 1.0)}
    for _ in range(10):
        world.request("read")
    world.advance(90.0)
    delays = {r.retry_after_ms for r in world.take("callers", RequestRefused)}
    assert len(delays) == 10
    assert max(delays) > 1.2 * min(delays)


def test_unreachable_server_is_left_out(make_world):
    """Guards against requests to an address that another server has taken."""
    world = make_world("a", "b")
    world.tell(HealthCheckFailed("a", True, "another server answers"))
    for _ in range(4):
        world.request("read")
    assert {attempt.server_id for attempt in world.take_attempts()} == {"b"}


def test_unhealthy_server_is_used_only_if_there_is_no_other(make_world):
    """
    Guards against using an unhealthy server while there is a healthy one.

    Also guards against refusing requests if there is no healthy one.
    """
    world = make_world("a", "b")
    world.loads = {"a": None}
    world.tell(HealthCheckAnswered("a", False, None))
    world.request("read")
    assert take_only_attempt(world).server_id == "b"
    world.configure(make_server("a"))
    world.request("read")
    assert take_only_attempt(world).server_id == "a"


def test_ill_server_that_the_store_does_not_list_gets_no_request(make_world):
    """Guards against requests to a server that has left, if all seem ill."""
    world = make_world("b", "c")
    world.loads = {"a": None, "b": None, "c": None}
    world.configure(
        make_server("a", is_unlisted=True), make_server("b"), make_server("c")
    )
    for server_id in "abc":
        world.tell(HealthCheckAnswered(server_id, False, None))
    for _ in range(8):
        world.request("read")
    assert {attempt.server_id for attempt in world.take_attempts()} == {"b", "c"}
    world.configure(make_server("a", is_unlisted=True))
    world.request("read")
    assert take_only_attempt(world).server_id == "a"


def test_restarted_server_gets_a_new_record(make_world):
    """Guards against counting failures of a server before its restart."""
    world = make_world("a", "b")
    world.tell(HealthCheckFailed("a", True, "connection refused"))
    world.configure(make_server("a", started_ms=7), make_server("b"))
    world.loads = {"b": (2, 0, 1.0)}
    world.request("read")
    assert take_only_attempt(world).server_id == "a"


def test_changed_rule_sends_new_requests_to_its_new_service_only(make_world):
    """Guards against requests to a service that the rule no longer names."""
    world = make_world("a")
    world.configure(make_server("a"), rules={"read": Rule("r", "t", "*", "/read/")})
    world.request("read")
    assert not world.take_attempts()
    assert take_only_refusal(world).reason == "no-backend-server"
    world.configure(make_server("a"), rules=RULES)
    world.request("read")
    assert take_only_attempt(world).server_id == "a"


def test_every_decision_is_logged_with_the_request_id(make_world):
    """Guards against a request whose handling the event log cannot explain."""
    world = make_world("a", "b")
    world.request("read")
    world.fail(take_only_attempt(world))
    world.respond(take_only_attempt(world))
    lines = [e for e in world.take("event_log", EventRecorded) if e.request_id]
    names = [line.name for line in lines]
    assert names == ["received", "placed", "send_failed", "placed", "answered"]
    assert {line.request_id for line in lines} == {"1"}
    placed = lines[1].details
    assert placed["load_age_ms"] == 0.0
    assert placed["predicted_ms"] > 0


def test_rejected_and_streamed_responses_are_logged(make_world):
    """Guards against a wrong body whose origin the event log cannot tell."""
    world = make_world("a", "b")
    world.request("read")
    world.respond(take_only_attempt(world), request_id=b"other", is_reused=True)
    second = take_only_attempt(world)
    length = RESPONSE_BUFFER_MAX_BYTES + 1
    world.start_response(second, length, b"x")
    world.continue_response(second, b"x" * (length - 1), True)
    lines = {e.name: e.details for e in world.take("event_log", EventRecorded)}
    rejected, streaming = lines["response_rejected"], lines["streaming_started"]
    assert rejected["reason"] == "answer-of-another-request"
    assert rejected["response_ids"] == ["other"]
    assert rejected["is_reused"]
    assert streaming["received_bytes"] == 1
    assert streaming["declared_bytes"] == length
    assert lines["answered"]["response_bytes"] == length


def test_server_of_the_first_attempt_counts_after_an_unsent_hedge(make_world):
    """
    Guards against not counting a server that has received the request.

    The rule allows two servers. If a hedged attempt fails before a byte is
    sent, its server does not count, and that of the first attempt does.
    """
    world = make_world("a", "b", "c")
    world.request("read")
    first = take_only_attempt(world)
    world.advance(300)
    unsent = take_only_attempt(world)
    assert unsent.server_id != first.server_id
    world.fail(unsent, is_sent=False)
    world.fail(first)
    second = take_only_attempt(world)
    world.fail(second)
    assert len({first.server_id, second.server_id}) == 2
    assert not world.take_attempts()
    take_only_refusal(world)


def test_server_of_the_first_attempt_counts_after_an_unsent_retry(make_world):
    """
    Guards against not counting a server that has received the request.

    The rule allows two servers. The only server resets the connection, and the
    retry fails before a byte is sent. Two more servers are added before that.
    """
    world = make_world("a")
    world.request("read")
    world.fail(take_only_attempt(world))
    retry = take_only_attempt(world)
    world.configure(*(make_server(name) for name in ("a", "b", "c")))
    world.fail(retry, is_sent=False)
    second = take_only_attempt(world)
    assert second.server_id != "a"
    world.fail(second)
    assert not world.take_attempts()
    take_only_refusal(world)


def test_request_is_not_hedged_on_the_same_server(make_world):
    """Guards against a hedged attempt that queues behind the first attempt."""
    world = make_world("a")
    world.request("read")
    take_only_attempt(world)
    world.advance(600)
    assert not world.take_attempts()


@pytest.mark.parametrize(("running", "is_treated_as_failed"), [(3, False), (0, True)])
def test_full_server_that_resets_connections_is_not_treated_as_failed(
    running, is_treated_as_failed
):
    """
    Guards against leaving out too many servers when some are full.

    A server with free slots that resets two requests is left out for half a
    second. One that has reported that it is full is left out for a shorter
    time, since it has free capacity again sooner.
    """
    clock = ManualClock(1_000.0)
    record = ServerRecord(make_server("a"), True, 0.0)
    record_load(record, ServerLoad(running, 0, 3, 1.0, 999.0))
    attempt = Attempt(1, record, 999.0, False, 1.0)
    for _ in range(2):
        failed = AttemptFailed(1, "connection failed", True, False)
        note_attempt_failure(SimpleNamespace(clock=clock), attempt, failed)
    assert is_excluded(record, 1_100.0)
    assert is_excluded(record, 1_300.0) == is_treated_as_failed
