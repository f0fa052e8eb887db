"""
Which backend servers are asked for their load before a placement.

Load shifts within milliseconds, so servers are asked at each placement. A new
connection costs more than the question, and servers close idle ones. Each
instance therefore prefers a few servers of each service, in an order of its
own, and its connections to these stay in use. Other instances prefer others,
so that all servers are used alike.
"""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from cuminhatch.decisions.rendezvous import rank
from cuminhatch.decisions.server_records import ServerRecord, is_left_out

# Servers of a service whose connections one instance keeps in use. Its
# requests reach each of them more often than servers close idle connections.
PREFERRED_NEAR = 10
PREFERRED_FAR = 4


class Wanted(NamedTuple):
    """How many servers to ask, near and far ones."""

    near: int
    far: int


# The servers asked when those before can't take a request at once. More would
# cost more in new connections than a request is worth.
WIDENED = Wanted(8, 6)


def order_of_preference(instance_id: str, server_id: str) -> bytes:
    """
    Return the key by which an instance sorts the servers of a service.

    :param instance_id: the instance.
    :param server_id: the backend server.
    """
    return rank(server_id, instance_id)


def pick_candidates(
    records: Sequence[ServerRecord],
    tried: frozenset[str],
    wanted: Wanted,
    now_ms: float,
    rng: Random,
) -> list[ServerRecord]:
    """
    Return the servers to look at for a request, near ones first.

    Far ones are among them, so that a near failure domain that is slow as a
    whole is noticed. Where there are too few of one kind, others fill in.

    :param records: the servers of the service that may take requests, in the
        order of this instance's preference.
    :param tried: servers that have received the request already.
    :param wanted: numbers of candidates.
    :param now_ms: current time.
    :param rng: source of randomness.
    """
    fresh = [r for r in records if r.server.server_id not in tried]
    sound = [r for r in fresh if not is_left_out(r, now_ms)]
    pool = sound or fresh or [r for r in records if not is_left_out(r, now_ms)]
    pool = pool or list(records)
    near = _shuffle([r for r in pool if r.is_near], PREFERRED_NEAR, rng)
    far = _shuffle([r for r in pool if not r.is_near], PREFERRED_FAR, rng)
    total = wanted.near + wanted.far
    far_count = min(len(far), max(wanted.far, total - len(near)))
    return near[: total - far_count] + far[:far_count]


def _shuffle(
    records: list[ServerRecord], preferred: int, rng: Random
) -> list[ServerRecord]:
    """Return the preferred servers in random order, then the others."""
    first, others = records[:preferred], records[preferred:]
    rng.shuffle(first)
    rng.shuffle(others)
    return first + others
