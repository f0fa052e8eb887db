"""
Requests run only with a key of their team, whatever changes meanwhile.

The oracle is rule 5 of ``docs/hard-load.md``, for the configuration that
forwarding has; how fast it gets one is up to the catalog.
"""

import sys

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cuminhatch.codecs.dialect import ForwardingMetadata
from cuminhatch.decisions.configuration import Team
from cuminhatch.decisions.credentials import AccessGranted, check_access
from cuminhatch.messages import (
    AttemptRequested,
    RequestRefused,
    ResponseAborted,
    ResponseStarted,
)
from cuminhatch.messages.attempts import ATTEMPT_WITHDRAWN, UnsentAttemptWithdrawn
from cuminhatch.messages.loads import LoadsMeasured
from cuminhatch.outcomes import Outcome
from tests.services.forwarding_world import (
    RULES,
    ForwardingWorld,
    get_request_id,
    make_server,
)

KEYS = (b"key-one", b"key-two", b"key-three")
UNKNOWN_KEY = b"key-of-nobody"
SERVERS = (make_server("a"), make_server("b"))
ROUTES = ("read", "write")
FULL = settings(
    max_examples=80,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
# A broken version only has to be caught, so its example is not shrunk.
SEARCH = settings(
    FULL, max_examples=600, phases=(Phase.generate,), report_multiple_bugs=False
)
NOT_RUN_STATUSES = (401, 404, 408, 421, 429, 503)


class Caller:
    """A caller, and what became of its request."""

    def __init__(self, route, key, team, has_teams):
        self.route = route
        self.key = key
        # The team that its key belonged to, whether there were teams, and
        # whether there have been since.
        self.team = team
        self.has_teams = self.has_had_teams = has_teams
        self.may_have_run = False
        self.is_ended = False


class Oracle:
    """Plays the services around forwarding and checks their messages."""

    def __init__(self):
        self.world = ForwardingWorld()
        self.callers = {}
        self.attempts = {}
        # Ids of attempts whose connections are still being opened.
        self.unsent_ids = set()
        self.configure(dict.fromkeys(KEYS[:2], "red"), set(), set(ROUTES), set())

    def configure(self, keys, anonymous, routes, disabled):
        """Put a configuration in force; without ``keys`` it has no teams."""
        self.keys, self.anonymous, self.routes = keys, anonymous, routes
        self.disabled = disabled
        for caller in self.callers.values():
            caller.has_had_teams |= keys is not None
        rules = {
            name: RULES[name]._replace(is_anonymous=name in anonymous)
            for name in routes
        }
        teams = [Team(name, fault="burst") for name in disabled]
        self.world.configure(*SERVERS, rules=rules, keys=keys, teams=teams)
        self.check()

    def is_key_needed(self, route):
        return self.keys is not None and route not in self.anonymous

    def request(self, route, key):
        headers = [(b"team", b"forged")]
        if key is not None:
            headers.append((b"key", key))
        team = (self.keys or {}).get(key) if self.is_key_needed(route) else None
        request_id = self.world.last_request_id + 1
        has_teams = self.keys is not None
        self.callers[request_id] = Caller(route, key, team, has_teams)
        self.world.request(route, 900, b"body", headers=headers)
        self.check()

    def measure(self):
        """Answer all requests for loads."""
        requests, self.world.unanswered_load_requests = (
            self.world.unanswered_load_requests,
            [],
        )
        for request in requests:
            self.world.tell(LoadsMeasured(request.token))
        self.check()

    def send(self, attempt):
        """Open the connection of an attempt, so that its head is sent."""
        if attempt.attempt_id in self.unsent_ids:
            self.unsent_ids.remove(attempt.attempt_id)
            self._check_sent_head(attempt)

    def end_attempt(self, attempt, end, *arguments, may_have_run, is_sent=True):
        if is_sent:
            self.send(attempt)
        caller = self.callers[int(get_request_id(attempt))]
        caller.may_have_run |= may_have_run
        self.unsent_ids.discard(attempt.attempt_id)
        del self.attempts[attempt.attempt_id]
        end(attempt, *arguments)
        self.check()

    def advance(self, ms):
        self.world.advance(ms)
        self.check()

    # Checks

    def check(self):
        for attempt in self.world.take_attempts():
            self._check_attempt(attempt)
        for cancelled_id in self.world.take_cancelled_ids():
            attempt = self.attempts.pop(cancelled_id, None)
            if attempt is not None and cancelled_id not in self.unsent_ids:
                self.callers[int(get_request_id(attempt))].may_have_run = True
        for message in self.world.take("backends", UnsentAttemptWithdrawn):
            self._withdraw(message.attempt_id)
        for refusal in self.world.take("callers", RequestRefused):
            self._check_refusal(refusal)
        for kind in (ResponseStarted, ResponseAborted):
            for response in self.world.take("callers", kind):
                self.callers[response.request_id].is_ended = True
        for name in ("callers", "backends", "metrics", "event_log"):
            text = repr(self.world.received[name])
            assert b"key-" not in text.encode(), f"a key reaches {name}"
            self.world.received[name].clear()

    def _withdraw(self, attempt_id):
        if attempt_id in self.unsent_ids:
            attempt = self.attempts[attempt_id]
            self.end_attempt(
                attempt,
                lambda attempt: self.world.fail(
                    attempt, is_sent=False, reason=ATTEMPT_WITHDRAWN
                ),
                may_have_run=False,
                is_sent=False,
            )

    def _check_attempt(self, attempt: AttemptRequested):
        self.attempts[attempt.attempt_id] = attempt
        self.unsent_ids.add(attempt.attempt_id)
        assert not self.callers[int(get_request_id(attempt))].is_ended
        self._check_sent_head(attempt)

    def _check_sent_head(self, attempt):
        caller = self.callers[int(get_request_id(attempt))]
        sent = dict(attempt.head.headers)
        if self.keys is None and not caller.has_teams:
            # Where there were teams meanwhile, the head may be stripped.
            if not caller.has_had_teams:
                assert sent.get(b"key") == caller.key, "changed without teams"
                assert sent[b"team"] == b"forged", "changed without teams"
            return
        assert b"key" not in sent, "a key reaches a server"
        assert sent.get(b"team") != b"forged", "a forged team reaches a server"
        if self.keys is None:
            return
        assert caller.route in self.routes, "sent on a route that was removed"
        if not self.is_key_needed(caller.route):
            assert b"team" not in sent, "a team on an anonymous route"
            return
        team = self.keys.get(caller.key)
        assert team is not None, "sent without a key that is in force"
        assert team not in self.disabled, "sent for a disabled team"
        assert team == caller.team, "sent for another team than accepted"
        assert sent.get(b"team") == team.encode(), "another team is named"

    def _check_refusal(self, refusal):
        caller = self.callers[refusal.request_id]
        assert not caller.is_ended
        caller.is_ended = True
        claims_not_run = refusal.status in NOT_RUN_STATUSES
        assert claims_not_run == (refusal.outcome is Outcome.NOT_RUN)
        if claims_not_run:
            assert not caller.may_have_run, "refused as not run, but may have run"
        if refusal.status == 401:
            assert self.is_key_needed(caller.route), "401 without need of a key"
            assert caller.key not in self.keys, "401 for a key in force"
        if refusal.status == 404:
            assert caller.route not in self.routes, "404 for a route in force"
        if refusal.status == 503:
            assert refusal.retry_after_ms > 0

    def settle(self):
        """Check that each caller has a final response in the end."""
        self.world.is_measuring = True
        self.measure()
        for _ in range(3):
            self.advance(1_000.0)
        for request_id, caller in self.callers.items():
            assert caller.is_ended, f"request {request_id} got no response"
        self.world.close()


class CredentialsMachine(RuleBasedStateMachine):
    """Callers, servers and operators act in any order."""

    def __init__(self):
        super().__init__()
        self.oracle = Oracle()

    def pick_attempt(self, data):
        attempts = list(self.oracle.attempts.values())
        return attempts[data.draw(st.integers(0, len(attempts) - 1))]

    def has_attempts(self):
        return bool(self.oracle.attempts)

    @rule(
        route=st.sampled_from(ROUTES),
        key=st.sampled_from([*KEYS, *KEYS, UNKNOWN_KEY, b"", None]),
    )
    def request(self, route, key):
        self.oracle.request(route, key)

    @rule(
        keys=st.dictionaries(st.sampled_from(KEYS), st.sampled_from(["red", "blue"])),
        routes=st.sets(st.sampled_from(ROUTES), min_size=1),
        anonymous=st.sets(st.sampled_from(ROUTES), max_size=1),
        disabled=st.sampled_from([(), (), ("red",)]),
    )
    def configure(self, keys, routes, anonymous, disabled):
        self.oracle.configure(keys, anonymous, routes, set(disabled))

    @rule(key=st.sampled_from(KEYS), team=st.sampled_from(["red", "blue", None]))
    def change_one_key(self, key, team):
        oracle = self.oracle
        keys = {k: t for k, t in (oracle.keys or {}).items() if k != key}
        if team is not None:
            keys[key] = team
        oracle.configure(keys, oracle.anonymous, oracle.routes, oracle.disabled)

    @rule()
    def remove_all_teams(self):
        self.oracle.configure(None, set(), set(ROUTES), set())

    @rule(is_answered=st.booleans())
    def measure(self, is_answered):
        self.oracle.world.is_measuring = is_answered
        if is_answered:
            self.oracle.measure()

    @rule(load=st.sampled_from([(0, 0, 1.0), (3, 6, 4.0), (3, 1, 1.0)]))
    def load(self, load):
        self.oracle.world.loads = dict.fromkeys("ab", load)

    @precondition(has_attempts)
    @rule(data=st.data())
    def send(self, data):
        self.oracle.send(self.pick_attempt(data))

    @precondition(has_attempts)
    @rule(data=st.data(), is_sent=st.booleans())
    def fail(self, data, is_sent):
        oracle = self.oracle
        attempt = self.pick_attempt(data)
        is_sent = is_sent or attempt.attempt_id not in oracle.unsent_ids
        oracle.end_attempt(
            attempt,
            oracle.world.fail,
            is_sent,
            may_have_run=is_sent,
            is_sent=is_sent,
        )

    @precondition(has_attempts)
    @rule(data=st.data(), status=st.sampled_from([503, 421]))
    def refuse(self, data, status):
        world = self.oracle.world
        attempt = self.pick_attempt(data)
        self.oracle.end_attempt(attempt, world.refuse, status, may_have_run=False)

    @precondition(has_attempts)
    @rule(data=st.data())
    def respond(self, data):
        attempt = self.pick_attempt(data)
        self.oracle.end_attempt(attempt, self.oracle.world.respond, may_have_run=True)

    @rule(ms=st.sampled_from([5.0, 20.0, 300.0]))
    def wait(self, ms):
        self.oracle.advance(ms)

    def teardown(self):
        if sys.exc_info()[0] is None:
            self.oracle.settle()


def test_requests_run_only_with_a_key_of_their_team():
    """Guards against requests that run, or are refused, against rule 5."""
    run_state_machine_as_test(CredentialsMachine, settings=FULL)


def check_only_on_arrival(state, exchange):
    """Never checks again."""
    return None


def ignore_the_team_of_arrival(configuration, rule, matched, team, key_digest):
    """Checks again only that the key is known."""
    return check_access(configuration, matched or rule, key_digest)


def refuse_what_may_have_run(original):
    """Reports 401 whatever was sent."""

    def refuse_access(state, exchange, denied):
        exchange.may_have_run = False
        original(state, exchange, denied)

    return refuse_access


def forward_as_without_teams(server_id, left_ms, team_id, has_teams):
    """Forwards the head as it was received."""
    return ForwardingMetadata(server_id, left_ms, team_id)


def skip_note_of_changes(state, previous):
    """Takes each change for one of servers."""


def skip_withdrawal(state):
    """Withdraws no attempt."""


def keep_head_as_received(state, exchange, access):
    """Keeps the key in the head that attempts are made from."""
    exchange.team = access.team
    exchange.access_version = state.access_version


PACKAGE = "cuminhatch.services.forwarding"
# Functions of forwarding that each broken version replaces: module, name and
# a function that makes the replacement from the original.
BROKEN = {
    "checks only on arrival": [
        ("_placement", "find_denial", lambda original: check_only_on_arrival)
    ],
    "misses changes": [
        ("_servers", "note_access_change", lambda original: skip_note_of_changes)
    ],
    "sends what was denied meanwhile": [
        ("_servers", "withdraw_outdated_attempts", lambda original: skip_withdrawal)
    ],
    "refuses after a run": [("_placement", "refuse_access", refuse_what_may_have_run)],
    "serves moved keys": [
        (
            "_credentials",
            "recheck_access",
            lambda original: ignore_the_team_of_arrival,
        )
    ],
    # Either of the two alone lets no key out.
    "forwards the key": [
        ("_attempts", "ForwardingMetadata", lambda original: forward_as_without_teams),
        ("_requests", "accept_exchange", lambda original: keep_head_as_received),
    ],
    "never asks for a key": [
        (
            "_credentials",
            "check_access",
            lambda original: lambda configuration, rule, digest: AccessGranted(None),
        )
    ],
}


@pytest.mark.parametrize("broken", BROKEN)
def test_broken_version_is_caught(broken, monkeypatch):
    """Guards against an oracle that passes any version."""
    for module_name, name, make_broken in BROKEN[broken]:
        module = sys.modules[f"{PACKAGE}.{module_name}"]
        monkeypatch.setattr(module, name, make_broken(getattr(module, name)))
    with pytest.raises(AssertionError):
        run_state_machine_as_test(CredentialsMachine, settings=SEARCH)
