"""
Which share of the requests of each rank a service that is nearly full takes.

Load: one kind of request or one team at a multiple of its usual rate, or a
part of the servers lost, while an instance sees one in a hundred requests.
All instances see about the same load reports, so each one decides alone.

Each rank has two classes: requests in their usual place, and those that come
after them, because their team asks for far more than its equal share or
because they can't meet their target any more. As the occupancy rises, classes
are cut one after the other, from the last one of the least urgent rank on.
A rank is cut only while none of the less urgent ones is admitted.
"""

from collections.abc import Sequence
from math import log2

from cuminhatch.decisions.placement import RETRY_AFTER_MIN_MS

# Short against bursts, which last for seconds. About the service time of a
# request, so that the level doesn't lead or lag the load by much.
HALF_LIFE_MS = 300.0
# Samples that count in full are at least this many. A single one says little:
# a server of four slots is often full at a mean occupancy of two thirds.
FULL_WEIGHT = 2.0
# Bounds the effect of a server with a long queue.
OCCUPANCY_MAX = 2.0
# Occupancy from which on the less urgent ranks are cut. Above it servers are
# nearly full and slower.
BAND_START = 0.8
# The band is wider than the noise of a few samples, about 0.13. A narrow one
# would admit all or nothing.
BAND_WIDTH = 0.25
# Sample of a server that refuses or resets a request: all that can be cut is
# cut if nothing else is seen.
REFUSAL_OCCUPANCY = BAND_START + 2.0 * BAND_WIDTH
# Widths of the two classes of a rank: most requests are in their usual place.
USUAL_PARTS = 2.0
DEFERRED_PARTS = 1.0
# Share of demand that is more urgent from which on a rank is cut in full. Less
# urgent work is not held back for urgent work that doesn't come.
URGENT_SHARE_FULL = 0.1
# Callers retry after at most this share of the time that they have left.
RETRY_SHARE_OF_LEFT = 1 / 3
# Callers are told times that are spread by this factor, see _completion.
RETRY_SPREAD_FACTOR = 1.3


class OccupancyAverage:
    """
    Moving average of the occupancy of a service: (running + waiting) / slots.

    Samples come in groups, at the placement of a request, so they are weighted
    by their age. Without new samples the average falls to zero.
    """

    __slots__ = ("_at_ms", "_sum", "_weight")

    def __init__(self) -> None:
        """Start without samples."""
        self._at_ms = 0.0
        self._sum = 0.0
        self._weight = 0.0

    def record(self, occupancy: float, now_ms: float) -> None:
        """
        Add a sample.

        :param occupancy: occupancy of one backend server.
        :param now_ms: current time.
        """
        kept = self._decay(now_ms)
        self._sum = self._sum * kept + min(occupancy, OCCUPANCY_MAX)
        self._weight = self._weight * kept + 1.0
        self._at_ms = max(self._at_ms, now_ms)

    def get(self, now_ms: float) -> float:
        """
        Return the average.

        :param now_ms: current time.
        """
        if self._weight == 0.0:
            return 0.0
        weight = self._weight * self._decay(now_ms)
        return self._sum / self._weight * min(1.0, weight / FULL_WEIGHT)

    def _decay(self, now_ms: float) -> float:
        return 0.5 ** (max(0.0, now_ms - self._at_ms) / HALF_LIFE_MS)


def band_start(rank: int, rank_count: int) -> float:
    """
    Return the occupancy from which on requests of a rank are cut.

    :param rank: the rank.
    :param rank_count: number of ranks of the service.
    """
    if rank == 0:
        return BAND_START if rank_count == 1 else BAND_START + BAND_WIDTH
    return BAND_START + BAND_WIDTH * (rank_count - 1 - rank) / (rank_count - 1)


