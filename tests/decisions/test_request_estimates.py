"""Tests of the estimates of service time and response size."""

from cuminhatch.decisions.request_estimates import RequestEstimates


def test_estimate_follows_the_samples():
    """Guards against estimates that stay at their initial value."""
    times = RequestEstimates()
    for _ in range(200):
        times.record("r", "s", 400.0, 90.0, 5_000)
    assert 85.0 < times.estimate("r", "s", 400.0).usual_ms < 100.0
    assert times.estimate("r", "s", 400.0).response_bytes == 5_000.0
    assert times.estimate("other", "s", 400.0).usual_ms == 140.0


def test_few_long_requests_do_not_dominate_the_estimate():
    """
    Guards against predictions that are too long for most requests.

    Load: three of 100 requests take seven times the usual time.
    """
    times = RequestEstimates()
    for n in range(400):
        took_ms = 980.0 if n % 33 == 0 else 140.0
        times.record("r", "s", 400.0, took_ms, 0)
    assert times.estimate("r", "s", 400.0).usual_ms < 175.0


def test_unknown_responses_are_assumed_to_be_large():
    """Guards against first large responses that cross failure domains."""
    times = RequestEstimates()
    assert times.estimate("r", "s", 400.0).response_bytes > 10_000.0
    times.record("r", "s", 400.0, 90.0, 0)
    assert times.estimate("r", "s", 400.0).response_bytes == 0.0
