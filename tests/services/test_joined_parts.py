"""Tests of requests that several parts of forwarding handle in turn."""

from functools import partial
from random import Random

import pytest

from cuminhatch.decisions.configuration import Rule, Team
from cuminhatch.decisions.quota import QuotaFigures, QuotaLimits, QuotaPeer
from cuminhatch.messages import (
    CallerDisconnected,
    RequestRefused,
)
from cuminhatch.messages.loads import LoadsMeasured
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
