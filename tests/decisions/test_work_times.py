"""Tests of the estimates of service time and response size."""

from cuminhatch.decisions.work_times import WorkTimes


def test_estimate_follows_the_samples():
    """Guards against estimates that stay at their initial value."""
    times = WorkTimes()
    for _ in range(200):
        times.note("r", "s", 400.0, 90.0, 5_000)
    assert 85.0 < times.expect("r", "s", 400.0).usual_ms < 100.0
    assert times.expect("r", "s", 400.0).answer_bytes == 5_000.0
    assert times.expect("other", "s", 400.0).usual_ms == 140.0


def test_few_long_requests_do_not_dominate_the_estimate():
    """
    Guards against predictions that are too long for most requests.

    Load: three of 100 requests take seven times the usual time.
    """
    times = WorkTimes()
    for n in range(400):
        took_ms = 980.0 if n % 33 == 0 else 140.0
        times.note("r", "s", 400.0, took_ms, 0)
    assert times.expect("r", "s", 400.0).usual_ms < 175.0


def test_unknown_responses_are_assumed_to_be_large():
    """Guards against first large responses that cross failure domains."""
    times = WorkTimes()
    assert times.expect("r", "s", 400.0).answer_bytes > 10_000.0
    times.note("r", "s", 400.0, 90.0, 0)
    assert times.expect("r", "s", 400.0).answer_bytes == 0.0
