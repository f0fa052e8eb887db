"""
Which instance reads the store for all.

Every read is priced, so one instance reads at a steady pace and tells the
others. There is no election: each instance knows by itself when its turn
comes, and hearing that another has read puts it off. The last reader comes
first; the others wait longer, each by its place in an order that all compute
alike. A reader that dies, is cut off or is refused by the store falls silent,
and the next one reads a moment later. Two readers at once only cost calls.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cuminhatch.decisions.rendezvous import rank

# Leaving backend servers must get nothing new two seconds after the store
# acknowledges it; this leaves time for a reader that dies just then.
READ_INTERVAL_MS = 500.0
# Wait for the reader's news before another takes over.
TAKEOVER_MS = 250.0
TAKEOVER_STEP_MS = 90.0
# Later places follow each other more closely, so that a list of dead instances
# cannot put off all the others for long.
CLOSE_PLACE = 6
CLOSE_STEP_MS = 30.0
# An instance that the store has just refused leaves the turn to others. While
# the store refuses all, most of them ask seldom: every call is priced.
REFUSED_PAUSE_MS = 1_000.0
REFUSED_STEP_MS = 100.0


class Turn(NamedTuple):
    """What an instance knows of the readings so far."""

    own_id: str
    reader_id: str
    heard_ms: float
    refused_ms: float


def place_in_order(own_id: str, member_ids: Iterable[str]) -> int:
    """
    Return how many members come before an instance.

    :param own_id: id of the instance.
    :param member_ids: all known instances.
    """
    own = rank(own_id)
    return sum(1 for member_id in member_ids if rank(member_id) < own)


def next_reading_ms(turn: Turn, member_ids: Iterable[str]) -> float:
    """
    Return when this instance reads, if it hears of no other reading.

    :param turn: the readings so far.
    :param member_ids: all known instances.
    :returns: monotonic time in milliseconds.
    """
    place = place_in_order(turn.own_id, member_ids)
    due_ms = turn.heard_ms + READ_INTERVAL_MS
    if turn.reader_id != turn.own_id:
        due_ms += TAKEOVER_MS + takeover_wait_ms(place)
    pause_ms = REFUSED_PAUSE_MS + place * REFUSED_STEP_MS
    return max(due_ms, turn.refused_ms + pause_ms)


def takeover_wait_ms(place: int) -> float:
    """
    Return how long an instance leaves a takeover to those before it.

    :param place: how many instances come before it.
    """
    later = max(0, place - CLOSE_PLACE)
    return (place - later) * TAKEOVER_STEP_MS + later * CLOSE_STEP_MS


def should_yield(own_id: str, other_id: str) -> bool:
    """
    Tell which of two readers that hear each other stops.

    :param own_id: id of this instance, which reads.
    :param other_id: id of the instance that has just read as well.
    """
    return rank(other_id) < rank(own_id)
