"""Notes as operators write them, and what becomes of them."""

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
    """
    A release note as written by an operator.

    ``base`` is the sequence number that the operator wrote the note against;
    a later note that touches one of its items is a conflict. None stands for
    the head at the time of the submission.
    """

    note_id: str
    author: str
    summary: str
    items: tuple[NoteItem, ...]
    base: int | None = None


class AcceptedNote(NamedTuple):
    """A note with its place in the order of all notes."""

    sequence: int
    note: Note


class NoteAccepted(NamedTuple):
    """The note is in the table; ``is_repeated`` if it was there before."""

    sequence: int
    is_repeated: bool


class NoteRefused(NamedTuple):
    """Sentinel: no write of this submission took effect or ever can."""

    reason: str


class NoteOutcomeUnknown(NamedTuple):
    """Sentinel: whether the note was accepted cannot be told yet."""

    reason: str


class Conflict(NamedTuple):
    """Sentinel: a newer note touches an item of the note."""

    kind: str
    item_id: str
    sequence: int
    note_id: str
    reason: str = "conflict"
