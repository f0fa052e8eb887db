"""Tests of the records of backend servers."""

from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.server_records import (
    EXCLUSION_MAX_MS,
    FULL_EXCLUSION_MS,
    ServerLoad,
    ServerRecord,
    decayed_failure_rate,
    is_excluded,
    record_failure,
    record_load,
    record_rejected_connection,
    record_sent,
    record_success,
    record_unreachable,
)

NOW_MS = 1_000.0


def make_record():
    server = BackendServer("b", "s", "10.0.0.1", 80, "here", 3, 200)
    return ServerRecord(server, True, 0.0)


def test_one_failure_does_not_exclude_a_server():
    """Guards against excluding a server for a single lost response."""
    record = make_record()
    record_failure(record, 0.0)
    assert not is_excluded(record, 1.0)
    record_failure(record, 1.0)
    assert is_excluded(record, 2.0)


def test_unreachable_server_is_excluded_at_once_and_tried_again():
    """Guards against using a crashed server, or never trying it again."""
    record = make_record()
    record_unreachable(record, 0.0)
    assert is_excluded(record, 1.0)
    assert not is_excluded(record, EXCLUSION_MAX_MS + 1.0)


def test_success_ends_the_exclusion_and_lowers_the_failure_rate():
    """Guards against a server that stays excluded after it has recovered."""
    record = make_record()
    record_unreachable(record, 0.0)
    before = decayed_failure_rate(record, 0.0)
    record_success(record, 10.0)
    assert not is_excluded(record, 11.0)
    assert decayed_failure_rate(record, 11.0) < before


def test_server_that_fails_half_of_its_requests_has_a_failure_rate():
    """Guards against gray failures that each success would hide."""
    record = make_record()
    for n in range(40):
        (record_failure if n % 2 else record_success)(record, n * 50.0)
    assert 0.3 < decayed_failure_rate(record, 2_000.0) < 0.7
    assert decayed_failure_rate(record, 60_000.0) < 0.01


def test_older_report_does_not_replace_a_newer_one():
    """Guards against a delayed probe that hides a busy server."""
    record = make_record()
    record_load(record, ServerLoad(3, 2, 3, 1.0, 50.0))
    record_sent(record, NOW_MS)
    record_load(record, ServerLoad(0, 0, 3, 1.0, 40.0))
    assert record.load.running == 3
    assert record.sent_since_load == 1
    record_load(record, ServerLoad(1, 0, 3, 1.0, 60.0))
    assert record.sent_since_load == 0


def test_full_server_is_excluded_only_briefly():
    """
    Guards against excluding too many servers when some are full.

    Load: 142 instances and all callers start at the same moment, so full
    servers close many new connections: 3,305 within two seconds.
    """
    record = make_record()
    for _ in range(5):
        record_rejected_connection(record, NOW_MS)
    assert is_excluded(record, NOW_MS + FULL_EXCLUSION_MS - 1.0)
    assert not is_excluded(record, NOW_MS + FULL_EXCLUSION_MS)
    assert decayed_failure_rate(record, NOW_MS) == 0.0
