"""Tests of the table of results."""

from bench.table import Row, format_table, judge_at_least, judge_at_most


def test_missed_targets_are_marked_in_the_table():
    """Guards against a missed target that is shown as met."""
    row = Row("crest", "blue-mahoe", "random", "during", 9.0, "/s", 0.89)
    missed = judge_at_least(row, 0.9, 0.89)
    met = judge_at_most(row, 9.0, 9.0)
    lines = format_table([row, missed, met]).splitlines()[2:]
    assert ["MISSED" in line for line in lines] == [False, True, False]
    assert [" met " in line for line in lines] == [False, False, True]
