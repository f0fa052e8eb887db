"""Several instances over one table and one lagging instance list."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from cuminhatch.decisions.permits import PermitDecisions
from cuminhatch.services import Permits
from tests.proofs.fake_platform import InstanceProcess, SharedPlatform

LIST_LAG_MS = 3000.0
INSTANCES = 3
INDEX = st.integers(0, 50)
INSTANCE = st.integers(0, INSTANCES - 1)
FATES = ["done"] * 4 + ["reply_lost", "unsent", "lost", "delayed"]


class Fleet(RuleBasedStateMachine):
    """Instances with the real ``permits``, each with its kernel and clock."""

    decisions = PermitDecisions()

    def __init__(self):
        super().__init__()
        self.platform = SharedPlatform()
        self.now_ms = 0.0
        self.list_history = [(0.0, {f"i{n}" for n in range(INSTANCES)})]
        self.unlisted_ids = set()
        self.ended = []
        self.nodes = [self.start(f"i{n}", 1) for n in range(INSTANCES)]

    def start(self, instance_id, incarnation):
        node = InstanceProcess(
            instance_id, incarnation, self.platform, lambda: self.read_list(node)
        )
        node.list_age_ms, node.is_list_down = 0.0, False
        node.clock.advance(self.now_ms)
        permits = Permits(
            node.kernel, instance_id, incarnation, LIST_LAG_MS, self.decisions
        )
        node.kernel.register(permits)
        permits.open()
        self.add_users(node)
        return node

    def add_users(self, node):
        """Register the users of permits in a new process."""

    def read_list(self, node):
        if node.is_list_down:
            return None
        as_of_ms = max(0.0, self.now_ms - node.list_age_ms)
        return [ids for at_ms, ids in self.list_history if at_ms <= as_of_ms][-1]

    def change_list(self, removed=(), added=()):
        ids = (self.list_history[-1][1] - set(removed)) | set(added)
        self.list_history.append((self.now_ms, ids))

    @precondition(lambda self: self.platform.pending_requests)
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

    @rule(
        instance=INSTANCE,
        age_ms=st.sampled_from([0.0, LIST_LAG_MS, LIST_LAG_MS]),
        is_down=st.sampled_from([False, False, True]),
    )
    def disturb_list(self, instance, age_ms, is_down):
        node = self.nodes[instance]
        node.list_age_ms, node.is_list_down = age_ms, is_down

    @precondition(lambda self: self.unlisted_ids)
    @rule()
    def name_new_instances(self):
        self.change_list(added=self.unlisted_ids)
        self.unlisted_ids.clear()

    @rule(
        instance=INSTANCE,
        fault=st.sampled_from(["freeze", "resume", "restart", "replace"]),
        is_named=st.booleans(),
    )
    def disturb(self, instance, fault, is_named):
        node = self.nodes[instance]
        if fault == "resume":
            node.resume()
        elif fault == "freeze":
            node.is_frozen = True
        else:
            self.end(instance, is_replaced=fault == "replace")
            if is_named:
                self.name_new_instances()

    def end(self, instance, is_replaced):
        old = self.nodes[instance]
        old.is_alive = False
        self.ended.append(old)
        instance_id, incarnation = old.instance_id, old.incarnation + 1
        if is_replaced:
            self.change_list(removed=[instance_id])
            self.unlisted_ids.discard(instance_id)
            instance_id, incarnation = f"n{len(self.ended)}", 1
            self.unlisted_ids.add(instance_id)
        self.nodes[instance] = self.start(instance_id, incarnation)

    def close(self):
        for node in [*self.nodes, *self.ended]:
            node.close()