def rank_share(
    rank: int, is_deferred: bool, occupancy: float, urgent_shares: Sequence[float]
) -> float:
    """
    Return the share of requests that is admitted, apart from other ranks.

    :param rank: rank of the requests.
    :param is_deferred: whether they come after the others of their rank.
    :param occupancy: average occupancy of the service.
    :param urgent_shares: by rank, the share of recent demand that is more
        urgent.
    """
    if rank == 0 and not is_deferred:
        return 1.0
    rank_count = len(urgent_shares)
    start = band_start(rank, rank_count)
    width = BAND_WIDTH
    if rank > 0:
        parts = DEFERRED_PARTS + USUAL_PARTS
        unit = BAND_WIDTH / (rank_count - 1) / parts
        width = unit * (DEFERRED_PARTS if is_deferred else USUAL_PARTS)
        if not is_deferred:
            start += unit * DEFERRED_PARTS
    cut = min(1.0, max(0.0, (occupancy - start) / width))
    if rank > 0:
        cut *= min(1.0, urgent_shares[rank] / URGENT_SHARE_FULL)
    return 1.0 - cut


def admitted_share(
    rank: int, is_deferred: bool, occupancy: float, urgent_shares: Sequence[float]
) -> float:
    """
    Return the share of requests that is admitted.

    It is 1 as long as any less urgent request may be admitted.

    :param rank: rank of the requests.
    :param is_deferred: whether they come after the others of their rank.
    :param occupancy: average occupancy of the service.
    :param urgent_shares: by rank, the share of recent demand that is more
        urgent.
    """
    share = rank_share(rank, is_deferred, occupancy, urgent_shares)
    if share == 1.0:
        return 1.0
    for less_urgent in range(rank + 1, len(urgent_shares)):
        if rank_share(less_urgent, False, occupancy, urgent_shares) > 0.0:
            return 1.0
    return share


def admission_level(occupancy: float, urgent_shares: Sequence[float]) -> float:
    """
    Return how many ranks are admitted, with the share of a partial one.

    :param occupancy: average occupancy of the service.
    :param urgent_shares: by rank, the share of recent demand that is more
        urgent.
    """
    return sum(
        admitted_share(rank, False, occupancy, urgent_shares)
        for rank in range(len(urgent_shares))
    )


def retry_after_ms(
    rank: int, occupancy: float, rank_count: int, left_ms: float
) -> float:
    """
    Return when a refused request is likely to be admitted.

    This is the time in which the average falls to the start of the rank's
    band once the load has subsided, and one half-life more for each rank.

    :param rank: rank of the request.
    :param occupancy: average occupancy of the service.
    :param rank_count: number of ranks of the service.
    :param left_ms: time to the caller's deadline. Callers don't wait for
        longer than a third of it; without this bound, all that were told more
        would return at the same moment.
    """
    start = band_start(rank, rank_count)
    delay_ms = decay_time_ms(occupancy, start) + HALF_LIFE_MS * rank
    return _limit_retry_after(delay_ms, left_ms)


def slot_retry_after_ms(
    rank: int, occupancy: float, rank_count: int, left_ms: float
) -> float:
    """
    Return when a request that is admitted is likely to find a free slot.

    It is short: one that comes back at once has about the same chance of a
    slot as one that waits for so long.

    :param rank: rank of the request.
    :param occupancy: average occupancy of the service.
    :param rank_count: number of ranks of the service.
    :param left_ms: time to the caller's deadline.
    """
    delay_ms = decay_time_ms(occupancy, band_start(0, rank_count))
    return _limit_retry_after(delay_ms * (1 + rank), left_ms)


def decay_time_ms(occupancy: float, start: float) -> float:
    """
    Return when the average will have fallen to the start of a band.

    :param occupancy: average occupancy of the service.
    :param start: start of the band.
    """
    return RETRY_AFTER_MIN_MS + HALF_LIFE_MS * log2(max(1.0, occupancy / start))


def _limit_retry_after(delay_ms: float, left_ms: float) -> float:
    longest_ms = left_ms * RETRY_SHARE_OF_LEFT / RETRY_SPREAD_FACTOR
    return max(RETRY_AFTER_MIN_MS, min(delay_ms, longest_ms))
