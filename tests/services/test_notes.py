"""Tests of the ``notes`` service on fakes of the platform."""

from random import Random

import pytest

from cuminhatch.clock import ManualClock
from cuminhatch.codecs.note_json import note_to_dict
from cuminhatch.decisions.notes import (
    AcceptedNote,
    Note,
    NoteAccepted,
    NoteItem,
    NoteOutcomeUnknown,
    NoteRefused,
    plan_append,
)
from cuminhatch.kernel import HandlerFailed, Kernel
from cuminhatch.messages import (
    Address,
    ConfigurationChanged,
    EventRecorded,
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
from cuminhatch.services.notes import Notes
from tests.proofs.fakes import (
    FakePlatform,
    PlatformState,
    Recorder,
    run_until_idle,
)

PEER = Address("127.0.0.1", 9)


class Instance:
    """One ``notes`` service; recorders replace the services it talks to."""

    def __init__(self, platform):
        self.platform = platform
        self.kernel = Kernel(ManualClock())
        register = self.kernel.register
        register(FakePlatform(self.kernel, platform))
        self.subscribers = [
            register(Recorder(self.kernel, name, ConfigurationChanged))
            for name in ("dispatch", "backends", "probes", "permits")
        ]
        self.operators = register(
            Recorder(
                self.kernel,
                "operators",
                ConfigurationChanged,
                NoteDecided,
                NotesReplied,
            )
        )
        self.peers = register(
            Recorder(self.kernel, "peers", HeadChanged, ConfigurationChanged)
        )
        self.note_transfer = register(
            Recorder(self.kernel, "note_transfer", NotesPullRequested, NotesReplied)
        )
        self.supervisor = register(
            Recorder(self.kernel, "supervisor", ReadinessChanged, HandlerFailed)
        )
        self.timeline = register(Recorder(self.kernel, "timeline", EventRecorded))
        self.notes = register(Notes(self.kernel, "i1", Random(1)))
        self.kernel.open()
        run_until_idle(self.kernel)

    def send(self, message):
        self.kernel.send("notes", message)
        run_until_idle(self.kernel)

    def advance(self, *steps_ms):
        for ms in steps_ms:
            self.kernel.clock.advance(ms)
            run_until_idle(self.kernel)

    @property
    def readiness(self):
        return [
            (m.is_ready, m.reason)
            for m in self.supervisor.received
            if isinstance(m, ReadinessChanged)
        ]

    @property
    def events(self):
        return [m.name for m in self.timeline.received]


@pytest.fixture
def platform():
    return PlatformState()


@pytest.fixture
def start_instance(platform):
    instances = []

    def start():
        instances.append(Instance(platform))
        return instances[-1]

    yield start
    for instance in instances:
        failed = [
            m for m in instance.supervisor.received if isinstance(m, HandlerFailed)
        ]
        instance.kernel.close()
        assert not failed


def make_note(number):
    item = NoteItem("add", "service", f"s{number}", {})
    return Note(f"n{number}", "rhea", "", (item,))


def append_notes(platform, first, last):
    for number in range(first, last + 1):
        head = platform.table.rows.get("head")
        note = make_note(number)
        transaction = plan_append(
            head.version if head else 0,
            number - 1,
            note,
            note_to_dict(note),
            f"d{number}",
            "test",
        )
        platform.table.transact(transaction)


def make_accepted_notes(first, last):
    return tuple(AcceptedNote(n, make_note(n)) for n in range(first, last + 1))


def test_accepted_note_reaches_subscribers_and_peers(start_instance):
    """Guards against an accepted note that never reaches other services."""
    instance = start_instance()
    instance.send(NoteSubmitted("operators", 5, make_note(1)))
    assert NoteDecided(5, NoteAccepted(1, False)) in instance.operators.received
    for subscriber in instance.subscribers:
        assert [m.configuration.sequence for m in subscriber.received] == [1]
    assert instance.peers.received[1:] == [HeadChanged(1)]
    assert isinstance(instance.peers.received[0], ConfigurationChanged)
    assert instance.readiness == [(False, "no-note"), (True, "")]


@pytest.mark.parametrize(
    ("modes", "is_written"),
    [(["slow-request"], False), (["up", "up", "slow-request"], True)],
)
def test_silent_table_is_reported_in_time(start_instance, platform, modes, is_written):
    """Guards against a missing result, or a wrong one on a possible write."""
    instance = start_instance()
    platform.next_table_modes[:] = modes[:-1]
    platform.table_mode = modes[-1]
    instance.send(NoteSubmitted("operators", 5, make_note(1)))
    instance.advance(*[1000.0] * 10)
    [decided] = instance.operators.received
    assert isinstance(decided.result, NoteOutcomeUnknown)
    assert ("may still take effect" in decided.result.reason) == is_written
    for reply in platform.delayed_replies:
        reply()
    instance.advance(1000.0)
    assert (
        len([m for m in instance.operators.received if m.__class__ is NoteDecided]) == 1
    )
    assert ("head" in platform.table.rows) == is_written


def test_malformed_note_is_refused_without_the_table(start_instance, platform):
    """Guards against a malformed note that is reported as an outage."""
    platform.table_mode = "down"
    instance = start_instance()
    instance.send(NoteSubmitted("operators", 5, Note("n", "rhea", "", ())))
    assert isinstance(instance.operators.received[-1].result, NoteRefused)


def test_long_replay_takes_several_scans(start_instance, platform):
    """Guards against a replay that stops after the first page of notes."""
    append_notes(platform, 1, 450)
    instance = start_instance()
    assert instance.notes.configuration.sequence == 450
    assert instance.readiness[-1] == (True, "")


@pytest.mark.parametrize(
    ("mode", "event"),
    [
        ("up", "snapshot-applied"),
        ("torn", "snapshot-skipped"),
        ("corrupt", "snapshot-skipped"),
        ("missing", "snapshot-skipped"),
    ],
)
def test_start_from_snapshot_or_by_replay(start_instance, platform, mode, event):
    """Guards against a damaged snapshot that is applied or stops replay."""
    platform.object_mode = mode
    append_notes(platform, 1, 1)
    writer = start_instance()
    item = NoteItem(
        "add",
        "backend_server",
        "b",
        {
            "service_id": "s1",
            "host": "127.0.0.1",
            "port": 1,
            "failure_domain": "Leith",
            "slots": 1,
            "connections": 24,
        },
    )
    writer.send(NoteSubmitted("operators", 1, Note("b", "rhea", "", (item,))))
    append_notes(platform, 3, 150)
    writer.advance(1000.0, *[2000.0] * 6)
    assert "snapshot-stored" in writer.events
    reader = start_instance()
    assert event in reader.events
    assert reader.notes.configuration == writer.notes.configuration
    assert reader.notes.configuration.sequence == 150


def test_snapshot_waits_for_the_object_store(start_instance, platform):
    """Guards against an outage after which no snapshot is written."""
    platform.object_mode = "down"
    append_notes(platform, 1, 100)
    instance = start_instance()
    instance.advance(*[2000.0] * 6)
    assert "snapshot" not in platform.table.rows
    platform.object_mode = "up"
    instance.advance(*[2000.0] * 12)
    assert platform.table.rows["snapshot"].value["sequence"] == 100


def test_notes_of_a_peer_apply_in_order_only(start_instance, platform):
    """Guards against notes of a peer that are skipped or applied again."""
    platform.table_mode = "down"
    instance = start_instance()
    instance.send(NotesPulled(make_accepted_notes(2, 3)))
    assert instance.notes.configuration.sequence == 0
    instance.send(NotesPulled(make_accepted_notes(1, 3)))
    instance.send(NotesPulled(make_accepted_notes(1, 2)))
    sequences = [m.configuration.sequence for m in instance.subscribers[0].received]
    assert sequences == [3]


def test_gap_is_pulled_from_the_peer_and_again_if_lost(start_instance, platform):
    """Guards against an instance that lags while the store is down."""
    platform.table_mode = "down"
    instance = start_instance()
    for _ in range(3):
        instance.send(HeadReceived(4, "i2", PEER))
    assert instance.note_transfer.received == [NotesPullRequested(PEER, 0)]
    instance.advance(600.0)
    instance.send(HeadReceived(4, "i2", PEER))
    instance.send(NotesPulled(make_accepted_notes(1, 2)))
    pulls = [
        m for m in instance.note_transfer.received if isinstance(m, NotesPullRequested)
    ]
    assert pulls == [NotesPullRequested(PEER, after) for after in (0, 0, 2)]


def test_notes_requested_come_from_memory_or_table(start_instance, platform):
    """Guards against a history that lacks notes no longer in memory."""
    append_notes(platform, 1, 5)
    instance = start_instance()
    instance.send(NotesRequested("operators", 1, 2, 2))
    assert instance.operators.received[-1] == NotesReplied(1, make_accepted_notes(3, 4))
    instance.notes._state.recent_notes.clear()
    instance.send(NotesRequested("operators", 2, 0, 2))
    assert instance.operators.received[-1] == NotesReplied(2, make_accepted_notes(1, 2))


def test_not_ready_after_a_freeze_until_a_head_is_received(start_instance, platform):
    """Guards against an instance that is ready with outdated notes."""
    append_notes(platform, 1, 1)
    instance = start_instance()
    platform.table_mode = "down"
    instance.advance(6000.0)
    assert instance.readiness[-1] == (False, "no-head-after-freeze")
    instance.send(HeadReceived(1, "i2", PEER))
    assert instance.readiness[-1] == (True, "")


def test_reply_to_a_read_before_a_freeze_does_not_count(start_instance, platform):
    """Guards against readiness based on a head read before the freeze."""
    append_notes(platform, 1, 1)
    instance = start_instance()
    platform.table_mode = "slow-reply"
    instance.advance(1000.0, 6000.0)
    platform.delayed_replies.pop(0)()
    run_until_idle(instance.kernel)
    assert instance.readiness[-1] == (False, "no-head-after-freeze")


def test_not_ready_without_contact_to_store_and_peers(start_instance, platform):
    """Guards against an isolated instance that stays ready."""
    append_notes(platform, 1, 1)
    instance = start_instance()
    platform.table_mode = "down"
    instance.advance(*[1000.0] * 29)
    assert instance.readiness[-1] == (True, "")
    instance.advance(1000.0)
    assert instance.readiness[-1] == (False, "no-store-or-peer")
    assert instance.notes.configuration.sequence == 1
    platform.table_mode = "up"
    instance.advance(1000.0)
    assert instance.readiness[-1] == (True, "")
