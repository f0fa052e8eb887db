"""
Proof by fuzzing: each key runs at most once, and ``not-run`` is true.

Several instances run the real ``claims`` service over one table. The machine
decides the fate of every request to the platform, plays ``dispatch`` and the
backend server, and freezes, ends and restarts instances.
"""

import pytest
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cuminhatch.codecs.claim_json import decode_claim_row
from cuminhatch.decisions.idempotency import (
    CLAIMED,
    CLAIMING,
    ENDED,
    KEPT_BODY_BYTES,
    SETTLING,
    VOIDING,
    WAITING,
    ClaimDecisions,
    ClaimRowFound,
    ClaimRowWritten,
    Grant,
    ReadRow,
    Refuse,
    ReportVoid,
    Step,
    StoredAnswer,
    WriteRow,
    begin_claim,
    on_object_fetched,
    on_read_result,
    on_transact_result,
)
from cuminhatch.decisions.platform import (
    TableUnavailable,
)
from cuminhatch.messages import (
    ClaimAbandoned,
    ClaimAnswered,
    ClaimGranted,
    ClaimLeftOpen,
    ClaimRefused,
    ClaimRequested,
    ClaimVoided,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services import Claims
from tests.proofs.fakes_table import Node, Platform

PROOF = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
)
# A broken decision has to be caught, not explained, so nothing is shrunk.
CATCH = settings(PROOF, max_examples=500, phases=[Phase.generate])
INSTANCES = 3
FATES = ["done"] * 4 + ["reply_lost", "unsent", "lost", "delayed"]
INDEX = st.integers(0, 50)
INSTANCE = st.integers(0, INSTANCES - 1)


class Request:
    """One request of a caller, and all it was ever told."""

    def __init__(self, node, message):
        self.node = node
        self.message = message
        self.words = []
        self.answers = []
        self.has_run = False


