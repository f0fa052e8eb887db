"""Validation of a note without a configuration."""

import math
import re
from collections.abc import Callable, Mapping
from ipaddress import ip_address
from typing import Any, NamedTuple

from cuminhatch.decisions.notes._types import Note, NoteItem, NoteRefused

ACTIONS = ("add", "change", "withdraw")
WORK_CLASSES = ("short", "long")

_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_METHOD_PATTERN = re.compile(r"[A-Z]+|\*")


class _Field(NamedTuple):
    """
    A field of an item.

    ``find_error`` returns what is wrong with a value, None if it is valid.
    """

    types: tuple[type, ...]
    is_required: bool
    find_error: Callable[[Any], str | None]


def _at_least(minimum: float) -> Callable[[Any], str | None]:
    return lambda value: None if value >= minimum else f"must be at least {minimum}"


def _above(bound: float) -> Callable[[Any], str | None]:
    return lambda value: None if value > bound else f"must be above {bound}"


def _between(low: int, high: int) -> Callable[[Any], str | None]:
    return lambda value: (
        None if low <= value <= high else f"must be between {low} and {high}"
    )


def _one_of(*choices: str) -> Callable[[Any], str | None]:
    return lambda value: (
        None if value in choices else f"must be one of {', '.join(choices)}"
    )


def _matching(pattern: re.Pattern[str], expected: str) -> Callable[[Any], str | None]:
    return lambda value: None if pattern.fullmatch(value) else f"must be {expected}"


def _find_host_error(value: str) -> str | None:
    try:
        ip_address(value)
    except ValueError:
        return "must be an IP address"
    return None


def _accept_any(value: Any) -> None:
    return None


_NUMBER = (int, float)

_find_id_error = _matching(
    _ID_PATTERN, "1 to 100 letters, digits, dots, dashes or underscores"
)


FIELDS: Mapping[str, Mapping[str, _Field]] = {
    "service": {
        "instances_max": _Field((int,), False, _at_least(1)),
        "probe_rate": _Field(_NUMBER, False, _above(0)),
        "long_slots": _Field((int,), False, _at_least(0)),
        "slow_start_ms": _Field(_NUMBER, False, _at_least(0)),
    },
    "backend_server": {
        "service_id": _Field((str,), True, _find_id_error),
        "host": _Field((str,), True, _find_host_error),
        "port": _Field((int,), True, _between(1, 65535)),
        "failure_domain": _Field((str,), True, _matching(re.compile(r".+"), "a name")),
        "slots": _Field((int,), True, _at_least(1)),
        "connections": _Field((int,), True, _at_least(1)),
    },
    "rule": {
        "service_id": _Field((str,), True, _find_id_error),
        "method": _Field((str,), True, _matching(_METHOD_PATTERN, "upper case or *")),
        "path_prefix": _Field(
            (str,),
            True,
            _matching(
                re.compile(r"/[^\s?#]*"),
                "a path that starts with / and has no space, ? or #",
            ),
        ),
        "work_class": _Field((str,), False, _one_of(*WORK_CLASSES)),
        "idempotent": _Field((bool,), False, _accept_any),
        "deadline_ms": _Field(_NUMBER, False, _above(0)),
        "response_timeout_ms": _Field(_NUMBER, False, _above(0)),
    },
}


def _find_value_error(field: _Field, value: Any) -> str | None:
    # bool is a subclass of int, but not valid where a number is expected.
    if not isinstance(value, field.types) or (
        isinstance(value, bool) and bool not in field.types
    ):
        return f"must be of type {' or '.join(type_.__name__ for type_ in field.types)}"
    if isinstance(value, float) and not math.isfinite(value):
        return "must be a finite number"
    if isinstance(value, int) and abs(value) >= 2**53:
        return "is too large"
    return field.find_error(value)


def _find_item_error(item: NoteItem) -> str | None:
    if item.kind not in FIELDS:
        return f"unknown kind; use one of {', '.join(FIELDS)}"
    if item.action not in ACTIONS:
        return f"unknown action {item.action!r}; use one of {', '.join(ACTIONS)}"
    error = _find_id_error(item.item_id)
    if error is not None:
        return f"id {error}"
    fields = FIELDS[item.kind]
    if item.action == "withdraw":
        return "a withdrawal has no fields; remove them" if item.values else None
    if item.action == "change" and not item.values:
        return "a change needs at least one field"
    for name, value in item.values.items():
        if name not in fields:
            return f"unknown field {name}; use some of {', '.join(fields)}"
        error = _find_value_error(fields[name], value)
        if error is not None:
            return f"{name} {error}, not {value!r}"
    if item.action == "add":
        for name, field in fields.items():
            if field.is_required and name not in item.values:
                return f"field {name} is missing; add it"
    return None


def check_note_fields(note: Note) -> NoteRefused | None:
    """
    Validate a note without a configuration.

    :param note: note to validate.
    :returns: None if it is valid, otherwise a refusal that names the item and
        how to correct it.
    """
    for name, value in (("id", note.note_id), ("author", note.author)):
        error = _find_id_error(value) if name == "id" else None
        if error is not None or not value.strip():
            return NoteRefused(f"{name} {error or 'is empty; set it'}")
    if note.base is not None and not 0 <= note.base < 2**53:
        return NoteRefused("base must be the sequence number of a note, or 0")
    if not note.items:
        return NoteRefused("the note has no items; add at least one")
    seen = set()
    for item in note.items:
        error = _find_item_error(item)
        if error is None and (item.kind, item.item_id) in seen:
            error = "named by two items of the note; merge them"
        if error is not None:
            return NoteRefused(f"{item.kind} {item.item_id}: {error}")
        seen.add((item.kind, item.item_id))
    return None
