"""
Fuzzing proof: at most one instance uses a permit at any time.

Several instances run the real ``permits`` service over one table and one
lagging instance list. A frozen instance still uses its permits.
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
    ACQUIRING,
    HELD,
    LONG,
    PROBE,
    RELEASING,
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
    PermitRefused,
    PermitReleaseRequested,
    PermitRequested,
    PermitReturned,
    RemotePermitNeeded,
)
from tests.proofs.fleet import INDEX, INSTANCE, LIST_LAG_MS, Fleet

PROOF = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=60,
)
# A broken decision only has to be caught, so its example is not shrunk.
CATCH = settings(PROOF, max_examples=500, phases=[Phase.generate])
CONFIGURATION = Configuration(
    1,
    {"s": ServiceSpec("s")},
    {"b": BackendServer("b", "s", "127.0.0.1", 1, "leith", 3, 200)},
    {},
)


class Exclusive(Fleet):
    """Runs the proof; broken versions replace ``decisions``."""

    def __init__(self):
        self.uses = []
        self.permit_needs = []
        self.last_token = 0
        super().__init__()

    def add_users(self, node):
        node.received = node.record("user", (PermitGranted, PermitRefused))
        node.permit_needs = node.record("peers", (RemotePermitNeeded,))
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
        self.last_token += 1
        self.nodes[instance].send(
            "permits",
            PermitRequested(
                "user", self.last_token, kind, ("b",), self.now_ms + wait_ms
            ),
        )

    def list_running_uses(self):
        return [use for use in self.uses if use[0].is_running]

    @precondition(list_running_uses)
    @rule(index=INDEX)
    def give_back(self, index):
        uses = self.list_running_uses()
        node, permit = use = uses[index % len(uses)]
        self.uses.remove(use)
        node.send("permits", PermitReturned(permit))

    @precondition(lambda self: self.permit_needs)
    @rule(index=INDEX)
    def ask_holder(self, index):
        requester, need = self.permit_needs.pop(index % len(self.permit_needs))
        message = PermitReleaseRequested(
            requester.instance_id, need.kind, need.server_id
        )
        for node in self.nodes:
            if node.instance_id == need.holder_id:
                node.send("permits", message)

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

    # Checks

    @invariant()
    def one_user_per_permit(self):
        for node in self.nodes:
            for message in node.received:
                if isinstance(message, PermitGranted):
                    self.uses.append((node, message.permit))
            self.permit_needs += [(node, need) for need in node.permit_needs]
            node.received.clear()
            node.permit_needs.clear()
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
            self.last_token += 1
            self.nodes[0].send(
                "permits",
                PermitRequested(
                    "user", self.last_token, kind, ("b",), self.now_ms + 1e6
                ),
            )
        granted = self.settle(20)
        kinds = {permit.kind for node, permit in granted if node is self.nodes[0]}
        assert kinds == {LONG, PROBE}, "a permit was lost"
        self.close()

    def settle(self, steps):
        """Advance time without faults; every permit is returned at once."""
        granted = []
        for _ in range(steps):
            while self.platform.pending_requests:
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


def free_after_one_list_read(view, listed_ids, asked_ms, now_ms, list_lag_ms):
    return on_list_read(
        on_list_read(view, listed_ids, asked_ms, now_ms, 0.0),
        listed_ids,
        asked_ms,
        now_ms,
        0.0,
    )


def take_while_unlisted(view, me, incarnations, is_listed):
    return PermitDecisions().may_acquire(view, me, incarnations, True)


def take_from_any_holder(view, me, incarnations, is_listed):
    return view.phase == UNHELD and is_listed


def keep_using_while_releasing(view):
    step = begin_release(view)
    return step._replace(view=view) if step.write else step


def make_on_write_result(phase, new_view):
    """Return a decision that ends a phase when the write's reply is lost."""

    def end_phase_on_lost_reply(view, result, me, now_ms):
        is_lost = isinstance(result, TableUnavailable) and result.may_be_applied
        if view.phase == phase and is_lost:
            return PermitStep(new_view(view))
        return on_write_result(view, result, me, now_ms)

    return end_phase_on_lost_reply


