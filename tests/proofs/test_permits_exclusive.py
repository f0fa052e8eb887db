"""
Proof by fuzzing: one permit is used by at most one instance at any moment.

Several instances run the real ``permits`` service over one table and one list
that lags. A frozen instance still uses its permits.
"""

import pytest
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cuminhatch.decisions.configuration import (
    BackendServer,
    Configuration,
    ServiceSpec,
)
from cuminhatch.decisions.membership import Member
from cuminhatch.decisions.permits import (
    HELD,
    LONG,
    PROBE,
    RELEASING,
    TAKING,
    UNHELD,
    PermitDecisions,
    PermitStep,
    begin_release,
    on_list_read,
    on_write_result,
)
from cuminhatch.decisions.platform import TableUnavailable
from cuminhatch.messages import (
    ConfigurationChanged,
    MembershipChanged,
    PermitGranted,
    PermitNeeded,
    PermitRefused,
    PermitRequested,
    PermitReturned,
    PermitWanted,
)
from tests.proofs.fleet import INDEX, INSTANCE, LIST_LAG_MS, Fleet

PROOF = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=60,
)
# A broken decision has to be caught, not explained, so nothing is shrunk.
CATCH = settings(PROOF, max_examples=500, phases=[Phase.generate])
CONFIGURATION = Configuration(
    1,
    {"s": ServiceSpec("s")},
    {"b": BackendServer("b", "s", "127.0.0.1", 1, "leith", 3, 200)},
    {},
)


class Exclusive(Fleet):
    """See the module; ``decisions`` is replaced to show a fault caught."""

    def __init__(self):
        self.uses = []
        self.needs = []
        self.tokens = 0
        super().__init__()

    def add_users(self, node):
        node.heard = node.record("user", (PermitGranted, PermitRefused))
        node.needs = node.record("peers", (PermitNeeded,))
        node.send("permits", ConfigurationChanged(CONFIGURATION))

    def end(self, instance, is_replaced):
        old = self.nodes[instance]
        self.uses = [use for use in self.uses if use[0] is not old]
        super().end(instance, is_replaced)

    # Users of permits

    @rule(
        instance=INSTANCE,
        kind=st.sampled_from([LONG, PROBE]),
        wait_ms=st.sampled_from([200, 5000, 30_000]),
    )
    def request(self, instance, kind, wait_ms):
        self.tokens += 1
        self.nodes[instance].send(
            "permits",
            PermitRequested("user", self.tokens, kind, ("b",), self.now_ms + wait_ms),
        )

    def running_uses(self):
        return [use for use in self.uses if use[0].is_running]

    @precondition(running_uses)
    @rule(index=INDEX)
    def give_back(self, index):
        uses = self.running_uses()
        node, permit = use = uses[index % len(uses)]
        self.uses.remove(use)
        node.send("permits", PermitReturned(permit))

    @precondition(lambda self: self.needs)
    @rule(index=INDEX)
    def ask_holder(self, index):
        asking, need = self.needs.pop(index % len(self.needs))
        wanted = PermitWanted(asking.instance_id, need.kind, need.server_id)
        for node in self.nodes:
            if node.instance_id == need.holder_id:
                node.send("permits", wanted)

    @rule(ms=st.sampled_from([60, 1000, 1000, 3000]))
    def advance(self, ms):
        self.now_ms += ms
        for node in self.nodes:
            node.advance(ms)

    @rule()
    def gossip(self):
        members = tuple(
            Member(node.instance_id, "", 0, node.incarnation, "live")
            for node in self.nodes
        )
        for node in self.nodes:
            node.send("permits", MembershipChanged(members))

    # Oracles

    @invariant()
    def one_user_per_permit(self):
        for node in self.nodes:
            for message in node.heard:
                if isinstance(message, PermitGranted):
                    self.uses.append((node, message.permit))
            self.needs += [(node, need) for need in node.needs]
            node.heard.clear()
            node.needs.clear()
        used = [permit for _, permit in self.uses]
        assert len(used) == len(set(used)), "two users of one permit"

    def teardown(self):
        self.platform.late, late = [], self.platform.late
        for message in late:
            self.platform.perform(message)
        self.end(0, is_replaced=True)
        self.name_new_instances()
        for node in self.nodes:
            node.list_age_ms, node.is_list_down = 0.0, False
            node.resume()
        self.gossip()
        self.settle(10)
        for kind in (LONG, PROBE):
            self.tokens += 1
            self.nodes[0].send(
                "permits",
                PermitRequested("user", self.tokens, kind, ("b",), self.now_ms + 1e6),
            )
        granted = self.settle(20)
        kinds = {permit.kind for node, permit in granted if node is self.nodes[0]}
        assert kinds == {LONG, PROBE}, "a permit was lost"
        self.close()

    def settle(self, steps):
        """Let time pass without faults; every permit is given back at once."""
        granted = []
        for _ in range(steps):
            while self.platform.asked:
                self.platform.done(0)
            self.one_user_per_permit()
            granted += self.uses
            while self.uses:
                self.give_back(0)
            self.advance(1000)
        return granted


