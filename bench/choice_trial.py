"""
Trial of the choices of a backend server on queues with slots.

Not a model of the system: requests arrive at random at several choosers that
share servers; a server is a number of slots and a queue. Answers carry load
reports, which are stale by the way back. Run with
``python -m bench.choice_trial``; the same seed gives the same figures.
"""

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from cuminhatch.decisions.choice import (
    Choose,
    NotChosen,
    least_in_flight,
    power_of_d,
    random_choice,
    round_robin,
)
from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.servers import (
    LoadReport,
    ServerView,
    may_take_short,
    note_answer,
    note_failure,
    note_report,
)

SERVERS = 10
SLOTS = 3
CHOOSERS = 15
WORK_MS = 10.0
# Time each way between a chooser and a server.
WAY_MS = 0.5
DURATION_MS = 20_000.0
WARM_UP_MS = 2000.0
SEED = 1


class Scenario(NamedTuple):
    """
    What happens to the servers.

    ``load`` is the arrival rate divided by the capacity of all servers.
    ``slow_factor`` lengthens the work of server 0. ``is_failing`` makes it
    fail after a tenth of the work time.
    """

    name: str
    load: float
    slow_factor: float = 1.0
    is_failing: bool = False


class Figures(NamedTuple):
    """Latencies in milliseconds of good answers, and the share of failures."""

    p50_ms: float
    p99_ms: float
    failed: float


SCENARIOS = (
    Scenario("even, load 0.5", 0.5),
    Scenario("even, load 0.8", 0.8),
    Scenario("straggler 5x, load 0.6", 0.6, slow_factor=5.0),
    Scenario("one fails fast, load 0.6", 0.6, is_failing=True),
)

CHOICES: dict[str, Callable[[Random], Choose]] = {
    "power_of_d(2)": lambda rng: power_of_d(2, rng),
    "power_of_d(3)": lambda rng: power_of_d(3, rng),
    "random": random_choice,
    "round_robin": lambda rng: round_robin(),
    "least_in_flight": least_in_flight,
}


class _Job(NamedTuple):
    """One request on its way."""

    started_ms: float
    chooser: int
    server: int


class _Server:
    """State of one server: running jobs and the queue."""

    def __init__(self) -> None:
        self.running = 0
        self.queue: deque[_Job] = deque()


def run_trial(
    scenario: Scenario,
    make_choice: Callable[[Random], Choose],
    seed: int,
    has_ejection: bool = True,
) -> Figures:
    """
    Run one scenario with one choice.

    :param scenario: what happens to the servers.
    :param make_choice: builds the choice of one chooser.
    :param seed: seed of arrivals, work times and choices.
    :param has_ejection: whether failing servers are ejected.
    :returns: figures of the requests after the warm-up.
    """
    rng = Random(seed)
    servers = [_Server() for _ in range(SERVERS)]
    choosers = [make_choice(Random(seed * 100 + n)) for n in range(CHOOSERS)]
    # A large window: the trial compares choices, not windows.
    views = [[_make_view(n) for n in range(SERVERS)] for _ in range(CHOOSERS)]
    per_ms = scenario.load * SERVERS * SLOTS / WORK_MS
    events: list[tuple[float, int, str, _Job | None]] = []
    order = count()
    good: list[float] = []
    failed = 0

    def at(time_ms: float, name: str, job: _Job | None) -> None:
        heappush(events, (time_ms, next(order), name, job))

    def start(job: _Job, now_ms: float) -> None:
        servers[job.server].running += 1
        work_ms = rng.expovariate(1 / WORK_MS)
        if job.server == 0:
            work_ms *= 0.1 if scenario.is_failing else scenario.slow_factor
        at(now_ms + work_ms, "ended", job)

    at(0.0, "arrival", None)
    while events:
        now_ms, _, name, job = heappop(events)
        if name == "arrival":
            if now_ms < DURATION_MS:
                at(now_ms + rng.expovariate(per_ms), "arrival", None)
            chooser = rng.randrange(CHOOSERS)
            open_views = [v for v in views[chooser] if may_take_short(v, now_ms)]
            view = choosers[chooser](open_views or views[chooser], now_ms)
            assert not isinstance(view, NotChosen)
            view.in_flight += 1
            number = view.server.port
            at(now_ms + WAY_MS, "reached", _Job(now_ms, chooser, number))
        elif name == "reached":
            server = servers[job.server]
            if server.running < SLOTS:
                start(job, now_ms)
            else:
                server.queue.append(job)
        elif name == "ended":
            server = servers[job.server]
            server.running -= 1
            if server.queue:
                start(server.queue.popleft(), now_ms)
            view = views[job.chooser][job.server]
            note_report(
                view, LoadReport(server.running, len(server.queue), SLOTS, now_ms)
            )
            at(now_ms + WAY_MS, "answered", job)
        else:
            view = views[job.chooser][job.server]
            latency_ms = now_ms - job.started_ms
            is_failed = scenario.is_failing and job.server == 0
            if is_failed:
                note_failure(view, has_ejection, now_ms)
            else:
                note_answer(view, latency_ms, True, now_ms)
            view.in_flight -= 1
            if job.started_ms >= WARM_UP_MS:
                failed += is_failed
                if not is_failed:
                    good.append(latency_ms)
    good.sort()
    total = len(good) + failed
    return Figures(
        good[len(good) // 2], good[int(len(good) * 0.99)], failed / max(1, total)
    )


def _make_view(number: int) -> ServerView:
    server = BackendServer(f"b{number}", "s", "", number, "", 1000, 1000)
    view = ServerView(server, 1000)
    view.slots = SLOTS
    return view


def main() -> None:
    """Print the figures of all scenarios and choices."""
    print("Trial, one seed; milliseconds.")
    for scenario in SCENARIOS:
        for name, make_choice in CHOICES.items():
            for has_ejection in (False, True) if scenario.is_failing else (True,):
                figures = run_trial(scenario, make_choice, SEED, has_ejection)
                ejection = "" if has_ejection else ", no ejection"
                print(
                    f"{scenario.name + ejection:40} {name:16}"
                    f" p50 {figures.p50_ms:6.1f}  p99 {figures.p99_ms:7.1f}"
                    f"  failed {figures.failed:6.2%}"
                )


if __name__ == "__main__":
    main()
