"""Tests of heartbeats and note transfer between daemons over loopback."""

from random import Random

import pytest

from cuminhatch import ManualClock
from cuminhatch.decisions.notes import AcceptedNote, Note, NoteItem
from cuminhatch.kernel import Kernel
from cuminhatch.messages import (
    Address,
    HeadChanged,
    HeadReceived,
    LoadObserved,
    MembershipChanged,
    NotesPulled,
    NotesPullRequested,
    NotesReplied,
    NotesRequested,
    PermitReleaseRequested,
    RemotePermitNeeded,
    StampReceived,
)
from cuminhatch.services.note_transfer import NoteTransfer
from cuminhatch.services.peers import HEARTBEAT_INTERVAL_MS, Peers
from tests.support import Recorder

LOCAL = Address("127.0.0.1", 0)
NOTE = Note("n1", "ann", "first", (NoteItem("withdraw", "rule", "r1", {}),))


KINDS = (
    HeadReceived,
    LoadObserved,
    MembershipChanged,
    NotesPulled,
    PermitReleaseRequested,
)


def reply_to_notes_requested(message):
    sequences = [message.after + n for n in range(1, min(message.limit, 3) + 1)]
    notes = tuple(AcceptedNote(sequence, NOTE) for sequence in sequences)
    return NotesReplied(message.token, notes)


REPLIES = {NotesRequested: reply_to_notes_requested}


class Instance:
    """The peers and note transfer of a daemon, other services recorded."""

    def __init__(self, name, seeds=(), key="key"):
        self.kernel = Kernel(ManualClock(1000.0))
        self.recorders = {}
        for service in ("notes", "dispatch", "permits", "timeline"):
            recorder = Recorder(
                self.kernel, service, *KINDS, StampReceived, replies=REPLIES
            )
            self.recorders[service] = self.kernel.register(recorder)
        self.peers = Peers(self.kernel, LOCAL, key, name, seeds, Random(1))
        self.kernel.register(self.peers)
        self.transfer = self.kernel.register(NoteTransfer(self.kernel, LOCAL, key))
        self.kernel.open()

    def received(self, service, kind):
        return [m for m in self.recorders[service].received if type(m) is kind]


def run(*instances, steps=20, step_ms=0.0):
    for _ in range(steps):
        for instance in instances:
            instance.kernel.clock.advance(step_ms)
            instance.kernel.tick(0.001)


@pytest.fixture
def pair():
    first = Instance("i1")
    second = Instance("i2", (first.peers.address,))
    run(first, second, steps=30, step_ms=HEARTBEAT_INTERVAL_MS / 5)
    return first, second


def test_instances_find_each_other_from_one_seed(pair):
    """Guards against groups of instances that never discover each other."""
    for instance, other_id in zip(pair, ("i2", "i1"), strict=True):
        changes = instance.received("dispatch", MembershipChanged)
        assert [member.instance_id for member in changes[-1].members] == [other_id]


def test_new_head_is_sent_at_once(pair):
    """Guards against a note that waits for the next regular heartbeat."""
    first, second = pair
    first.kernel.send("peers", HeadChanged(7))
    run(first, second)
    heard = second.received("notes", HeadReceived)[-1]
    assert (heard.sequence, heard.instance_id) == (7, "i1")


def test_load_samples_and_permit_wishes_reach_the_other_instance(pair):
    """Guards against probe results that stay on one instance."""
    first, second = pair
    observed = ("b1", 2, 1, 3, 4.0, False)
    now_ms = first.kernel.clock.now_ms
    first.kernel.send("peers", LoadObserved(*observed, now_ms, "probe"))
    first.kernel.send("peers", RemotePermitNeeded("i2", "long", "b1"))
    run(first, second, step_ms=HEARTBEAT_INTERVAL_MS / 5)
    sample = second.received("dispatch", LoadObserved)[0]
    assert sample[:6] == observed
    assert PermitReleaseRequested("i1", "long", "b1") in second.received(
        "permits", PermitReleaseRequested
    )


def test_messages_with_a_wrong_key_are_ignored():
    """Guards against messages of a host that does not have the key."""
    first = Instance("i1")
    other = Instance("i2", (first.peers.address,), key="other")
    run(first, other, step_ms=HEARTBEAT_INTERVAL_MS / 5)
    assert first.received("dispatch", MembershipChanged) == []
    other.kernel.send("note_transfer", NotesPullRequested(first.transfer.address, 0))
    run(first, other)
    assert other.received("notes", NotesPulled) == []


def test_missing_notes_are_pulled(pair):
    """Guards against an instance that stays outdated without the store."""
    first, second = pair
    second.kernel.send("note_transfer", NotesPullRequested(first.transfer.address, 4))
    run(first, second)
    offered = second.received("notes", NotesPulled)[0]
    assert [accepted.sequence for accepted in offered.notes] == [5, 6, 7]
    assert offered.notes[0].note == NOTE
