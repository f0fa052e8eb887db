"""Tests of credentials in forwarding, with fakes of the other services."""

import pytest

from cuminhatch.decisions.configuration import Rule, Team
from cuminhatch.kernel import SUPERVISOR, HandlerFailed
from cuminhatch.log import DEBUG, logger
from cuminhatch.messages import (
    EventRecorded,
    GaugesReported,
    GaugesRequested,
    RequestRefused,
    ResponseStarted,
)
from cuminhatch.messages.loads import LoadsMeasured
from cuminhatch.outcomes import Outcome
from cuminhatch.services.forwarding._exchange import Exchange
from tests.services.forwarding_world import RULES, ForwardingWorld, make_server

KEYS = {b"key-1": "red", b"key-2": "blue"}
TEAM_RULES = RULES | {
    "open": Rule("open", "s", "*", "/open/", host="h", is_anonymous=True),
    "broken": Rule("broken", "s", "*", "/broken/", host="h", fault="unknown kind"),
}
KEY_1 = ((b"key", b"key-1"),)


@pytest.fixture
def world():
    world = ForwardingWorld("a", "b")
    configure(world)
    yield world
    world.close()


def configure(world, keys=KEYS, rules=TEAM_RULES, **options):
    servers = (make_server("a"), make_server("b"))
    world.configure(*servers, rules=rules, keys=keys, **options)


def take_attempt(world):
    (attempt,) = world.take_attempts()
    return attempt


def take_refusal(world):
    (refusal,) = world.take("callers", RequestRefused)
    return refusal


def start_waiting(world, rule_id="read"):
    """Send a request whose placement is answered after the next change."""
    world.is_measuring = False
    world.request(rule_id, headers=KEY_1)
    world.is_measuring = True
    (load_request,) = world.unanswered_load_requests
    world.unanswered_load_requests.clear()
    return LoadsMeasured(load_request.token)


def test_server_gets_the_team_instead_of_the_key(world):
    """Guards against a key, or a forged team, that reaches a server."""
    world.request("read", headers=(*KEY_1, (b"team", b"forged")))
    headers = take_attempt(world).head.headers
    assert [h.value for h in headers if h.name in (b"key", b"team")] == [b"red"]


@pytest.mark.parametrize("headers", [(), ((b"key", b"key-3"),), ((b"key", b""),)])
def test_request_without_known_key_is_401(world, headers):
    """Guards against a request that runs although no team has its key."""
    world.request("read", headers=headers)
    refusal = take_refusal(world)
    assert (refusal.status, refusal.outcome) == (401, Outcome.NOT_RUN)
    assert refusal.reason == "unknown-credential"
    assert refusal.retry_after_ms is None
    assert not world.take_attempts()


@pytest.mark.parametrize("headers", [(), KEY_1, ((b"key", b"key-3"),)])
def test_request_is_401_once_the_last_team_is_removed(world, headers):
    """Guards against keys that are not checked, and passed on (UNASKED)."""
    configure(world, keys={})
    world.request("read", headers=headers)
    refusal = take_refusal(world)
    assert (refusal.status, refusal.reason) == (401, "unknown-credential")
    assert not world.take_attempts()


def test_waiting_request_is_401_once_the_last_team_is_removed(world):
    """Guards against a request that runs with a key that was withdrawn."""
    measured = start_waiting(world)
    configure(world, keys={})
    world.tell(measured)
    assert take_refusal(world).status == 401
    assert not world.take_attempts()


@pytest.mark.parametrize("headers", [(), KEY_1, ((b"key", b"key-3"),)])
def test_anonymous_rule_needs_no_key(world, headers):
    """Guards against a key or a team that an anonymous rule passes on."""
    world.request("open", headers=(*headers, (b"team", b"forged")))
    sent = take_attempt(world).head.headers
    assert not {header.name for header in sent} & {b"key", b"team"}


def test_headers_are_forwarded_where_there_are_no_teams():
    """Guards against a change for deployments without teams."""
    world = ForwardingWorld("a", "b")
    world.request("read", headers=(*KEY_1, (b"team", b"own")))
    sent = take_attempt(world).head.headers
    assert (b"key", b"key-1") in sent
    assert (b"team", b"own") in sent
    world.close()


@pytest.mark.parametrize(
    ("rule_id", "teams", "reason", "entry"),
    [
        ("broken", (), "rule-disabled", {"rule": "broken"}),
        (
            "read",
            (Team("red", fault="burst"),),
            "team-disabled",
            {"rule": "read", "team": "red"},
        ),
    ],
)
def test_disabled_entry_is_503(world, rule_id, teams, reason, entry):
    """Guards against a 404 or 401 for an entry that cannot be used."""
    configure(world, teams=teams)
    world.request(rule_id, headers=KEY_1)
    refusal = take_refusal(world)
    assert (refusal.status, refusal.reason) == (503, reason)
    assert refusal.retry_after_ms > 0
    (event,) = world.take("event_log", EventRecorded)
    assert entry.items() <= event.details.items()


