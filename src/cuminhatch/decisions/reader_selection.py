"""
Selection of the instance that reads the metadata store for all others.

The store charges for every read, so one instance reads at a fixed interval
and sends the result to the others. There is no leader election: each instance
computes when it would read, and hearing of another instance's read postpones
that time. The last reader reads again first; the others wait longer, each
according to its place in an order that all compute alike. If the reader stops,
is partitioned or is refused by the store, the next instance in the order takes
over a moment later. Two readers at the same time only cost more calls.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cuminhatch.decisions.rendezvous import rank

# A draining backend server must get no new requests two seconds after the
# store acknowledges the drain; this leaves time for a failover of the reader.
READ_INTERVAL_MS = 500.0
# How long after a read was due another instance takes over.
TAKEOVER_MS = 250.0
TAKEOVER_STEP_MS = 90.0
# From this place on the steps are shorter, so that many stopped instances at
# the head of the order do not delay the others for long.
SHORT_STEPS_FROM_PLACE = 6
SHORT_STEP_MS = 30.0
# Pause after the store has refused a read, so that another instance reads.
# Every call is charged, so while the store refuses all instances, those with a
# later place in the order retry less often.
REFUSED_PAUSE_MS = 1_000.0
REFUSED_STEP_MS = 100.0


class LatestReads(NamedTuple):
    """
    What an instance knows of the latest reads of the store.

    ``reader_id`` names the instance that read last, at ``last_read_ms``;
    ``last_refused_ms`` is when the store was last unavailable to this
    instance.
    """

    own_id: str
    reader_id: str
    last_read_ms: float
    last_refused_ms: float


def count_preceding(own_id: str, member_ids: Iterable[str]) -> int:
    """
    Return how many other instances precede an instance in the order.

    :param own_id: id of the instance.
    :param member_ids: ids of all known instances.
    """
    own_rank = rank(own_id)
    return sum(1 for member_id in member_ids if rank(member_id) < own_rank)


def next_read_ms(latest_reads: LatestReads, member_ids: Iterable[str]) -> float:
    """
    Return when this instance reads unless another read is reported earlier.

    :param latest_reads: what is known of the latest reads.
    :param member_ids: ids of all known instances.
    :returns: monotonic time in milliseconds.
    """
    place = count_preceding(latest_reads.own_id, member_ids)
    due_ms = latest_reads.last_read_ms + READ_INTERVAL_MS
    if latest_reads.reader_id != latest_reads.own_id:
        due_ms += TAKEOVER_MS + takeover_wait_ms(place)
    pause_ms = REFUSED_PAUSE_MS + place * REFUSED_STEP_MS
    return max(due_ms, latest_reads.last_refused_ms + pause_ms)


def takeover_wait_ms(place: int) -> float:
    """
    Return how long an instance waits for those before it to take over.

    :param place: how many instances precede it in the order.
    """
    short_steps = max(0, place - SHORT_STEPS_FROM_PLACE)
    return (place - short_steps) * TAKEOVER_STEP_MS + short_steps * SHORT_STEP_MS


def should_yield(own_id: str, other_id: str) -> bool:
    """
    Return whether this reader stops in favour of another active reader.

    :param own_id: id of this instance, the current reader.
    :param other_id: id of the other instance that has just read.
    """
    return rank(other_id) < rank(own_id)
