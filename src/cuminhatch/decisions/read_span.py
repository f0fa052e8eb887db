"""
What the reads of all instances tell about an outage of the store.

The trouble of one instance says nothing about the store: the instance may be
cut off, frozen or refused while the others read. The store counts as down only
if no instance has read it for a while. Each instance therefore keeps the time
span in which the reads that it knows of followed each other without a gap, and
tells it to the others, who may have read while it could not.
"""

from math import inf
from typing import NamedTuple


class ReadSpan(NamedTuple):
    """
    A time span in which the store was read without a gap, by any instance.

    ``since_ms`` and ``latest_ms`` are the monotonic times of its first and its
    latest read.
    """

    since_ms: float
    latest_ms: float

    @property
    def is_known(self) -> bool:
        """Tell whether any read is known."""
        return self.latest_ms > -inf


NO_READS = ReadSpan(-inf, -inf)


def join_spans(one: ReadSpan, other: ReadSpan, gap_max_ms: float) -> ReadSpan:
    """
    Return the span that the reads of two spans form.

    :param one: a time span.
    :param other: another time span of reads of the same store.
    :param gap_max_ms: time without a read after which a new span begins.
    :returns: both spans as one if they overlap or no gap lies between them,
        else the later one.
    """
    earlier, later = sorted((one, other), key=lambda span: span.latest_ms)
    if not earlier.is_known or later.since_ms - earlier.latest_ms > gap_max_ms:
        return later
    return ReadSpan(min(earlier.since_ms, later.since_ms), later.latest_ms)
