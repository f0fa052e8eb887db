"""Tests of connection shares and concurrency windows."""

from cuminhatch.decisions.limits import ConcurrencyWindow, connection_share


def test_share_is_an_equal_part_and_at_least_one():
    """Guards against shares that are too large, or zero."""
    assert connection_share(200, 24) == 8
    assert connection_share(250, 24) == 10
    assert connection_share(10, 24) == 1


def test_window_starts_at_slots_within_the_share():
    """Guards against a first burst beyond the slots or the share."""
    assert ConcurrencyWindow(3, 8).size == 3
    assert ConcurrencyWindow(6, 2).size == 2


def test_window_grows_only_when_used_and_up_to_the_share():
    """Guards against a window that grows while idle, then admits a burst."""
    window = ConcurrencyWindow(3, 8)
    for now_ms in range(1000):
        window.on_response(5.0, 1, float(now_ms))
    assert window.size == 3
    for now_ms in range(1000, 2000):
        window.on_response(5.0, window.size, float(now_ms))
    assert window.size == 8


def test_shed_responses_shrink_the_window_once_per_burst():
    """Guards against ignoring shed responses or collapsing on a burst."""
    window = ConcurrencyWindow(6, 10)
    for _ in range(5):
        window.on_shed(1000.0)
    assert window.size == 4
    for number in range(50):
        window.on_shed(2000.0 + number * 200.0)
    assert window.size == 1


def test_rising_latency_shrinks_the_window():
    """Guards against queues that build up at a server that never sheds."""
    window = ConcurrencyWindow(6, 10)
    for now_ms in range(100):
        window.on_response(5.0, 1, float(now_ms))
    for number in range(20):
        window.on_response(60.0, 6, 1000.0 + number * 100.0)
    assert window.size < 3
