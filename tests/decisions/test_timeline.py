"""Tests of hybrid timestamps and the selection of events."""

from cuminhatch.decisions.hybrid_clock import Stamp, advance_stamp, merge_stamp
from cuminhatch.decisions.timeline import TimelineEvent, select_events


def test_effect_is_later_than_its_cause_despite_skew():
    """Guards against a timeline that shows an effect before its cause."""
    cause = advance_stamp(Stamp(0, 0), 10_000.0)
    effect = merge_stamp(Stamp(0, 0), cause, 4_000.0)
    assert effect > cause
    assert advance_stamp(effect, 4_001.0) > effect


def test_timestamps_increase_within_one_millisecond():
    """Guards against two events of one instance that cannot be ordered."""
    first = advance_stamp(Stamp(5, 0), 5.2)
    assert (first, advance_stamp(first, 5.9)) == (Stamp(5, 1), Stamp(5, 2))


def test_latest_events_of_a_request_are_selected():
    """Guards against a selection that omits the latest events."""
    events = [
        TimelineEvent(Stamp(n, 0), "i1", "dispatch", "e", f"r{n % 2}", 0, {})
        for n in reversed(range(10))
    ]
    selected = select_events(events, "r1", 0, 3)
    assert [event.stamp.wall_ms for event in selected] == [5, 7, 9]