# By fault: the message of the check that must catch it, and the replaced
# decisions.
BROKEN = {
    "taken from a living holder": ("two users", {"may_acquire": take_from_any_holder}),
    "used after a release was sent": (
        "two users",
        {"begin_release": keep_using_while_releasing},
    ),
    "lost take means held": (
        "two users",
        {
            "on_write_result": make_on_write_result(
                ACQUIRING, lambda v: v._replace(phase=HELD)
            )
        },
    ),
    "absence frees nothing": (
        "a permit was lost",
        {"on_list_read": lambda view, *_: view},
    ),
}


def complete_requests(machine):
    machine.calm()
    machine.one_user_per_permit()


def play_stale_list(machine):
    """Play a lagging list that does not name a new holder yet."""
    machine.disturb_list(1, LIST_LAG_MS, False)
    machine.advance(3000)
    machine.disturb(0, "replace", True)
    machine.advance(1000)
    machine.request(0, LONG, 5000)
    complete_requests(machine)
    machine.request(1, LONG, 30_000)
    for _ in range(20):
        complete_requests(machine)
        machine.advance(60)
    for _ in range(8):
        complete_requests(machine)
        machine.advance(1000)


def play_unlisted_holder(machine):
    """Play an instance that requests a permit before the list names it."""
    machine.disturb(0, "replace", False)
    machine.request(0, LONG, 30_000)
    complete_requests(machine)
    machine.request(1, LONG, 30_000)
    for _ in range(12):
        complete_requests(machine)
        machine.advance(1000)


def play_lost_release(machine, outcome, instances):
    """Play the release of an idle permit whose reply is lost."""
    machine.request(1, LONG, 5000)
    complete_requests(machine)
    machine.give_back(0)
    machine.advance(1000)
    machine.decide(0, outcome)
    for instance in instances:
        machine.request(instance, LONG, 5000)
        complete_requests(machine)


# Faults that random search has not reached in 500 runs. A fixed schedule of
# the machine's rules leads to each.
SCHEDULED = {
    "freed by one list read": (
        "two users",
        {"on_list_read": free_after_one_list_read},
        play_stale_list,
    ),
    "taken before being listed": (
        "two users",
        {"may_acquire": take_while_unlisted},
        play_unlisted_holder,
    ),
    "used after a release was lost": (
        "two users",
        {
            "on_write_result": make_on_write_result(
                RELEASING, lambda v: v._replace(phase=HELD)
            )
        },
        lambda machine: play_lost_release(machine, "reply_lost", [0, 1]),
    ),
    "lost release is not settled": (
        "a permit was lost",
        {
            "on_write_result": make_on_write_result(
                RELEASING, lambda v: v._replace(phase=UNHELD)
            )
        },
        lambda machine: play_lost_release(machine, "lost", [0]),
    ),
}


def run_schedule(machine, schedule):
    schedule(machine)
    machine.teardown()


@pytest.mark.parametrize("fault", sorted(SCHEDULED))
def test_schedule_catches_only_the_broken_decision(fault):
    """Guards against a proof that misses faults random search cannot reach."""
    expected, broken, schedule = SCHEDULED[fault]
    run_schedule(machine_for()(), schedule)
    with pytest.raises(AssertionError, match=expected):
        run_schedule(machine_for(**broken)(), schedule)


def test_one_user_per_permit():
    """Guards against two users of one permit, and against lost permits."""
    run_state_machine_as_test(machine_for(), settings=PROOF)


@pytest.mark.parametrize("fault", sorted(BROKEN))
def test_broken_decision_is_caught(fault):
    """Guards against a proof that passes any decisions."""
    expected, broken = BROKEN[fault]
    with pytest.raises(AssertionError, match=expected):
        run_state_machine_as_test(machine_for(**broken), settings=CATCH)


def test_permit_costs_two_writes_and_no_read():
    """Guards against more table requests than one take and one release."""
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
