"""Forwarding keeps its promises whatever servers, callers and catalog do."""

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
    CallerLeft,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.outcomes import Outcome
from tests.services.forwarding_world import (
    RULES,
    ForwardingWorld,
    id_of,
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
SEARCH = settings(
    FULL, max_examples=600, phases=(Phase.generate,), report_multiple_bugs=False
)
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Send:
    """What a backend server knows of a request sent to it."""

    def __init__(self, message, number):
        self.message = message
        self.number = number
        self.is_open = True
        # It has arrived unless the opposite is told.
        self.is_maybe_run = True
        self.body = b"answer %d of %s" % (
            message.attempt_id,
            message.server_id.encode(),
        )
        self.sent = 0


class Caller:
    """What a caller has got."""

    def __init__(self, kind):
        self.kind = kind
        self.is_here = True
        self.is_ended = False
        self.got = None


class Oracle:
    """The neighbours of forwarding, and the rules for what they get."""

    def __init__(self):
        self.world = ForwardingWorld(*SERVERS)
        self.callers = {}
        self.sends = {}
        self.usable = set(SERVERS)

    def tell(self, action, *arguments):
        """Let something happen and check what comes of it."""
        action(*arguments)
        self.check()

    def open_sends(self):
        return [send for send in self.sends.values() if send.is_open]

    def request(self, kind, wait_ms):
        number = self.world.request_ids + 1
        self.callers[number] = Caller(kind)
        self.tell(self.world.request, kind, wait_ms, b"body")

    def leave(self, number):
        caller = self.callers[number]
        if not caller.is_ended:
            caller.is_here = False
            caller.is_ended = True
            self.tell(self.world.tell, CallerLeft(number))

    def answer(self, send, status=200, body=None, **changes):
        send.is_open = False
        body = body or send.body
        self.tell(lambda: self.world.answer(send.message, status, body, **changes))

    def start_answer(self, send):
        """A server sends its head and half of its body."""
        half = len(send.body) // 2
        send.sent = half
        self.tell(
            self.world.start_answer, send.message, len(send.body), send.body[:half]
        )

    def end_answer(self, send):
        send.is_open = False
        rest = send.body[send.sent :]
        self.tell(self.world.go_on, send.message, rest, True)

    def refuse(self, send, status):
        send.is_open = send.is_maybe_run = False
        self.tell(self.world.refuse, send.message, status)

    def fail(self, send, is_sent, is_reused):
        send.is_open = False
        send.is_maybe_run = is_sent or send.sent > 0
        self.tell(lambda: self.world.fail(send.message, send.is_maybe_run, is_reused))

    def configure(self, states):
        """Change which servers are there, and which of them drain."""
        servers = [
            make_server(name, is_draining=state == "draining")
            for name, state in states.items()
            if state != "gone"
        ]
        self.usable = {name for name, state in states.items() if state == "ready"}
        self.tell(self.world.configure, *servers)

    # Checks

    def check(self):
        for message in self.world.received["backends"]:
            if isinstance(message, AttemptRequested):
                self._check_send(message)
            elif isinstance(message, AttemptCancelled):
                self.sends[message.attempt_id].is_open = False
        self.world.received["backends"].clear()
        for message in self.world.received["callers"]:
            self._check_caller(message)
        self.world.received["callers"].clear()

    def _check_send(self, message):
        number = int(id_of(message))
        caller = self.callers[number]
        earlier = [send for send in self.sends.values() if send.number == number]
        assert caller.is_here, "work for a caller that has gone"
        assert not caller.is_ended, "work after the final answer"
        assert message.server_id in self.usable, "work for a leaving server"
        assert dict(message.head.headers)[b"for"] == message.server_id.encode()
        arrived = {s.message.server_id for s in earlier if s.is_maybe_run}
        if caller.kind == "write":
            assert not arrived, "sent again though it may have run"
        bound = RULES[caller.kind].servers_max
        assert len(arrived | {message.server_id}) <= bound, "too many servers"
        self.sends[message.attempt_id] = Send(message, number)

    def _check_caller(self, message):
        kinds = (RequestRefused, ResponseStarted, ResponseBody, ResponseAborted)
        if not isinstance(message, kinds):
            return
        caller = self.callers[message.request_id]
        assert not caller.is_ended, "something after the end"
        if isinstance(message, RequestRefused):
            self._check_refusal(message, caller)
        elif isinstance(message, ResponseAborted):
            assert caller.got is not None
            caller.is_ended = True
        else:
            caller.got = (caller.got or b"") + message.data
            caller.is_ended = message.is_complete
            if message.is_complete:
                self._check_answer(message.request_id, caller)

    def _check_refusal(self, message, caller):
        assert caller.got is None, "a refusal after an answer"
        caller.is_ended = True
        promises = message.status in NOT_RUN_STATUSES
        assert promises == (message.outcome is Outcome.NOT_RUN)
        if promises:
            assert message.retry_after_ms is not None
            for send in self.sends.values():
                if send.number == message.request_id:
                    assert not send.is_maybe_run, "refused as not run, but was sent"

    def _check_answer(self, number, caller):
        bodies = [s.body for s in self.sends.values() if s.number == number]
        assert caller.got in bodies, "not a whole answer of its own"

    def settle(self):
        """Let time pass; each caller has got a final answer."""
        for _ in range(4):
            self.tell(self.world.advance, 1_000.0)
        for number, caller in self.callers.items():
            assert caller.is_ended, f"request {number} got no answer"
        self.world.close()


class ForwardingMachine(RuleBasedStateMachine):
    """Steps of callers, servers and the catalog in any order."""

    def __init__(self):
        super().__init__()
        self.oracle = Oracle()

    def pick(self, data):
        sends = self.oracle.open_sends()
        return sends[data.draw(st.integers(0, len(sends) - 1))]

    def is_any_open(self):
        return bool(self.oracle.open_sends())

    @rule(
        kind=st.sampled_from(["read", "write", "brief"]),
        wait_ms=st.sampled_from([150, 1_200, 3_000]),
    )
    def request(self, kind, wait_ms):
        self.oracle.request(kind, wait_ms)

    @precondition(lambda self: self.oracle.callers)
    @rule(data=st.data())
    def leave(self, data):
        self.oracle.leave(data.draw(st.sampled_from(sorted(self.oracle.callers))))

    @precondition(is_any_open)
    @rule(data=st.data(), status=st.sampled_from([200, 200, 404, 500]))
    def answer(self, data, status):
        send = self.pick(data)
        if not send.sent:
            self.oracle.answer(send, status)

    @precondition(is_any_open)
    @rule(data=st.data())
    def answer_another_request(self, data):
        send = self.pick(data)
        if not send.sent:
            self.oracle.answer(send, body=b"foreign", request_id=b"999")

    @precondition(is_any_open)
    @rule(data=st.data())
    def answer_without_a_mark(self, data):
        send = self.pick(data)
        if not send.sent:
            headers = ((b"id", id_of(send.message)),)
            self.oracle.answer(send, body=b"made up", headers=headers)

    @precondition(is_any_open)
    @rule(data=st.data())
    def answer_in_parts(self, data):
        send = self.pick(data)
        if send.sent:
            self.oracle.end_answer(send)
        else:
            self.oracle.start_answer(send)

    @precondition(is_any_open)
    @rule(data=st.data(), status=st.sampled_from([503, 421]))
    def refuse(self, data, status):
        send = self.pick(data)
        if not send.sent:
            self.oracle.refuse(send, status)

    @precondition(is_any_open)
    @rule(data=st.data(), is_sent=st.booleans(), is_reused=st.booleans())
    def fail(self, data, is_sent, is_reused):
        self.oracle.fail(self.pick(data), is_sent, is_reused)

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
        self.oracle.world.loads[name] = load

    @rule(ms=st.sampled_from([1.0, 20.0, 120.0, 400.0]))
    def wait(self, ms):
        self.oracle.tell(self.oracle.world.advance, ms)

    def teardown(self):
        if sys.exc_info()[0] is None:
            self.oracle.settle()


def test_promises_hold():
    """Guards against second runs, false refusals and answers of others."""
    run_state_machine_as_test(ForwardingMachine, settings=FULL)


def never_deny(history, budget, now_ms):
    """Sends again whatever has happened before."""
    return None


def find_no_fault(exchange, head, facts):
    """Takes every response for the answer."""
    return ""


def forget_runs(original):
    """Refuses as not run whatever was sent."""

    def give_up(state, exchange, *arguments):
        exchange.is_maybe_run = False
        original(state, exchange, *arguments)

    return give_up


PACKAGE = "cuminhatch.services.forwarding"
BROKEN = {
    "sends again": [("_resending", "check_resend", lambda original: never_deny)],
    "takes any answer": [("_answers", "find_fault", lambda original: find_no_fault)],
    "refuses after a run": [
        ("_ends", "give_up", forget_runs),
        ("_resending", "give_up", forget_runs),
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
    """Guards against an oracle that sees nothing."""
    for module_name, path, make_broken in BROKEN[broken]:
        owner = sys.modules[f"{PACKAGE}.{module_name}"]
        *outer, name = path.split(".")
        for part in outer:
            owner = getattr(owner, part)
        monkeypatch.setattr(owner, name, make_broken(getattr(owner, name)))
    with pytest.raises(AssertionError):
        run_state_machine_as_test(ForwardingMachine, settings=SEARCH)
