"""
Fuzzing proof: each key runs at most once, and ``not-run`` is true.

Several instances run the real ``claims`` service over one table. The state
machine decides the outcome of every request to the platform, acts as
``dispatch`` and the backend server, and freezes, ends and restarts instances.
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
from cuminhatch.decisions.claims import (
    CLAIMED,
    CLAIMING,
    ENDED,
    SETTLING,
    VOIDING,
    WAITING,
    ClaimRowFound,
    ClaimRowWritten,
    EndRequest,
    Grant,
    ReadRow,
    ReportVoid,
    StoredResponse,
    Transition,
    WriteRow,
)
from cuminhatch.decisions.idempotency import (
    KEPT_BODY_BYTES,
    ClaimDecisions,
    begin_claim,
    on_object_fetched,
    on_read_result,
    on_write_result,
)
from cuminhatch.decisions.platform import (
    TableUnavailable,
)
from cuminhatch.messages import (
    ClaimAbandoned,
    ClaimCompleted,
    ClaimGranted,
    ClaimOutcomeUnknown,
    ClaimRefused,
    ClaimRequested,
    ClaimVoided,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services import Claims
from tests.proofs.fake_platform import InstanceProcess, SharedPlatform

PROOF = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
)
# A broken decision only has to be caught, so its example is not shrunk.
CATCH = settings(PROOF, max_examples=500, phases=[Phase.generate])
INSTANCES = 3
FATES = ["done"] * 4 + ["reply_lost", "unsent", "lost", "delayed"]
INDEX = st.integers(0, 50)
INSTANCE = st.integers(0, INSTANCES - 1)


class Request:
    """A request of a caller, and all outcomes and responses it received."""

    def __init__(self, node, message):
        self.node = node
        self.message = message
        self.outcomes = []
        self.responses = []
        self.has_run = False


class AtMostOnce(RuleBasedStateMachine):
    """Runs the proof; broken versions replace ``decisions``."""

    decisions = ClaimDecisions()

    def __init__(self):
        super().__init__()
        self.platform = SharedPlatform()
        self.requests = []
        self.grants = []
        self.runs = {}
        self.open_ids = set()
        self.nodes = [self.start(f"i{n}", 1) for n in range(INSTANCES)]
        self.ended = []

    def start(self, instance_id, incarnation):
        node = InstanceProcess(instance_id, incarnation, self.platform)
        node.kernel.register(
            Claims(node.kernel, instance_id, incarnation, self.decisions)
        )
        node.received = node.record(
            "dispatch", (ClaimGranted, ClaimRefused, ClaimVoided)
        )
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

    def has_pending_requests(self):
        return self.platform.pending_requests

    @precondition(has_pending_requests)
    @rule(index=INDEX, fate=st.sampled_from(FATES))
    def decide(self, index, fate):
        getattr(self.platform, fate)(index)

    @precondition(lambda self: self.platform.pending_requests)
    @rule()
    def calm(self):
        for _ in range(len(self.platform.pending_requests)):
            self.platform.done(0)

    @precondition(lambda self: self.platform.late)
    @rule(index=INDEX)
    def arrive_late(self, index):
        self.platform.arrive_late(index)

    # Dispatch and the backend server

    def list_running_grants(self):
        return [grant for grant in self.grants if grant[0].is_running]

    def pop_running_grant(self, index):
        grants = self.list_running_grants()
        grant = grants[index % len(grants)]
        self.grants.remove(grant)
        return grant

    @precondition(list_running_grants)
    @rule(
        index=INDEX,
        size=st.sampled_from([10, 20_000, 20_000, KEPT_BODY_BYTES + 1]),
        end=st.sampled_from(["answered", "answered", "silent", "dies"]),
    )
    def run_request(self, index, size, end):
        node, message = self.pop_running_grant(index)
        request = self.requests[message.request_id]
        request.has_run = True
        runs = self.runs.setdefault(request.message.key, [])
        body = b"%d" % len(runs) + bytes(size)
        response = StoredResponse(200, ((b"run", b"%d" % message.request_id),), body)
        runs.append((request.message.digest, response))
        if end == "dies":
            node.is_alive = False
        elif end == "silent":
            request.outcomes.append(Outcome.UNKNOWN)
            node.send("claims", ClaimOutcomeUnknown(message.claim_id))
        else:
            request.outcomes.append(Outcome.RAN)
            node.send("claims", ClaimCompleted(message.claim_id, response))

    @precondition(list_running_grants)
    @rule(index=INDEX)
    def abandon(self, index):
        node, message = self.pop_running_grant(index)
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

    # Checks

    @invariant()
    def words_are_true(self):
        for node in self.nodes:
            for message in node.received:
                self.check_message(node, message)
            node.received.clear()
        for key, runs in self.runs.items():
            assert len(runs) <= 1, f"{key} ran {len(runs)} times"
        for request in self.requests:
            if Outcome.NOT_RUN in request.outcomes:
                assert not request.has_run, "reported not-run, but ran"
            assert len(request.outcomes) <= 1, f"reported {request.outcomes}"
            for response in request.responses:
                run = (request.message.digest, response)
                assert run in self.runs.get(request.message.key, []), "wrong response"

    def check_message(self, node, message):
        if isinstance(message, ClaimGranted):
            deadline_ms = self.requests[message.request_id].message.deadline_ms
            assert node.clock.now_ms < deadline_ms, "granted past the deadline"
            self.grants.append((node, message))
            self.open_ids.add(message.claim_id)
            return
        request = self.requests[message.request_id]
        if isinstance(message, ClaimVoided):
            is_confirmed = message.is_confirmed
            request.outcomes.append(
                Outcome.NOT_RUN if is_confirmed else Outcome.UNKNOWN
            )
            return
        request.outcomes.append(message.outcome)
        if message.response is not None:
            request.responses.append(message.response)

    def teardown(self):
        for node in self.nodes:
            node.resume()
        while self.platform.late:
            self.platform.arrive_late(0)
        for _ in range(30):
            self.words_are_true()
            while self.list_running_grants():
                self.run_request(0, 10, "answered")
            while self.platform.pending_requests:
                self.platform.done(0)
            self.words_are_true()
            self.advance(5000)
        self.words_are_true()
        for request in self.requests:
            if request.node.is_alive:
                assert len(request.outcomes) == 1, "no final outcome"
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


def may_have_been_written(result):
    return isinstance(result, TableUnavailable) and result.may_be_applied


def settle_by_read(claim, result, now_ms):
    if claim.phase == CLAIMING and may_have_been_written(result):
        return Transition(claim._replace(phase=WAITING), (ReadRow(0),))
    return on_write_result(claim, result, now_ms)


def treat_absent_as_not_run(claim, result, now_ms):
    if isinstance(result, ClaimRowFound) and result.row is None:
        refusal = EndRequest(Outcome.NOT_RUN, 503, "store-outage")
        return Transition(claim._replace(phase="ended", is_reported=True), (refusal,))
    return on_read_result(claim, result, now_ms)


def take_over_claim(claim, result, now_ms):
    if isinstance(result, ClaimRowFound) and result.row and claim.tries >= 2:
        if result.row.state == CLAIMED:
            row = result.row._replace(claim_id=claim.claim_id)
            claim = claim._replace(phase=CLAIMING, version=result.version)
            return Transition(claim, (WriteRow(result.version, row),))
    return on_read_result(claim, result, now_ms)


def treat_lost_as_not_run(claim, result, now_ms):
    if claim.phase == CLAIMING and may_have_been_written(result):
        result = TableUnavailable("lost", False)
    return on_write_result(claim, result, now_ms)


def treat_lost_as_granted(claim, result, now_ms):
    if claim.phase == CLAIMING and may_have_been_written(result):
        result = ClaimRowWritten(claim.version + 1)
    return on_write_result(claim, result, now_ms)


def grant_past_deadline(claim, result, now_ms):
    if claim.phase == CLAIMING and isinstance(result, ClaimRowWritten):
        granted = claim._replace(phase="held", version=result.version, is_granted=True)
        return Transition(granted, (Grant(),))
    return on_write_result(claim, result, now_ms)


def never_retry_void(claim, result, now_ms):
    if claim.phase not in (CLAIMING, VOIDING) and may_have_been_written(result):
        return Transition(claim._replace(phase="ended"))
    return on_write_result(claim, result, now_ms)


def report_not_run_before_void(claim, result, now_ms):
    step = on_write_result(claim, result, now_ms)
    if claim.phase == CLAIMING and step.claim.phase == SETTLING:
        refusal = EndRequest(Outcome.NOT_RUN, 503, "store-outage")
        return step._replace(actions=(*step.actions, refusal))
    return step


def report_void_without_write(claim):
    ended = claim._replace(phase=ENDED, is_reported=True)
    return Transition(ended, (ReportVoid(True),))


def reuse_claim_ids(claim_id, digest, deadline_ms, now_ms):
    return begin_claim(claim_id.rpartition(".")[2], digest, deadline_ms, now_ms)


def truncate_body(claim, result):
    step = on_object_fetched(claim, result)
    actions = tuple(
        action._replace(answer=action.answer._replace(body=action.answer.body[:9]))
        if isinstance(action, EndRequest) and action.answer is not None
        else action
        for action in step.actions
    )
    return step._replace(actions=actions)


# By fault: the message of the check that must catch it, and the replaced
# decisions.
BROKEN = {
    "settle by a read": (
        "reported|not voided",
        {
            "on_write_result": settle_by_read,
            "on_read_result": treat_absent_as_not_run,
        },
    ),
    "claim that expires": (r"ran \d times", {"on_read_result": take_over_claim}),
    "lost reply means not run": (
        "not voided",
        {"on_write_result": treat_lost_as_not_run},
    ),
    "lost reply means granted": (
        r"ran \d times",
        {"on_write_result": treat_lost_as_granted},
    ),
    "grant past the deadline": (
        "granted past the deadline",
        {"on_write_result": grant_past_deadline},
    ),
    "void without reply is not retried": (
        "no final outcome|not voided",
        {"on_write_result": never_retry_void},
    ),
    "not-run before the void is written": (
        "reported",
        {"on_write_result": report_not_run_before_void},
    ),
    "void without a write": (
        "not voided",
        {"abandon_claim": report_void_without_write},
    ),
    "claim ids are not unique": (
        r"ran \d times|no final outcome",
        {"begin_claim": reuse_claim_ids},
    ),
    "stored response truncated": (
        "wrong response",
        {"on_object_fetched": truncate_body},
    ),
}


def test_each_key_runs_at_most_once():
    """Guards against second runs and a false ``not-run`` under all faults."""
    run_state_machine_as_test(machine_for(), settings=PROOF)


@pytest.mark.parametrize("fault", sorted(BROKEN))
def test_broken_decision_is_caught(fault):
    """Guards against a proof that passes any decisions."""
    expected, broken = BROKEN[fault]
    with pytest.raises(AssertionError, match=expected):
        run_state_machine_as_test(machine_for(**broken), settings=CATCH)


def test_keyed_request_costs_two_writes_and_no_read():
    """Guards against more table requests than design section 5.1 allows."""
    platform = SharedPlatform()
    node = InstanceProcess("i0", 1, platform)
    node.kernel.register(Claims(node.kernel, "i0", 1))
    received = node.record("dispatch", (ClaimGranted, ClaimRefused, ClaimVoided))
    for number in range(100):
        node.send("claims", ClaimRequested(number, "s", f"k{number}", "d", 1000.0))
        platform.done(0)
        response = StoredResponse(200, (), b"done")
        node.send("claims", ClaimCompleted(received[-1].claim_id, response))
        platform.done(0)
    assert (platform.table.writes, platform.table.reads) == (200, 0)
    node.close()
