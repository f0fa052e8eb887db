"""
Which requests of a service this instance refuses when capacity is short.

Load: more requests than the servers of a service can run, of several ranks
and teams, some of them repeated by callers that were refused. The state of
one service at one instance: what load reports say, and the recent demand.
"""

from bisect import bisect_left
from random import Random
from typing import NamedTuple

from cuminhatch.decisions.admission_level import (
    REFUSAL_OCCUPANCY,
    OccupancyAverage,
    admission_level,
    admitted_share,
    retry_after_ms,
)
from cuminhatch.decisions.demand_history import RankDemand, TeamDemand
from cuminhatch.decisions.placement import SlotReserve
from cuminhatch.decisions.urgency import Urgency

# Consecutive multiples of this number, modulo 1, are spread evenly, also those
# of every second or third request. A draw at random for each request would
# admit too many or too few in a row.
DRAW_STEP = 0.6180339887498949


class AdmissionTicket(NamedTuple):
    """
    Place of a request among those of its service, given on arrival.

    The request is admitted while the admitted share of its class is greater
    than ``draw``. ``is_excess`` tells that its team asks for far more than its
    equal share.
    """

    rank: int
    is_excess: bool
    draw: float


class AdmissionState(NamedTuple):
    """What a decision about admission was based on, for the event log."""

    level: float
    occupancy: float


class ServiceAdmission:
    """State of admission control of one service at one instance."""

    __slots__ = ("_draw", "_occupancy", "_rank_demand", "_rng", "_teams", "urgencies")

    def __init__(self, urgencies: tuple[Urgency, ...], rng: Random) -> None:
        """
        Start without load reports and demand.

        :param urgencies: urgencies that can occur, most urgent first.
        :param rng: source of randomness.
        """
        self.urgencies = urgencies
        self._rng = rng
        # Random, so that instances don't admit and refuse in step.
        self._draw = rng.random()
        self._occupancy = OccupancyAverage()
        self._rank_demand = RankDemand(len(urgencies))
        self._teams = [TeamDemand() for _ in urgencies]

    def record_load(
        self, running: int, waiting: int, slots: int, now_ms: float
    ) -> None:
        """
        Record a load report of a backend server.

        :param running: requests that run there.
        :param waiting: requests that wait there.
        :param slots: number of requests that it runs at once.
        :param now_ms: current time.
        """
        self._occupancy.record((running + waiting) / max(1, slots), now_ms)

    def record_refusal(self, now_ms: float) -> None:
        """
        Record that a backend server refused a request because it is full.

        :param now_ms: current time.
        """
        self._occupancy.record(REFUSAL_OCCUPANCY, now_ms)

    def count_request(
        self, urgency: Urgency, team_id: str | None, now_ms: float
    ) -> AdmissionTicket:
        """
        Count a request on arrival, and give it its place.

        :param urgency: its urgency.
        :param team_id: team of the caller, None if it has none.
        :param now_ms: current time.
        """
        rank = self._find_rank(urgency)
        self._rank_demand.count(rank, now_ms)
        is_excess = team_id is not None and self._teams[rank].count(
            team_id, now_ms, self._rng
        )
        self._draw = (self._draw + DRAW_STEP) % 1.0
        return AdmissionTicket(rank, is_excess, self._draw)

    def count_admitted(self, ticket: AdmissionTicket, now_ms: float) -> None:
        """
        Count a request that is sent to a server for the first time.

        :param ticket: its place.
        :param now_ms: current time.
        """
        rank = self._clamp_rank(ticket.rank)
        self._rank_demand.count_admitted(rank, now_ms)
        self._teams[rank].count_admitted(now_ms)

    def is_admitted(
        self, ticket: AdmissionTicket, is_late: bool, now_ms: float
    ) -> bool:
        """
        Tell whether a request may be sent to a server now.

        :param ticket: its place.
        :param is_late: whether it can't meet its target latency any more.
        :param now_ms: current time.
        """
        share = admitted_share(
            self._clamp_rank(ticket.rank),
            ticket.is_excess or is_late,
            self._occupancy.get(now_ms),
            self._rank_demand.list_urgent_shares(),
        )
        return ticket.draw < share

    def get_reserve(self, ticket: AdmissionTicket) -> SlotReserve | None:
        """
        Return the slots that a request leaves to more urgent ones.

        :param ticket: place of the request.
        :returns: None if the request is among the most urgent ones.
        """
        rank = self._clamp_rank(ticket.rank)
        if rank == 0:
            return None
        return SlotReserve(self._rank_demand.list_urgent_shares()[rank], rank)

    def get_retry_after_ms(
        self, ticket: AdmissionTicket, left_ms: float, now_ms: float
    ) -> float:
        """
        Return when a refused request is likely to be admitted.

        :param ticket: its place.
        :param left_ms: time to its deadline.
        :param now_ms: current time.
        """
        rank = self._clamp_rank(ticket.rank)
        occupancy = self._occupancy.get(now_ms)
        return retry_after_ms(rank, occupancy, len(self.urgencies), left_ms)

    def get_state(self, now_ms: float) -> AdmissionState:
        """
        Return the level and the occupancy.

        :param now_ms: current time.
        """
        occupancy = self._occupancy.get(now_ms)
        urgent_shares = self._rank_demand.list_urgent_shares()
        return AdmissionState(admission_level(occupancy, urgent_shares), occupancy)

    def _find_rank(self, urgency: Urgency) -> int:
        # An urgency that the configuration doesn't list gets the next place.
        return self._clamp_rank(bisect_left(self.urgencies, urgency))

    def _clamp_rank(self, rank: int) -> int:
        # Tickets may be older than a configuration with fewer ranks.
        return min(rank, len(self.urgencies) - 1)