class AtMostOnce(RuleBasedStateMachine):
    """See the module; ``decisions`` is replaced to show a fault caught."""

    decisions = ClaimDecisions()

    def __init__(self):
        super().__init__()
        self.platform = Platform()
        self.requests = []
        self.grants = []
        self.runs = {}
        self.open_ids = set()
        self.nodes = [self.start(f"i{n}", 1) for n in range(INSTANCES)]
        self.ended = []

    def start(self, instance_id, incarnation):
        node = Node(instance_id, incarnation, self.platform)
        node.kernel.register(
            Claims(node.kernel, instance_id, incarnation, self.decisions)
        )
        node.heard = node.record("dispatch", (ClaimGranted, ClaimRefused, ClaimVoided))
        return node

    # Callers

    @rule(
        instance=INSTANCE,
        key=st.sampled_from("aab"),
        digest=st.sampled_from(["pay", "pay", "pay", "other"]),
        wait_ms=st.sampled_from([100, 100, 1000, 20_000]),
    )
    def request(self, instance, key, digest, wait_ms):
        node = self.nodes[instance]
        deadline_ms = node.clock.now_ms + wait_ms
        message = ClaimRequested(len(self.requests), "s", key, digest, deadline_ms)
        self.requests.append(Request(node, message))
        node.send("claims", message)

    # The platform

    def has_asked(self):
        return self.platform.asked

    @precondition(has_asked)
    @rule(index=INDEX, fate=st.sampled_from(FATES))
    def decide(self, index, fate):
        getattr(self.platform, fate)(index)

    @precondition(lambda self: self.platform.asked)
    @rule()
    def calm(self):
        for _ in range(len(self.platform.asked)):
            self.platform.done(0)

    @precondition(lambda self: self.platform.late)
    @rule(index=INDEX)
    def arrive_late(self, index):
        self.platform.arrive_late(index)

    # Dispatch and the backend server

    def running_grants(self):
        return [grant for grant in self.grants if grant[0].is_running]

    def take_grant(self, index):
        grants = self.running_grants()
        grant = grants[index % len(grants)]
        self.grants.remove(grant)
        return grant

    @precondition(running_grants)
    @rule(
        index=INDEX,
        size=st.sampled_from([10, 20_000, 20_000, KEPT_BODY_BYTES + 1]),
        end=st.sampled_from(["answered", "answered", "silent", "dies"]),
    )
    def run_request(self, index, size, end):
        node, message = self.take_grant(index)
        request = self.requests[message.request_id]
        request.has_run = True
        runs = self.runs.setdefault(request.message.key, [])
        body = b"%d" % len(runs) + bytes(size)
        answer = StoredAnswer(200, ((b"run", b"%d" % message.request_id),), body)
        runs.append((request.message.digest, answer))
        if end == "dies":
            node.is_alive = False
        elif end == "silent":
            request.words.append(Outcome.UNKNOWN)
            node.send("claims", ClaimLeftOpen(message.claim_id))
        else:
            request.words.append(Outcome.RAN)
            node.send("claims", ClaimAnswered(message.claim_id, answer))

    @precondition(running_grants)
    @rule(index=INDEX)
    def abandon(self, index):
        node, message = self.take_grant(index)
        self.open_ids.discard(message.claim_id)
        node.send("claims", ClaimAbandoned(message.claim_id))

    # Instances and time

    @rule(ms=st.sampled_from([10, 60, 500, 5000]))
    def advance(self, ms):
        for node in self.nodes:
            node.advance(ms)

    @rule(instance=INSTANCE, fault=st.sampled_from(["freeze", "resume", "restart"]))
    def disturb(self, instance, fault):
        node = self.nodes[instance]
        if fault == "resume":
            node.resume()
        elif fault == "freeze":
            node.is_frozen = True
        else:
            node.is_alive = False
            self.ended.append(node)
            new = self.start(node.instance_id, node.incarnation + 1)
            new.advance(node.clock.now_ms)
            self.nodes[instance] = new

    # Oracles

    @invariant()
    def words_are_true(self):
        for node in self.nodes:
            for message in node.heard:
                self.hear(node, message)
            node.heard.clear()
        for key, runs in self.runs.items():
            assert len(runs) <= 1, f"{key} ran {len(runs)} times"
        for request in self.requests:
            if Outcome.NOT_RUN in request.words:
                assert not request.has_run, "told not-run, but ran"
            assert len(request.words) <= 1, f"told {request.words}"
            for answer in request.answers:
                run = (request.message.digest, answer)
                assert run in self.runs.get(request.message.key, []), "wrong answer"

    def hear(self, node, message):
        if isinstance(message, ClaimGranted):
            deadline_ms = self.requests[message.request_id].message.deadline_ms
            assert node.clock.now_ms < deadline_ms, "granted past the deadline"
            self.grants.append((node, message))
            self.open_ids.add(message.claim_id)
            return
        request = self.requests[message.request_id]
        if isinstance(message, ClaimVoided):
            is_confirmed = message.is_confirmed
            request.words.append(Outcome.NOT_RUN if is_confirmed else Outcome.UNKNOWN)
            return
        request.words.append(message.outcome)
        if message.answer is not None:
            request.answers.append(message.answer)

    def teardown(self):
        for node in self.nodes:
            node.resume()
        while self.platform.late:
            self.platform.arrive_late(0)
        for _ in range(30):
            self.words_are_true()
            while self.running_grants():
                self.run_request(0, 10, "answered")
            while self.platform.asked:
                self.platform.done(0)
            self.words_are_true()
            self.advance(5000)
        self.words_are_true()
        for request in self.requests:
            if request.node.is_alive:
                assert len(request.words) == 1, "no final word"
        living = {f"{n.instance_id}.{n.incarnation}" for n in self.nodes if n.is_alive}
        for row in self.platform.table.scan("", "", len(self.requests)):
            claim = decode_claim_row(row.value)
            if claim.state == CLAIMED and claim.claim_id not in self.open_ids:
                assert claim.claim_id.rpartition(".")[0] not in living, "not voided"
        for node in [*self.nodes, *self.ended]:
            node.close()


def machine_for(**broken):
    decisions = ClaimDecisions()._replace(**broken)
    return type("AtMostOnceRun", (AtMostOnce,), {"decisions": decisions})


def is_lost(result):
    return isinstance(result, TableUnavailable) and result.is_maybe_applied


def give_up_by_read(claim, result, now_ms):
    if claim.phase == CLAIMING and is_lost(result):
        return Step(claim._replace(phase=WAITING), (ReadRow(0),))
    return on_transact_result(claim, result, now_ms)


def absent_means_not_run(claim, result, now_ms):
    if isinstance(result, ClaimRowFound) and result.row is None:
        refusal = Refuse(Outcome.NOT_RUN, 503, "store-outage")
        return Step(claim._replace(phase="ended", is_told=True), (refusal,))
    return on_read_result(claim, result, now_ms)


def claim_expires(claim, result, now_ms):
    if isinstance(result, ClaimRowFound) and result.row and claim.tries >= 2:
        if result.row.state == CLAIMED:
            row = result.row._replace(claim_id=claim.claim_id)
            claim = claim._replace(phase=CLAIMING, version=result.version)
            return Step(claim, (WriteRow(result.version, row),))
    return on_read_result(claim, result, now_ms)


