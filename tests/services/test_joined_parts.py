"""Tests of requests that several parts of forwarding handle in turn."""

from functools import partial
from random import Random
from types import MappingProxyType

import pytest

from cuminhatch.decisions.configuration import Configuration, Rule, ServiceSpec, Team
from cuminhatch.decisions.quota import QuotaFigures, QuotaLimits, QuotaPeer
from cuminhatch.messages import (
    CallerDisconnected,
    ConfigurationChanged,
    RequestBody,
    RequestRefused,
)
from cuminhatch.messages.loads import LoadsMeasured
from cuminhatch.outcomes import Outcome
from cuminhatch.services.quota import QuotaGate
from tests.services.forwarding_world import RULES, ForwardingWorld, make_server

LIMITS = QuotaLimits(5_000.0, 0.1, 20.0)
TEAM = Team("t", None, 20.0, 20.0)
KEYS = {b"key-t": "t"}
UPLOAD = Rule(
    "upload",
    "s",
    "*",
    "/upload/",
    host="h",
    is_idempotent=False,
    is_upload=True,
    servers_max=2,
)
UPLOAD_RULES = RULES | {"upload": UPLOAD}
DISABLED = Rule(
    "upload", "", "*", "/upload/", host="h", is_idempotent=False, fault="unknown kind"
)


@pytest.fixture
def limited():
    """Forwarding with a team that has a quota, and its counters."""
    peer = QuotaPeer("front-1", "here", LIMITS, False, Random(1), 0.0)
    world = ForwardingWorld(quota=QuotaGate(peer, lambda name, labels: None))
    configure(world, keys=KEYS, teams=(TEAM,))
    world.request = partial(world.request, headers=((b"key", b"key-t"),))
    figures = QuotaFigures("front-1", "here", 1, True, 2, 3, ())
    peer.local.set_figures(figures, world.clock.now_ms)

    def count_admitted():
        (counts,) = peer.local.list_counts(True, world.clock.now_ms)
        return counts.admitted

    world.count_admitted = count_admitted
    yield world
    world.close()


@pytest.fixture
def world():
    world = ForwardingWorld()
    configure(world)
    yield world
    world.close()


def configure(world, rules=UPLOAD_RULES, **options):
    world.configure(make_server("a"), make_server("b"), rules=rules, **options)


def take_refusal(world):
    (refusal,) = world.take("callers", RequestRefused)
    return refusal


def test_admission_is_returned_after_the_rule_has_become_anonymous(limited):
    """Guards against a failure where the charged team is no longer known."""
    limited.is_measuring = False
    limited.request("read")
    (loads,) = limited.unanswered_load_requests
    rules = UPLOAD_RULES | {"read": RULES["read"]._replace(is_anonymous=True)}
    limited.configure(rules=rules, keys=KEYS, teams=(TEAM,))
    limited.is_measuring = True
    limited.tell(LoadsMeasured(loads.token))
    limited.advance(1_300.0)
    assert take_refusal(limited).status == 503
    assert limited.count_admitted() == 0


def test_admission_is_returned_if_the_caller_leaves_after_a_proven_refusal(limited):
    """Guards against quotas used up by requests that full servers refuse."""
    request_id = limited.request("write")
    (attempt,) = limited.take_attempts()
    limited.is_measuring = False
    limited.refuse(attempt)
    limited.tell(CallerDisconnected(request_id))
    assert limited.count_admitted() == 0


def test_upload_on_a_route_disabled_meanwhile_is_refused(world):
    """Guards against uploads that run on a rule that can't be used."""
    request_id = world.request("upload", body=b"x", body_length=2)
    configure(world, rules=RULES | {"upload": DISABLED})
    world.tell(RequestBody(request_id, b"y", True))
    refusal = take_refusal(world)
    assert (refusal.status, refusal.reason) == (503, "rule-disabled")
    assert refusal.outcome is Outcome.NOT_RUN


def test_streamed_upload_on_a_route_withdrawn_meanwhile_does_not_run(world):
    """Guards against a streamed upload that runs without a route."""
    request_id = world.request("upload", body=b"x", is_chunked=True)
    configure(world, rules=RULES)
    world.tell(RequestBody(request_id, bytes(600 * 1024), False))
    assert not world.take_attempts()
    assert take_refusal(world).status == 404


def test_time_before_streaming_is_no_wait_for_a_server(world):
    """Guards against streamed uploads refused because their caller is slow."""
    world.loads = dict.fromkeys("ab", (3, 0, 1.0))
    request_id = world.request("upload", 3_000, body=b"x", is_chunked=True)
    world.advance(1_000.0)
    world.tell(RequestBody(request_id, bytes(600 * 1024), False))
    assert not world.take("callers", RequestRefused)
    world.loads = {}
    world.advance(60.0)
    assert len(world.take_attempts()) == 1


@pytest.mark.parametrize("target", ["other", "s"])
def test_upload_of_another_rule_meanwhile_is_asked_for_again(target):
    """Guards against uploads that run for a rule they were not counted for."""
    world = ForwardingWorld()
    configure(world, keys=KEYS)
    request_id = world.request(
        "upload", body=b"x", body_length=2, headers=((b"key", b"key-t"),)
    )
    moved = UPLOAD._replace(rule_id="moved", service_id=target)
    configure(world, rules=RULES | {"moved": moved}, keys=KEYS)
    world.tell(RequestBody(request_id, b"y", True))
    refusal = take_refusal(world)
    assert (refusal.status, refusal.reason) == (503, "route-changed")
    world.close()


def test_upload_that_changes_its_service_has_a_place_there():
    """Guards against uploads that admission control of a service ignores."""
    world = ForwardingWorld()

    def apply(service_id):
        servers = {
            name: make_server(name)._replace(service_id=service)
            for name, service in (("a", "s"), ("b", "t"))
        }
        rules = {"upload": UPLOAD._replace(service_id=service_id, is_anonymous=True)}
        # A more urgent rule of the second service alone.
        rules["write"] = RULES["write"]._replace(
            service_id="t", priority=-1, is_anonymous=True
        )
        world.sequence += 1
        services = {name: ServiceSpec(name) for name in "st"}
        configuration = Configuration(
            world.sequence,
            MappingProxyType(services),
            MappingProxyType(servers),
            MappingProxyType(rules),
            teams={"t": Team("t")},
        )
        world.tell(ConfigurationChanged(configuration))

    apply("s")
    request_id = world.request("upload", body=b"x", body_length=2)
    apply("t")
    world.is_measuring = False
    world.tell(RequestBody(request_id, b"y", True))
    exchange = world.forwarding._state.exchanges[request_id]
    assert exchange.service_id == "t"
    # It is the less urgent one of two ranks there.
    demand = world.forwarding._state.pools["t"].admission._rank_demand
    assert demand._counts == [0.0, 1.0]
    world.close()
