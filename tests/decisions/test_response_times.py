"""Tests of the distribution of response times."""

from cuminhatch.decisions.response_times import SAMPLES_KEPT, ResponseTimes


def test_tail_is_learnt_and_forgotten():
    """Guards against hedging by a tail that is unknown or long gone."""
    times = ResponseTimes()
    for n in range(600):
        times.record(7.0 if n % 20 == 0 else 1.0)
    assert 0.03 < times.longer_share(4.0) < 0.07
    for _ in range(1_500):
        times.record(1.0)
    assert times.longer_share(4.0) < 0.01


def test_tail_stays_known_while_late_requests_are_hedged():
    """Guards against a tail that seems to vanish as its responses are cut."""
    times = ResponseTimes()
    for n in range(1_200):
        if n % 20 == 0 and n >= 600:
            times.record_longer(2.0)
        else:
            times.record(7.0 if n % 20 == 0 else 1.0)
    assert 0.03 < times.longer_share(4.0) < 0.07


def test_extreme_times_keep_the_distribution_valid():
    """Guards against times of 0, or of a server that never answers."""
    times = ResponseTimes()
    for n in range(1_000):
        times.record((0.0, 1e9)[n % 2])
        times.record_longer((0.0, 1e9)[n % 2])
    shares = [times.longer_share(ratio) for ratio in (0.0, 0.1, 0.3, 1, 7, 20, 1e9)]
    assert shares == sorted(shares, reverse=True)
    assert 0.0 <= shares[-1] <= shares[0] <= 1.0
    assert sum(times._weights) <= SAMPLES_KEPT + 1.0
