"""
Hybrid logical clock: orders events of all instances despite clock skew.

A timestamp follows the wall clock, but is always later than any timestamp
that the instance has seen, so an effect is always later than its cause.

Source: Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in
Globally Distributed Databases", 2014.
"""

from typing import NamedTuple


class Stamp(NamedTuple):
    """A timestamp: wall-clock milliseconds and a counter within them."""

    wall_ms: int
    counter: int


ZERO_STAMP = Stamp(0, 0)


def advance_stamp(last: Stamp, wall_ms: float) -> Stamp:
    """
    Return the timestamp of the next local event.

    :param last: latest timestamp of this instance.
    :param wall_ms: wall-clock time in milliseconds.
    """
    now_ms = int(wall_ms)
    if now_ms > last.wall_ms:
        return Stamp(now_ms, 0)
    return Stamp(last.wall_ms, last.counter + 1)


def merge_stamp(last: Stamp, received: Stamp, wall_ms: float) -> Stamp:
    """
    Return the timestamp for a message received from another instance.

    :param last: latest timestamp of this instance.
    :param received: timestamp sent by the other instance.
    :param wall_ms: wall-clock time in milliseconds.
    """
    return advance_stamp(max(last, received), wall_ms)
