"""Notes as operators write them, and the results of submitting them."""

from collections.abc import Mapping
from typing import Any, NamedTuple


class NoteItem(NamedTuple):
    """
    One change of a note.

    ``action`` is ``add``, ``change`` or ``withdraw``; ``kind`` is
    ``service``, ``backend_server`` or ``rule``; ``item_id`` is unique per
    kind. ``values`` holds the fields to set, empty for ``withdraw``.
    """

    action: str
    kind: str
    item_id: str
    values: Mapping[str, Any]


class Note(NamedTuple):
    """
    A release note: a change of the configuration written by an operator.

    ``base`` is the sequence number of the configuration that the note was
    written against, None for the head at the time of the submission. A note
    accepted after the base that modifies one of the same items is a conflict.
    """

    note_id: str
    author: str
    summary: str
    items: tuple[NoteItem, ...]
    base: int | None = None


class AcceptedNote(NamedTuple):
    """A note with its sequence number."""

    sequence: int
    note: Note


class NoteAccepted(NamedTuple):
    """
    Result: the note is accepted.

    ``is_repeated`` tells that an earlier submission of it was accepted.
    """

    sequence: int
    is_repeated: bool


class NoteRefused(NamedTuple):
    """Result: no write of this submission has taken or can take effect."""

    reason: str


class NoteOutcomeUnknown(NamedTuple):
    """Result: it is not known yet whether the note was accepted."""

    reason: str


class Conflict(NamedTuple):
    """Result: a newer note modifies an item of the note."""

    kind: str
    item_id: str
    sequence: int
    note_id: str
    reason: str = "conflict"
