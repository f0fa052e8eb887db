"""
Fuzzing proof: accepted notes apply on every instance and never revert.

Three instances run the real ``notes`` service and decisions against fakes of
table, object store and peers. The oracle is the list of notes in the table.
Each broken decision at the end of the module must be caught.
"""

from random import Random

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cuminhatch.clock import ManualClock
from cuminhatch.codecs.note_json import note_from_dict, note_to_dict
from cuminhatch.decisions import notes as note_decisions
from cuminhatch.decisions.configuration import apply_note, get_entries
from cuminhatch.decisions.notes import (
    AcceptedNote,
    Decided,
    Note,
    NoteAccepted,
    NoteItem,
    NoteRefused,
    note_id_key,
)
from cuminhatch.decisions.platform import Mismatched, RowAbsent, TableUnavailable
from cuminhatch.kernel import HandlerFailed, Kernel
from cuminhatch.messages import (
    Address,
    ConfigurationChanged,
    HeadChanged,
    HeadReceived,
    NoteDecided,
    NotesPulled,
    NotesPullRequested,
    NotesReplied,
    NotesRequested,
    NoteSubmitted,
    ReadinessChanged,
)
from cuminhatch.services.notes import NoteDecisions, Notes
from tests.proofs.fakes import (
    OBJECT_MODES,
    TABLE_MODES,
    FakePlatform,
    PlatformState,
    Recorder,
    run_until_idle,
)

