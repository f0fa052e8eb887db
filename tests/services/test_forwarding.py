"""Tests of forwarding with fakes of its neighbours."""

from types import SimpleNamespace

import pytest

from cuminhatch.clock import ManualClock
from cuminhatch.decisions.configuration import Rule
from cuminhatch.decisions.server_records import (
    ServerLoad,
    ServerRecord,
    is_left_out,
    note_load,
)
from cuminhatch.messages import (
    AttemptFailed,
    CallerLeft,
    EventRecorded,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.messages.loads import LoadsMeasured, ServerObserved, ServerSilent
from cuminhatch.outcomes import Outcome
from cuminhatch.services.forwarding._answers import (
    RESPONSE_BUFFER_MAX_BYTES,
    note_attempt_failure,
)
from cuminhatch.services.forwarding._exchange import Attempt
from tests.services.forwarding_world import RULES, ForwardingWorld, id_of, make_server


@pytest.fixture
def make_world():
    worlds = []

    def make(*names, **keywords):
        worlds.append(ForwardingWorld(*names, **keywords))
        return worlds[-1]

    yield make
    for world in worlds:
        world.close()


def only_send(world):
    (send,) = world.sends()
    return send


def only_answer(world):
    (answer,) = world.take("callers", ResponseStarted)
    return answer


def only_refusal(world):
    (refusal,) = world.take("callers", RequestRefused)
    return refusal


def test_request_is_answered(make_world):
    """Guards against an answer that differs from the server's."""
    world = make_world("a", "b")
    request_id = world.request("read")
    send = only_send(world)
    headers = dict(send.head.headers)
    assert headers[b"for"] == send.server_id.encode()
    assert 0 < int(headers[b"left"]) <= 1_200
    world.answer(send, body=b"fresh")
    answer = only_answer(world)
    assert (answer.request_id, answer.data, answer.is_complete) == (
        request_id,
        b"fresh",
        True,
    )
    assert answer.head.status == 200


def test_unknown_configuration_is_no_missing_route(make_world):
    """Guards against 404 from an instance that has just started."""
    world = make_world()
    world.request("read")
    refusal = only_refusal(world)
    assert (refusal.status, refusal.outcome) == (503, Outcome.NOT_RUN)
    assert refusal.retry_after_ms > 0


@pytest.mark.parametrize(("host", "path"), [(b"else", None), (b"h", b"/other/")])
def test_missing_route_is_404(make_world, host, path):
    """Guards against a dropped route that is still served."""
    world = make_world("a")
    world.request("read", host=host, path=path)
    assert only_refusal(world).status == 404
    assert not world.sends()


def test_draining_and_removed_servers_get_nothing(make_world):
    """Guards against a request at a server that is leaving."""
    world = make_world("a")
    world.configure(make_server("a", is_draining=True), make_server("b"))
    for _ in range(5):
        world.request("read")
    assert {send.server_id for send in world.sends()} == {"b"}
    world.configure(make_server("a", is_draining=True))
    world.request("read")
    refusal = only_refusal(world)
    assert (refusal.status, refusal.reason) == (503, "no-backend-server")


def test_server_that_drains_while_it_is_measured_gets_nothing(make_world):
    """Guards against the time between looking at a server and sending."""
    world = make_world("a", "b")
    world.is_measuring = False
    world.request("read")
    world.configure(make_server("a", is_draining=True), make_server("b"))
    (measurement,) = world.unmeasured
    world.tell(LoadsMeasured(measurement.token))
    assert only_send(world).server_id == "b"


def test_not_run_goes_to_another_server_whatever_its_kind(make_world):
    """Guards against a refusal by a full server that reaches the caller."""
    for kind in ("read", "write"):
        world = make_world("a", "b")
        world.request(kind)
        first = only_send(world)
        world.refuse(first)
        second = only_send(world)
        assert second.server_id != first.server_id
        world.answer(second)
        assert only_answer(world).head.status == 200


def test_non_idempotent_request_is_sent_once_after_its_first_byte(make_world):
    """Guards against a rider who is charged twice."""
    world = make_world("a", "b", "c")
    world.request("write")
    world.fail(only_send(world), is_sent=True)
    assert not world.sends()
    refusal = only_refusal(world)
    assert (refusal.status, refusal.outcome) == (502, Outcome.UNKNOWN)
    assert refusal.retry_after_ms is None


def test_non_idempotent_request_without_a_byte_sent_goes_elsewhere(make_world):
    """Guards against failures that a crashed server need not cause."""
    world = make_world("a", "b", "c")
    world.request("write")
    first = only_send(world)
    world.fail(first, is_sent=False, reason="connection refused")
    second = only_send(world)
    assert second.server_id != first.server_id
    world.fail(second, is_sent=False, reason="connection refused")
    third = only_send(world)
    world.answer(third)
    assert only_answer(world).head.status == 200


def test_non_idempotent_request_uses_no_kept_connection(make_world):
    """Guards against a request lost in a connection that was closing."""
    world = make_world("a")
    world.request("write")
    world.request("read")
    write, read = world.sends()
    assert write.is_fresh_wanted
    assert not read.is_fresh_wanted


def test_servers_that_all_refuse_connections_give_a_refusal(make_world):
    """Guards against a loop of connects until the deadline."""
    world = make_world("a", "b")
    world.request("write")
    for _ in range(20):
        for send in world.sends():
            world.fail(send, is_sent=False, reason="connection refused")
    refusal = only_refusal(world)
    assert (refusal.status, refusal.outcome) == (503, Outcome.NOT_RUN)
    assert refusal.retry_after_ms > 30.0, "told when to come back"


def test_idempotent_request_is_sent_to_a_second_server_only(make_world):
    """Guards against more servers than the rule allows."""
    world = make_world("a", "b", "c")
    world.request("read")
    first = only_send(world)
    world.fail(first)
    second = only_send(world)
    assert second.server_id != first.server_id
    world.fail(second)
    assert not world.sends()
    refusal = only_refusal(world)
    assert (refusal.status, refusal.outcome) == (502, Outcome.UNKNOWN)


def test_failure_of_a_backend_server_is_replaced_where_that_is_allowed(make_world):
    """Guards against errors of grey servers that reach callers."""
    world = make_world("a", "b")
    world.request("read")
    world.answer(only_send(world), status=500)
    world.answer(only_send(world))
    assert only_answer(world).head.status == 200
    world.request("write")
    world.answer(only_send(world), status=500, body=b"failed")
    assert not world.sends()
    answer = only_answer(world)
    assert (answer.head.status, answer.data) == (500, b"failed")


def test_answer_of_another_request_reaches_nobody(make_world):
    """Guards against an extra answer on a kept connection."""
    world = make_world("a", "b")
    world.request("read")
    first = only_send(world)
    world.answer(first, request_id=b"999")
    assert world.cancelled() == [first.attempt_id]
    world.answer(only_send(world))
    assert only_answer(world).head.status == 200
    world.request("write")
    world.answer(only_send(world), request_id=b"999")
    assert only_refusal(world).outcome is Outcome.UNKNOWN


def test_success_without_a_mark_of_its_server_is_no_answer(make_world):
    """Guards against bytes that a faulty server made up."""
    world = make_world("a", "b")
    world.request("read")
    first = only_send(world)
    world.answer(first, headers=((b"id", id_of(first)),))
    assert not world.take("callers", ResponseStarted)
    assert len(world.sends()) == 1


def test_answer_that_is_cut_is_replaced(make_world):
    """Guards against half of a map pack."""
    world = make_world("a", "b")
    world.request("read")
    first = only_send(world)
    world.start_answer(first, 100, b"half")
    world.fail(first)
    assert not world.take("callers", ResponseStarted)
    world.answer(only_send(world), body=b"whole")
    assert only_answer(world).data == b"whole"


def test_long_answer_is_streamed_and_broken_off_if_cut(make_world):
    """Guards against memory for long answers, and a cut that looks whole."""
    world = make_world("a", "b")
    request_id = world.request("read")
    send = only_send(world)
    world.start_answer(send, RESPONSE_BUFFER_MAX_BYTES * 2, b"x" * 10)
    assert not only_answer(world).is_complete
    world.go_on(send, b"y" * 10, False)
    assert world.take("callers", ResponseBody)[0].data == b"y" * 10
    world.fail(send)
    assert world.take("callers", ResponseAborted) == [ResponseAborted(request_id)]
    assert not world.sends()


def test_late_answer_brings_a_second_send_and_the_first_answer_wins(make_world):
    """Load: a server turns slow with a request on it."""
    world = make_world("a", "b")
    world.request("read")
    first = only_send(world)
    world.advance(300.0)
    second = only_send(world)
    assert second.server_id != first.server_id
    world.answer(second, body=b"second")
    assert only_answer(world).data == b"second"
    assert world.cancelled() == [first.attempt_id]
    world.answer(first, body=b"late")
    assert not world.take("callers", ResponseStarted)


def test_non_idempotent_request_has_no_second_send(make_world):
    """Guards against a second run for the sake of speed."""
    world = make_world("a", "b")
    world.request("write")
    only_send(world)
    world.advance(1_000.0)
    assert not world.sends()


def test_failed_first_send_leaves_the_second_one(make_world):
    """Guards against a failure answered while another send is under way."""
    world = make_world("a", "b")
    world.request("read")
    first = only_send(world)
    world.advance(300.0)
    second = only_send(world)
    world.fail(first)
    assert not world.take("callers", RequestRefused)
    world.answer(second)
    assert only_answer(world).head.status == 200


@pytest.mark.parametrize("kind", ["read", "write"])
def test_caller_that_leaves_while_nothing_was_sent_leaves_nothing(make_world, kind):
    """Guards against work for a caller that has gone."""
    world = make_world("a")
    world.is_measuring = False
    request_id = world.request(kind)
    world.tell(CallerLeft(request_id))
    (measurement,) = world.unmeasured
    world.tell(LoadsMeasured(measurement.token))
    assert not world.sends()


def test_caller_that_leaves_cancels_only_work_that_may_be_repeated(make_world):
    """Guards against a server at work for nobody, and a confirmation cut."""
    world = make_world("a")
    read_id, write_id = world.request("read"), world.request("write")
    read, write = world.sends()
    world.tell(CallerLeft(read_id))
    world.tell(CallerLeft(write_id))
    assert world.cancelled() == [read.attempt_id]
    world.answer(write)
    assert not world.take("callers", ResponseStarted)


def test_timeout_of_a_rule_gives_the_final_answer(make_world):
    """Guards against a caller that is held beyond its route's time."""
    world = make_world("a")
    world.request("brief", wait_ms=5_000)
    send = only_send(world)
    world.advance(295.0)
    assert not world.take("callers", RequestRefused)
    world.advance(10.0)
    refusal = only_refusal(world)
    assert (refusal.status, refusal.outcome) == (504, Outcome.UNKNOWN)
    assert send.attempt_id in world.cancelled()


def test_nearly_full_servers_hold_a_request_and_refuse_it_soon(make_world):
    """Load: a burst beyond capacity on all servers."""
    world = make_world("a", "b")
    world.loads = {"a": (3, 5, 1.0), "b": (3, 6, 1.0)}
    world.request("read")
    assert not world.sends()
    world.advance(90.0)
    refusal = only_refusal(world)
    assert (refusal.status, refusal.outcome) == (503, Outcome.NOT_RUN)
    assert 0.0 < refusal.retry_after_ms < 1_200.0
    assert not world.sends()


def test_held_request_starts_when_a_server_has_room(make_world):
    """Load: a crest that passes within the hold time."""
    world = make_world("a")
    world.loads = {"a": (3, 0, 1.0)}
    world.request("read")
    assert not world.sends()
    world.loads = {"a": (1, 0, 1.0)}
    world.advance(20.0)
    assert only_send(world).server_id == "a"


def test_refused_callers_do_not_return_together(make_world):
    """Load: many callers refused in the same moment."""
    world = make_world("a")
    world.loads = {"a": (3, 6, 1.0)}
    for _ in range(10):
        world.request("read")
    world.advance(90.0)
    delays = {r.retry_after_ms for r in world.take("callers", RequestRefused)}
    assert len(delays) == 10
    assert max(delays) > 1.2 * min(delays)


def test_unreachable_server_is_left_out(make_world):
    """Guards against work for a server that another one has replaced."""
    world = make_world("a", "b")
    world.tell(ServerSilent("a", True, "another server answers"))
    for _ in range(4):
        world.request("read")
    assert {send.server_id for send in world.sends()} == {"b"}


def test_unhealthy_server_is_used_only_if_there_is_no_other(make_world):
    """Guards against health answers that are false in either way."""
    world = make_world("a", "b")
    world.loads = {"a": None}
    world.tell(ServerObserved("a", False, None))
    world.request("read")
    assert only_send(world).server_id == "b"
    world.configure(make_server("a"))
    world.request("read")
    assert only_send(world).server_id == "a"


def test_server_that_starts_again_under_its_id_is_a_new_one(make_world):
    """Guards against failures of a former start held against the next."""
    world = make_world("a", "b")
    world.tell(ServerSilent("a", True, "connection refused"))
    world.configure(make_server("a", started_ms=7), make_server("b"))
    world.loads = {"b": (2, 0, 1.0)}
    world.request("read")
    assert only_send(world).server_id == "a"


def test_route_that_moves_sends_new_requests_to_the_new_service_only(make_world):
    """Guards against requests at a service that a rule no longer names."""
    world = make_world("a")
    world.configure(make_server("a"), rules={"read": Rule("r", "t", "*", "/read/")})
    world.request("read")
    assert not world.sends()
    assert only_refusal(world).reason == "no-backend-server"
    world.configure(make_server("a"), rules=RULES)
    world.request("read")
    assert only_send(world).server_id == "a"


def test_every_decision_has_a_line_with_the_id_of_the_request(make_world):
    """Guards against a complaint that no log line explains."""
    world = make_world("a", "b")
    world.request("read")
    world.fail(only_send(world))
    world.answer(only_send(world))
    lines = [e for e in world.take("event_log", EventRecorded) if e.request_id]
    names = [line.name for line in lines]
    assert names == ["received", "placed", "send_failed", "placed", "answered"]
    assert {line.request_id for line in lines} == {"1"}
    placed = lines[1].details
    assert placed["load_age_ms"] == 0.0
    assert placed["predicted_ms"] > 0


def test_failed_second_send_does_not_take_out_the_first(make_world):
    """
    Guards against a server that is not counted although a send reached it.

    The rule allows two servers. The only server has the request twice; the
    second send fails before a byte has left, so the first still counts.
    """
    world = make_world("a")
    world.request("read")
    first = only_send(world)
    world.advance(300)
    for unsent in world.sends():
        world.fail(unsent, is_sent=False)
    world.configure(*(make_server(name) for name in ("a", "b", "c")))
    world.fail(first)
    second = only_send(world)
    world.fail(second)
    assert len({first.server_id, second.server_id}) == 2
    assert not world.sends()
    only_refusal(world)


def test_unsent_resend_does_not_take_out_the_server_of_the_first(make_world):
    """
    Guards against a server that is not counted although a send reached it.

    The rule allows two servers. The only server resets the request, and its
    second send does not leave; two other servers are there by then.
    """
    world = make_world("a")
    world.request("read")
    world.fail(only_send(world))
    resend = only_send(world)
    world.configure(*(make_server(name) for name in ("a", "b", "c")))
    world.fail(resend, is_sent=False)
    second = only_send(world)
    assert second.server_id != "a"
    world.fail(second)
    assert not world.sends()
    only_refusal(world)


def test_late_answer_is_not_sent_to_the_same_server_again(make_world):
    """Guards against a second send that queues behind the first."""
    world = make_world("a")
    world.request("read")
    only_send(world)
    world.advance(600)
    assert not world.sends()


@pytest.mark.parametrize(("running", "is_broken"), [(3, False), (0, True)])
def test_full_server_that_resets_is_not_taken_for_a_broken_one(running, is_broken):
    """
    Guards against a fleet that runs out of servers when some are full.

    A server that resets two requests with free slots is left out for half a
    second; one that has told that it is full has room again sooner.
    """
    clock = ManualClock(1_000.0)
    record = ServerRecord(make_server("a"), True, 0.0)
    note_load(record, ServerLoad(running, 0, 3, 1.0, 999.0))
    attempt = Attempt(1, record, 999.0, False, 1.0)
    for _ in range(2):
        failed = AttemptFailed(1, "connection failed", True, False)
        note_attempt_failure(SimpleNamespace(clock=clock), attempt, failed)
    assert is_left_out(record, 1_100.0)
    assert is_left_out(record, 1_300.0) == is_broken
