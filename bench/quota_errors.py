"""
Errors of the quotas over all instances, in a simulated fleet.

Run with ``python -m bench.quota_errors``. Prints, by number of instances and
by what is wrong with them, how many requests were admitted above the bound in
any window, and refused although their team was below its quota.
"""

import sys
from bisect import bisect_right
from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from bench.quota_fleet import LIMITS, Fleet, Instance
from cuminhatch.decisions.configuration import Team

DURATION_S = 45.0
WARM_UP_S = 8.0
TEAM_COUNT = 74
# Rate of all teams per instance, quotas and bursts as of the tenders.
RATE_PER_INSTANCE = 4.3
QUOTA_FACTOR = 1.6
SMALLEST_USUAL_PER_S = 1.9
# Shares of the three large teams.
LARGE_SHARES = (0.16, 0.1, 0.07)
# Share of the callers that repeat a refused request, and how often.
REPEATING_SHARE = 1 / 3
REPEATS_MAX = 3


class Surge(NamedTuple):
    """A team at several times its usual rate, through few instances."""

    team_id: str
    factor: float
    start_s: float
    end_s: float
    instances: tuple[Instance, ...]


class Result(NamedTuple):
    """
    Errors of one run; windows are those of the quota.

    ``refused_below`` counts requests that were refused while their team had
    asked for no more than its rate provides in the last window, without its
    burst; ``refused_below_window_max`` is the highest number of a team in a
    window if that held in the window before as well. ``provided_share`` is
    what teams that asked for more got of what their rate provides.
    """

    requests: int
    excess_max: float
    windows_over: int
    refused_below: int
    refused_below_window_max: int
    provided_share: float


def make_teams(instances: int) -> tuple[dict[str, Team], dict[str, float]]:
    """
    Return the teams, and their usual rates per second.

    :param instances: number of instances.
    """
    total = RATE_PER_INSTANCE * instances
    rates = [share * total for share in LARGE_SHARES]
    left = total - sum(rates)
    weights = [1.0 / (1 + rank) ** 0.7 for rank in range(TEAM_COUNT - len(rates))]
    scale = left / sum(weights)
    rates += [max(SMALLEST_USUAL_PER_S, weight * scale) for weight in weights]
    usual = {f"team-{number:02}": rate for number, rate in enumerate(rates)}
    teams = {}
    for team_id, rate in usual.items():
        quota = round(rate * QUOTA_FACTOR)
        teams[team_id] = Team(team_id, None, quota, quota)
    return teams, usual


