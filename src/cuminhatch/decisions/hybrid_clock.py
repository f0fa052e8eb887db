"""
Hybrid logical clock: an order of events that survives clock skew.

A stamp follows the wall clock, but never falls behind a stamp that the
instance has seen, so an effect is always later than its cause.

Source: Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in
Globally Distributed Databases", 2014.
"""

from typing import NamedTuple


class Stamp(NamedTuple):
    """Milliseconds of the wall clock and a counter within them."""

    wall_ms: int
    counter: int


ZERO_STAMP = Stamp(0, 0)


def advance_stamp(last: Stamp, wall_ms: float) -> Stamp:
    """
    Return the stamp of the next local event.

    :param last: latest stamp of this instance.
    :param wall_ms: reading of the wall clock, in milliseconds.
    """
    now_ms = int(wall_ms)
    if now_ms > last.wall_ms:
        return Stamp(now_ms, 0)
    return Stamp(last.wall_ms, last.counter + 1)


def merge_stamp(last: Stamp, heard: Stamp, wall_ms: float) -> Stamp:
    """
    Return the stamp after hearing from another instance.

    :param last: latest stamp of this instance.
    :param heard: stamp sent by the other instance.
    :param wall_ms: reading of the wall clock, in milliseconds.
    """
    return advance_stamp(max(last, heard), wall_ms)
