"""Tests of the limit on requests to servers that warm up."""

from math import inf

import pytest

from cuminhatch.decisions.candidates import WIDENED_COUNTS, CandidateCounts
from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.server_records import ServerRecord, record_sent
from cuminhatch.decisions.warmup import (
    ALONE_MS,
    ANSWER_MAX_AGE_MS,
    QUIET_MS,
    SEND_INTERVAL_MS,
    START_MS,
    Senders,
    WarmupLimit,
    count_senders,
    has_fresh_answer,
    is_cold,
    limit_candidates,
    may_send_to_cold,
    record_registered_warmup,
    record_warmup,
)

NOW_MS = 100_000.0
DOMAINS = {f"front-{n}": "near" if n % 3 else "far" for n in range(30)}


def make_record(domain="near", **fields):
    server = BackendServer("i-1", "s", "", 0, domain, 4, 200, **fields)
    return ServerRecord(server, domain == "near", NOW_MS)


def make_senders(own_id, domains=DOMAINS, reported=30, is_seed_missing=False):
    senders = Senders(own_id, 0.0)
    senders.set_instances(domains, reported, is_seed_missing, 0.0)
    return senders


def list_senders(count, domains=DOMAINS, domain="near"):
    return [
        own_id
        for own_id in domains
        if make_senders(own_id, domains).is_sender("i-1", domain, count)
    ]


@pytest.mark.parametrize(
    ("rate_per_s", "count"), [(3.1, 8), (5.0, 10), (0.0, 5)], ids=str
)
def test_senders_stay_below_the_bound(rate_per_s, count):
    """Guards against a bound that one differing view exceeds."""
    limit = WarmupLimit(1.5, 8.0)
    assert count_senders(limit, rate_per_s) == count
    assert count_senders(WarmupLimit(1.0, 0.0), 1.2) == 1
    assert count_senders(WarmupLimit(1.0, 0.0), 0.5) == 0


def test_most_senders_are_in_the_domain_of_the_server():
    """Guards against a cold domain that only far instances may use."""
    chosen = list_senders(8)
    assert len(chosen) == 8
    assert [DOMAINS[own_id] for own_id in chosen].count("near") == 6


def test_places_of_a_small_domain_go_to_others():
    """Guards against a cold server that nobody may send to."""
    domains = {own_id: "far" for own_id in DOMAINS} | {"front-1": "near"}
    chosen = list_senders(8, domains)
    assert len(chosen) == 8
    assert "front-1" in chosen


def test_unknown_failure_domain_adds_no_sender():
    """Guards against views that differ by records without a domain."""
    senders = set(list_senders(8))
    for own_id in DOMAINS:
        domains = dict.fromkeys(DOMAINS, "") | {own_id: DOMAINS[own_id]}
        view = make_senders(own_id, domains)
        assert own_id in senders or not view.is_sender("i-1", "near", 8)


def test_joining_instance_replaces_at_most_one_sender():
    """Guards against an order that changes for all with each instance."""
    joined = list_senders(8, DOMAINS | {"front-99": "near"})
    assert len(set(list_senders(8)) | set(joined)) <= 9


def test_new_instance_waits_until_it_knows_the_others():
    """Guards against an instance that takes itself for the only one."""
    senders = Senders("front-1", NOW_MS)
    assert not senders.knows_all(NOW_MS + START_MS)
    senders.set_instances(DOMAINS, 30, False, NOW_MS + START_MS)
    assert not senders.knows_all(NOW_MS + START_MS + QUIET_MS - 1.0)
    assert senders.knows_all(NOW_MS + START_MS + QUIET_MS)
    senders.set_instances(DOMAINS, 31, False, NOW_MS + 50_000.0)
    assert not senders.knows_all(NOW_MS + 90_000.0), "others know more"


@pytest.mark.parametrize(
    ("reported", "is_seed_missing"), [(0, False), (30, True)], ids=["alone", "seed"]
)
def test_instance_that_may_be_cut_off_waits_longer(reported, is_seed_missing):
    """Guards against two groups that take themselves for all there are."""
    senders = Senders("front-1", NOW_MS)
    senders.set_instances(DOMAINS, reported, is_seed_missing, NOW_MS)
    assert not senders.knows_all(NOW_MS + ALONE_MS - 1.0)
    assert senders.knows_all(NOW_MS + ALONE_MS)


def test_sender_keeps_the_interval_after_any_request():
    """Guards against two requests of an instance in the same second."""
    record = make_record()
    senders = make_senders(list_senders(8)[0])
    assert may_send_to_cold(record, senders, 8, NOW_MS)
    record_sent(record, NOW_MS)
    late_ms = NOW_MS + SEND_INTERVAL_MS
    assert not may_send_to_cold(record, senders, 8, late_ms - 1.0)
    assert may_send_to_cold(record, senders, 8, late_ms)


def test_later_statement_counts():
    """Guards against a cold server that an older statement makes warm."""
    record = make_record(warmup_left_ms=500.0)
    assert is_cold(record, NOW_MS)
    record_warmup(record, 8_000.0, NOW_MS + 10.0, NOW_MS + 12.0)
    record_warmup(record, 0.0, NOW_MS + 5.0, NOW_MS + 13.0)
    record_registered_warmup(record, 0.0, NOW_MS + 20.0)
    assert record.warm_at_ms == NOW_MS + 8_012.0
    record_warmup(record, None, NOW_MS + 30.0, NOW_MS + 30.0)
    assert is_cold(record, NOW_MS + 30.0), "an answer without the header"
    record_warmup(record, 0.0, NOW_MS + 40.0, NOW_MS + 40.0)
    assert record.warm_at_ms == -inf
    record_registered_warmup(record, 900.0, NOW_MS + 50.0)
    assert is_cold(record, NOW_MS + 949.0)


def test_answer_is_as_old_as_its_question():
    """Guards against an answer that has waited for a frozen instance."""
    record = make_record()
    assert not has_fresh_answer(record, NOW_MS)
    record_warmup(record, None, NOW_MS - ANSWER_MAX_AGE_MS - 1.0, NOW_MS)
    assert not has_fresh_answer(record, NOW_MS)
    record_warmup(record, None, NOW_MS, NOW_MS)
    assert has_fresh_answer(record, NOW_MS + ANSWER_MAX_AGE_MS)


def test_far_servers_do_not_replace_cold_near_ones():
    """Guards against health checks of far servers that are used up."""
    near, far = [make_record()] * 9, [make_record("far")] * 9
    wanted = CandidateCounts(4, 0)
    assert limit_candidates(wanted, near + far) == wanted
    assert limit_candidates(wanted, far) == CandidateCounts(0, 2)
    assert limit_candidates(WIDENED_COUNTS, near[:1] + far)[:2] == (1, 6)
