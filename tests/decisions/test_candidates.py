"""Tests of which servers are probed before a placement."""

from collections import Counter
from random import Random

from cuminhatch.decisions.candidates import (
    EXPLORED_AMONG,
    PREFERRED_FAR,
    PREFERRED_NEAR,
    SPARE_CANDIDATES,
    WIDENED_COUNTS,
    CandidateCounts,
    pick_candidates,
    preference_key,
    widened_counts,
)
from cuminhatch.decisions.server_records import record_unreachable
from tests.decisions._builders import NOW_MS, make_record

NARROW = CandidateCounts(3, 1)


def make_service(near, far):
    records = [make_record(f"n{n}") for n in range(near)]
    return records + [make_record(f"f{n}", is_near=False) for n in range(far)]


def test_one_candidate_is_far():
    """Guards against using a near failure domain that is slow as a whole."""
    picked = pick_candidates(
        make_service(5, 5), frozenset(), NARROW, NOW_MS, Random(2)
    ).first
    assert sum(record.is_near for record in picked) == 3
    assert len(picked) == 4


def test_tried_and_unreachable_servers_are_not_candidates():
    """Guards against a resend to the server that has just failed."""
    records = [make_record(name) for name in "abc"]
    record_unreachable(records[2], NOW_MS)
    names = [
        record.server.server_id
        for record in pick_candidates(
            records, frozenset("a"), NARROW, NOW_MS, Random(3)
        ).first
    ]
    assert names == ["b"]
    fallback = pick_candidates(records, frozenset("abc"), NARROW, NOW_MS, Random(3))
    assert len(fallback.first) == 2, "the unreachable one is used last"


def test_ill_server_that_the_store_does_not_list_is_asked_last():
    """Guards against requests to a server that has left, if all seem ill."""
    records = [make_record(name) for name in "abc"]
    for record in records:
        record.is_unhealthy = True
    records[0].server = records[0].server._replace(is_unlisted=True)

    def pick(tried=""):
        picked = pick_candidates(records, frozenset(tried), NARROW, NOW_MS, Random(3))
        return sorted(record.server.server_id for record in picked.first)

    assert pick() == ["b", "c"]
    assert pick(tried="b") == ["c"]
    assert pick(tried="bc") == ["b", "c"]
    records[0].is_unhealthy = False
    assert pick() == ["a"], "it answers that it is well"
    for record in records:
        record.server = record.server._replace(is_unlisted=True)
    assert pick(tried="a") == ["b", "c"], "an outage has expired all"


def test_same_few_servers_are_probed():
    """
    Guards against a new connection for each probe.

    With 142 instances, each one sends only a few requests per second, while
    395 servers close connections that are idle for 10 s. The test looks at one
    instance and one service of 158 servers.
    """
    records, rng = make_service(53, 105), Random(1)
    probed = Counter()
    for _ in range(400):
        picked = pick_candidates(records, frozenset(), NARROW, NOW_MS, rng)
        probed.update(record.server.server_id for record in picked.first)
    assert len(probed) == PREFERRED_NEAR + PREFERRED_FAR


def test_all_servers_are_preferred_by_some_instances():
    """Guards against servers that stay idle while others are full."""
    names = [f"i-{number:x}" for number in range(53)]
    preferring = Counter()
    for number in range(47):
        order = sorted(names, key=lambda n: preference_key(f"front-{number}", n))
        preferring.update(order[:PREFERRED_NEAR])
    assert min(preferring[name] for name in names) >= 2
    assert max(preferring.values()) <= 20


def test_wider_search_is_bounded():
    """Guards against 158 new connections for a single request."""
    picked = pick_candidates(
        make_service(53, 105), frozenset(), WIDENED_COUNTS, NOW_MS, Random(1)
    ).first
    assert len(picked) == WIDENED_COUNTS.near + WIDENED_COUNTS.far
    assert sum(record.is_near for record in picked) == WIDENED_COUNTS.near


def test_wider_search_looks_beyond_the_preferred_servers():
    """Guards against requests refused while idle servers are never asked."""
    records, rng = make_service(48, 192), Random(1)
    probed = set()
    for _ in range(10):
        picked = pick_candidates(records, frozenset(), WIDENED_COUNTS, NOW_MS, rng)
        probed.update(record.server.server_id for record in picked.first)
    assert sum(name.startswith("n") for name in probed) >= PREFERRED_NEAR + 12
    assert sum(name.startswith("f") for name in probed) >= PREFERRED_FAR + 12


def test_first_wider_searches_explore_the_same_servers():
    """
    Guards against a new connection for each server that a search explores.

    Load: one in four requests finds the preferred servers nearly full.
    """
    records, rng = make_service(28, 85), Random(1)
    probed = set()
    for _ in range(100):
        picked = pick_candidates(
            records, frozenset(), widened_counts(1), NOW_MS, rng
        ).first
        probed.update(record.server.server_id for record in picked)
    assert len(probed) == PREFERRED_NEAR + PREFERRED_FAR + 2 * EXPLORED_AMONG


def test_request_that_waits_explores_all_servers():
    """Guards against requests that wait while idle servers are never asked."""
    records, rng = make_service(28, 85), Random(1)
    probed = set()
    for search in range(1, 60):
        picked = pick_candidates(
            records, frozenset(), widened_counts(search), NOW_MS, rng
        ).first
        probed.update(record.server.server_id for record in picked)
    assert len(probed) > 0.7 * len(records)


def test_wider_search_covers_all_of_a_small_service():
    """Guards against an idle server that is not considered."""
    for near, far in ((4, 6), (5, 9), (14, 0), (0, 14)):
        picked = pick_candidates(
            make_service(near, far), frozenset(), WIDENED_COUNTS, NOW_MS, Random(1)
        ).first
        assert len(picked) == near + far


def test_spare_candidates_are_near_and_bounded():
    """Guards against a far server chosen for want of a probe of a near one."""
    picked = pick_candidates(
        make_service(48, 192), frozenset(), CandidateCounts(4, 0), NOW_MS, Random(1)
    )
    assert len(picked.first) == 4
    assert len(picked.spare) == SPARE_CANDIDATES
    assert all(record.is_near for record in (*picked.first, *picked.spare))
    names = [record.server.server_id for record in (*picked.first, *picked.spare)]
    assert len(set(names)) == len(names)
