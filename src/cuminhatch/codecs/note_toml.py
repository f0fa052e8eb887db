"""
Parse note files, which operators write in TOML.

A note is a set of changes of the configuration.
"""

import tomllib
from typing import Any

from cuminhatch.decisions.notes import Note, NoteItem
from cuminhatch.errors import CodecError

KINDS = ("service", "backend_server", "rule")
_STRING_KEYS = ("id", "author", "summary")
_KNOWN_KEYS = (*_STRING_KEYS, "base", *KINDS)


def parse_note(text: str, file_name: str) -> Note:
    """
    Parse a note file.

    :param text: content of the file, in TOML.
    :param file_name: file name for error messages.
    :returns: the note; the values of its fields are not validated.
    :raises CodecError: the text is not TOML or not a note; the message names
        the file, the line or key, and how to correct it.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise CodecError(f"{file_name}: not valid TOML: {error}") from error
    for key in data:
        if key not in _KNOWN_KEYS:
            raise CodecError(
                f"{file_name}: unknown key {key}; use some of {', '.join(_KNOWN_KEYS)}"
            )
    for key in _STRING_KEYS:
        if not isinstance(data.get(key), str):
            raise CodecError(f"{file_name}: {key} must be a string, and is required")
    base = data.get("base")
    if base is not None and type(base) is not int:
        raise CodecError(
            f"{file_name}: base must be the sequence number of a configuration"
        )
    items = tuple(
        _parse_item(table, kind, f"{file_name}: {kind}[{number}]")
        for kind in KINDS
        for number, table in enumerate(_get_tables(data, kind, file_name), 1)
    )
    return Note(data["id"], data["author"], data["summary"], items, base)


def _get_tables(data: dict[str, Any], kind: str, file_name: str) -> list[Any]:
    tables = data.get(kind, [])
    if not isinstance(tables, list):
        raise CodecError(f"{file_name}: {kind} must be written as [[{kind}]]")
    return tables


def _parse_item(table: Any, kind: str, location: str) -> NoteItem:
    if not isinstance(table, dict):
        raise CodecError(f"{location} must be a table; write it as [[{kind}]]")
    values = dict(table)
    action = values.pop("action", "add")
    item_id = values.pop("id", None)
    if not isinstance(action, str):
        raise CodecError(f"{location}.action must be a string, such as 'add'")
    if not isinstance(item_id, str):
        raise CodecError(f"{location}.id must be a string, and is required")
    for name, value in values.items():
        if not isinstance(value, str | int | float):
            raise CodecError(
                f"{location}.{name} ({item_id}) must be a string, a number or a boolean"
            )
    return NoteItem(action, kind, item_id, values)