def test_route_to_a_disabled_service_is_503(world):
    """Guards against a failure where a rule names a service that is gone."""
    rules = {"read": RULES["read"]._replace(service_id="disabled")}
    configure(world, rules=rules)
    world.request("read", headers=KEY_1)
    refusal = take_refusal(world)
    assert (refusal.status, refusal.reason) == (503, "no-backend-server")
    assert refusal.retry_after_ms > 0


def test_disabled_rule_is_503_where_there_are_no_teams(world):
    """Guards against a disabled rule that is only noticed with teams."""
    configure(world, keys=None)
    world.request("broken")
    assert take_refusal(world).reason == "rule-disabled"


@pytest.mark.parametrize(
    ("keys", "status", "reason"),
    [
        ({b"key-2": "blue"}, 401, "unknown-credential"),
        ({b"key-1": "blue"}, 503, "credential-moved"),
    ],
)
def test_waiting_request_whose_key_changes_is_refused(world, keys, status, reason):
    """Guards against a request that runs after its key was removed."""
    measured = start_waiting(world)
    configure(world, keys)
    world.tell(measured)
    assert not world.take_attempts()
    refusal = take_refusal(world)
    assert (refusal.status, refusal.reason) == (status, reason)
    assert refusal.outcome is Outcome.NOT_RUN


def test_request_that_may_have_run_is_502_after_its_key_is_removed(world):
    """Guards against a resend without key, and a refusal of what may run."""
    world.request("read", headers=KEY_1)
    attempt = take_attempt(world)
    configure(world, {b"key-2": "blue"})
    world.fail(attempt, is_sent=True)
    assert not world.take_attempts()
    refusal = take_refusal(world)
    assert (refusal.status, refusal.outcome) == (502, Outcome.UNKNOWN)


def test_running_request_is_not_hedged_after_its_key_is_removed(world):
    """Guards against a hedge without key, and a response that is lost."""
    world.request("read", headers=KEY_1)
    attempt = take_attempt(world)
    configure(world, {b"key-2": "blue"})
    world.advance(900.0)
    assert not world.take_attempts()
    world.respond(attempt)
    assert world.take("callers", ResponseStarted)


def test_waiting_request_of_another_team_is_not_affected(world):
    """Guards against refusals of requests whose own key stays."""
    measured = start_waiting(world)
    configure(world, {b"key-1": "red"}, teams=(Team("red", priority=1),))
    world.tell(measured)
    (_, team) = [h for h in take_attempt(world).head.headers if h.name == b"team"][0]
    assert team == b"red"


@pytest.mark.parametrize(("rule_id", "is_sent"), [("read", False), ("open", True)])
def test_teams_that_are_new_apply_to_waiting_requests(rule_id, is_sent):
    """Guards against a key that is forwarded as teams have come into force."""
    world = ForwardingWorld()
    configure(world, keys=None)
    measured = start_waiting(world, rule_id)
    configure(world)
    world.tell(measured)
    attempts = world.take_attempts()
    assert bool(attempts) is is_sent
    assert not any(h.name == b"key" for a in attempts for h in a.head.headers)
    world.close()


def test_team_is_logged_with_the_request(world):
    """Guards against logs that can't be summed by team."""
    world.request("read", headers=KEY_1)
    world.request("open", headers=KEY_1)
    events = world.take("event_log", EventRecorded)
    received = [e.details for e in events if e.name == "received"]
    assert [details.get("team") for details in received] == ["red", None]


@pytest.fixture
def read_log(capsys, monkeypatch):
    """Return a function that reads what was logged, at the lowest level."""
    monkeypatch.setattr(logger, "_level", DEBUG)
    # loguru keeps the stream of the test that has logged first.
    logger._loguru_logger = None
    yield lambda: capsys.readouterr().err
    logger._loguru_logger = None


def test_key_is_in_no_message_and_no_log_line(world, read_log, monkeypatch):
    """Guards against copies of keys, also of rejected ones, after errors."""
    marked = ((b"key", b"key-1"), (b"team", b"key-1"))
    for rule_id in ("read", "write", "open", "broken", "none"):
        world.request(rule_id, headers=marked)
        world.request(rule_id, headers=((b"key", b"key-3"),))
    for attempt in world.take_attempts():
        assert b"key-" not in repr(attempt).encode()
        world.fail(attempt, is_sent=attempt.attempt_id % 2 == 0)
    world.respond(world.take_attempts()[0], request_id=b"other")
    measured = start_waiting(world)
    configure(world, {b"key-2": "blue"})
    world.tell(measured)
    world.tell(GaugesRequested("metrics", 1))
    monkeypatch.setattr(Exchange, "get_history", None)
    world.request("read", headers=((b"key", b"key-2"),))
    world.fail(world.take_attempts()[-1], is_sent=True)
    world.advance(2_000.0)
    assert world.take(SUPERVISOR, HandlerFailed), "no handler has failed"
    assert world.take("metrics", GaugesReported)
    assert not world.unanswered_load_requests
    for name, messages in world.received.items():
        assert "key-" not in repr(messages), f"a key reaches {name}"
    log = read_log()
    assert "handler of forwarding failed" in log
    assert "key-" not in log
