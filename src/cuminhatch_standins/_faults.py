"""Faults of the stand-ins that can be switched on at run time."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import orjson

Faults = Mapping[str, Any]


class FaultSpec(NamedTuple):
    """One fault: its value while off, and which values it may have."""

    off: Any
    is_valid: Callable[[Any], bool]


class FaultsRefused(NamedTuple):
    """Sentinel: the change of faults is not understood."""

    reason: str


def is_flag(value: Any) -> bool:
    """
    Tell whether a value switches a fault on or off.

    :param value: value from JSON.
    """
    return isinstance(value, bool)


def is_number(value: Any) -> bool:
    """
    Tell whether a value is a number that is not negative.

    :param value: value from JSON.
    """
    return isinstance(value, int | float) and not is_flag(value) and value >= 0


def is_count(value: Any) -> bool:
    """
    Tell whether a value is a number of occasions.

    :param value: value from JSON.
    """
    return is_number(value) and isinstance(value, int)


def is_probability_or_count(value: Any) -> bool:
    """
    Tell whether a value is a probability (float) or a count (int).

    :param value: value from JSON.
    """
    return is_count(value) or (is_number(value) and value <= 1)


def is_flag_or_number(value: Any) -> bool:
    """
    Tell whether a value is a flag or a number that is not negative.

    :param value: value from JSON.
    """
    return is_flag(value) or is_number(value)


def is_late_write(value: Any) -> bool:
    """
    Tell whether a value is null or ``{"count": int, "ms": number}``.

    :param value: value from JSON.
    """
    return value is None or (
        isinstance(value, dict)
        and value.keys() == {"count", "ms"}
        and is_count(value["count"])
        and is_number(value["ms"])
    )


def faults_off(specs: Mapping[str, FaultSpec]) -> Faults:
    """
    Return all faults switched off.

    :param specs: faults of the stand-in.
    """
    return {name: spec.off for name, spec in specs.items()}


def change_faults(
    specs: Mapping[str, FaultSpec], faults: Faults, body: bytes
) -> Faults | FaultsRefused:
    """
    Apply the body of ``POST /faults``.

    :param specs: faults of the stand-in.
    :param faults: present values; names not in the body keep theirs.
    :param body: JSON object from names to values.
    """
    try:
        changes = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return FaultsRefused(f"not JSON: {error}")
    if not isinstance(changes, dict):
        return FaultsRefused("not a JSON object")
    for name, value in changes.items():
        if name not in specs:
            return FaultsRefused(f"unknown fault {name!r}; known: {sorted(specs)}")
        if not specs[name].is_valid(value):
            return FaultsRefused(f"fault {name!r} cannot be {value!r}")
    return {**faults, **changes}


COMMON_FAULTS = {
    "outage": FaultSpec(False, is_flag),
    "freeze": FaultSpec(False, is_flag),
    "silent": FaultSpec(False, is_flag),
}
