"""Tests of the limit on load probes."""

from random import Random

from cuminhatch.decisions.probe_allowance import ProbeAllowance


def test_all_instances_together_keep_the_limit():
    """Guards against load probes that exceed the shared budget."""
    bound, instances, seconds = 60.0, 13, 40
    rng = Random(4)
    allowances = [ProbeAllowance(bound / instances, 0.0) for _ in range(instances)]
    taken = 0
    for step in range(seconds * 1_000):
        allowance = rng.choice(allowances)
        taken += allowance.take(float(step))
    assert taken <= bound * seconds


def test_burst_is_limited_to_the_tokens_of_four_seconds():
    """Guards against tokens saved up for hours and spent in a burst."""
    allowance = ProbeAllowance(60.0 / 13, 0.0)
    taken = sum(allowance.take(1e9) for _ in range(100))
    assert 1 <= taken <= 4 * 60.0 / 13
    assert not allowance.is_full(1e9)
    assert allowance.is_full(1e9 + 5_000.0)
