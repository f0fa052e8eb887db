"""Tests of the pause between pulls."""

from cuminhatch.decisions.pull_retries import PAUSE_MAX_MS, SPREAD, pull_pause_ms


def test_pause_grows_to_its_limit_and_spares_the_first_retry():
    """Guards against a busy loop, and against a late retry elsewhere."""
    pauses = [pull_pause_ms(failures, 0.5) for failures in range(1, 2000)]
    assert pauses[0] == 0.0
    assert pauses[1:] == sorted(pauses[1:])
    assert 0.0 < pauses[1] < pauses[2] < pauses[-1] == PAUSE_MAX_MS
    assert pull_pause_ms(99, 1.0) == PAUSE_MAX_MS * (1.0 + SPREAD)
