"""Each request gets one complete response of its own, or a true error."""

import sys
from random import Random

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cuminhatch.messages import LeavingServersChanged, LoadObserved, RequestBody
from cuminhatch.services.dispatch import Dispatch
from cuminhatch.services.dispatch._admission_queues import admit_request
from cuminhatch.services.dispatch._request_completion import leave_queue, refuse_request
from tests.proofs.dispatch_harness import Oracle

FULL = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
# A broken version only has to be caught, so its example is not shrunk. The
# search depends on constants that hypothesis collects from the source, so a
# rare fault may need more examples after any change of the code.
SEARCH = settings(
    FULL, max_examples=1500, phases=(Phase.generate,), report_multiple_bugs=False
)


def match_late_responses(original):
    """Matches a late response to the attempt that started last."""

    def on_attempt_response(state, message):
        if message.attempt_id not in state.by_attempt and state.by_attempt:
            message = message._replace(attempt_id=max(state.by_attempt))
        original(state, message)

    return on_attempt_response


def retry_sent_requests(original):
    """Retries every failed attempt as if no byte had been sent."""

    def retry_request(state, record, is_sent, is_shed, is_reused):
        record.may_have_run |= is_sent and not is_shed
        return original(state, record, False, is_shed, is_reused)

    return retry_request


def report_not_run_after_sending(original):
    """Reports not-run for every failed attempt."""

    def give_up(state, record, is_sent, reason):
        record.may_have_run = False
        original(state, record, False, reason)

    return give_up


def judge_by_last_attempt(original):
    """Forgets earlier attempts when a request is given up."""

    def give_up(state, record, is_sent, reason):
        record.may_have_run = is_sent
        original(state, record, is_sent, reason)

    return give_up


def refuse_by_last_attempt(original):
    """Forgets earlier attempts when a request is refused."""

    def refuse_waiting_request(state, record, reason):
        record.may_have_run = False
        original(state, record, reason)

    return refuse_waiting_request


def report_not_run_before_void(original):
    """Reports not-run before the claim is voided."""

    def refuse_waiting_request(state, record, reason):
        if record.may_have_run:
            original(state, record, reason)
        else:
            leave_queue(state, record)
            refuse_request(state, record, 503, reason)

    return refuse_waiting_request


def send_before_claim(_):
    """Sends a keyed request without its claim."""
    return admit_request


def forward_short_responses(original):
    """Does not count the bytes of a response."""

    def forward_head(state, record, facts, message):
        original(state, record, facts, message)
        record.response_bytes_left = None

    return forward_head


def accept_any_response(original):
    """Takes every response for that of the waiting request."""
    return lambda record, message, parsed: ""


def believe_any_refusal(original):
    """Believes a refusal before it asks whose it is."""

    def check_response(record, message, parsed):
        return "" if parsed.is_shed else original(record, message, parsed)

    return check_response


def leak_in_flight(original):
    """Never removes a cancelled attempt from the in-flight count."""

    def cancel_attempt(state, record):
        original(state, record)
        record.view.in_flight += 1

    return cancel_attempt


def leak_permits(original):
    """Does not return the permit of a cancelled attempt."""

    def cancel_attempt(state, record):
        record.permit = None
        original(state, record)

    return cancel_attempt


def ignore_message(_):
    """Ignores a message."""
    return lambda state, message: None


# Functions of dispatch that each broken version replaces, by name.
BROKEN = {
    "matches late responses": {"on_attempt_response": match_late_responses},
    "retries what was sent": {"retry_request": retry_sent_requests},
    "reports not-run after sending": {"give_up": report_not_run_after_sending},
    "forgets earlier attempts": {
        "give_up": judge_by_last_attempt,
        "refuse_waiting_request": refuse_by_last_attempt,
    },
    "reports not-run before void": {
        "refuse_waiting_request": report_not_run_before_void
    },
    "sends before claim": {"start_keyed_request": send_before_claim},
    "forwards short responses": {"forward_head": forward_short_responses},
    "accepts any response": {"check_response": accept_any_response},
    "believes any refusal": {"check_response": believe_any_refusal},
    "leaks in flight": {"cancel_attempt": leak_in_flight},
    "leaks permits": {"cancel_attempt": leak_permits},
    "ignores the list": {"on_leaving_servers_changed": ignore_message},
    "forgets waiting requests": {"on_request_timer_expired": ignore_message},
}


def replace_function(monkeypatch, name, make_broken):
    """Replace a function in every module of the services that holds it."""
    is_found = False
    for module in list(sys.modules.values()):
        if not module.__name__.startswith("cuminhatch.services."):
            continue
        original = vars(module).get(name)
        if original is not None:
            is_found = True
            monkeypatch.setattr(module, name, make_broken(original))
    assert is_found, name


PICK = st.integers(0, 30)


def has_attempts(machine):
    return bool(machine.oracle.attempts)


def has_open_callers(machine):
    return any(not caller.is_ended for caller in machine.oracle.callers.values())


def has_pending_claims(machine):
    return any(c.claim == "wanted" for c in machine.oracle.callers.values())


def has_pending_permits(machine):
    return bool(machine.oracle.pending_permits)


def has_pending_voids(machine):
    return bool(machine.oracle.pending_voids)


