"""Notes and snapshots as JSON, for table rows, peers and the object store."""

from hashlib import sha256
from types import MappingProxyType
from typing import Any

import orjson

from cuminhatch.decisions.configuration import (
    BackendServer,
    Configuration,
    Rule,
    ServiceSpec,
    TrafficPart,
)
from cuminhatch.decisions.notes import AcceptedNote, Note, NoteItem
from cuminhatch.errors import CodecError


def note_to_dict(note: Note) -> dict[str, Any]:
    """
    Return a note as JSON values.

    :param note: note to encode.
    :returns: a dictionary of plain values.
    """
    return {
        "id": note.note_id,
        "author": note.author,
        "summary": note.summary,
        "base": note.base,
        "items": [
            {
                "action": item.action,
                "kind": item.kind,
                "id": item.item_id,
                "values": dict(item.values),
            }
            for item in note.items
        ],
    }


def note_from_dict(data: Any) -> Note:
    """
    Return the note in JSON values.

    :param data: value made by :func:`note_to_dict`.
    :returns: the note; its fields are not checked.
    :raises CodecError: the value has another shape.
    """
    try:
        note = Note(
            data["id"],
            data["author"],
            data["summary"],
            tuple(
                NoteItem(item["action"], item["kind"], item["id"], dict(item["values"]))
                for item in data["items"]
            ),
            data["base"],
        )
    except (KeyError, TypeError, ValueError) as error:
        raise CodecError(f"not a note: {error!r}") from error
    texts = (note.note_id, note.author, note.summary) + tuple(
        text for item in note.items for text in item[:3]
    )
    if not all(isinstance(text, str) for text in texts):
        raise CodecError("not a note: an id, name or text is not a string")
    if note.base is not None and type(note.base) is not int:
        raise CodecError("not a note: base is not a number")
    return note


def encode_note(note: Note) -> bytes:
    """
    Encode a note; the same note always gives the same bytes.

    :param note: note to encode.
    :returns: JSON with sorted keys.
    :raises CodecError: a value has no JSON form.
    """
    try:
        return orjson.dumps(note_to_dict(note), option=orjson.OPT_SORT_KEYS)
    except TypeError as error:
        raise CodecError(f"note {note.note_id}: {error}") from error


def decode_note(data: bytes) -> Note:
    """
    Decode a note.

    :param data: JSON made by :func:`encode_note`.
    :returns: the note; its fields are not checked.
    :raises CodecError: the data is not such JSON.
    """
    try:
        return note_from_dict(orjson.loads(data))
    except orjson.JSONDecodeError as error:
        raise CodecError(f"not a note: {error}") from error


def digest_note(note: Note) -> str:
    """
    Return the digest of a note's text.

    :param note: note that passed its checks.
    :returns: SHA-256 in hexadecimal.
    :raises CodecError: a value has no JSON form.
    """
    return digest_bytes(encode_note(note))


def digest_bytes(data: bytes) -> str:
    """
    Return the digest of an object.

    :param data: content of the object.
    :returns: SHA-256 in hexadecimal.
    """
    return sha256(data).hexdigest()


def accepted_from_row(value: Any) -> AcceptedNote:
    """
    Return the note in a row ``note/<sequence>``.

    :param value: value of the row.
    :returns: the note with its sequence number.
    :raises CodecError: the value has another shape.
    """
    if not isinstance(value, dict) or type(value.get("sequence")) is not int:
        raise CodecError("not a row of a note: no sequence number")
    return AcceptedNote(value["sequence"], note_from_dict(value.get("note")))


def encode_snapshot(configuration: Configuration) -> bytes:
    """
    Encode a configuration; equal ones in equal order give equal bytes.

    :param configuration: configuration to store.
    :returns: JSON; entries are lists of their fields.
    """
    return orjson.dumps(
        {
            "sequence": configuration.sequence,
            "services": [list(entry) for entry in configuration.services.values()],
            "servers": [list(entry) for entry in configuration.servers.values()],
            "rules": [list(entry) for entry in configuration.rules.values()],
        }
    )


def decode_snapshot(data: bytes) -> Configuration:
    """
    Decode a configuration.

    :param data: JSON made by :func:`encode_snapshot`.
    :returns: the configuration.
    :raises CodecError: the data is not such JSON.
    """
    try:
        stored = orjson.loads(data)
        return Configuration(
            stored["sequence"],
            *(
                MappingProxyType({entry[0]: kind(*entry) for entry in stored[name]})
                for name, kind in (
                    ("services", ServiceSpec),
                    ("servers", BackendServer),
                    ("rules", _rule_from_list),
                )
            ),
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise CodecError(f"not a snapshot: {error!r}") from error


def _rule_from_list(*fields: Any) -> Rule:
    rule = Rule(*fields)
    return rule._replace(parts=tuple(TrafficPart(*part) for part in rule.parts))
