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
    HeadHeard,
    NoteDecided,
    NotesOffered,
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


class Setup:
    """One ``notes`` service with recorders in place of its neighbours."""

    def __init__(self, platform):
        self.platform = platform
        self.kernel = Kernel(ManualClock())
        register = self.kernel.register
        register(FakePlatform(self.kernel, platform))
        self.followers = [
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
        self.transfer = register(
            Recorder(self.kernel, "note_transfer", NotesPullRequested, NotesReplied)
        )
        self.supervisor = register(
            Recorder(self.kernel, "supervisor", ReadinessChanged, HandlerFailed)
        )
        self.timeline = register(Recorder(self.kernel, "timeline", EventRecorded))
        self.notes = register(Notes(self.kernel, "i1", Random(1)))
        self.kernel.open()
        run_until_idle(self.kernel)

    def tell(self, message):
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
def start(platform):
    setups = []

    def start_one():
        setups.append(Setup(platform))
        return setups[-1]

    yield start_one
    for setup in setups:
        failed = [m for m in setup.supervisor.received if isinstance(m, HandlerFailed)]
        setup.kernel.close()
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


def accepted(first, last):
    return tuple(AcceptedNote(n, make_note(n)) for n in range(first, last + 1))


def test_accepted_note_reaches_followers_and_peers(start):
    """Guards against a note that is accepted and stays without effect."""
    setup = start()
    setup.tell(NoteSubmitted("operators", 5, make_note(1)))
    assert NoteDecided(5, NoteAccepted(1, False)) in setup.operators.received
    for follower in setup.followers:
        assert [m.configuration.sequence for m in follower.received] == [1]
    assert setup.peers.received[1:] == [HeadChanged(1)]
    assert isinstance(setup.peers.received[0], ConfigurationChanged)
    assert setup.readiness == [(False, "no-note"), (True, "")]


@pytest.mark.parametrize(
    ("modes", "is_written"),
    [(["slow-request"], False), (["up", "up", "slow-request"], True)],
)
def test_silent_table_is_reported_in_time(start, platform, modes, is_written):
    """Guards against a submitter who waits for ever, or is told too much."""
    setup = start()
    platform.next_table_modes[:] = modes[:-1]
    platform.table_mode = modes[-1]
    setup.tell(NoteSubmitted("operators", 5, make_note(1)))
    setup.advance(*[1000.0] * 10)
    [decided] = setup.operators.received
    assert isinstance(decided.result, NoteOutcomeUnknown)
    assert ("may still take effect" in decided.result.reason) == is_written
    for reply in platform.held:
        reply()
    setup.advance(1000.0)
    assert len([m for m in setup.operators.received if m.__class__ is NoteDecided]) == 1
    assert ("head" in platform.table.rows) == is_written


def test_malformed_note_is_refused_without_the_table(start, platform):
    """Guards against a typing error that is reported as an outage."""
    platform.table_mode = "down"
    setup = start()
    setup.tell(NoteSubmitted("operators", 5, Note("n", "rhea", "", ())))
    assert isinstance(setup.operators.received[-1].result, NoteRefused)


def test_long_replay_takes_several_scans(start, platform):
    """Guards against a start that stops at the first page of notes."""
    append_notes(platform, 1, 450)
    setup = start()
    assert setup.notes.configuration.sequence == 450
    assert setup.readiness[-1] == (True, "")


@pytest.mark.parametrize(
    ("mode", "event"),
    [
        ("up", "snapshot-applied"),
        ("torn", "snapshot-skipped"),
        ("corrupt", "snapshot-skipped"),
        ("missing", "snapshot-skipped"),
    ],
)
def test_start_from_snapshot_or_else_from_notes(start, platform, mode, event):
    """Guards against a torn snapshot that stops or misleads an instance."""
    platform.object_mode = mode
    append_notes(platform, 1, 1)
    writer = start()
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
    writer.tell(NoteSubmitted("operators", 1, Note("b", "rhea", "", (item,))))
    append_notes(platform, 3, 150)
    writer.advance(1000.0, *[2000.0] * 6)
    assert "snapshot-stored" in writer.events
    reader = start()
    assert event in reader.events
    assert reader.notes.configuration == writer.notes.configuration
    assert reader.notes.configuration.sequence == 150


def test_snapshot_waits_for_the_object_store(start, platform):
    """Guards against snapshots that end for good with one outage."""
    platform.object_mode = "down"
    append_notes(platform, 1, 100)
    setup = start()
    setup.advance(*[2000.0] * 6)
    assert "snapshot" not in platform.table.rows
    platform.object_mode = "up"
    setup.advance(*[2000.0] * 12)
    assert platform.table.rows["snapshot"].value["sequence"] == 100


def test_notes_of_a_peer_apply_in_order_only(start, platform):
    """Guards against a gap or a step back through a peer's message."""
    platform.table_mode = "down"
    setup = start()
    setup.tell(NotesOffered(accepted(2, 3)))
    assert setup.notes.configuration.sequence == 0
    setup.tell(NotesOffered(accepted(1, 3)))
    setup.tell(NotesOffered(accepted(1, 2)))
    sequences = [m.configuration.sequence for m in setup.followers[0].received]
    assert sequences == [3]


def test_gap_is_pulled_from_the_peer_and_again_if_lost(start, platform):
    """Guards against an instance that stays behind while the store is down."""
    platform.table_mode = "down"
    setup = start()
    for _ in range(3):
        setup.tell(HeadHeard(4, "i2", PEER))
    assert setup.transfer.received == [NotesPullRequested(PEER, 0)]
    setup.advance(600.0)
    setup.tell(HeadHeard(4, "i2", PEER))
    setup.tell(NotesOffered(accepted(1, 2)))
    pulls = [m for m in setup.transfer.received if isinstance(m, NotesPullRequested)]
    assert pulls == [NotesPullRequested(PEER, after) for after in (0, 0, 2)]


def test_notes_requested_come_from_memory_or_table(start, platform):
    """Guards against history that ends where an instance started."""
    append_notes(platform, 1, 5)
    setup = start()
    setup.tell(NotesRequested("operators", 1, 2, 2))
    assert setup.operators.received[-1] == NotesReplied(1, accepted(3, 4))
    setup.notes._recent.clear()
    setup.tell(NotesRequested("operators", 2, 0, 2))
    assert setup.operators.received[-1] == NotesReplied(2, accepted(1, 2))


def test_not_ready_after_a_freeze_until_a_head_is_heard(start, platform):
    """Guards against an instance that resumes with old notes as ready."""
    append_notes(platform, 1, 1)
    setup = start()
    platform.table_mode = "down"
    setup.advance(6000.0)
    assert setup.readiness[-1] == (False, "no-head-after-freeze")
    setup.tell(HeadHeard(1, "i2", PEER))
    assert setup.readiness[-1] == (True, "")


def test_reply_from_before_a_freeze_is_no_news(start, platform):
    """Guards against a head that is as old as the freeze."""
    append_notes(platform, 1, 1)
    setup = start()
    platform.table_mode = "slow-reply"
    setup.advance(1000.0, 6000.0)
    platform.held.pop(0)()
    run_until_idle(setup.kernel)
    assert setup.readiness[-1] == (False, "no-head-after-freeze")


def test_silence_of_store_and_peers_makes_not_ready(start, platform):
    """Guards against an instance that serves old notes as if current."""
    append_notes(platform, 1, 1)
    setup = start()
    platform.table_mode = "down"
    setup.advance(*[1000.0] * 29)
    assert setup.readiness[-1] == (True, "")
    setup.advance(1000.0)
    assert setup.readiness[-1] == (False, "no-store-or-peer")
    assert setup.notes.configuration.sequence == 1
    platform.table_mode = "up"
    setup.advance(1000.0)
    assert setup.readiness[-1] == (True, "")
