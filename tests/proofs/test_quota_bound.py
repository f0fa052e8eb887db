"""Rule 4: no window has more requests of a team than its quota allows."""

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bench.quota_fleet import Fleet
from cuminhatch.decisions.configuration import Team

TEAMS = {
    "large": Team("large", None, 48.0, 48.0),
    "small": Team("small", None, 3.0, 3.0),
}
# Usual rate per second, and the instances that the callers are hashed onto.
USUAL = {"large": (30.0, 10), "small": (1.9, 4)}
SURGE_INSTANCES = 3
STEP_MS = 10.0
numbers = st.integers(0, 11)
durations = st.sampled_from((400.0, 1_300.0, 3_000.0))


class QuotaMachine(RuleBasedStateMachine):
    """Instances that join, restart, freeze and are partitioned under load."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet({"a": 4, "b": 4, "c": 4}, TEAMS, seed=1)
        self.instances = list(self.fleet.instances.values())
        self.callers = {
            team_id: self.instances[:count] for team_id, (_, count) in USUAL.items()
        }
        self.due = dict.fromkeys(USUAL, 0.0)
        self.surge = None
        self.fleet.run_until(6_000.0)

    def load(self, team_id, rate, instances, step_ms):
        """Send what is due of a team, a third of it repeated if refused."""
        self.due[team_id] += rate * step_ms / 1_000.0
        while self.due[team_id] >= 1.0:
            self.due[team_id] -= 1.0
            instance = self.fleet.rng.choice(instances)
            admission = self.fleet.request(instance, team_id)
            if (
                admission
                and not admission.is_admitted
                and self.fleet.rng.random() < 1 / 3
            ):
                self.fleet.request(instance, team_id)

    @rule(duration_ms=durations)
    def advance(self, duration_ms):
        end_ms = self.fleet.now_ms + duration_ms
        while self.fleet.now_ms < end_ms:
            self.fleet.run_until(self.fleet.now_ms + STEP_MS)
            for team_id, (rate, _) in USUAL.items():
                self.load(team_id, rate, self.callers[team_id], STEP_MS)
            if self.surge is not None:
                team_id, factor, few = self.surge
                self.load(team_id, USUAL[team_id][0] * (factor - 1.0), few, STEP_MS)

    @rule(
        team_id=st.sampled_from(sorted(TEAMS)), factor=st.integers(3, 8), first=numbers
    )
    def start_surge(self, team_id, factor, first):
        few = (self.instances * 2)[first : first + SURGE_INSTANCES]
        self.surge = (team_id, factor, few)
        self.advance(3_000.0)

    @rule()
    def end_surge(self):
        self.surge = None

    @rule(mask=st.integers(1, 2**12 - 1))
    def cut(self, mask):
        for number, instance in enumerate(self.instances):
            instance.group = mask >> number & 1
        self.advance(1_300.0)

    @rule()
    def cut_domains(self):
        for instance in self.instances:
            instance.group = ord(instance.failure_domain)
        self.advance(1_300.0)

    @precondition(lambda self: any(instance.group for instance in self.instances))
    @rule()
    def heal(self):
        for instance in self.instances:
            instance.group = 0

    @rule(number=numbers, duration_ms=durations)
    def freeze(self, number, duration_ms):
        self.fleet.freeze(self.instances[number], duration_ms)

    @rule(number=numbers)
    def restart(self, number):
        self.fleet.start(self.instances[number], knows_others=False)
        self.advance(400.0)
        self.fleet.introduce(self.instances[number])

    @rule()
    def restart_all(self):
        for instance in self.instances:
            self.fleet.start(instance, knows_others=False)
        self.advance(400.0)
        for instance in self.instances:
            self.fleet.introduce(instance)

    @rule()
    def restart_aggregators(self):
        for instance in self.instances:
            if instance.peer.is_aggregator:
                self.fleet.start(instance)
        self.advance(1_300.0)

    @rule(loss=st.sampled_from((0.0, 0.1, 0.3)))
    def lose_datagrams(self, loss):
        self.fleet.loss = loss

    @rule(number=numbers, team_id=st.sampled_from(sorted(TEAMS)))
    def refund(self, number, team_id):
        instance = self.instances[number]
        admission = self.fleet.request(instance, team_id)
        if admission is not None and admission.is_admitted:
            self.fleet.refund(instance, team_id)

    @invariant()
    def no_window_exceeds_the_bound(self):
        """Guards against requests beyond rule 4, whatever has failed."""
        for team_id in TEAMS:
            assert self.fleet.measure_excess(team_id) == 0.0, team_id


QuotaMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestQuotaBound = QuotaMachine.TestCase
