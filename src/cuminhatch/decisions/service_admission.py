"""
Which requests of a service this instance refuses when capacity is short.

Load: more requests than the servers of a service can run, of several ranks
and teams, some of them repeated by callers that were refused. The state of
one service at one instance: what load reports say, and the recent demand.
"""

from bisect import bisect_left
from random import Random
from typing import NamedTuple
from zlib import crc32

from cuminhatch.decisions.admission_level import (
    REFUSAL_OCCUPANCY,
    OccupancyAverage,
    admission_level,
    admitted_share,
    retry_after_ms,
    slot_retry_after_ms,
)
from cuminhatch.decisions.demand_history import RankDemand, TeamDemand
from cuminhatch.decisions.placement import SlotReserve
from cuminhatch.decisions.urgency import Urgency

# Deadlines that differ by this time get the same draw. It is long against the
# jitter of the time that a repeated request takes to arrive, and shorter than
# most requests run. Requests that come at round intervals get all draws.
DRAW_PERIOD_MS = 197.0


class AdmissionTicket(NamedTuple):
    """
    Place of a request among those of its service, given on arrival.

    The request is admitted while the admitted share of its class is greater
    than ``draw``, from 0 to 1. ``is_excess`` tells that its team asks for far
    more than its equal share.
    """

    urgency: Urgency
    is_excess: bool
    draw: float


def draw_ticket(team_id: str | None, deadline_wall_ms: float) -> float:
    """
    Return the draw of a request, the same for all its repetitions.

    A caller's deadline stays the same when it repeats a request, also at
    another instance. One that repeats at once and often therefore gets no
    better draw than one that waits as told. The draws of the requests of a
    team are spread evenly, and those of teams differ.

    :param team_id: team of the caller, None if it has none.
    :param deadline_wall_ms: deadline of the caller by the wall clock.
    """
    phase = crc32((team_id or "").encode()) / 2**32
    return (phase + deadline_wall_ms / DRAW_PERIOD_MS) % 1.0


class AdmissionState(NamedTuple):
    """What a decision about admission was based on, for the event log."""

    level: float
    occupancy: float


class ServiceAdmission:
    """State of admission control of one service at one instance."""

    __slots__ = ("_occupancy", "_rank_demand", "_rng", "_teams", "urgencies")

    def __init__(self, urgencies: tuple[Urgency, ...], rng: Random) -> None:
        """
        Start without load reports and demand.

        :param urgencies: urgencies that can occur, most urgent first.
        :param rng: source of randomness.
        """
        self.urgencies = urgencies
        self._rng = rng
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
        self,
        urgency: Urgency,
        team_id: str | None,
        deadline_wall_ms: float,
        now_ms: float,
    ) -> AdmissionTicket:
        """
        Count a request on arrival, and give it its place.

        :param urgency: its urgency.
        :param team_id: team of the caller, None if it has none.
        :param deadline_wall_ms: deadline of the caller by the wall clock.
        :param now_ms: current time.
        """
        rank = self.find_rank(urgency)
        self._rank_demand.count(rank, now_ms)
        is_excess = team_id is not None and self._teams[rank].count(
            team_id, now_ms, self._rng
        )
        draw = draw_ticket(team_id, deadline_wall_ms)
        return AdmissionTicket(urgency, is_excess, draw)

    def count_admitted(self, ticket: AdmissionTicket, now_ms: float) -> None:
        """
        Count a request that is sent to a server for the first time.

        :param ticket: its place.
        :param now_ms: current time.
        """
        rank = self.find_rank(ticket.urgency)
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
            self.find_rank(ticket.urgency),
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
        rank = self.find_rank(ticket.urgency)
        if rank == 0:
            return None
        return SlotReserve(self._rank_demand.list_urgent_shares()[rank], rank)

    def get_retry_after_ms(
        self,
        ticket: AdmissionTicket,
        left_ms: float,
        now_ms: float,
        is_admitted: bool = False,
    ) -> float:
        """
        Return when a refused request is likely to be admitted.

        :param ticket: its place.
        :param left_ms: time to the caller's deadline.
        :param now_ms: current time.
        :param is_admitted: whether it was refused for lack of a slot only.
        """
        find = slot_retry_after_ms if is_admitted else retry_after_ms
        rank = self.find_rank(ticket.urgency)
        occupancy = self._occupancy.get(now_ms)
        return find(rank, occupancy, len(self.urgencies), left_ms)

    def get_state(self, now_ms: float) -> AdmissionState:
        """
        Return the level and the occupancy.

        :param now_ms: current time.
        """
        occupancy = self._occupancy.get(now_ms)
        urgent_shares = self._rank_demand.list_urgent_shares()
        return AdmissionState(admission_level(occupancy, urgent_shares), occupancy)

    def find_rank(self, urgency: Urgency) -> int:
        """
        Return the rank of an urgency.

        One that is not listed gets the next place: a request may be older than
        the configuration.

        :param urgency: urgency of a request.
        """
        return min(bisect_left(self.urgencies, urgency), len(self.urgencies) - 1)
