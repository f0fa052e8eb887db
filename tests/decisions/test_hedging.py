"""Tests of the delay before a hedge."""

from cuminhatch.decisions.hedging import hedge_delay_ms


def test_hedge_can_still_end_within_the_target():
    """Guards against hedges that are too late to meet the target."""
    delay_ms = hedge_delay_ms(140.0, 140.0, 400.0)
    assert 140.0 < delay_ms <= 400.0 - 140.0


def test_response_that_is_predicted_late_is_waited_for():
    """Guards against hedges to servers that are as slow as the first."""
    assert hedge_delay_ms(140.0, 350.0, 400.0) > 350.0
