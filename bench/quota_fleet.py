"""
Instances that enforce quotas, in one process, on a manual clock.

The instances run the decisions of the daemon; the links between them delay,
lose and cut messages, and callers send requests at random times.
"""

from bisect import bisect_right, insort
from collections import defaultdict
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, NamedTuple

from cuminhatch.decisions.configuration import Team
from cuminhatch.decisions.quota import (
    INTERVAL_MS,
    Admission,
    Outgoing,
    QuotaLimits,
    QuotaMessage,
    QuotaPeer,
    get_bound,
)

LIMITS = QuotaLimits(5_000.0, 0.1, 20.0)
LATENCY_MS = 0.9
# Wake-up of a process on a shared core.
JITTER_MS = 8.0


class Instance:
    """One instance; it has no peer while it is down."""

    def __init__(self, instance_id: str, failure_domain: str) -> None:
        """
        Start down.

        :param instance_id: id of the instance.
        :param failure_domain: its failure domain.
        """
        self.instance_id = instance_id
        self.failure_domain = failure_domain
        self.peer: QuotaPeer | None = None
        self.frozen_until_ms = 0.0
        # Messages that arrived while it was frozen.
        self.backlog: list[QuotaMessage] = []
        self.group = 0
        self.generation = 0


class Event(NamedTuple):
    """Something that happens at a time; the token breaks ties."""

    at_ms: float
    token: int
    kind: str
    subject: Any
    value: Any


class Fleet:
    """All instances, their links and what they have admitted."""

    def __init__(
        self, domains: dict[str, int], teams: dict[str, Team], seed: int
    ) -> None:
        """
        Start with all instances up and known to each other.

        :param domains: number of instances by failure domain.
        :param teams: teams by id.
        :param seed: seed of all random numbers.
        """
        self.rng = Random(seed)
        self.teams = teams
        self.now_ms = 0.0
        self.loss = 0.0
        self.instances = {
            f"{domain}-{number}": Instance(f"{domain}-{number}", domain)
            for domain, size in domains.items()
            for number in range(size)
        }
        self.messages: dict[str, list[Outgoing]] = defaultdict(list)
        # Times of admissions and of refusals by team.
        self.admitted: dict[str, list[float]] = defaultdict(list)
        self.refused: dict[str, list[float]] = defaultdict(list)
        self._queue: list[Event] = []
        self._tokens = count()
        for instance in self.instances.values():
            self.start(instance)

    def start(self, instance: Instance, knows_others: bool = True) -> None:
        """
        Start an instance, or restart it.

        :param instance: the instance.
        :param knows_others: whether it knows the others at once.
        """
        instance.generation += 1
        instance.backlog.clear()
        instance.frozen_until_ms = 0.0
        instance.peer = QuotaPeer(
            instance.instance_id,
            instance.failure_domain,
            LIMITS,
            len(self.instances) > 1,
            self.rng,
            self.now_ms,
        )
        instance.peer.teams = self.teams
        if knows_others:
            self.introduce(instance)
        phase_ms = self.rng.random() * INTERVAL_MS
        self._add(self.now_ms + phase_ms, "tick", instance, instance.generation)

    def introduce(self, instance: Instance) -> None:
        """
        Tell an instance of all others.

        :param instance: the instance.
        """
        instance.peer.set_members(
            {
                other.instance_id: other.failure_domain
                for other in self.instances.values()
                if other is not instance
            }
        )

    def stop(self, instance: Instance) -> None:
        """
        End an instance at once.

        :param instance: the instance.
        """
        instance.peer = None
        instance.generation += 1

    def freeze(self, instance: Instance, duration_ms: float) -> None:
        """
        Stop an instance for a while; its messages wait meanwhile.

        :param instance: the instance.
        :param duration_ms: how long it is frozen.
        """
        instance.frozen_until_ms = self.now_ms + duration_ms

    def request(self, instance: Instance, team_id: str) -> Admission | None:
        """
        Let a caller send a request to an instance.

        :param instance: the instance.
        :param team_id: team of the caller.
        :returns: None if the instance is down, or responds when it resumes.
        """
        if instance.peer is None:
            return None
        if instance.frozen_until_ms > self.now_ms:
            self._add(instance.frozen_until_ms, "request", instance, team_id)
            return None
        team = self.teams[team_id]
        admission = instance.peer.local.admit(team, self.now_ms)
        times = self.admitted if admission.is_admitted else self.refused
        insort(times[team_id], self.now_ms)
        self._send(instance, instance.peer.report_early(self.now_ms))
        return admission

    def refund(self, instance: Instance, team_id: str) -> None:
        """
        End the request admitted last as not run.

        :param instance: the instance.
        :param team_id: team of the caller.
        """
        instance.peer.local.refund(team_id, self.now_ms)
        self.admitted[team_id].pop()

    def run_until(self, until_ms: float) -> None:
        """
        Deliver messages and run timers.

        :param until_ms: time to stop at.
        """
        while self._queue and self._queue[0].at_ms <= until_ms:
            event = heappop(self._queue)
            self.now_ms = max(self.now_ms, event.at_ms)
            handle = {
                "tick": self._tick,
                "message": self._deliver,
                "request": self.request,
            }[event.kind]
            handle(event.subject, event.value)
        self.now_ms = until_ms

    def measure_excess(self, team_id: str) -> float:
        """
        Return by how much a window exceeds the bound at most, at least 0.

        :param team_id: id of the team.
        """
        times = self.admitted[team_id]
        bound = get_bound(self.teams[team_id], LIMITS)
        most = 0
        for index, end_ms in enumerate(times):
            first = bisect_right(times, end_ms - LIMITS.window_ms)
            most = max(most, index - first + 1)
        return max(0.0, most - bound)

    def _add(self, at_ms: float, kind: str, subject: Any, value: Any) -> None:
        heappush(self._queue, Event(at_ms, next(self._tokens), kind, subject, value))

    def _tick(self, instance: Instance, generation: int) -> None:
        if instance.generation != generation:
            return
        if instance.frozen_until_ms > self.now_ms:
            self._add(instance.frozen_until_ms, "tick", instance, generation)
            return
        self._receive_backlog(instance)
        self._send(instance, instance.peer.tick(self.now_ms))
        instance.peer.take_events()
        at_ms = self.now_ms + INTERVAL_MS + self.rng.random() * JITTER_MS
        self._add(at_ms, "tick", instance, generation)

    def _deliver(self, instance: Instance, message: QuotaMessage) -> None:
        if instance.peer is None:
            return
        if instance.frozen_until_ms > self.now_ms:
            instance.backlog.append(message)
            return
        self._receive_backlog(instance)
        self._send(instance, instance.peer.receive(message, self.now_ms))

    def _receive_backlog(self, instance: Instance) -> None:
        backlog, instance.backlog = instance.backlog, []
        for message in backlog:
            self._send(instance, instance.peer.receive(message, self.now_ms))

    def _send(self, sender: Instance, outgoing: list[Outgoing]) -> None:
        for item in outgoing:
            self.messages[sender.instance_id].append(item)
            for id_ in item.instance_ids:
                receiver = self.instances[id_]
                is_lost = self.rng.random() < self.loss
                if receiver.group != sender.group or is_lost:
                    continue
                delay_ms = LATENCY_MS + self.rng.random() * JITTER_MS
                self._add(self.now_ms + delay_ms, "message", receiver, item.message)
