"""Note files as operators write them."""

import tomllib
from typing import Any

from cuminhatch.decisions.notes import Note, NoteItem
from cuminhatch.errors import CodecError

KINDS = ("service", "backend_server", "rule")
_TEXTS = ("id", "author", "summary")
_KEYS = (*_TEXTS, "base", *KINDS)


def parse_note(text: str, file_name: str) -> Note:
    """
    Read a note file.

    :param text: content of the file.
    :param file_name: name of the file, for errors.
    :returns: the note; its fields are checked by ``check_note``.
    :raises CodecError: the text is not TOML or not of the form of a note; the
        error names file, line or key, and what to do.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise CodecError(f"{file_name}: not valid TOML: {error}") from error
    for key in data:
        if key not in _KEYS:
            raise CodecError(
                f"{file_name}: unknown key {key}; use some of {', '.join(_KEYS)}"
            )
    for key in _TEXTS:
        if not isinstance(data.get(key), str):
            raise CodecError(f"{file_name}: {key} must be a string; set it")
    base = data.get("base")
    if base is not None and type(base) is not int:
        raise CodecError(f"{file_name}: base must be the sequence number of a note")
    items = tuple(
        _parse_item(table, kind, f"{file_name}: {kind}[{number}]")
        for kind in KINDS
        for number, table in enumerate(_tables_of(data, kind, file_name), 1)
    )
    return Note(data["id"], data["author"], data["summary"], items, base)


def _tables_of(data: dict[str, Any], kind: str, file_name: str) -> list[Any]:
    tables = data.get(kind, [])
    if not isinstance(tables, list):
        raise CodecError(f"{file_name}: {kind} must be written as [[{kind}]]")
    return tables


def _parse_item(table: Any, kind: str, place: str) -> NoteItem:
    if not isinstance(table, dict):
        raise CodecError(f"{place} must be a table; write it as [[{kind}]]")
    values = dict(table)
    action = values.pop("action", "add")
    item_id = values.pop("id", None)
    if not isinstance(action, str):
        raise CodecError(f"{place}.action must be a string, such as 'add'")
    if not isinstance(item_id, str):
        raise CodecError(f"{place}.id must be a string; set it")
    for name, value in values.items():
        if not isinstance(value, str | int | float):
            raise CodecError(
                f"{place}.{name} ({item_id}) must be a string, a number or a flag"
            )
    return NoteItem(action, kind, item_id, values)
