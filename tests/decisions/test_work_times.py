"""Tests of the usual time of work."""

from cuminhatch.decisions.work_times import WorkTimes


def test_usual_time_follows_what_is_measured():
    """Guards against predictions that stay at the first guess."""
    times = WorkTimes()
    for _ in range(200):
        times.note("r", "s", 400.0, 90.0, 5_000)
    assert 85.0 < times.expect("r", "s", 400.0).usual_ms < 100.0
    assert times.expect("r", "s", 400.0).answer_bytes == 5_000.0
    assert times.expect("other", "s", 400.0).usual_ms == 140.0


def test_few_long_requests_do_not_set_the_usual_time():
    """Load: three of 100 requests take seven times the usual work."""
    times = WorkTimes()
    for n in range(400):
        took_ms = 980.0 if n % 33 == 0 else 140.0
        times.note("r", "s", 400.0, took_ms, 0)
    assert times.expect("r", "s", 400.0).usual_ms < 175.0


def test_unknown_answers_are_taken_to_be_long():
    """Guards against the first long answers of a rule that cross a border."""
    times = WorkTimes()
    assert times.expect("r", "s", 400.0).answer_bytes > 10_000.0
    times.note("r", "s", 400.0, 90.0, 0)
    assert times.expect("r", "s", 400.0).answer_bytes == 0.0