def make_machine(dispatch_class):
    """Return the state machine for one version of dispatch."""

    class Machine(RuleBasedStateMachine):
        """Callers, backend servers, claims and permits act in any order."""

        @initialize(has_permits=st.booleans(), seed=st.integers(0, 3))
        def start(self, has_permits, seed):
            names = ["callers", "backends", "claims"]
            if has_permits:
                names.append("permits")
            self.oracle = Oracle(
                lambda kernel: dispatch_class(kernel, "i", "a", Random(seed)), names
            )

        def _pick_attempt(self, pick):
            attempts = self.oracle.attempts
            # Mostly an open attempt, sometimes one that has ended.
            ids = [a for a in attempts if attempts[a].is_open]
            ids = ids if ids and pick % 4 else list(attempts)
            return ids[pick % len(ids)]

        @rule(
            kind=st.sampled_from(["put", "write", "write"]),
            is_keyed=st.booleans(),
            is_complete=st.booleans(),
            size=st.sampled_from([0, 10, 70_000]),
        )
        def caller_posts(self, kind, is_keyed, is_complete, size):
            self.oracle.open_request(kind, is_keyed, b"x" * size, is_complete)

        @rule(kind=st.sampled_from(["read", "pull"]))
        def caller_asks(self, kind):
            self.oracle.open_request(kind, False, b"", True)

        @precondition(lambda machine: machine.oracle.callers)
        @rule(pick=PICK, size=st.sampled_from([1, 40_000]), is_last=st.booleans())
        def caller_sends_body(self, pick, size, is_last):
            ids = list(self.oracle.callers)
            request_id = ids[-1 - pick % len(ids)]
            self.oracle.deliver(RequestBody(request_id, b"x" * size, is_last))

        @precondition(has_open_callers)
        @rule(pick=PICK)
        def caller_leaves(self, pick):
            callers = self.oracle.callers
            ids = [i for i in callers if not callers[i].is_ended]
            self.oracle.disconnect(ids[pick % len(ids)])

        @precondition(has_attempts)
        @rule(pick=PICK, part=st.integers(1, 4), is_last=st.booleans())
        def server_responds(self, pick, part, is_last):
            attempt_id = self._pick_attempt(pick)
            self.oracle.respond(attempt_id, part, is_last)

        @precondition(has_attempts)
        @rule(pick=PICK)
        def server_cuts_answer(self, pick):
            attempt_id = self._pick_attempt(pick)
            self.oracle.truncate_response(attempt_id)

        @precondition(has_attempts)
        @rule(pick=PICK, is_sent=st.booleans(), is_reused=st.booleans())
        def attempt_fails(self, pick, is_sent, is_reused):
            attempt_id = self._pick_attempt(pick)
            self.oracle.fail(attempt_id, is_sent, is_reused)

        @precondition(has_attempts)
        @rule(pick=PICK)
        def server_sheds(self, pick):
            attempt_id = self._pick_attempt(pick)
            self.oracle.shed(attempt_id)

        @precondition(has_attempts)
        @rule(pick=PICK, is_shed=st.booleans(), has_id=st.booleans())
        def server_repeats_an_earlier_response(self, pick, is_shed, has_id):
            attempt_id = self._pick_attempt(pick)
            self.oracle.repeat_earlier_response(attempt_id, is_shed, has_id)

        @precondition(has_attempts)
        @rule(pick=PICK)
        def server_sheds_and_responds(self, pick):
            attempt_id = self._pick_attempt(pick)
            self.oracle.shed_and_respond(attempt_id)

        @precondition(has_pending_claims)
        @rule(pick=PICK, is_granted=st.sampled_from([True, True, False]))
        def claim_is_decided(self, pick, is_granted):
            callers = self.oracle.callers
            ids = [i for i in callers if callers[i].claim == "wanted"]
            self.oracle.decide_claim(ids[pick % len(ids)], is_granted)

        @precondition(has_pending_voids)
        @rule(is_confirmed=st.booleans())
        def void_is_decided(self, is_confirmed):
            self.oracle.decide_void(is_confirmed)

        @precondition(has_pending_permits)
        @rule(is_granted=st.sampled_from([True, True, False]))
        def permit_is_decided(self, is_granted):
            self.oracle.decide_permit(is_granted)

        @rule(numbers=st.sets(st.integers(0, 4), max_size=4))
        def configuration_changes(self, numbers):
            self.oracle.configure(sorted(numbers))

        @rule(numbers=st.sets(st.integers(0, 4), max_size=2))
        def list_changes(self, numbers):
            leaving_ids = frozenset(f"b{number}" for number in numbers)
            self.oracle.leaving_ids = leaving_ids
            self.oracle.deliver(LeavingServersChanged(leaving_ids))

        @rule(number=st.integers(0, 4), in_flight=st.integers(0, 9))
        def load_is_observed(self, number, in_flight):
            now_ms = self.oracle.harness.clock.now_ms
            self.oracle.deliver(
                LoadObserved(f"b{number}", in_flight, 0, 3, 1.0, False, now_ms, "probe")
            )

        @rule(ms=st.sampled_from([1.0, 30.0, 400.0, 1500.0]))
        def time_passes(self, ms):
            self.oracle.harness.advance(ms)
            self.oracle.check()

        def teardown(self):
            if hasattr(self, "oracle"):
                try:
                    if not self.oracle.has_failed:
                        self.oracle.settle()
                finally:
                    self.oracle.harness.close()

    return Machine


def test_every_request_gets_one_whole_answer_or_a_true_error():
    """Guards against mixed, cut or double responses and a false not-run."""
    run_state_machine_as_test(make_machine(Dispatch), settings=FULL)


@pytest.mark.parametrize("broken", BROKEN)
def test_broken_version_is_caught(broken, monkeypatch):
    """Guards against a state machine that passes any version of dispatch."""
    for name, make_broken in BROKEN[broken].items():
        replace_function(monkeypatch, name, make_broken)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(make_machine(Dispatch), settings=SEARCH)
