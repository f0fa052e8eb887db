"""
Which backend servers are probed for their load before a placement.

Load changes within milliseconds, so servers are asked for their load before
each placement (a load probe; the periodic probes of ``probing`` are others). A
new connection costs more than the probe itself, and servers close idle
connections. Each instance therefore prefers a few servers of each service, in
an order that differs between instances, and keeps its connections to them in
use. Because the preferences differ, all servers are used alike.

A server is near if it is in the failure domain of this instance, else far.
"""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from cuminhatch.decisions.rendezvous import rank
from cuminhatch.decisions.server_records import ServerRecord, is_excluded, prefer_listed

# Preferred servers of a service. They are few enough that each one gets a
# request before it closes its idle connection to this instance.
PREFERRED_NEAR = 8
PREFERRED_FAR = 4


class CandidateCounts(NamedTuple):
    """
    How many near and far servers to probe.

    ``explored_near`` and ``explored_far`` of them are chosen at random from
    those that are not preferred. If ``explored_among`` is given, they are
    chosen from the next so many in the order of preference.
    """

    near: int
    far: int
    explored_near: int = 0
    explored_far: int = 0
    explored_among: int | None = None


# Near servers that may be probed instead of candidates that were probed too
# often lately.
SPARE_CANDIDATES = 40


class Candidates(NamedTuple):
    """
    Servers to probe for a request, in this order.

    ``spare`` are near servers to probe instead of those of ``first`` that may
    not be probed now, because this instance has used up its probes of them.
    """

    first: list[ServerRecord]
    spare: list[ServerRecord]


# Servers probed when none of the first candidates can take the request at
# once. Probing more would open too many new connections for one request. Half
# of them are not preferred: the preferred servers may all be full while
# others are idle.
WIDENED_COUNTS = CandidateCounts(8, 6, 4, 3)
# Servers of each kind that the first wider search of a request explores. A new
# one at random each time would open a connection that is not used again.
EXPLORED_AMONG = 6


def widened_counts(searches: int) -> CandidateCounts:
    """
    Return how many servers a wider search probes.

    Each further search of the same request explores more servers, so that none
    is idle while the request waits.

    :param searches: number of wider searches of the request, with this one.
    """
    return WIDENED_COUNTS._replace(explored_among=EXPLORED_AMONG * searches)


def preference_key(instance_id: str, server_id: str) -> bytes:
    """
    Return the key by which an instance sorts the servers of a service.

    :param instance_id: id of the instance.
    :param server_id: id of the backend server.
    """
    return rank(server_id, instance_id)


def pick_candidates(
    records: Sequence[ServerRecord],
    tried: frozenset[str],
    wanted: CandidateCounts,
    now_ms: float,
    rng: Random,
) -> Candidates:
    """
    Return the servers to probe for a request, near ones first.

    Far servers are included so that a slowdown of the whole near failure
    domain is noticed. If there are too few of one kind, the other kind makes
    up the number.

    :param records: servers of the service that may take requests, in the
        order of this instance's preference.
    :param tried: ids of servers to which the request has been sent already.
    :param wanted: number of candidates.
    :param now_ms: current time.
    :param rng: source of randomness.
    """
    untried = [r for r in records if r.server.server_id not in tried]
    available = [r for r in untried if not is_excluded(r, now_ms)]
    # Of servers that are excluded, one that the store no longer lists is more
    # likely to have left.
    listed = prefer_listed(records)
    pool = (
        available
        or [r for r in listed if r.server.server_id not in tried]
        or [r for r in records if not is_excluded(r, now_ms)]
        or listed
    )
    among = wanted.explored_among
    near = [r for r in pool if r.is_near]
    near = _arrange(near, PREFERRED_NEAR, wanted.near, wanted.explored_near, among, rng)
    far = [r for r in pool if not r.is_near]
    far = _arrange(far, PREFERRED_FAR, wanted.far, wanted.explored_far, among, rng)
    total = wanted.near + wanted.far
    far_count = min(len(far), max(wanted.far, total - len(near)))
    near_count = total - far_count
    return Candidates(
        near[:near_count] + far[:far_count],
        near[near_count : near_count + SPARE_CANDIDATES],
    )


def _arrange(
    records: list[ServerRecord],
    preferred_count: int,
    wanted_count: int,
    explored_count: int,
    explored_among: int | None,
    rng: Random,
) -> list[ServerRecord]:
    """
    Return the servers in the order in which they are probed.

    Preferred ones come first, in random order, but for some places that go to
    others at random. If no place does, the others stay in the order of
    preference: the same few of them stand in for preferred ones, so that
    connections to them stay in use.
    """
    preferred, others = records[:preferred_count], records[preferred_count:]
    rng.shuffle(preferred)
    if not explored_count:
        return preferred + others
    others = _shuffle_first(others, explored_among, rng)
    kept_count = max(0, wanted_count - explored_count)
    return (
        preferred[:kept_count]
        + others[:explored_count]
        + preferred[kept_count:]
        + others[explored_count:]
    )


def _shuffle_first(
    records: list[ServerRecord], count: int | None, rng: Random
) -> list[ServerRecord]:
    """Return the records with the first so many, or all, in random order."""
    first, rest = records[:count], records[count:] if count is not None else []
    rng.shuffle(first)
    return first + rest
