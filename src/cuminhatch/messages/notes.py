"""Messages about release notes, which change the configuration."""

from typing import NamedTuple

from cuminhatch.decisions.notes import (
    AcceptedNote,
    Note,
    NoteAccepted,
    NoteOutcomeUnknown,
    NoteRefused,
)
from cuminhatch.messages.address import Address


class NoteSubmitted(NamedTuple):
    """An operator has submitted a release note."""

    reply_to: str
    token: int
    note: Note


class NoteDecided(NamedTuple):
    """A submitted note was accepted or refused, or its outcome is unknown."""

    token: int
    result: NoteAccepted | NoteRefused | NoteOutcomeUnknown


class HeadReceived(NamedTuple):
    """Another instance has reported the number of its latest applied note."""

    sequence: int
    instance_id: str
    address: Address


class HeadChanged(NamedTuple):
    """A newer note is in effect on this instance."""

    sequence: int


class NotesPullRequested(NamedTuple):
    """Notes after a sequence number are to be pulled from an instance."""

    address: Address
    after: int


class NotesRequested(NamedTuple):
    """Accepted notes after a sequence number are to be listed."""

    reply_to: str
    token: int
    after: int
    limit: int


class NotesReplied(NamedTuple):
    """Accepted notes in order, the reply to :class:`NotesRequested`."""

    token: int
    notes: tuple[AcceptedNote, ...]


class NotesPulled(NamedTuple):
    """Accepted notes have been pulled from another instance."""

    notes: tuple[AcceptedNote, ...]
