"""Tests of the records of backend servers."""

from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.server_records import (
    EXCLUSION_MAX_MS,
    FULL_EXCLUSION_MS,
    ServerLoad,
    ServerRecord,
    decayed_failure_rate,
    is_left_out,
    note_failure,
    note_load,
    note_sent,
    note_success,
    note_turned_away,
    note_unreachable,
)

NOW_MS = 1_000.0


def make_record():
    server = BackendServer("b", "s", "10.0.0.1", 80, "here", 3, 200)
    return ServerRecord(server, True, 0.0)


def test_one_failure_does_not_exclude_a_server():
    """Guards against excluding a server for a single lost response."""
    record = make_record()
    note_failure(record, 0.0)
    assert not is_left_out(record, 1.0)
    note_failure(record, 1.0)
    assert is_left_out(record, 2.0)


def test_unreachable_server_is_excluded_at_once_and_tried_again():
    """Guards against using a crashed server, or never trying it again."""
    record = make_record()
    note_unreachable(record, 0.0)
    assert is_left_out(record, 1.0)
    assert not is_left_out(record, EXCLUSION_MAX_MS + 1.0)


def test_success_ends_the_exclusion_and_lowers_the_failure_rate():
    """Guards against a server that stays excluded after it has recovered."""
    record = make_record()
    note_unreachable(record, 0.0)
    before = decayed_failure_rate(record, 0.0)
    note_success(record, 10.0)
    assert not is_left_out(record, 11.0)
    assert decayed_failure_rate(record, 11.0) < before


def test_server_that_fails_half_of_its_requests_has_a_failure_rate():
    """Guards against gray failures that each success would hide."""
    record = make_record()
    for n in range(40):
        (note_failure if n % 2 else note_success)(record, n * 50.0)
    assert 0.3 < decayed_failure_rate(record, 2_000.0) < 0.7
    assert decayed_failure_rate(record, 60_000.0) < 0.01


def test_older_report_does_not_replace_a_newer_one():
    """Guards against a delayed probe that hides a busy server."""
    record = make_record()
    note_load(record, ServerLoad(3, 2, 3, 1.0, 50.0))
    note_sent(record)
    note_load(record, ServerLoad(0, 0, 3, 1.0, 40.0))
    assert record.load.running == 3
    assert record.sent_since_load == 1
    note_load(record, ServerLoad(1, 0, 3, 1.0, 60.0))
    assert record.sent_since_load == 0


def test_full_server_is_excluded_only_briefly():
    """
    Guards against excluding too many servers when some are full.

    Load: 142 instances and all callers start at the same moment, so full
    servers close many new connections: 3,305 within two seconds.
    """
    record = make_record()
    for _ in range(5):
        note_turned_away(record, NOW_MS)
    assert is_left_out(record, NOW_MS + FULL_EXCLUSION_MS - 1.0)
    assert not is_left_out(record, NOW_MS + FULL_EXCLUSION_MS)
    assert decayed_failure_rate(record, NOW_MS) == 0.0
