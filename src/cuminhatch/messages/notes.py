"""Messages about release notes and the configuration in force."""

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
    """An operator has submitted a note."""

    reply_to: str
    token: int
    note: Note


class NoteDecided(NamedTuple):
    """A submitted note is accepted, refused, or its outcome is unknown."""

    token: int
    result: NoteAccepted | NoteRefused | NoteOutcomeUnknown


class HeadHeard(NamedTuple):
    """Another instance follows a note of this sequence number."""

    sequence: int
    instance_id: str
    address: Address


class HeadChanged(NamedTuple):
    """A newer note is in force on this instance."""

    sequence: int


class NotesPullRequested(NamedTuple):
    """Notes after a sequence number are to be pulled from an instance."""

    address: Address
    after: int


class NotesRequested(NamedTuple):
    """Another instance asks for accepted notes after a sequence number."""

    reply_to: str
    token: int
    after: int
    limit: int


class NotesReplied(NamedTuple):
    """Accepted notes in order, as asked for by :class:`NotesRequested`."""

    token: int
    notes: tuple[AcceptedNote, ...]


class NotesOffered(NamedTuple):
    """Accepted notes have been pulled from another instance."""

    notes: tuple[AcceptedNote, ...]
