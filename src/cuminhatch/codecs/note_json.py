"""
Encode notes, and snapshots of the configuration, as JSON.

They are stored in rows of the table service and in the object store, and sent
to peers.
"""

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
    Convert a note to a JSON object.

    :param note: note to convert.
    :returns: the JSON object as a dictionary.
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
    Convert a JSON object to a note.

    :param data: object as returned by :func:`note_to_dict`.
    :returns: the note; types are checked, but not the values of its items.
    :raises CodecError: the value is not the JSON object of a note.
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
        raise CodecError(
            "not a note: id, author or summary, or action, kind or id of an item, "
            "is not a string"
        )
    if note.base is not None and type(note.base) is not int:
        raise CodecError("not a note: base is not an integer")
    return note


def encode_note(note: Note) -> bytes:
    """
    Encode a note; equal notes give equal bytes.

    :param note: note to encode.
    :returns: JSON with sorted keys.
    :raises CodecError: a value cannot be represented in JSON.
    """
    try:
        return orjson.dumps(note_to_dict(note), option=orjson.OPT_SORT_KEYS)
    except TypeError as error:
        raise CodecError(f"note {note.note_id}: {error}") from error


def decode_note(data: bytes) -> Note:
    """
    Decode a note.

    :param data: JSON as returned by :func:`encode_note`.
    :returns: the note; types are checked, but not the values of its items.
    :raises CodecError: the data is not the JSON of a note.
    """
    try:
        return note_from_dict(orjson.loads(data))
    except orjson.JSONDecodeError as error:
        raise CodecError(f"not a note: {error}") from error


def digest_note(note: Note) -> str:
    """
    Return the digest of an encoded note.

    :param note: valid note.
    :returns: SHA-256 in hexadecimal.
    :raises CodecError: a value cannot be represented in JSON.
    """
    return digest_bytes(encode_note(note))


def digest_bytes(data: bytes) -> str:
    """
    Return the digest of the given bytes.

    :param data: encoded note, or content of an object in the object store.
    :returns: SHA-256 in hexadecimal.
    """
    return sha256(data).hexdigest()


def accepted_note_from_row(value: Any) -> AcceptedNote:
    """
    Convert the JSON object of an accepted note.

    :param value: JSON object, as in the row ``note/<sequence>`` and in
        messages between daemons.
    :returns: the note with its sequence number.
    :raises CodecError: the value is not the JSON object of an accepted note.
    """
    if not isinstance(value, dict) or type(value.get("sequence")) is not int:
        raise CodecError("not an accepted note: sequence is not an integer")
    return AcceptedNote(value["sequence"], note_from_dict(value.get("note")))


def encode_snapshot(configuration: Configuration) -> bytes:
    """
    Encode a snapshot of a configuration.

    Equal configurations with their entries in the same order give equal bytes.

    :param configuration: configuration to encode.
    :returns: JSON; each entry is a list of its field values.
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
    Decode a snapshot of a configuration.

    :param data: JSON as returned by :func:`encode_snapshot`.
    :raises CodecError: the data is not the JSON of a snapshot.
    """
    try:
        stored = orjson.loads(data)
        return Configuration(
            stored["sequence"],
            *(
                MappingProxyType(
                    {entry[0]: decode_entry(*entry) for entry in stored[name]}
                )
                for name, decode_entry in (
                    ("services", ServiceSpec),
                    ("servers", BackendServer),
                    ("rules", _decode_rule),
                )
            ),
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise CodecError(f"not a snapshot: {error!r}") from error


def _decode_rule(*fields: Any) -> Rule:
    rule = Rule(*fields)
    return rule._replace(parts=tuple(TrafficPart(*part) for part in rule.parts))
