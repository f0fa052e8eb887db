"""Tests of which servers are asked for their load."""

from collections import Counter
from random import Random

from cuminhatch.decisions.candidates import (
    PREFERRED_FAR,
    PREFERRED_NEAR,
    WIDENED,
    Wanted,
    order_of_preference,
    pick_candidates,
)
from cuminhatch.decisions.server_records import note_unreachable
from tests.decisions._builders import NOW_MS, make_record

FOUR = Wanted(3, 1)


def make_service(near, far):
    records = [make_record(f"n{n}") for n in range(near)]
    return records + [make_record(f"f{n}", is_near=False) for n in range(far)]


def test_candidates_are_near_but_one():
    """Guards against a near domain that stays in use while it is slow."""
    picked = pick_candidates(make_service(5, 5), frozenset(), FOUR, NOW_MS, Random(2))
    assert sum(record.is_near for record in picked) == 3
    assert len(picked) == 4


def test_candidates_leave_out_what_was_tried_or_is_unreachable():
    """Guards against a second send to the server that has just failed."""
    records = [make_record(name) for name in "abc"]
    note_unreachable(records[2], NOW_MS)
    names = [
        record.server.server_id
        for record in pick_candidates(records, frozenset("a"), FOUR, NOW_MS, Random(3))
    ]
    assert names == ["b"]
    everything = pick_candidates(records, frozenset("abc"), FOUR, NOW_MS, Random(3))
    assert len(everything) == 2, "the unreachable one comes last"


def test_few_servers_are_asked_again_and_again():
    """
    Guards against a new connection for each question.

    Load: some requests a second on each of 142 instances, over 395 servers
    that close connections after 10 s.
    """
    records, rng = make_service(53, 105), Random(1)
    asked = Counter()
    for _ in range(400):
        picked = pick_candidates(records, frozenset(), FOUR, NOW_MS, rng)
        asked.update(record.server.server_id for record in picked)
    assert len(asked) == PREFERRED_NEAR + PREFERRED_FAR


def test_all_servers_are_preferred_by_some_instances():
    """Guards against servers without requests beside others that are full."""
    names = [f"i-{number:x}" for number in range(53)]
    preferring = Counter()
    for number in range(47):
        order = sorted(names, key=lambda n: order_of_preference(f"front-{number}", n))
        preferring.update(order[:PREFERRED_NEAR])
    assert min(preferring[name] for name in names) >= 2
    assert max(preferring.values()) <= 20


def test_wider_search_is_bounded():
    """Guards against 158 new connections for one request."""
    picked = pick_candidates(
        make_service(53, 105), frozenset(), WIDENED, NOW_MS, Random(1)
    )
    assert len(picked) == sum(WIDENED)
    assert sum(record.is_near for record in picked) == WIDENED.near


def test_wider_search_of_a_small_service_sees_all():
    """Guards against a free server that nobody looks at."""
    for near, far in ((4, 6), (5, 9), (14, 0), (0, 14)):
        picked = pick_candidates(
            make_service(near, far), frozenset(), WIDENED, NOW_MS, Random(1)
        )
        assert len(picked) == near + far
