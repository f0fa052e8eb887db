"""Tests of what an instance learns of a backend server."""

from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.server_records import (
    LEFT_OUT_MAX_MS,
    TURNED_AWAY_MS,
    ServerLoad,
    ServerRecord,
    failed_share,
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


def test_one_failure_does_not_leave_a_server_out():
    """Guards against a single lost answer that takes a server away."""
    record = make_record()
    note_failure(record, 0.0)
    assert not is_left_out(record, 1.0)
    note_failure(record, 1.0)
    assert is_left_out(record, 2.0)


def test_unreachable_server_is_left_out_at_once_and_tried_again():
    """Guards against work for a crashed server, and against forgetting it."""
    record = make_record()
    note_unreachable(record, 0.0)
    assert is_left_out(record, 1.0)
    assert not is_left_out(record, LEFT_OUT_MAX_MS + 1.0)


def test_success_ends_the_time_out_and_lowers_the_share():
    """Guards against a server that stays out after it has recovered."""
    record = make_record()
    note_unreachable(record, 0.0)
    before = failed_share(record, 0.0)
    note_success(record, 10.0)
    assert not is_left_out(record, 11.0)
    assert failed_share(record, 11.0) < before


def test_server_that_fails_a_part_of_its_requests_keeps_a_share():
    """Guards against grey servers that look sound after each good answer."""
    record = make_record()
    for n in range(40):
        (note_failure if n % 2 else note_success)(record, n * 50.0)
    assert 0.3 < failed_share(record, 2_000.0) < 0.7
    assert failed_share(record, 60_000.0) < 0.01


def test_older_report_does_not_replace_a_newer_one():
    """Guards against a late health check that hides a busy server."""
    record = make_record()
    note_load(record, ServerLoad(3, 2, 3, 1.0, 50.0))
    note_sent(record)
    note_load(record, ServerLoad(0, 0, 3, 1.0, 40.0))
    assert record.load.running == 3
    assert record.sent_since_load == 1
    note_load(record, ServerLoad(1, 0, 3, 1.0, 60.0))
    assert record.sent_since_load == 0


def test_server_that_turned_a_connection_away_is_back_soon():
    """
    Guards against a fleet that runs out of servers when some are full.

    Load: 142 instances start at the same moment, and all callers with them;
    full servers reset 3,305 connections within two seconds.
    """
    record = make_record()
    for _ in range(5):
        note_turned_away(record, NOW_MS)
    assert is_left_out(record, NOW_MS + TURNED_AWAY_MS - 1.0)
    assert not is_left_out(record, NOW_MS + TURNED_AWAY_MS)
    assert failed_share(record, NOW_MS) == 0.0