INSTANCES = 3
SETTINGS = settings(
    max_examples=100,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
# Longest duration of a submission, twice the wait for a lost reply, and a
# few polls.
STEPS_TO_HEAD = 35

# Snapshots are due every 3 notes, so that short runs write and read them.
REAL = NoteDecisions(
    is_snapshot_due=lambda sequence: sequence % 3 == 0,
    is_snapshot_wanted=lambda sequence, head: head - sequence > 3,
)

ITEMS = (
    ("service", "desk", {"instances_max": 10}),
    ("service", "depot", {"probe_rate": 1.0}),
    (
        "backend_server",
        "desk-1",
        {
            "service_id": "desk",
            "host": "127.0.0.1",
            "port": 9101,
            "failure_domain": "Leith",
            "slots": 3,
            "connections": 200,
        },
    ),
    (
        "rule",
        "status",
        {"service_id": "desk", "method": "GET", "path_prefix": "/status"},
    ),
)
CHANGES = {
    "service": [{"slow_start_ms": 10.0}, {"instances_max": 12}],
    "backend_server": [{"port": 9102}, {"slots": 5}, {"host": "127.0.0.7"}],
    "rule": [{"idempotent": False}, {"deadline_ms": 500}],
}


class FakePeers(Recorder):
    """Records the head sequence that this instance sends in heartbeats."""

    def __init__(self, kernel):
        super().__init__(kernel, "peers", ConfigurationChanged)
        self.head_sequence = 0

    def message_handlers(self):
        table = super().message_handlers()
        return {**table, HeadChanged: self._on_head_changed}

    def _on_head_changed(self, message):
        self.head_sequence = message.sequence


class FakeTransfer(Recorder):
    """Passes pulls of notes and their replies to the test's network."""

    def __init__(self, kernel, index, network):
        super().__init__(kernel, "note_transfer")
        self._index = index
        self._network = network

    def message_handlers(self):
        return {
            NotesPullRequested: self._on_pull_requested,
            NotesReplied: self._on_replied,
        }

    def _on_pull_requested(self, message):
        request = NotesRequested("note_transfer", self._index, message.after, 2)
        self._network.append((message.address.port, request))

    def _on_replied(self, message):
        self._network.append((message.token, NotesPulled(message.notes)))


class Instance:
    """One process of an instance."""

    def __init__(self, index, process_number, now_ms, platform, network, decisions):
        self.index, self.process_number = index, process_number
        self.is_frozen = False
        self.kernel = Kernel(ManualClock(now_ms))
        register = self.kernel.register
        register(FakePlatform(self.kernel, platform))
        self.peers = register(FakePeers(self.kernel))
        register(FakeTransfer(self.kernel, index, network))
        self.dispatch = register(
            Recorder(self.kernel, "dispatch", ConfigurationChanged)
        )
        self.operators = register(
            Recorder(self.kernel, "operators", ConfigurationChanged, NoteDecided)
        )
        self.supervisor = register(
            Recorder(self.kernel, "supervisor", ReadinessChanged, HandlerFailed)
        )
        self.notes = register(
            Notes(
                self.kernel,
                f"i{index}.{process_number}",
                Random(index * 1000 + process_number),
                decisions,
            )
        )
        self.kernel.open()
        self.submitted = []

    @property
    def decided(self):
        return [m for m in self.operators.received if isinstance(m, NoteDecided)]


def fold_notes(notes):
    """Return the entries that result from the notes, as fields by key."""
    state = {}
    for note in notes:
        for item in note.items:
            key = (item.kind, item.item_id)
            if item.action == "withdraw":
                del state[key]
            elif item.action == "change":
                state[key] = {**state[key], **item.values}
            else:
                assert key not in state, f"{key} added twice"
                state[key] = dict(item.values)
    return state


def assert_has_entries(configuration, state):
    for kind in ("service", "backend_server", "rule"):
        entries = get_entries(configuration, kind)
        assert set(entries) == {i for k, i in state if k == kind}
        for item_id, entry in entries.items():
            for name, value in state[kind, item_id].items():
                field = "is_idempotent" if name == "idempotent" else name
                assert getattr(entry, field) == value


def make_machine(decisions):
    """Return the state machine for these decisions."""

    class NotesNeverRevert(RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.platform = PlatformState()
            self.network = []
            self.is_network_up = True
            self.now_ms = 0.0
            self.processes = []
            self.instances = [self.start(index) for index in range(INSTANCES)]
            self.submitted_notes = []
            self.note_count = 0

        def start(self, index):
            instance = Instance(
                index,
                len(self.processes),
                self.now_ms,
                self.platform,
                self.network,
                decisions,
            )
            self.processes.append(instance)
            return instance

        # Contents of the table

        def list_table_notes(self):
            rows = self.platform.table.scan("note/", "note0", 10_000)
            sequences = [row.value["sequence"] for row in rows]
            assert sequences == list(range(1, len(rows) + 1))
            return [note_from_dict(row.value["note"]) for row in rows]

        # Steps

        def submit_to(self, index, note):
            instance = self.instances[index]
            message = NoteSubmitted("operators", len(instance.submitted) + 1, note)
            instance.submitted.append(note)
            self.submitted_notes.append(note)
            instance.kernel.send("notes", message)

        def make_note_id(self):
            self.note_count += 1
            return f"n{self.note_count}"

        @rule(
            index=st.integers(0, INSTANCES - 1),
            item=st.sampled_from(ITEMS),
            choice=st.integers(0, 4),
            base_age=st.sampled_from([None, None, 0, 1, 2]),
        )
        def submit(self, index, item, choice, base_age):
            notes = self.list_table_notes()
            kind, item_id, values = item
            is_present = (kind, item_id) in fold_notes(notes)
            if choice == 4:
                # Valid only if another note is accepted first.
                if is_present:
                    change = NoteItem("add", kind, item_id, values)
                else:
                    change = NoteItem("withdraw", kind, item_id, {})
            elif not is_present:
                change = NoteItem("add", kind, item_id, values)
            elif choice == 3:
                change = NoteItem("withdraw", kind, item_id, {})
            else:
                options = CHANGES[kind]
                values = options[choice % len(options)]
                change = NoteItem("change", kind, item_id, values)
            base = None if base_age is None else max(0, len(notes) - base_age)
            note = Note(self.make_note_id(), "rhea", "", (change,), base)
            self.submit_to(index, note)

        @rule(
            first=st.integers(0, INSTANCES - 1),
            item=st.sampled_from(ITEMS),
            is_same_id=st.booleans(),
        )
        def race(self, first, item, is_same_id):
            second = (first + 1) % INSTANCES
            self.submit(first, item, 1, 0)
            if is_same_id:
                self.submit_other_text(second)
            else:
                self.submit(second, item, 0, 0)
            for _ in range(6):
                for index in (first, second):
                    self.run_some(index, 1)

        @rule(index=st.integers(0, INSTANCES - 1), item=st.sampled_from(ITEMS))
        def submit_invalid(self, index, item):
            self.submit(index, item, 4, None)
            self.advance(100.0)

        @rule(
            index=st.integers(0, INSTANCES - 1),
            item=st.sampled_from(ITEMS),
            waits=st.integers(1, 4),
            is_applied=st.booleans(),
        )
        def submit_into_late_write(self, index, item, waits, is_applied):
            """Reach the rare states between a late write and its retry."""
            self.platform.table_mode = "late"
            self.submit(index, item, 0, None)
            for _ in range(waits):
                self.advance(100.0)
            if is_applied:
                self.apply_late(0)
            self.platform.table_mode = "up"

        @rule(mode=st.sampled_from(OBJECT_MODES), index=st.integers(0, INSTANCES - 1))
        def reach_snapshot(self, mode, index):
            """Accept notes until a snapshot is written; restart from it."""
            self.platform.table_mode = "up"
            self.platform.object_mode = mode
            for item in ITEMS:
                self.submit(index, item, 0, None)
                self.advance(1000.0)
            self.advance(31_000.0)
            self.advance(1000.0)
            self.restart((index + 1) % INSTANCES)
            self.advance(1000.0)

        @rule(index=st.integers(0, INSTANCES - 1), item=st.sampled_from(ITEMS))
        def lose_table_after_acceptance(self, index, item):
            """Lose the table; peers must still spread the note within 4 s."""
            self.platform.table_mode = "up"
            self.is_network_up = True
            for _ in range(2):
                self.advance(1000.0)
            before = len(self.list_table_notes())
            self.submit(index, item, 0, None)
            if not self.instances[index].is_frozen:
                run_until_idle(self.instances[index].kernel)
            self.platform.table_mode = "down"
            head = len(self.list_table_notes())
            current = [
                instance
                for instance in self.instances
                if instance.notes.configuration.sequence >= before
            ]
            for _ in range(4):
                self.advance(1000.0)
            # No other instance learns of the note if its writer is frozen.
            if not any(instance.is_frozen for instance in self.instances):
                for instance in current:
                    assert instance.notes.configuration.sequence == head, "behind"

        @rule(index=st.integers(0, INSTANCES - 1), age=st.integers(1, 4))
        def submit_again(self, index, age):
            if self.submitted_notes:
                self.submit_to(
                    index, self.submitted_notes[-min(age, len(self.submitted_notes))]
                )

        @rule(index=st.integers(0, INSTANCES - 1))
        def submit_other_text(self, index):
            if self.submitted_notes:
                note = self.submitted_notes[-1]
                self.submit_to(index, note._replace(summary=note.summary + "x"))

        @rule(index=st.integers(0, INSTANCES - 1))
        def reverse_last(self, index):
            notes = self.list_table_notes()
            if not notes:
                return
            before, item = fold_notes(notes[:-1]), notes[-1].items[0]
            key = (item.kind, item.item_id)
            if item.action == "add":
                reverse = item._replace(action="withdraw", values={})
            elif item.action == "withdraw":
                reverse = item._replace(action="add", values=before[key])
            else:
                # A field that was not set before has no earlier value.
                values = {n: v for n, v in before[key].items() if n in item.values}
                if not values:
                    return
                reverse = item._replace(values=values)
            self.submit_to(index, Note(self.make_note_id(), "rhea", "", (reverse,)))

        @rule(mode=st.sampled_from(TABLE_MODES))
        def set_table_mode(self, mode):
            self.platform.table_mode = mode

        @rule(mode=st.sampled_from(OBJECT_MODES))
        def set_object_mode(self, mode):
            self.platform.object_mode = mode

        @rule(place=st.integers(0, 9))
        def release_held(self, place):
            if self.platform.delayed_replies:
                self.platform.delayed_replies.pop(
                    place % len(self.platform.delayed_replies)
                )()

        @rule(place=st.integers(0, 9))
        def apply_late(self, place):
            late = self.platform.late
            if late:
                self.platform.table.transact(late.pop(place % len(late)))

        @rule(
            sender=st.integers(0, INSTANCES - 1),
            to=st.integers(0, INSTANCES - 1),
            after=st.integers(0, 6),
        )
        def offer_to_earlier_life(self, sender, to, after):
            """Send notes that the receiver requested before its restart."""
            sequence = self.instances[sender].notes.configuration.sequence
            known = self.list_table_notes()[:sequence]
            offered = tuple(
                AcceptedNote(number, note)
                for number, note in enumerate(known, 1)
                if number > after
            )
            self.network.append((to, NotesPulled(offered)))

        @rule(
            index=st.integers(0, INSTANCES - 1),
            sender=st.integers(0, INSTANCES - 1),
            after=st.integers(0, 6),
        )
        def restart_before_offer(self, index, sender, after):
            self.platform.table_mode = "down"
            self.restart(index)
            self.offer_to_earlier_life(sender, index, after)
            to, message = self.network.pop()
            self.instances[to].kernel.send("notes", message)
            self.advance(100.0)
            self.platform.table_mode = "up"

        @rule(is_up=st.booleans())
        def set_network(self, is_up):
            self.is_network_up = is_up

        @rule(place=st.integers(0, 9), is_dropped=st.booleans())
        def deliver_one(self, place, is_dropped):
            if self.network:
                to, message = self.network.pop(place % len(self.network))
                if not is_dropped:
                    self.instances[to].kernel.send("notes", message)

        @rule(index=st.integers(0, INSTANCES - 1), ticks=st.integers(1, 6))
        def run_some(self, index, ticks):
            if not self.instances[index].is_frozen:
                for _ in range(ticks):
                    self.instances[index].kernel.tick()

        @rule(ms=st.sampled_from([100.0, 500.0, 1000.0, 1000.0, 6000.0, 31_000.0]))
        def advance(self, ms):
            self.now_ms += ms
            for instance in self.instances:
                instance.kernel.clock.advance(ms)
                self.send_heartbeats(instance)
            self.run_all()

        def send_heartbeats(self, instance):
            head_sequence = instance.peers.head_sequence
            if instance.is_frozen or not head_sequence:
                return
            message = HeadReceived(
                head_sequence, "", Address("127.0.0.1", instance.index)
            )
            for other in range(INSTANCES):
                if other != instance.index:
                    self.network.append((other, message))

        def run_all(self):
            for _ in range(20):
                for instance in self.instances:
                    if not instance.is_frozen:
                        run_until_idle(instance.kernel)
                if not self.network or not self.is_network_up:
                    return
                delivered, self.network[:] = self.network[:], []
                for to, message in delivered:
                    self.instances[to].kernel.send("notes", message)

        @rule(index=st.integers(0, INSTANCES - 1), is_frozen=st.booleans())
        def freeze(self, index, is_frozen):
            self.instances[index].is_frozen = is_frozen

        @rule(index=st.integers(0, INSTANCES - 1))
        def restart(self, index):
            self.instances[index].kernel.close()
            self.instances[index] = self.start(index)

        # Checks

        @invariant()
        def instances_follow_the_table(self):
            notes = self.list_table_notes()
            for instance in self.instances:
                assert not [
                    m
                    for m in instance.supervisor.received
                    if isinstance(m, HandlerFailed)
                ]
                seen = [m.configuration for m in instance.dispatch.received]
                for earlier, later in zip(seen, seen[1:], strict=False):
                    assert earlier.sequence < later.sequence, "sequence went back"
                configuration = instance.notes.configuration
                assert configuration.sequence <= len(notes), "ahead of the table"
                state = fold_notes(notes[: configuration.sequence])
                assert_has_entries(configuration, state)

        @invariant()
        def decisions_are_true(self):
            notes = self.list_table_notes()
            writers = set()
            for row in self.platform.table.scan("note-id/", "note-id0", 10_000):
                prefix, _, number = row.value["submission"].split("-")
                process_number = int(prefix.partition(".")[2])
                writers.add((process_number, int(number)))
            for instance in self.processes:
                for token, result in instance.decided:
                    note = instance.submitted[token - 1]
                    if isinstance(result, NoteAccepted):
                        found = notes[result.sequence - 1]
                        assert note_to_dict(found) == note_to_dict(note)
                    elif isinstance(result, NoteRefused):
                        is_written = (instance.process_number, token) in writers
                        assert not is_written, f"refused but present: {result}"

        @invariant()
        def no_accepted_note_overrides_one_unseen(self):
            notes = self.list_table_notes()
            for place, note in enumerate(notes):
                if note.base is None:
                    continue
                touched = {item[1:3] for item in note.items}
                for newer in notes[note.base : place]:
                    assert not touched & {item[1:3] for item in newer.items}

        def teardown(self):
            try:
                self.end_faults()
                for _ in range(STEPS_TO_HEAD):
                    self.advance(1000.0)
                    if self.is_settled():
                        break
                self.instances_follow_the_table()
                self.decisions_are_true()
                self.no_accepted_note_overrides_one_unseen()
                self.assert_all_reached_head()
            finally:
                for instance in self.instances:
                    instance.kernel.close()

        def end_faults(self):
            self.platform.table_mode = self.platform.object_mode = "up"
            self.is_network_up = True
            for transaction in self.platform.late:
                self.platform.table.transact(transaction)
            for reply in self.platform.delayed_replies:
                reply()
            self.platform.late, self.platform.delayed_replies = [], []
            for instance in self.instances:
                instance.is_frozen = False

        def is_settled(self):
            head = len(self.list_table_notes())
            return all(
                instance.notes.configuration.sequence == head
                and len(instance.decided) == len(instance.submitted)
                for instance in self.instances
            )

        def assert_all_reached_head(self):
            head = len(self.list_table_notes())
            for instance in self.instances:
                assert instance.notes.configuration.sequence == head, "behind"
                assert len(instance.decided) == len(instance.submitted)
                readiness = [
                    m
                    for m in instance.supervisor.received
                    if isinstance(m, ReadinessChanged)
                ]
                assert readiness[-1].is_ready == (head > 0)

    return NotesNeverRevert


def test_accepted_notes_hold_everywhere():
    """Guards against notes that revert, get lost or differ by instance."""
    run_state_machine_as_test(make_machine(REAL), settings=SETTINGS)


# Broken decisions, each of which must be caught.


def apply_any_sequence(configuration, accepted):
    before = configuration._replace(sequence=accepted.sequence - 1)
    return apply_note(before, accepted)


def treat_lost_reply_as_refusal(submission, result, now_ms):
    if isinstance(result, TableUnavailable):
        return submission, Decided(NoteRefused("no reply"))
    return note_decisions.after_append(submission, result, now_ms)


def treat_absent_note_id_as_refusal(submission, result, now_ms):
    if isinstance(result, RowAbsent) and submission.has_unconfirmed_append:
        return submission, Decided(NoteRefused("not written"))
    return note_decisions.after_note_id_read(submission, result, now_ms)


def treat_lost_reply_as_success(submission, result, now_ms):
    if isinstance(result, TableUnavailable) and result.may_be_applied:
        sequence = submission.head_sequence + 1
        return submission, Decided(NoteAccepted(sequence, False))
    return note_decisions.after_append(submission, result, now_ms)


def treat_own_append_as_conflict(submission, result, now_ms):
    """Ignore that the submission's own append may cause the mismatch."""
    if isinstance(result, Mismatched):
        return submission, Decided(NoteRefused("the head has moved"))
    return note_decisions.after_append(submission, result, now_ms)


def accept_other_text(submission, result, now_ms):
    if isinstance(result, Mismatched):
        key = note_id_key(submission.note.note_id)
        row = result.rows.get(key)
        if row is not None:
            sequence = row.value["sequence"]
            return submission, Decided(NoteAccepted(sequence, True))
    return note_decisions.after_append(submission, result, now_ms)


BROKEN = {
    "applies any sequence": REAL._replace(
        is_next_note=lambda sequence, accepted: True, apply_note=apply_any_sequence
    ),
    "applies a higher sequence": REAL._replace(
        is_next_note=lambda sequence, accepted: accepted.sequence > sequence,
        apply_note=apply_any_sequence,
    ),
    "treats a lost reply as a refusal": REAL._replace(
        after_append=treat_lost_reply_as_refusal
    ),
    "treats a lost reply as success": REAL._replace(
        after_append=treat_lost_reply_as_success
    ),
    "treats an absent note id as a refusal": REAL._replace(
        after_note_id_read=treat_absent_note_id_as_refusal
    ),
    "treats its own append as a conflict": REAL._replace(
        after_append=treat_own_append_as_conflict
    ),
    "accepts another text under an id": REAL._replace(after_append=accept_other_text),
    "does not check for conflicts": REAL._replace(
        find_conflict=lambda note, newer: None
    ),
    "does not check a note": REAL._replace(check_note=lambda c, note: None),
    "does not check the digest": REAL._replace(digest_bytes=lambda data: ""),
}


@pytest.mark.parametrize("fault", BROKEN)
def test_broken_decision_is_caught(fault):
    """Guards against a proof that passes any decisions."""
    # The failure is expected, so its example is not shrunk.
    quick = settings(
        SETTINGS, max_examples=400, phases=[Phase.generate], report_multiple_bugs=False
    )
    with pytest.raises((AssertionError, KeyError, IndexError)):
        run_state_machine_as_test(make_machine(BROKEN[fault]), settings=quick)
