"""
Simulation of the requests that servers get after they have become cold.

All servers of one failure domain become cold at the same moment, as after an
evacuation. Instances place requests by the modules that the gateway uses:
candidates, probe allowances, placement and the limit for cold servers. Not
modelled: resends, hedges and network delays other than ``ONE_WAY_MS``. Run
with ``python -m bench.warm_up``; the same seed gives the same results.
"""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, NamedTuple

from cuminhatch.decisions.candidates import (
    WIDENED_COUNTS,
    CandidateCounts,
    pick_candidates,
    preference_key,
)
from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.placement import (
    Placed,
    RequestProfile,
    Wait,
    choose_server,
)
from cuminhatch.decisions.probe_allowance import ProbeAllowance, share_probe_budget
from cuminhatch.decisions.server_records import (
    ServerLoad,
    ServerRecord,
    record_load,
    record_sent,
)
from cuminhatch.decisions.warmup import (
    Senders,
    WarmupLimit,
    count_senders,
    get_wait_limit_ms,
    has_fresh_answer,
    is_cold,
    limit_candidates,
    may_send_to_cold,
    record_warmup,
)

DOMAINS = ("north", "south", "west")
ONE_WAY_MS = 1.0
RETRY_MS = 15.0
PROBES_PER_S = 42.0
LIMIT = WarmupLimit(1.5, 8.0)
COLD_FROM_MS = 5_000.0
COLD_MS = 10_000.0
COLD_FACTOR = 2.0


class Scenario(NamedTuple):
    """One simulation; rates in requests per second, times in ms."""

    name: str
    instances: int
    servers: int
    slots: int
    rate_per_s: float
    work_ms: float
    target_ms: float
    warmup_rate: float = 3.1
    is_limited: bool = True


SCENARIOS = (
    Scenario("search without limit", 103, 67, 4, 227, 222, 690, is_limited=False),
    Scenario("search", 103, 67, 4, 227, 222, 690),
    Scenario("search, burst of 2.5", 103, 67, 4, 567, 222, 690),
    Scenario("lodging", 103, 52, 4, 136, 290, 876),
    Scenario("lodging, burst of 2.5", 103, 52, 4, 340, 290, 876),
    Scenario("intake", 103, 22, 4, 76, 228, 1_200),
    Scenario("search of 138 instances", 138, 67, 4, 227, 222, 690),
    Scenario("intake of 138 instances", 138, 22, 4, 76, 228, 1_200),
    Scenario("search, tolerating 5", 103, 67, 4, 567, 222, 690, 5.0),
)


class Server:
    """A backend server as it is: slots, a queue, and its warm-up."""

    def __init__(self, server: BackendServer) -> None:
        """
        Start idle and warm.

        :param server: its registration.
        """
        self.server = server
        self.running = 0
        self.waiting = 0
        self.cold_until_ms = 0.0
        # Of requests that arrived while it was cold.
        self.arrivals_ms: list[float] = []


class Instance:
    """What one instance knows."""

    def __init__(self, number: int, scenario: Scenario, servers: list[Server]) -> None:
        """
        Start without observations.

        :param number: number of the instance.
        :param scenario: the simulation.
        :param servers: all servers.
        """
        self.instance_id = f"front-{number}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        ordered = sorted(
            (s.server for s in servers),
            key=lambda server: preference_key(self.instance_id, server.server_id),
        )
        self.records = {
            server.server_id: ServerRecord(
                server, server.failure_domain == self.domain, 0.0
            )
            for server in ordered
        }
        near = scenario.instances // len(DOMAINS)
        self.allowances = {
            server_id: ProbeAllowance(
                share_probe_budget(
                    PROBES_PER_S, scenario.instances, near, record.is_near
                ),
                0.0,
            )
            for server_id, record in self.records.items()
        }
        self.senders = Senders(self.instance_id, -60_000.0)
        domains = {
            f"front-{n}": DOMAINS[n % len(DOMAINS)] for n in range(scenario.instances)
        }
        self.senders.set_instances(domains, scenario.instances, False, -60_000.0)


