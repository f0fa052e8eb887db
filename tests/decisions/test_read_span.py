"""Tests of the time spans in which the store was read."""

from cuminhatch.decisions.read_span import NO_READS, ReadSpan, join_spans

GAP_MS = 1_500.0


def test_spans_without_a_gap_between_them_are_one():
    """Guards against an outage assumed although another instance has read."""
    cut_off, others = ReadSpan(9_000.0, 9_000.0), ReadSpan(100.0, 8_700.0)
    for one, other in ((cut_off, others), (others, cut_off)):
        assert join_spans(one, other, GAP_MS) == ReadSpan(100.0, 9_000.0)
    inner = ReadSpan(2_000.0, 3_000.0)
    assert join_spans(inner, others, GAP_MS) == others


def test_span_after_a_gap_stands_alone():
    """Guards against an outage that nobody notices."""
    before, after = ReadSpan(100.0, 2_000.0), ReadSpan(3_501.0, 4_000.0)
    for one, other in ((before, after), (after, before)):
        assert join_spans(one, other, GAP_MS) == after
    read = ReadSpan(3_500.0, 3_500.0)
    assert join_spans(before, read, GAP_MS) == ReadSpan(100.0, 3_500.0)


def test_no_reads_say_nothing():
    """Guards against a new instance that takes its start for an outage."""
    span = ReadSpan(100.0, 200.0)
    assert join_spans(NO_READS, span, GAP_MS) == span
    assert join_spans(span, NO_READS, GAP_MS) == span
    assert join_spans(NO_READS, NO_READS, GAP_MS) == NO_READS
