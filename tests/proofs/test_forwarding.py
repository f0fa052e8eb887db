"""Forwarding guarantees hold whatever servers, callers and catalog do."""

import sys

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cuminhatch.messages import (
    AttemptCancelled,
    AttemptRequested,
    CallerDisconnected,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.outcomes import Outcome
from tests.services.forwarding_world import (
    RULES,
    ForwardingWorld,
    get_request_id,
    make_server,
)

SERVERS = ("a", "b", "c")
FULL = settings(
    max_examples=120,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
# A broken version only has to be caught, so its example is not shrunk.
SEARCH = settings(
    FULL, max_examples=600, phases=(Phase.generate,), report_multiple_bugs=False
)
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Attempt:
    """An attempt as the backend server sees it."""

    def __init__(self, message, request_id):
        self.message = message
        self.request_id = request_id
        self.is_open = True
        # True unless the failure rules out that the request arrived.
        self.may_have_run = True
        self.body = b"answer %d of %s" % (
            message.attempt_id,
            message.server_id.encode(),
        )
        self.sent = 0


class Caller:
    """A caller, and what it has received."""

    def __init__(self, kind):
        self.kind = kind
        self.is_connected = True
        self.is_ended = False
        self.received_body = None


class Oracle:
    """Plays the services around forwarding and checks their messages."""

    def __init__(self):
        self.harness = ForwardingWorld(*SERVERS)
        self.callers = {}
        self.attempts = {}
        self.usable_ids = set(SERVERS)

    def check_after(self, action, *arguments):
        """Run an action and check the messages that follow from it."""
        action(*arguments)
        self.check()

    def list_open_attempts(self):
        return [attempt for attempt in self.attempts.values() if attempt.is_open]

    def request(self, kind, wait_ms):
        request_id = self.harness.last_request_id + 1
        self.callers[request_id] = Caller(kind)
        self.check_after(self.harness.request, kind, wait_ms, b"body")

    def disconnect(self, request_id):
        caller = self.callers[request_id]
        if not caller.is_ended:
            caller.is_connected = False
            caller.is_ended = True
            self.check_after(self.harness.tell, CallerDisconnected(request_id))

    def respond(self, attempt, status=200, body=None, **changes):
        attempt.is_open = False
        body = body or attempt.body
        self.check_after(
            lambda: self.harness.respond(attempt.message, status, body, **changes)
        )

    def start_response(self, attempt):
        """Deliver the head and half of the body of a response."""
        half = len(attempt.body) // 2
        attempt.sent = half
        self.check_after(
            self.harness.start_response,
            attempt.message,
            len(attempt.body),
            attempt.body[:half],
        )

    def end_response(self, attempt):
        attempt.is_open = False
        rest = attempt.body[attempt.sent :]
        self.check_after(self.harness.continue_response, attempt.message, rest, True)

    def refuse(self, attempt, status):
        attempt.is_open = attempt.may_have_run = False
        self.check_after(self.harness.refuse, attempt.message, status)

    def repeat_earlier_response(self, attempt, status, has_id):
        """Deliver a response that the connection has delivered before."""
        earlier = [
            other
            for other in self.attempts.values()
            if other.message.server_id == attempt.message.server_id
            and other.message.attempt_id < attempt.message.attempt_id
        ]
        if not earlier:
            return
        pairs = [(b"seal", b"s")] if status == 200 else [(b"not-run", b"1")]
        if has_id:
            pairs.append((b"id", get_request_id(earlier[-1].message)))
        body = earlier[-1].body if status == 200 else b"-"
        self.respond(attempt, status, body, headers=tuple(pairs), is_reused=True)

    def refuse_and_answer(self, attempt):
        """Deliver a refusal with the response to its request behind it."""
        headers = ((b"id", get_request_id(attempt.message)), (b"not-run", b"1"))
        self.respond(attempt, 503, b"-", headers=headers, has_trailing_data=True)

    def fail(self, attempt, is_sent, is_reused):
        attempt.is_open = False
        attempt.may_have_run = is_sent or attempt.sent > 0
        self.check_after(
            lambda: self.harness.fail(attempt.message, attempt.may_have_run, is_reused)
        )

    def configure(self, states):
        """Change which servers are registered, and which of them drain."""
        servers = [
            make_server(name, is_draining=state == "draining")
            for name, state in states.items()
            if state != "gone"
        ]
        self.usable_ids = {name for name, state in states.items() if state == "ready"}
        self.check_after(self.harness.configure, *servers)

    # Checks

    def check(self):
        for message in self.harness.received["backends"]:
            if isinstance(message, AttemptRequested):
                self._check_attempt(message)
            elif isinstance(message, AttemptCancelled):
                self.attempts[message.attempt_id].is_open = False
        self.harness.received["backends"].clear()
        for message in self.harness.received["callers"]:
            self._check_caller(message)
        self.harness.received["callers"].clear()

    def _check_attempt(self, message):
        request_id = int(get_request_id(message))
        caller = self.callers[request_id]
        earlier = [a for a in self.attempts.values() if a.request_id == request_id]
        assert caller.is_connected, "attempt for a disconnected caller"
        assert not caller.is_ended, "attempt after the final response"
        assert message.server_id in self.usable_ids, "attempt to a leaving server"
        assert dict(message.head.headers)[b"for"] == message.server_id.encode()
        arrived = {a.message.server_id for a in earlier if a.may_have_run}
        if caller.kind == "write":
            assert not arrived, "sent again though it may have run"
        bound = RULES[caller.kind].servers_max
        assert len(arrived | {message.server_id}) <= bound, "too many servers"
        self.attempts[message.attempt_id] = Attempt(message, request_id)

    def _check_caller(self, message):
        kinds = (RequestRefused, ResponseStarted, ResponseBody, ResponseAborted)
        if not isinstance(message, kinds):
            return
        caller = self.callers[message.request_id]
        assert not caller.is_ended, "message after the end of the request"
        if isinstance(message, RequestRefused):
            self._check_refusal(message, caller)
        elif isinstance(message, ResponseAborted):
            assert caller.received_body is not None
            caller.is_ended = True
        else:
            caller.received_body = (caller.received_body or b"") + message.data
            caller.is_ended = message.is_complete
            if message.is_complete:
                self._check_body(message.request_id, caller)

    def _check_refusal(self, message, caller):
        assert caller.received_body is None, "refused after a response had begun"
        caller.is_ended = True
        claims_not_run = message.status in NOT_RUN_STATUSES
        assert claims_not_run == (message.outcome is Outcome.NOT_RUN)
        if claims_not_run:
            assert message.retry_after_ms is not None
            for attempt in self.attempts.values():
                if attempt.request_id == message.request_id:
                    assert not attempt.may_have_run, (
                        "refused as not run, but may have run"
                    )

    def _check_body(self, request_id, caller):
        bodies = [a.body for a in self.attempts.values() if a.request_id == request_id]
        assert caller.received_body in bodies, "not a complete response to this request"

    def settle(self):
        """Advance time; check that each caller has a final response."""
        for _ in range(4):
            self.check_after(self.harness.advance, 1_000.0)
        for request_id, caller in self.callers.items():
            assert caller.is_ended, f"request {request_id} got no response"
        self.harness.close()


class ForwardingMachine(RuleBasedStateMachine):
    """Callers, servers and the catalog act in any order."""

    def __init__(self):
        super().__init__()
        self.oracle = Oracle()

    def pick_attempt(self, data):
        attempts = self.oracle.list_open_attempts()
        return attempts[data.draw(st.integers(0, len(attempts) - 1))]

    def has_open_attempts(self):
        return bool(self.oracle.list_open_attempts())

    @rule(
        kind=st.sampled_from(["read", "write", "brief"]),
        wait_ms=st.sampled_from([150, 1_200, 3_000]),
    )
    def request(self, kind, wait_ms):
        self.oracle.request(kind, wait_ms)

    @precondition(lambda self: self.oracle.callers)
    @rule(data=st.data())
    def leave(self, data):
        self.oracle.disconnect(data.draw(st.sampled_from(sorted(self.oracle.callers))))

    @precondition(has_open_attempts)
    @rule(data=st.data(), status=st.sampled_from([200, 200, 404, 500]))
    def answer(self, data, status):
        attempt = self.pick_attempt(data)
        if not attempt.sent:
            self.oracle.respond(attempt, status)

    @precondition(has_open_attempts)
    @rule(data=st.data())
    def answer_another_request(self, data):
        attempt = self.pick_attempt(data)
        if not attempt.sent:
            self.oracle.respond(attempt, body=b"foreign", request_id=b"999")

    @precondition(has_open_attempts)
    @rule(data=st.data())
    def answer_without_a_mark(self, data):
        attempt = self.pick_attempt(data)
        if not attempt.sent:
            headers = ((b"id", get_request_id(attempt.message)),)
            self.oracle.respond(attempt, body=b"made up", headers=headers)

    @precondition(has_open_attempts)
    @rule(data=st.data())
    def answer_in_parts(self, data):
        attempt = self.pick_attempt(data)
        if attempt.sent:
            self.oracle.end_response(attempt)
        else:
            self.oracle.start_response(attempt)

    @precondition(has_open_attempts)
    @rule(data=st.data(), status=st.sampled_from([503, 421]))
    def refuse(self, data, status):
        attempt = self.pick_attempt(data)
        if not attempt.sent:
            self.oracle.refuse(attempt, status)

    @precondition(has_open_attempts)
    @rule(data=st.data(), status=st.sampled_from([200, 503, 421]), has_id=st.booleans())
    def repeat_an_earlier_response(self, data, status, has_id):
        attempt = self.pick_attempt(data)
        if not attempt.sent and not attempt.message.is_new_connection_required:
            self.oracle.repeat_earlier_response(attempt, status, has_id)

    @precondition(has_open_attempts)
    @rule(data=st.data())
    def refuse_and_answer(self, data):
        attempt = self.pick_attempt(data)
        if not attempt.sent:
            self.oracle.refuse_and_answer(attempt)

    @precondition(has_open_attempts)
    @rule(data=st.data(), is_sent=st.booleans(), is_reused=st.booleans())
    def fail(self, data, is_sent, is_reused):
        self.oracle.fail(self.pick_attempt(data), is_sent, is_reused)

    @rule(
        states=st.fixed_dictionaries(
            dict.fromkeys(SERVERS, st.sampled_from(["ready", "draining", "gone"]))
        )
    )
    def configure(self, states):
        self.oracle.configure(states)

    @rule(
        name=st.sampled_from(SERVERS),
        load=st.sampled_from(
            [(0, 0, 1.0), (2, 0, 4.0), (3, 1, 1.0), (3, 6, 4.0), None]
        ),
    )
    def load(self, name, load):
        self.oracle.harness.loads[name] = load

    @rule(ms=st.sampled_from([1.0, 20.0, 120.0, 400.0]))
    def wait(self, ms):
        self.oracle.check_after(self.oracle.harness.advance, ms)

    def teardown(self):
        if sys.exc_info()[0] is None:
            self.oracle.settle()


def test_promises_hold():
    """Guards against second runs, false refusals and foreign responses."""
    run_state_machine_as_test(ForwardingMachine, settings=FULL)


def allow_any_resend(history, budget, now_ms):
    """Allows every resend, whatever has happened before."""
    return None


def accept_any_response(exchange, message, facts):
    """Accepts every response."""
    return ""


def believe_any_refusal(original):
    """Believes a refusal before it asks whose it is."""

    def check_response(exchange, message, facts):
        return "" if facts.is_not_executed else original(exchange, message, facts)

    return check_response


def ignore_trailing_data(evidence):
    """Believes a refusal that has more bytes behind it."""
    return True


def report_not_run(original):
    """Reports not-run whatever was sent."""

    def give_up(state, exchange, *arguments):
        exchange.may_have_run = False
        original(state, exchange, *arguments)

    return give_up


PACKAGE = "cuminhatch.services.forwarding"
# Functions of forwarding that each broken version replaces: module, path and
# a function that makes the replacement from the original.
BROKEN = {
    "resends after a run": [
        ("_resending", "check_resend", lambda original: allow_any_resend)
    ],
    "accepts any response": [
        ("_responses", "check_response", lambda original: accept_any_response)
    ],
    "believes any refusal": [("_responses", "check_response", believe_any_refusal)],
    "ignores bytes behind a refusal": [
        ("_responses", "is_refusal_proven", lambda original: ignore_trailing_data)
    ],
    "refuses after a run": [
        ("_completion", "give_up", report_not_run),
        ("_resending", "give_up", report_not_run),
    ],
    "uses draining servers": [
        (
            "_state",
            "ServicePool.usable",
            lambda original: property(lambda pool: list(pool.records.values())),
        )
    ],
}


@pytest.mark.parametrize("broken", BROKEN)
def test_broken_version_is_caught(broken, monkeypatch):
    """Guards against an oracle that passes any version."""
    for module_name, path, make_broken in BROKEN[broken]:
        owner = sys.modules[f"{PACKAGE}.{module_name}"]
        *outer, name = path.split(".")
        for part in outer:
            owner = getattr(owner, part)
        monkeypatch.setattr(owner, name, make_broken(getattr(owner, name)))
    with pytest.raises(AssertionError):
        run_state_machine_as_test(ForwardingMachine, settings=SEARCH)