class Load:
    """Requests of all teams at random times."""

    def __init__(self, fleet: Fleet, usual: dict[str, float], rng: Random) -> None:
        """
        Place the callers on instances.

        :param fleet: instances that receive the requests.
        :param usual: usual rate per second of each team.
        :param rng: source of randomness.
        """
        self._fleet = fleet
        self._usual = usual
        self._rng = rng
        self._instances = list(fleet.instances.values())
        self.callers = {
            team_id: [
                rng.choice(self._instances) for _ in range(max(4, round(rate * 1.5)))
            ]
            for team_id, rate in usual.items()
        }
        self.surges: list[Surge] = []
        # Times of the first tries, and of refusals after all tries.
        self.asked: dict[str, list[float]] = {team_id: [] for team_id in usual}

    def add_surges(self, until_s: float) -> None:
        """
        Let one to three teams exceed their usual rate now and then.

        :param until_s: end of the run.
        """
        start_s = WARM_UP_S
        while start_s < until_s - 8.0:
            for _ in range(self._rng.randint(1, 3)):
                large = list(self._usual)[: len(LARGE_SHARES)]
                group = large if self._rng.random() < 0.4 else list(self._usual)
                few = tuple(self._rng.sample(self._instances, self._rng.randint(2, 8)))
                team_id = self._rng.choice(group)
                factor = self._rng.uniform(3.0, 8.0)
                end_s = start_s + self._rng.uniform(5.0, 8.0)
                self.surges.append(Surge(team_id, factor, start_s, end_s, few))
            start_s += 9.0

    def run(self, until_s: float, at: list[tuple[float, Callable[[], None]]]) -> None:
        """
        Send requests until a time.

        :param until_s: end of the run.
        :param at: what happens to the fleet, with the times in seconds.
        """
        arrivals = sorted(self._list_arrivals(until_s), key=lambda item: item[0])
        pending = sorted(at, key=lambda item: item[0])
        for at_ms, team_id, instance in arrivals:
            while pending and pending[0][0] * 1000.0 <= at_ms:
                time_s, action = pending.pop(0)
                self._fleet.run_until(time_s * 1000.0)
                action()
            self._fleet.run_until(at_ms)
            self._send(team_id, instance)

    def _send(self, team_id: str, instance: Instance) -> None:
        if instance.peer is None:
            instance = self._rng.choice(self._instances)
        self.asked[team_id].append(self._fleet.now_ms)
        is_repeating = self._rng.random() < REPEATING_SHARE
        for _ in range(1 + REPEATS_MAX * is_repeating):
            admission = self._fleet.request(instance, team_id)
            if admission is None or admission.is_admitted:
                return

    def _list_arrivals(self, until_s: float) -> Iterator[tuple[float, str, Instance]]:
        for team_id, rate in self._usual.items():
            callers = self.callers[team_id]
            yield from self._list_team(team_id, rate, 0.0, until_s, callers)
        for surge in self.surges:
            rate = self._usual[surge.team_id] * (surge.factor - 1.0)
            yield from self._list_team(
                surge.team_id, rate, surge.start_s, surge.end_s, surge.instances
            )

    def _list_team(
        self,
        team_id: str,
        rate: float,
        start_s: float,
        end_s: float,
        instances: list[Instance] | tuple[Instance, ...],
    ) -> Iterator[tuple[float, str, Instance]]:
        at_s = start_s + self._rng.expovariate(rate)
        while at_s < end_s:
            yield at_s * 1000.0, team_id, self._rng.choice(instances)
            at_s += self._rng.expovariate(rate)


def judge(fleet: Fleet, load: Load, until_s: float) -> Result:
    """
    Compare what was admitted with the bound and with the quota.

    :param fleet: the fleet after its run.
    :param load: what was asked.
    :param until_s: end of the run.
    """
    excess_max, windows_over = 0.0, 0
    refused_below = refused_window_max = 0
    wanted = provided = 0.0
    window_s = LIMITS.window_ms / 1000.0
    for team_id, team in fleet.teams.items():
        excess_max = max(excess_max, fleet.measure_excess(team_id))
        series = fleet.admitted[team_id], fleet.refused[team_id], load.asked[team_id]
        end_s = WARM_UP_S
        while end_s < until_s:
            admitted, refused, asked = (
                count_between(times, end_s - window_s, end_s) for times in series
            )
            quota = team.rate_per_s * window_s
            bound = (quota + team.burst) * (1.0 + LIMITS.overshoot) + LIMITS.slack
            windows_over += admitted > bound
            if asked <= quota:
                refused_below += count_between(series[1], end_s - 1.0, end_s)
                before_s = end_s - window_s
                before = count_between(series[2], before_s - window_s, before_s)
                if before <= quota:
                    refused_window_max = max(refused_window_max, refused)
            else:
                wanted += quota
                provided += min(quota, admitted)
            end_s += 1.0
    requests = sum(map(len, load.asked.values()))
    share = provided / wanted if wanted else 1.0
    return Result(
        requests, excess_max, windows_over, refused_below, refused_window_max, share
    )


def count_between(times: list[float], start_s: float, end_s: float) -> int:
    """
    Return how many of the sorted times are in a span.

    :param times: times in ms.
    :param start_s: start of the span, excluded.
    :param end_s: end of the span.
    """
    return bisect_right(times, end_s * 1000.0) - bisect_right(times, start_s * 1000.0)


