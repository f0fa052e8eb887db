"""
Recent requests for a service, by rank and by team.

Load: an instance sees a few requests per second for a service, and one in
some seconds of a team. Counts therefore decay over several seconds. They say
little about one team at one instance; over all instances, a team at several
times the rate of the others is recognized far more often than these.
"""

from random import Random

HALF_LIFE_MS = 5_000.0
# A team's requests beyond this multiple of the equal share are deferred.
EXCESS_FACTOR = 1.5
# So many recent requests of a team are never too many.
EXCESS_MIN = 1.5
# No team may be served less than a quarter as often as all, so the larger part
# of the requests of a large team is deferred at most.
EXCESS_SHARE_MAX = 0.75
# The equal share is calculated anew after this time. With 74 teams that takes
# some 20 microseconds.
LIMIT_INTERVAL_MS = 250.0
# Teams with fewer recent requests are forgotten.
FORGOTTEN_BELOW = 0.1


def decay(age_ms: float) -> float:
    """
    Return which part of a count is left.

    :param age_ms: age of the count.
    """
    return 0.5 ** (max(0.0, age_ms) / HALF_LIFE_MS)


class RankDemand:
    """Recent requests of each rank, and how many of them were admitted."""

    __slots__ = ("_admitted", "_at_ms", "_counts")

    def __init__(self, rank_count: int) -> None:
        """
        Start without requests.

        :param rank_count: number of ranks of the service.
        """
        self._counts = [0.0] * rank_count
        self._admitted = [0.0] * rank_count
        self._at_ms = 0.0

    def count(self, rank: int, now_ms: float) -> None:
        """
        Count a request.

        :param rank: its rank.
        :param now_ms: current time.
        """
        self._decay(now_ms)
        self._counts[rank] += 1.0

    def count_admitted(self, rank: int, now_ms: float) -> None:
        """
        Count a request that was admitted.

        :param rank: its rank.
        :param now_ms: current time.
        """
        self._decay(now_ms)
        self._admitted[rank] += 1.0

    def list_urgent_shares(self) -> list[float]:
        """
        Return, by rank, the share of requests that were more urgent.

        Of the other requests only those that were admitted count. Otherwise
        callers that repeat refused requests would make the more urgent ones
        look few.
        """
        shares = []
        more_urgent, others = 0.0, sum(self._admitted)
        for count, admitted in zip(self._counts, self._admitted, strict=True):
            total = more_urgent + others
            shares.append(more_urgent / total if total > 0.0 else 0.0)
            more_urgent += count
            others -= admitted
        return shares

    def _decay(self, now_ms: float) -> None:
        left = decay(now_ms - self._at_ms)
        self._counts = [count * left for count in self._counts]
        self._admitted = [count * left for count in self._admitted]
        self._at_ms = now_ms


class _TeamCount:
    """Recent requests of one team."""

    __slots__ = ("at_ms", "count", "usual_credit")

    def __init__(self, usual_credit: float) -> None:
        self.count = 0.0
        self.at_ms = 0.0
        # The next request is in its usual place if this reaches 1 with it.
        self.usual_credit = usual_credit


class TeamDemand:
    """Recent requests of the teams of one rank, and how many were admitted."""

    __slots__ = ("_admitted", "_admitted_at_ms", "_limit", "_limit_at_ms", "_teams")

    def __init__(self) -> None:
        """Start without requests."""
        self._teams: dict[str, _TeamCount] = {}
        self._admitted = 0.0
        self._admitted_at_ms = 0.0
        self._limit = EXCESS_MIN
        self._limit_at_ms = float("-inf")

    def count_admitted(self, now_ms: float) -> None:
        """
        Count a request of any team that was admitted.

        :param now_ms: current time.
        """
        self._admitted = 1.0 + self._admitted * decay(now_ms - self._admitted_at_ms)
        self._admitted_at_ms = now_ms

    def count(self, team_id: str, now_ms: float, rng: Random) -> bool:
        """
        Count a request of a team.

        :param team_id: id of the team.
        :param now_ms: current time.
        :param rng: source of randomness.
        :returns: whether the request comes after those of other teams, as its
            team asks for far more than its equal share of what is admitted.
        """
        team = self._teams.get(team_id)
        if team is None:
            team = self._teams[team_id] = _TeamCount(rng.random())
        team.count = 1.0 + team.count * decay(now_ms - team.at_ms)
        team.at_ms = now_ms
        limit = self._get_limit(now_ms)
        if team.count <= limit:
            return False
        team.usual_credit += max(limit / team.count, 1.0 - EXCESS_SHARE_MAX)
        if team.usual_credit < 1.0:
            return True
        team.usual_credit -= 1.0
        return False

    def _get_limit(self, now_ms: float) -> float:
        """Return how many recent requests of a team are not too many."""
        if now_ms - self._limit_at_ms < LIMIT_INTERVAL_MS:
            return self._limit
        active_teams = 0.0
        for team_id, team in list(self._teams.items()):
            left = team.count * decay(now_ms - team.at_ms)
            if left < FORGOTTEN_BELOW:
                del self._teams[team_id]
            else:
                active_teams += min(1.0, left)
        admitted = self._admitted * decay(now_ms - self._admitted_at_ms)
        equal_share = admitted / max(1.0, active_teams)
        self._limit = max(EXCESS_MIN, EXCESS_FACTOR * equal_share)
        self._limit_at_ms = now_ms
        return self._limit
