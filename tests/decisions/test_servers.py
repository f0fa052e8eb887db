"""Tests of an instance's views of backend servers."""

import pytest

from cuminhatch.decisions.servers import (
    EJECTION_MAX_MS,
    FAILURES_TO_EJECT,
    LoadReport,
    ServerView,
    load_score,
    may_take_long,
    may_take_short,
    record_failure,
    record_observation,
    record_report,
    record_response,
    record_shed,
    slow_start_share,
)
from tests.decisions._builders import make_server

NOW_MS = 10_000.0


def make_view(slots=3, share=8, **kwargs):
    view = ServerView(make_server(slots=slots), share, **kwargs)
    record_response(view, 10.0, True, NOW_MS)
    return view


def test_report_loses_weight_with_age():
    """Guards against stale reports that affect choices for seconds."""
    busy, idle = make_view(), make_view()
    record_report(busy, LoadReport(3, 6, 3, NOW_MS))
    assert load_score(busy, NOW_MS) > 5 * load_score(idle, NOW_MS)
    late_ms = NOW_MS + 1500.0
    assert load_score(busy, late_ms) < 1.1 * load_score(idle, late_ms)


def test_own_requests_count_on_top_of_a_report():
    """Guards against sending everything to the server last reported idle."""
    view = make_view()
    view.in_flight = 1
    record_report(view, LoadReport(3, 0, 3, NOW_MS))
    before = load_score(view, NOW_MS)
    view.in_flight += 3
    assert load_score(view, NOW_MS) == pytest.approx(before * 7 / 4)


def test_older_report_is_ignored():
    """Guards against older reports of peers that replace newer ones."""
    view = make_view()
    record_report(view, LoadReport(9, 0, 3, NOW_MS))
    record_observation(view, LoadReport(0, 0, 3, NOW_MS - 1.0), False)
    assert view.other_requests == 9.0


def test_fast_failure_does_not_look_idle():
    """Guards against a broken server that looks good by failing fast."""
    broken, busy = make_view(), make_view()
    busy.in_flight = 6
    record_failure(broken, True, NOW_MS)
    assert load_score(broken, NOW_MS) > load_score(busy, NOW_MS)


def test_server_that_sheds_does_not_look_idle():
    """Guards against retries that all go to a server that sheds fast."""
    full, busy = make_view(), make_view()
    busy.in_flight = 2
    record_shed(full, NOW_MS)
    assert load_score(full, NOW_MS) > load_score(busy, NOW_MS)
    assert full.window.size == 2


def test_slow_server_is_avoided_and_tried_again():
    """Guards against using slow servers, or never trying them again."""
    slow, fast = make_view(), make_view()
    for _ in range(20):
        record_response(slow, 100.0, True, NOW_MS)
    fast.in_flight = 2
    assert load_score(slow, NOW_MS) > load_score(fast, NOW_MS)
    fast.latency_at_ms = NOW_MS + 8000.0
    assert load_score(slow, NOW_MS + 8000.0) < load_score(fast, NOW_MS + 8000.0)


def test_ejections_grow_up_to_a_bound_and_end_with_an_answer():
    """Guards against trying broken servers too often, or never."""
    view = make_view()
    now_ms = NOW_MS
    for _ in range(FAILURES_TO_EJECT - 1):
        assert not record_failure(view, True, now_ms)
    durations_ms = []
    for _ in range(8):
        assert record_failure(view, True, now_ms)
        assert not may_take_short(view, now_ms)
        durations_ms.append(view.ejected_until_ms - now_ms)
        now_ms = view.ejected_until_ms
        # After the ejection one request at a time may try the server.
        assert may_take_short(view, now_ms)
        view.in_flight = 1
        assert not may_take_short(view, now_ms)
        view.in_flight = 0
    assert durations_ms[:3] == [1000.0, 2000.0, 4000.0]
    assert durations_ms[-1] == EJECTION_MAX_MS
    record_response(view, 5.0, True, now_ms)
    view.in_flight = 1
    assert may_take_short(view, now_ms)


def test_failure_during_an_ejection_does_not_extend_it():
    """Guards against requests in flight that each extend the ejection."""
    view = make_view()
    for _ in range(FAILURES_TO_EJECT):
        record_failure(view, True, NOW_MS)
    until_ms = view.ejected_until_ms
    assert not record_failure(view, True, NOW_MS + 1.0)
    assert view.ejected_until_ms == until_ms


def test_server_is_kept_when_no_more_may_be_ejected():
    """Guards against a service whose servers are all ejected."""
    view = make_view()
    for _ in range(10):
        assert not record_failure(view, False, NOW_MS)
    assert may_take_short(view, NOW_MS)


def test_cold_server_takes_an_increasing_share():
    """Guards against overloading a new server while it warms up."""
    cold = make_view(slow_start_since_ms=NOW_MS, slow_start_ms=5000.0)
    warm = make_view()
    assert load_score(cold, NOW_MS) > load_score(warm, NOW_MS)
    shares = [slow_start_share(cold, NOW_MS + ms) for ms in (0, 2500, 5000)]
    assert shares == [0.1, 0.5, 1.0]
    cold.in_flight = 1
    assert not may_take_short(cold, NOW_MS)
    assert may_take_short(cold, NOW_MS + 5000.0)


def test_long_requests_leave_slots_for_short_ones():
    """Guards against short requests that wait behind long ones."""
    view = make_view(slots=3)
    assert may_take_long(view, NOW_MS)
    view.in_flight = view.long_in_flight = 1
    assert not may_take_long(view, NOW_MS)
    assert may_take_short(view, NOW_MS)
    # Even a limit above the slots leaves one for short requests.
    view.in_flight = view.long_in_flight = 2
    assert not may_take_long(view, NOW_MS, long_slots=9)


def test_long_requests_do_not_count_as_latency():
    """Guards against a server that looks slow because of a long request."""
    view = make_view()
    record_response(view, 5000.0, False, NOW_MS)
    assert view.latency_ms == 10.0


def test_connections_never_exceed_the_share():
    """Guards against instances that together open too many connections."""
    view = make_view(slots=6, share=2)
    view.in_flight = 2
    assert not may_take_short(view, NOW_MS)
    assert not may_take_long(view, NOW_MS)
