"""Rows of the table service that hold notes."""

from typing import Any, TypedDict

from cuminhatch.decisions.notes._types import Note
from cuminhatch.decisions.platform import RowCheck, RowPut, TableTransaction

HEAD_KEY = "head"
NOTES_PREFIX = "note/"
# "0" is the character after "/", so this key is above the keys of all notes.
NOTES_END = "note0"


class HeadValue(TypedDict):
    """Value of row ``head``."""

    sequence: int


class NoteValue(TypedDict):
    """Value of a row ``note/<sequence>``."""

    sequence: int
    digest: str
    note: dict[str, Any]


class NoteIdValue(TypedDict):
    """Value of a row ``note-id/<id>``."""

    sequence: int
    digest: str
    submission: str


def note_key(sequence: int) -> str:
    """
    Return the row key of a note.

    :param sequence: sequence number of the note.
    :returns: a key that sorts in the order of the notes.
    """
    return f"{NOTES_PREFIX}{sequence:012d}"


def note_id_key(note_id: str) -> str:
    """
    Return the key of the row that exists once a note id is in use.

    :param note_id: id of the note.
    """
    return f"note-id/{note_id}"


def plan_append(
    head_version: int,
    head_sequence: int,
    note: Note,
    body: dict[str, Any],
    digest: str,
    submission_id: str,
) -> TableTransaction:
    """
    Plan the transaction that accepts a note.

    :param head_version: version of row ``head``, 0 if it is absent.
    :param head_sequence: sequence number in that row, 0 if it is absent.
    :param note: note to append.
    :param body: the note as stored in the table.
    :param digest: digest of the text of the note.
    :param submission_id: unique id of the submission.
    :returns: a transaction that fails if row ``head`` has changed or the note
        id is in use.
    """
    sequence = head_sequence + 1
    id_key = note_id_key(note.note_id)
    return TableTransaction(
        f"{submission_id}-{head_version}",
        (RowCheck(HEAD_KEY, head_version), RowCheck(id_key, 0)),
        (
            RowPut(HEAD_KEY, dict(HeadValue(sequence=sequence))),
            RowPut(
                note_key(sequence),
                dict(NoteValue(sequence=sequence, digest=digest, note=body)),
            ),
            RowPut(
                id_key,
                dict(
                    NoteIdValue(
                        sequence=sequence, digest=digest, submission=submission_id
                    )
                ),
            ),
        ),
    )