def lost_means_not_run(claim, result, now_ms):
    if claim.phase == CLAIMING and is_lost(result):
        result = TableUnavailable("lost", False)
    return on_transact_result(claim, result, now_ms)


def lost_means_granted(claim, result, now_ms):
    if claim.phase == CLAIMING and is_lost(result):
        result = ClaimRowWritten(claim.version + 1)
    return on_transact_result(claim, result, now_ms)


def grant_past_deadline(claim, result, now_ms):
    if claim.phase == CLAIMING and isinstance(result, ClaimRowWritten):
        held = claim._replace(phase="held", version=result.version, is_granted=True)
        return Step(held, (Grant(),))
    return on_transact_result(claim, result, now_ms)


def void_is_not_retried(claim, result, now_ms):
    if claim.phase not in (CLAIMING, VOIDING) and is_lost(result):
        return Step(claim._replace(phase="ended"))
    return on_transact_result(claim, result, now_ms)


def not_run_before_void_wins(claim, result, now_ms):
    step = on_transact_result(claim, result, now_ms)
    if claim.phase == CLAIMING and step.claim.phase == SETTLING:
        refusal = Refuse(Outcome.NOT_RUN, 503, "store-outage")
        return step._replace(actions=(*step.actions, refusal))
    return step


def void_without_write(claim):
    ended = claim._replace(phase=ENDED, is_told=True)
    return Step(ended, (ReportVoid(True),))


def claim_id_not_unique(claim_id, digest, deadline_ms, now_ms):
    return begin_claim(claim_id.rpartition(".")[2], digest, deadline_ms, now_ms)


def body_cut_short(claim, result):
    step = on_object_fetched(claim, result)
    actions = tuple(
        action._replace(answer=action.answer._replace(body=action.answer.body[:9]))
        if isinstance(action, Refuse) and action.answer is not None
        else action
        for action in step.actions
    )
    return step._replace(actions=actions)


# What is broken, and the oracle that is to notice it.
BROKEN = {
    "give up by read": (
        "told|not voided",
        {
            "on_transact_result": give_up_by_read,
            "on_read_result": absent_means_not_run,
        },
    ),
    "claim with expiry": (r"ran \d times", {"on_read_result": claim_expires}),
    "lost reply means not run": (
        "not voided",
        {"on_transact_result": lost_means_not_run},
    ),
    "lost reply means granted": (
        r"ran \d times",
        {"on_transact_result": lost_means_granted},
    ),
    "grant past the deadline": (
        "granted past the deadline",
        {"on_transact_result": grant_past_deadline},
    ),
    "void without reply is not retried": (
        "no final word|not voided",
        {"on_transact_result": void_is_not_retried},
    ),
    "not-run before the void has won": (
        "told",
        {"on_transact_result": not_run_before_void_wins},
    ),
    "void without a write": ("not voided", {"give_up": void_without_write}),
    "claim ids are not unique": (
        r"ran \d times|no final word",
        {"begin_claim": claim_id_not_unique},
    ),
    "stored answer cut short": (
        "wrong answer",
        {"on_object_fetched": body_cut_short},
    ),
}


def test_each_key_runs_at_most_once():
    """Guards against second runs and false ``not-run`` under all faults."""
    run_state_machine_as_test(machine_for(), settings=PROOF)


@pytest.mark.parametrize("fault", sorted(BROKEN))
def test_broken_decision_is_caught(fault):
    """Guards against a proof that would pass whatever the decisions do."""
    noticed, broken = BROKEN[fault]
    with pytest.raises(AssertionError, match=noticed):
        run_state_machine_as_test(machine_for(**broken), settings=CATCH)


def test_keyed_request_costs_two_writes_and_no_read():
    """Guards against table traffic beyond the bound of design section 5.1."""
    platform = Platform()
    node = Node("i0", 1, platform)
    node.kernel.register(Claims(node.kernel, "i0", 1))
    heard = node.record("dispatch", (ClaimGranted, ClaimRefused, ClaimVoided))
    for number in range(100):
        node.send("claims", ClaimRequested(number, "s", f"k{number}", "d", 1000.0))
        platform.done(0)
        answer = StoredAnswer(200, (), b"done")
        node.send("claims", ClaimAnswered(heard[-1].claim_id, answer))
        platform.done(0)
    assert (platform.table.writes, platform.table.reads) == (200, 0)
    node.close()