def machine_for(**broken):
    decisions = PermitDecisions()._replace(**broken)
    return type("ExclusiveRun", (Exclusive,), {"decisions": decisions})


def one_absence_frees(view, listed_ids, asked_ms, now_ms, list_lag_ms):
    return on_list_read(
        on_list_read(view, listed_ids, asked_ms, now_ms, 0.0),
        listed_ids,
        asked_ms,
        now_ms,
        0.0,
    )


def taken_unlisted(view, me, incarnations, is_listed):
    return PermitDecisions().may_take(view, me, incarnations, True)


def any_holder_is_replaced(view, me, incarnations, is_listed):
    return view.phase == UNHELD and is_listed


def used_after_release(view):
    step = begin_release(view)
    return step._replace(view=view) if step.write else step


def on_lost(phase, new_view):
    """Make a decision that takes a lost reply of one phase for its end."""

    def broken(view, result, me, now_ms):
        is_lost = isinstance(result, TableUnavailable) and result.is_maybe_applied
        if view.phase == phase and is_lost:
            return PermitStep(new_view(view))
        return on_write_result(view, result, me, now_ms)

    return broken


# What is broken, and the oracle that is to notice it.
BROKEN = {
    "taken from a living holder": ("two users", {"may_take": any_holder_is_replaced}),
    "used after a release was sent": (
        "two users",
        {"begin_release": used_after_release},
    ),
    "lost take means held": (
        "two users",
        {"on_write_result": on_lost(TAKING, lambda v: v._replace(phase=HELD))},
    ),
    "absence frees nothing": (
        "a permit was lost",
        {"on_list_read": lambda view, *_: view},
    ),
}


def step(machine):
    machine.calm()
    machine.one_user_per_permit()


def stale_list(machine):
    """A list that lags does not name a new holder yet."""
    machine.disturb_list(1, LIST_LAG_MS, False)
    machine.advance(3000)
    machine.disturb(0, "replace", True)
    machine.advance(1000)
    machine.request(0, LONG, 5000)
    step(machine)
    machine.request(1, LONG, 30_000)
    for _ in range(20):
        step(machine)
        machine.advance(60)
    for _ in range(8):
        step(machine)
        machine.advance(1000)


def unlisted_holder(machine):
    """An instance asks for a permit long before the list names it."""
    machine.disturb(0, "replace", False)
    machine.request(0, LONG, 30_000)
    step(machine)
    machine.request(1, LONG, 30_000)
    for _ in range(12):
        step(machine)
        machine.advance(1000)


def lost_release(machine, fate, instances):
    """An idle permit is released and the reply is lost."""
    machine.request(1, LONG, 5000)
    step(machine)
    machine.give_back(0)
    machine.advance(1000)
    machine.decide(0, fate)
    for instance in instances:
        machine.request(instance, LONG, 5000)
        step(machine)


# Faults that random search has not reached in 500 runs: a schedule of the
# machine's rules leads to each.
SCHEDULED = {
    "freed by one list reading": (
        "two users",
        {"on_list_read": one_absence_frees},
        stale_list,
    ),
    "taken before being listed": (
        "two users",
        {"may_take": taken_unlisted},
        unlisted_holder,
    ),
    "used after a release was lost": (
        "two users",
        {"on_write_result": on_lost(RELEASING, lambda v: v._replace(phase=HELD))},
        lambda machine: lost_release(machine, "reply_lost", [0, 1]),
    ),
    "lost release is not settled": (
        "a permit was lost",
        {"on_write_result": on_lost(RELEASING, lambda v: v._replace(phase=UNHELD))},
        lambda machine: lost_release(machine, "lost", [0]),
    ),
}


def run_schedule(machine, schedule):
    schedule(machine)
    machine.teardown()


@pytest.mark.parametrize("fault", sorted(SCHEDULED))
def test_schedule_catches_only_the_broken_decision(fault):
    """Guards against a proof blind to faults that random search misses."""
    noticed, broken, schedule = SCHEDULED[fault]
    run_schedule(machine_for()(), schedule)
    with pytest.raises(AssertionError, match=noticed):
        run_schedule(machine_for(**broken)(), schedule)


def test_one_user_per_permit():
    """Guards against work above its bound, and against lost permits."""
    run_state_machine_as_test(machine_for(), settings=PROOF)


@pytest.mark.parametrize("fault", sorted(BROKEN))
def test_broken_decision_is_caught(fault):
    """Guards against a proof that would pass whatever the decisions do."""
    noticed, broken = BROKEN[fault]
    with pytest.raises(AssertionError, match=noticed):
        run_state_machine_as_test(machine_for(**broken), settings=CATCH)


def test_permit_costs_two_writes_and_no_read():
    """Guards against table traffic beyond one take and one release."""
    machine = machine_for()()
    machine.request(0, LONG, 200)
    machine.platform.done(0)
    machine.one_user_per_permit()
    machine.give_back(0)
    machine.advance(1000)
    machine.platform.done(0)
    table = machine.platform.table
    assert (table.writes, table.reads) == (2, 0)
    machine.close()
