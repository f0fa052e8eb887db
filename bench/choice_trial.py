"""
Discrete-event simulation of the policies that choose a backend server.

It doesn't model the whole system: Poisson arrivals reach several daemons
that share servers, and a server is a number of slots and a queue. Responses
carry load reports, which are stale by the one-way delay. Run with
``python -m bench.choice_trial``; the same seed gives the same results.
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
    record_failure,
    record_report,
    record_response,
)

SERVERS = 10
SLOTS = 3
DAEMONS = 15
WORK_MS = 10.0
# Network delay between a daemon and a server, in each direction.
ONE_WAY_DELAY_MS = 0.5
DURATION_MS = 20_000.0
WARM_UP_MS = 2000.0
SEED = 1


class Scenario(NamedTuple):
    """
    Load and faults of one simulation.

    ``load`` is the arrival rate divided by the capacity of all servers.
    ``slow_factor`` multiplies the work time of server 0. With ``is_failing``,
    server 0 fails every request after a tenth of the work time.
    """

    name: str
    load: float
    slow_factor: float = 1.0
    is_failing: bool = False


class LatencySummary(NamedTuple):
    """Latency percentiles of successful requests, and the failed share."""

    p50_ms: float
    p99_ms: float
    failed: float


SCENARIOS = (
    Scenario("even, load 0.5", 0.5),
    Scenario("even, load 0.8", 0.8),
    Scenario("straggler 5x, load 0.6", 0.6, slow_factor=5.0),
    Scenario("one fails fast, load 0.6", 0.6, is_failing=True),
)

POLICIES: dict[str, Callable[[Random], Choose]] = {
    "power_of_d(2)": lambda rng: power_of_d(2, rng),
    "power_of_d(3)": lambda rng: power_of_d(3, rng),
    "random": random_choice,
    "round_robin": lambda rng: round_robin(),
    "least_in_flight": least_in_flight,
}


class _Request(NamedTuple):
    """One request in progress."""

    started_ms: float
    daemon: int
    server: int


class _Server:
    """State of one server: number of running requests and the queue."""

    def __init__(self) -> None:
        self.running = 0
        self.queue: deque[_Request] = deque()


def run_scenario(
    scenario: Scenario,
    make_policy: Callable[[Random], Choose],
    seed: int,
    is_ejection_enabled: bool = True,
) -> LatencySummary:
    """
    Simulate one scenario with one policy.

    :param scenario: load and faults.
    :param make_policy: builds the policy of one daemon.
    :param seed: seed of arrivals, work times and policies.
    :param is_ejection_enabled: whether failing servers are ejected.
    :returns: summary of the requests after the warm-up.
    """
    rng = Random(seed)
    servers = [_Server() for _ in range(SERVERS)]
    policies = [make_policy(Random(seed * 100 + n)) for n in range(DAEMONS)]
    views = [[_make_server_view(n) for n in range(SERVERS)] for _ in range(DAEMONS)]
    arrivals_per_ms = scenario.load * SERVERS * SLOTS / WORK_MS
    events: list[tuple[float, int, str, _Request | None]] = []
    sequence = count()
    latencies_ms: list[float] = []
    failed = 0

    def schedule(time_ms: float, name: str, request: _Request | None) -> None:
        heappush(events, (time_ms, next(sequence), name, request))

    def start_request(request: _Request, now_ms: float) -> None:
        servers[request.server].running += 1
        work_ms = rng.expovariate(1 / WORK_MS)
        if request.server == 0:
            work_ms *= 0.1 if scenario.is_failing else scenario.slow_factor
        schedule(now_ms + work_ms, "ended", request)

    schedule(0.0, "arrival", None)
    while events:
        now_ms, _, name, request = heappop(events)
        if name == "arrival":
            if now_ms < DURATION_MS:
                schedule(now_ms + rng.expovariate(arrivals_per_ms), "arrival", None)
            daemon = rng.randrange(DAEMONS)
            open_views = [v for v in views[daemon] if may_take_short(v, now_ms)]
            view = policies[daemon](open_views or views[daemon], now_ms)
            assert not isinstance(view, NotChosen)
            view.in_flight += 1
            number = view.server.port
            schedule(
                now_ms + ONE_WAY_DELAY_MS, "reached", _Request(now_ms, daemon, number)
            )
        elif name == "reached":
            server = servers[request.server]
            if server.running < SLOTS:
                start_request(request, now_ms)
            else:
                server.queue.append(request)
        elif name == "ended":
            server = servers[request.server]
            server.running -= 1
            if server.queue:
                start_request(server.queue.popleft(), now_ms)
            view = views[request.daemon][request.server]
            record_report(
                view, LoadReport(server.running, len(server.queue), SLOTS, now_ms)
            )
            schedule(now_ms + ONE_WAY_DELAY_MS, "answered", request)
        else:
            view = views[request.daemon][request.server]
            latency_ms = now_ms - request.started_ms
            is_failed = scenario.is_failing and request.server == 0
            if is_failed:
                record_failure(view, is_ejection_enabled, now_ms)
            else:
                record_response(view, latency_ms, True, now_ms)
            view.in_flight -= 1
            if request.started_ms >= WARM_UP_MS:
                failed += is_failed
                if not is_failed:
                    latencies_ms.append(latency_ms)
    latencies_ms.sort()
    total = len(latencies_ms) + failed
    return LatencySummary(
        latencies_ms[len(latencies_ms) // 2],
        latencies_ms[int(len(latencies_ms) * 0.99)],
        failed / max(1, total),
    )


def _make_server_view(number: int) -> ServerView:
    # The port serves as the index of the server. 1000 connections and a
    # concurrency window of 1000 don't limit any policy.
    server = BackendServer(f"b{number}", "s", "", number, "", 1000, 1000)
    view = ServerView(server, 1000)
    view.slots = SLOTS
    return view


def main() -> None:
    """Print the results of all scenarios and policies."""
    print("Trial, one seed; milliseconds.")
    for scenario in SCENARIOS:
        for name, make_policy in POLICIES.items():
            for is_ejection_enabled in (
                (False, True) if scenario.is_failing else (True,)
            ):
                summary = run_scenario(scenario, make_policy, SEED, is_ejection_enabled)
                ejection = "" if is_ejection_enabled else ", no ejection"
                print(
                    f"{scenario.name + ejection:40} {name:16}"
                    f" p50 {summary.p50_ms:6.1f}  p99 {summary.p99_ms:7.1f}"
                    f"  failed {summary.failed:6.2%}"
                )


if __name__ == "__main__":
    main()
