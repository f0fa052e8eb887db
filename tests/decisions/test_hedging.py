"""Tests of the time of a second send."""

from cuminhatch.decisions.hedging import hedge_after_ms


def test_second_send_can_still_end_within_the_target():
    """Guards against second sends that come too late to help."""
    delay_ms = hedge_after_ms(140.0, 140.0, 400.0)
    assert 140.0 < delay_ms <= 400.0 - 140.0


def test_answer_that_is_expected_late_is_waited_for():
    """Guards against second sends to servers that are as slow as the first."""
    assert hedge_after_ms(140.0, 350.0, 400.0) > 350.0
