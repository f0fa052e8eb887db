"""Release notes: checks, conflicts, acceptance."""

from collections.abc import Mapping
from typing import Any, NamedTuple


class NoteItem(NamedTuple):
    """
    One change of a note.

    ``action`` is ``add``, ``change`` or ``withdraw``; ``kind`` is
    ``service``, ``backend_server`` or ``rule``; ``item_id`` is unique per
    kind. ``values`` are the fields given, empty for ``withdraw``.
    """

    action: str
    kind: str
    item_id: str
    values: Mapping[str, Any]


class Note(NamedTuple):
    """A release note as written by an operator."""

    note_id: str
    author: str
    summary: str
    items: tuple[NoteItem, ...]


class AcceptedNote(NamedTuple):
    """A note with its place in the order of all notes."""

    sequence: int
    note: Note


class NoteAccepted(NamedTuple):
    """The note is in the table; ``is_repeated`` if it was there before."""

    sequence: int
    is_repeated: bool


class NoteRefused(NamedTuple):
    """Sentinel: the note is not accepted, and never was."""

    reason: str


class NoteOutcomeUnknown(NamedTuple):
    """Sentinel: whether the note was accepted cannot be told yet."""

    reason: str
