"""
Rule 7: in every second a cold server gets few requests from all instances.

Instances with the real decisions share servers that become cold at any moment.
They join, leave, restart, freeze and are cut off, and learn of each other as
by the catalog. All of them always have requests to send.
"""

from random import Random

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cuminhatch.decisions import warmup
from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.server_records import ServerRecord, record_sent
from cuminhatch.decisions.warmup import Senders, WarmupLimit

LIMIT = WarmupLimit(1.5, 8.0)
RATE_PER_S = 3.1
BOUND = RATE_PER_S * LIMIT.overshoot + LIMIT.slack
COUNT = warmup.count_senders(LIMIT, RATE_PER_S)
DOMAINS = ("north", "south", "west")
INSTANCES = 24
SEEDS = (0, 1)
SERVERS = ("i-1", "i-2")
STEP_MS = 50.0
NEWS_STEPS = 10
COLD_MS = 10_000.0
# Requests that wait for an instance that was frozen. A warm server gets one
# per step, somewhat more than the 18 a second that are usual at most.
WAITING = 5
PROOF = settings(
    max_examples=250,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
CATCH = settings(PROOF, max_examples=60, phases=[Phase.generate])


class Instance:
    """What one process knows."""

    def __init__(self, number, now_ms):
        self.number = number
        self.domain = DOMAINS[number % 3]
        self.members = {number}
        self.reported = 0
        self.senders = Senders(f"front-{number}", now_ms)
        self.records = {
            name: ServerRecord(make_server(name), False, now_ms) for name in SERVERS
        }
        # An answer on its way, by server: time asked, remaining warm-up.
        self.answers = {}
        self.update(now_ms)

    def update(self, now_ms):
        domains = {f"front-{n}": DOMAINS[n % 3] for n in self.members}
        is_seed_missing = not self.members.issuperset(SEEDS)
        self.senders.set_instances(domains, self.reported, is_seed_missing, now_ms)

    def receive_answers(self, now_ms):
        for name, (asked_ms, left_ms) in self.answers.items():
            warmup.record_warmup(self.records[name], left_ms, asked_ms, now_ms)
        self.answers = {}

    def may_send(self, name, now_ms):
        record = self.records[name]
        if not warmup.is_cold(record, now_ms):
            if warmup.has_fresh_answer(record, now_ms):
                return True
        return warmup.may_send_to_cold(record, self.senders, COUNT, now_ms)


def make_server(name):
    return BackendServer(name, "s", "", 0, DOMAINS[int(name[-1])], 4, 200)


class Fleet(RuleBasedStateMachine):
    """All instances, and the requests that cold servers have got."""

    def __init__(self):
        super().__init__()
        self.rng = Random(7)
        self.now_ms = 0.0
        self.steps = 0
        self.next_number = INSTANCES
        self.frozen, self.cut_off = set(), set()
        self.cold_until_ms = dict.fromkeys(SERVERS, 0.0)
        self.arrivals_ms = {name: [] for name in SERVERS}
        self.instances = {n: Instance(n, 0.0) for n in range(INSTANCES)}
        self.wait(8_000.0)

    @property
    def reachable(self):
        away = self.frozen | self.cut_off
        return [i for n, i in self.instances.items() if n not in away]

    def step(self):
        self.now_ms += STEP_MS
        self.steps += 1
        if self.steps % NEWS_STEPS == 0:
            self.tell_news()
        for name in SERVERS:
            # One request arrives at any instance, whatever it knows.
            taker = self.rng.choice(list(self.instances))
            for number, instance in self.instances.items():
                if number not in self.frozen:
                    self.try_send(instance, name, number == taker)
        for instance in self.instances.values():
            if instance.number not in self.frozen:
                instance.receive_answers(self.now_ms)
                self.ask(instance)

    def ask(self, instance):
        for name in SERVERS:
            left_ms = max(0.0, self.cold_until_ms[name] - self.now_ms)
            instance.answers[name] = self.now_ms, left_ms

    def try_send(self, instance, name, has_request=True):
        """Send a request; there is always one for a cold server."""
        record = instance.records[name]
        if not has_request and not warmup.is_cold(record, self.now_ms):
            return
        if instance.may_send(name, self.now_ms):
            record_sent(record, self.now_ms)
            if self.now_ms < self.cold_until_ms[name]:
                self.arrivals_ms[name].append(self.now_ms)
                self.check(name)

    def check(self, name):
        since_ms = self.now_ms - 1_000.0
        recent = [at_ms for at_ms in self.arrivals_ms[name] if at_ms > since_ms]
        self.arrivals_ms[name] = recent
        assert len(recent) <= BOUND, f"{len(recent)} requests at {name}"

    def tell_news(self):
        """Let a reader tell its count, as each instance does that starts."""
        reachable = self.reachable
        if not reachable:
            return
        reader = reachable[0]
        for instance in reachable:
            for seed in SEEDS:
                if seed in self.instances and self.instances[seed] in reachable:
                    self.instances[seed].members.add(instance.number)
        for instance in reachable:
            if instance.number in reader.members:
                count = len(reader.members)
                instance.reported = max(instance.reported, count)
                if len(instance.members) < instance.reported:
                    instance.members |= reader.members
                instance.members.add(reader.number)
            instance.update(self.now_ms)

    @rule(ms=st.sampled_from([100.0, 500.0, 1_000.0, 3_000.0]))
    def wait(self, ms):
        for _ in range(int(ms / STEP_MS)):
            self.step()

    @rule(name=st.sampled_from(SERVERS))
    def become_cold(self, name):
        if self.now_ms >= self.cold_until_ms[name]:
            self.arrivals_ms[name] = []
        self.cold_until_ms[name] = self.now_ms + COLD_MS
        self.wait(500.0)

    @rule(count=st.integers(1, INSTANCES))
    def restart(self, count):
        for number in list(self.instances)[:count]:
            self.frozen.discard(number)
            self.instances[number] = Instance(number, self.now_ms)

    @rule(count=st.integers(1, 3))
    def join(self, count):
        for _ in range(count):
            number = self.next_number
            self.next_number += 1
            self.instances[number] = Instance(number, self.now_ms)

    @precondition(lambda self: len(self.instances) > INSTANCES // 2)
    @rule(index=st.integers(0, INSTANCES))
    def leave(self, index):
        numbers = list(self.instances)
        number = numbers[index % len(numbers)]
        if number not in SEEDS:
            del self.instances[number]
            self.frozen.discard(number)
            self.cut_off.discard(number)

    @rule(count=st.integers(1, INSTANCES // 3))
    def freeze(self, count):
        self.frozen |= set(list(self.instances)[-count:])

    @rule(count=st.integers(1, INSTANCES // 3))
    def cut_off_some(self, count):
        self.cut_off = set(list(self.instances)[-count:])

    @rule()
    def reconnect(self):
        self.cut_off = set()

    @rule()
    def wake(self):
        """Let instances run on with answers and requests of before."""
        frozen, self.frozen = self.frozen, set()
        for number in frozen:
            instance = self.instances[number]
            instance.receive_answers(self.now_ms)
            for _ in range(WAITING):
                for name in SERVERS:
                    self.try_send(instance, name)


def test_cold_servers_get_few_requests():
    """Guards against cold servers that are overloaded by all instances."""
    run_state_machine_as_test(Fleet, settings=PROOF)


def play_cold(fleet):
    """Let a server become cold without any trouble."""
    fleet.become_cold("i-1")
    fleet.wait(3_000.0)


def play_freeze(fleet):
    """Let instances wake up after a server has become cold."""
    fleet.freeze(8)
    fleet.become_cold("i-1")
    fleet.wait(3_000.0)
    fleet.wake()


def play_restart(fleet):
    """Restart all instances while a server is cold."""
    fleet.become_cold("i-1")
    fleet.restart(INSTANCES)
    fleet.wait(3_000.0)


def play_partition(fleet):
    """Restart instances that are cut off, while a server is cold."""
    fleet.cut_off_some(8)
    fleet.restart(INSTANCES)
    fleet.wait(4_000.0)
    fleet.become_cold("i-1")
    fleet.wait(3_000.0)


def count_from_receipt(record, left_ms, asked_ms, now_ms, record_=warmup.record_warmup):
    """Take an answer for as old as its receipt."""
    record_(record, left_ms, now_ms, now_ms)


# By fault: a schedule, and the broken version of a name in the module.
BROKEN = {
    "no interval": (play_cold, "SEND_INTERVAL_MS", 0.0),
    "age of an answer from its receipt": (
        play_freeze,
        "record_warmup",
        count_from_receipt,
    ),
    "age of an answer ignored": (play_freeze, "ANSWER_MAX_AGE_MS", 1e9),
    "no wait after a start": (play_restart, "Senders.knows_all", lambda *_: True),
    "all are among the first": (play_cold, "Senders.is_sender", lambda *_: True),
}


def patch(monkeypatch, name, value):
    owner, _, attribute = f"warmup.{name}".rpartition(".")
    owner = warmup if owner == "warmup" else Senders
    monkeypatch.setattr(owner, attribute, value)


@pytest.mark.parametrize("fault", sorted(BROKEN))
def test_schedule_catches_only_the_broken_version(monkeypatch, fault):
    """Guards against a proof that misses faults that are rarely reached."""
    schedule, *broken = BROKEN[fault]
    schedule(Fleet())
    patch(monkeypatch, *broken)
    with pytest.raises(AssertionError, match="requests at"):
        schedule(Fleet())


def test_instances_that_restart_in_a_partition_stay_within_the_bound():
    """Guards against two groups that take themselves for all there are."""
    play_partition(Fleet())


def test_fault_is_caught_by_search(monkeypatch):
    """Guards against a state machine that passes any version."""
    monkeypatch.setattr(warmup, "SEND_INTERVAL_MS", 0.0)
    with pytest.raises(AssertionError, match="requests at"):
        run_state_machine_as_test(Fleet, settings=CATCH)