def list_disturbances(
    name: str, fleet: Fleet, rng: Random
) -> list[tuple[float, Callable[[], None]]]:
    """
    Return what happens to a fleet, with the times in seconds.

    :param name: one of ``DISTURBANCES``.
    :param fleet: the fleet.
    :param rng: source of randomness.
    """
    instances = list(fleet.instances.values())

    def cut(groups: int, group_of: Callable[[Instance], int]) -> None:
        for instance in instances:
            instance.group = group_of(instance) % groups

    def cut_domains() -> None:
        domains = sorted({instance.failure_domain for instance in instances})
        cut(3, lambda instance: domains.index(instance.failure_domain))

    def cut_third() -> None:
        cut(2, lambda instance: int(rng.random() < 1 / 3))

    def cut_all() -> None:
        numbers = {id_: number for number, id_ in enumerate(fleet.instances)}
        cut(len(instances), lambda instance: numbers[instance.instance_id])

    def heal() -> None:
        cut(1, lambda instance: 0)

    def restart_all() -> None:
        for instance in instances:
            fleet.start(instance, knows_others=False)

    def introduce_all() -> None:
        for instance in instances:
            fleet.introduce(instance)

    def freeze_some() -> None:
        for instance in rng.sample(instances, len(instances) // 10):
            fleet.freeze(instance, rng.uniform(1_000.0, 4_000.0))

    def stop_aggregators() -> None:
        for instance in instances:
            if instance.peer is not None and instance.peer.is_aggregator:
                fleet.stop(instance)

    def start_stopped() -> None:
        for instance in instances:
            if instance.peer is None:
                fleet.start(instance)

    actions: dict[str, list[tuple[float, Callable[[], None]]]] = {
        "none": [],
        "domains cut": [(12.0, cut_domains), (24.0, heal)],
        "a third cut": [(12.0, cut_third), (24.0, heal)],
        "all cut": [(12.0, cut_all), (24.0, heal)],
        "all restart": [
            (12.0, restart_all),
            (12.3, introduce_all),
            (30.0, restart_all),
            (30.6, introduce_all),
        ],
        "a tenth frozen": [(at_s, freeze_some) for at_s in (10.0, 16.0, 22.0, 28.0)],
        "aggregators lost": [
            (at_s, action)
            for at_s in (11.0, 20.0, 30.0)
            for at_s, action in ((at_s, stop_aggregators), (at_s + 2.5, start_stopped))
        ],
    }
    return actions[name]


DISTURBANCES = (
    "none",
    "domains cut",
    "a third cut",
    "all cut",
    "all restart",
    "a tenth frozen",
    "aggregators lost",
)


def run_trial(instances: int, disturbance: str, seed: int) -> tuple[Fleet, Result]:
    """
    Run a fleet under load.

    :param instances: number of instances, in 3 failure domains.
    :param disturbance: one of ``DISTURBANCES``.
    :param seed: seed of all random numbers.
    :returns: the fleet, and its errors.
    """
    rng = Random(seed)
    teams, usual = make_teams(instances)
    sizes = {
        name: (instances + offset) // 3 for offset, name in enumerate(("a", "b", "c"))
    }
    fleet = Fleet(sizes, teams, seed)
    load = Load(fleet, usual, rng)
    load.add_surges(DURATION_S)
    load.run(DURATION_S, list_disturbances(disturbance, fleet, rng))
    return fleet, judge(fleet, load, DURATION_S)


def main() -> None:
    """Print the table of errors."""
    sizes = [int(text) for text in sys.argv[1:]] or [103, 312]
    print(
        "| instances | disturbance | requests | over the bound: most, windows ", end=""
    )
    print("| refused below: all, most in a window | provided |")
    print("|---|---|---|---|---|---|")
    for size in sizes:
        for disturbance in DISTURBANCES:
            _, result = run_trial(size, disturbance, 1)
            over = f"{result.excess_max:g}, {result.windows_over}"
            below = f"{result.refused_below}, {result.refused_below_window_max}"
            row = (size, disturbance, result.requests, over, below)
            cells = " | ".join(str(cell) for cell in row)
            print(f"| {cells} | {result.provided_share:.2f} |", flush=True)


if __name__ == "__main__":
    main()
