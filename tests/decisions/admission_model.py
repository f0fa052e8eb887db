"""A queue model: instances with real decisions, servers, callers."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random
from types import SimpleNamespace
from typing import NamedTuple

from cuminhatch.decisions.placement import (
    NotPlaced,
    Placed,
    RequestProfile,
    choose_server,
    misses_target,
)
from cuminhatch.decisions.server_records import (
    ServerLoad,
    ServerRecord,
    record_load,
    record_sent,
)
from cuminhatch.decisions.service_admission import ServiceAdmission
from cuminhatch.decisions.urgency import Urgency
from tests.decisions._builders import make_server

INSTANCES = 100
SLOTS = 4
# Servers asked for their load, at first and again.
CANDIDATES = (4, 14)
PROBE_MS, WAIT_MS, SAMPLE_MS = 3.0, 15.0, 50.0


class Kind(NamedTuple):
    """Callers that wait for ``patience`` times the Retry-After."""

    name: str
    urgency: Urgency
    work_ms: float
    target_ms: float
    deadline_ms: float
    teams: tuple[str, ...]
    patience: float = 1.0


class Model:
    """State of the servers of one service, its instances and its callers."""

    def __init__(self, servers, urgencies=(), seed=1):
        self.rng, self.order = Random(seed), count()
        self.now_ms, self.events = 0.0, []
        self.servers = [SimpleNamespace(running=0, queue=[]) for _ in range(servers)]
        self.capacity = servers * SLOTS
        self.admissions = [
            ServiceAdmission(urgencies, self.rng) if urgencies else None
            for _ in range(INSTANCES)
        ]
        self.records = [
            [ServerRecord(make_server(str(n), SLOTS), True, 0) for n in range(servers)]
            for _ in range(INSTANCES)
        ]
        self.outcomes = Counter()
        # (time, occupancy, mean level of the instances).
        self.series = []

    def at(self, at_ms, action, *arguments):
        heappush(self.events, (at_ms, next(self.order), action, arguments))

    def offer(self, kind, rate_per_s, start_ms, end_ms):
        """Let callers send requests, as a Poisson process."""
        at_ms = start_ms
        while (at_ms := at_ms + self.rng.expovariate(rate_per_s / 1000)) < end_ms:
            self.at(at_ms, self.call, kind, self.rng.choice(kind.teams), at_ms)

    def run(self, until_ms):
        for n in range(int(until_ms / SAMPLE_MS)):
            self.at(n * SAMPLE_MS, self.observe)
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heappop(self.events)
            action(*arguments)

    def observe(self):
        load = sum(s.running + len(s.queue) for s in self.servers) / self.capacity
        levels = [a.get_state(self.now_ms).level for a in self.admissions if a]
        self.series.append((self.now_ms, load, sum(levels) / INSTANCES))

    def call(self, kind, team, first_ms):
        instance = self.rng.randrange(INSTANCES)
        admission, ticket = self.admissions[instance], None
        if admission is not None:
            deadline_ms = first_ms + kind.deadline_ms + self.rng.uniform(0.0, 3.0)
            ticket = admission.count_request(
                kind.urgency, team, deadline_ms, self.now_ms
            )
        request = SimpleNamespace(
            kind=kind, team=team, first_ms=first_ms, received_ms=self.now_ms
        )
        self.at(self.now_ms + PROBE_MS, self.place, instance, ticket, request, False)

    def place(self, instance, ticket, request, is_widened):
        kind, now_ms = request.kind, self.now_ms
        admission, records = self.admissions[instance], self.records[instance]
        asked = min(CANDIDATES[is_widened], len(records))
        records = self.rng.sample(records, asked)
        for record in records:
            server = self.servers[int(record.server.server_id)]
            load = (server.running, len(server.queue), SLOTS)
            record_load(record, ServerLoad(*load, 1.0, now_ms))
            if admission is not None:
                admission.record_load(*load, now_ms)
        left_ms = request.first_ms + kind.deadline_ms - now_ms
        reserve = admission.get_reserve(ticket) if admission is not None else None
        waited_ms = now_ms - request.received_ms
        work = RequestProfile(
            kind.work_ms, kind.target_ms, waited_ms, left_ms, 0, False, reserve=reserve
        )
        chosen = choose_server(records, work, now_ms, self.rng)
        is_placed = isinstance(chosen, Placed)
        is_late = is_placed and misses_target(chosen, work)
        if admission is not None and not admission.is_admitted(ticket, is_late, now_ms):
            self.refuse(admission, ticket, request, left_ms, False)
        elif is_placed:
            if admission is not None:
                admission.count_admitted(ticket, now_ms)
            record_sent(chosen.record, now_ms)
            server = self.servers[int(chosen.record.server.server_id)]
            server.queue.append(request)
            self.start_next(server)
        elif isinstance(chosen, NotPlaced) and is_widened:
            self.refuse(admission, ticket, request, left_ms, True)
        else:
            wait_ms = WAIT_MS if is_widened else PROBE_MS
            self.at(now_ms + wait_ms, self.place, instance, ticket, request, True)

    def start_next(self, server):
        if server.queue and server.running < SLOTS:
            request = server.queue.pop(0)
            server.running += 1
            work_ms = request.kind.work_ms * self.rng.uniform(0.4, 1.6)
            self.at(self.now_ms + work_ms, self.end, server, request)

    def end(self, server, request):
        server.running -= 1
        took_ms, kind = self.now_ms - request.first_ms, request.kind
        outcome = "in time" if took_ms <= kind.target_ms else "late"
        self.outcomes[kind.name, outcome] += 1
        self.start_next(server)

    def refuse(self, admission, ticket, request, left_ms, is_admitted):
        """Refuse a request; its caller repeats it while there is time."""
        kind, retry_ms = request.kind, 100.0
        has_ranks = admission is not None and len(admission.urgencies) > 1
        if has_ranks or (admission is not None and not is_admitted):
            retry_ms = admission.get_retry_after_ms(
                ticket, left_ms, self.now_ms, is_admitted
            )
        retry_ms = min(retry_ms * self.rng.uniform(0.7, 1.3), left_ms / 3)
        retry_ms *= kind.patience
        if left_ms - retry_ms < kind.work_ms:
            self.outcomes[kind.name, "lost"] += 1
        else:
            again = (kind, request.team, request.first_ms)
            self.at(self.now_ms + retry_ms, self.call, *again)

    def share(self, name, *outcomes):
        """Return the share of a kind's requests with one of some outcomes."""
        found = {o: n for (name_, o), n in self.outcomes.items() if name_ == name}
        return sum(found.get(outcome, 0) for outcome in outcomes) / sum(found.values())

    def list_means(self, column, start_ms, end_ms, interval_ms=250):
        """Return the means of the occupancy (1) or level (2) by interval."""
        means = []
        for from_ms in range(start_ms, end_ms, interval_ms):
            rows = [r for r in self.series if 0 <= r[0] - from_ms < interval_ms]
            means.append(sum(row[column] for row in rows) / len(rows))
        return means