class Simulation:
    """Events of all instances and servers, in order of time."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """
        Create instances and servers.

        :param scenario: what is simulated.
        :param seed: seed of all random numbers.
        """
        self.scenario = scenario
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.events: list[tuple[float, int, Any, tuple]] = []
        self.numbers = count()
        self.senders = count_senders(LIMIT, scenario.warmup_rate)
        self.servers = {
            f"i-{n}": Server(
                BackendServer(f"i-{n}", "s", "", 0, DOMAINS[n % 3], scenario.slots, 200)
            )
            for n in range(scenario.servers)
        }
        servers = list(self.servers.values())
        self.instances = [
            Instance(n, scenario, servers) for n in range(scenario.instances)
        ]
        self.refused = self.late = self.answered = 0

    def run(self) -> None:
        """Run until the servers are warm again."""
        end_ms = COLD_FROM_MS + COLD_MS
        self.add(0.0, self.arrive)
        self.add(COLD_FROM_MS, self.become_cold)
        while self.events and self.events[0][0] < end_ms:
            self.now_ms, _, handle, arguments = heappop(self.events)
            handle(*arguments)

    def add(self, delay_ms: float, handle: Any, *arguments: Any) -> None:
        """Schedule a call."""
        event = (self.now_ms + delay_ms, next(self.numbers), handle, arguments)
        heappush(self.events, event)

    def become_cold(self) -> None:
        """Make all servers of a failure domain cold."""
        for server in self.servers.values():
            if server.server.failure_domain == DOMAINS[0]:
                server.cold_until_ms = self.now_ms + COLD_MS

    def arrive(self) -> None:
        """Let a request arrive, and schedule the next one."""
        self.add(self.rng.expovariate(self.scenario.rate_per_s / 1e3), self.arrive)
        instance = self.rng.choice(self.instances)
        self.ask(instance, self.now_ms, CandidateCounts(4, 0))

    def list_promising(self, instance: Instance) -> Iterator[ServerRecord]:
        """Yield the servers that the instance may send to, as far as known."""
        for record in instance.records.values():
            if (
                not self.scenario.is_limited
                or not is_cold(record, self.now_ms)
                or may_send_to_cold(record, instance.senders, self.senders, self.now_ms)
            ):
                yield record

    def ask(self, instance: Instance, since_ms: float, wanted: CandidateCounts) -> None:
        """Probe candidates for a request."""
        records = list(self.list_promising(instance))
        counts = wanted
        if self.scenario.is_limited:
            counts = limit_candidates(wanted, records)
        candidates = pick_candidates(
            records,
            frozenset(),
            counts,
            self.now_ms,
            self.rng,
        )
        asked: list[ServerRecord] = []
        for record in (*candidates.first, *candidates.spare):
            allowance = instance.allowances[record.server.server_id]
            if len(asked) < len(candidates.first) and allowance.take(self.now_ms):
                asked.append(record)
        for record in asked:
            self.add(ONE_WAY_MS, self.answer, record, self.now_ms)
        self.add(2 * ONE_WAY_MS + 0.01, self.choose, instance, since_ms, wanted)

    def answer(self, record: ServerRecord, asked_ms: float) -> None:
        """Let a server answer a health check."""
        server = self.servers[record.server.server_id]
        left_ms = max(0.0, server.cold_until_ms - self.now_ms)
        observed = (server.running, server.waiting, record.server.slots, 1.0)
        self.add(ONE_WAY_MS, self.observe, record, observed, left_ms, asked_ms)

    def observe(
        self, record: ServerRecord, observed: tuple, left_ms: float, asked_ms: float
    ) -> None:
        """Record the answer of a server."""
        record_load(record, ServerLoad(*observed, self.now_ms))
        record_warmup(record, left_ms, asked_ms, self.now_ms)

    def choose(
        self, instance: Instance, since_ms: float, wanted: CandidateCounts
    ) -> None:
        """Place a request, widen the search, wait or refuse."""
        scenario = self.scenario
        records = [
            record
            for record in self.list_promising(instance)
            if has_fresh_answer(record, self.now_ms)
        ]
        if not records and wanted is WIDENED_COUNTS:
            records = [
                record
                for record in self.list_promising(instance)
                if may_send_to_cold(record, instance.senders, self.senders, self.now_ms)
            ]
        waited_ms = self.now_ms - since_ms
        work = RequestProfile(
            scenario.work_ms,
            scenario.target_ms,
            waited_ms,
            scenario.target_ms * 3 - waited_ms,
            0.0,
            True,
        )
        chosen = choose_server(records, work, self.now_ms, self.rng)
        is_waiting = isinstance(chosen, Wait)
        if not records:
            is_waiting = waited_ms < get_wait_limit_ms(work)
        if isinstance(chosen, Placed):
            record_sent(chosen.record, self.now_ms)
            server = self.servers[chosen.record.server.server_id]
            self.add(ONE_WAY_MS, self.receive, server, since_ms)
        elif wanted is not WIDENED_COUNTS:
            self.ask(instance, since_ms, WIDENED_COUNTS)
        elif is_waiting:
            self.add(RETRY_MS, self.ask, instance, since_ms, WIDENED_COUNTS)
        else:
            self.refused += 1

    def receive(self, server: Server, since_ms: float) -> None:
        """Let a request arrive at a server."""
        if self.now_ms < server.cold_until_ms:
            server.arrivals_ms.append(self.now_ms)
        server.waiting += 1
        self.start(server, since_ms)

    def start(self, server: Server, since_ms: float) -> None:
        """Start a waiting request if a slot is free."""
        if server.running >= server.server.slots:
            self.add(5.0, self.start, server, since_ms)
            return
        server.waiting -= 1
        server.running += 1
        run_ms = self.scenario.work_ms * self.rng.uniform(0.5, 1.5)
        if self.now_ms < server.cold_until_ms:
            run_ms *= COLD_FACTOR
        self.add(run_ms, self.end, server, since_ms)

    def end(self, server: Server, since_ms: float) -> None:
        """End a request."""
        server.running -= 1
        self.answered += 1
        self.late += self.now_ms - since_ms > self.scenario.target_ms


def find_highest_second(arrivals_ms: list[float]) -> int:
    """Return the most arrivals in any second."""
    highest = first = 0
    for number, at_ms in enumerate(arrivals_ms):
        while arrivals_ms[first] <= at_ms - 1_000.0:
            first += 1
        highest = max(highest, number - first + 1)
    return highest


def measure(scenario: Scenario, seed: int) -> dict[str, float]:
    """
    Return what cold servers got in one simulation.

    :param scenario: what is simulated.
    :param seed: seed of all random numbers.
    """
    simulation = Simulation(scenario, seed)
    simulation.run()
    cold = [s for s in simulation.servers.values() if s.cold_until_ms]
    seconds = len(cold) * COLD_MS / 1e3
    return {
        "rate": sum(len(s.arrivals_ms) for s in cold) / seconds,
        "highest": max(find_highest_second(s.arrivals_ms) for s in cold),
        "bound": scenario.warmup_rate * LIMIT.overshoot + LIMIT.slack,
        "late": simulation.late / max(1, simulation.answered),
        "refused": simulation.refused,
    }


def main() -> None:
    """Print the results of all scenarios."""
    print("requests per second at a cold server, its highest second, the bound")
    for scenario in SCENARIOS:
        results = [measure(scenario, seed) for seed in range(3)]
        rate = sum(result["rate"] for result in results) / len(results)
        highest = max(result["highest"] for result in results)
        late = sum(result["late"] for result in results) / len(results)
        refused = sum(result["refused"] for result in results)
        print(
            f"{scenario.name:26} {rate:5.2f} {highest:3} {results[0]['bound']:6.2f}"
            f"  late {late:.3f}, refused {refused}"
        )


if __name__ == "__main__":
    main()
