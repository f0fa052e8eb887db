"""
Encode the configuration and accepted notes as JSON.

The configuration is for operators, accepted notes are for operators and other
daemons.
"""

from collections.abc import Mapping
from typing import Any

import orjson

from cuminhatch.codecs.note_json import accepted_note_from_row, note_to_dict
from cuminhatch.decisions.configuration import Configuration
from cuminhatch.decisions.notes import AcceptedNote
from cuminhatch.errors import CodecError


def encode_configuration(configuration: Configuration) -> bytes:
    """
    Encode a configuration, with entries as JSON objects.

    :param configuration: configuration in force.
    :returns: JSON with the sequence number, and with services, backend servers
        and rules by id.
    """

    def by_id(entries: Mapping[str, Any]) -> dict[str, Any]:
        return {entry_id: entry._asdict() for entry_id, entry in entries.items()}

    return orjson.dumps(
        {
            "sequence": configuration.sequence,
            "services": by_id(configuration.services),
            "backend_servers": by_id(configuration.servers),
            "rules": by_id(configuration.rules),
        }
    )


def accepted_note_to_dict(accepted: AcceptedNote) -> dict[str, Any]:
    """
    Convert an accepted note to a JSON object.

    :param accepted: note with its sequence number.
    """
    return {"sequence": accepted.sequence, "note": note_to_dict(accepted.note)}


def encode_accepted_note(accepted: AcceptedNote) -> bytes:
    """
    Encode an accepted note.

    :param accepted: note with its sequence number.
    """
    return orjson.dumps(accepted_note_to_dict(accepted))


def decode_accepted_note(data: bytes) -> AcceptedNote:
    """
    Decode an accepted note.

    :param data: JSON as returned by :func:`encode_accepted_note`.
    :raises CodecError: the data is not the JSON of an accepted note.
    """
    try:
        return accepted_note_from_row(orjson.loads(data))
    except orjson.JSONDecodeError as error:
        raise CodecError(f"not an accepted note: {error}") from error
