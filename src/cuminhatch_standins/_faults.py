"""Faults of the stand-ins that can be switched on at run time."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import orjson

Faults = Mapping[str, Any]


class FaultSpec(NamedTuple):
    """The value that disables a fault, and the validation of new values."""

    off_value: Any
    is_valid: Callable[[Any], bool]


class InvalidFaults(NamedTuple):
    """Result of a fault change that is malformed or has an invalid value."""

    reason: str


def is_flag(value: Any) -> bool:
    """
    Tell whether a value is a boolean.

    :param value: value from JSON.
    """
    return isinstance(value, bool)


def is_non_negative_number(value: Any) -> bool:
    """
    Tell whether a value is a non-negative number.

    :param value: value from JSON.
    """
    return isinstance(value, int | float) and not is_flag(value) and value >= 0


def is_count(value: Any) -> bool:
    """
    Tell whether a value is a non-negative integer.

    :param value: value from JSON.
    """
    return is_non_negative_number(value) and isinstance(value, int)


def is_probability_or_count(value: Any) -> bool:
    """
    Tell whether a value is a probability (float) or a count (int).

    :param value: value from JSON.
    """
    return is_count(value) or (is_non_negative_number(value) and value <= 1)


def is_flag_or_non_negative_number(value: Any) -> bool:
    """
    Tell whether a value is a boolean or a non-negative number.

    :param value: value from JSON.
    """
    return is_flag(value) or is_non_negative_number(value)


def is_late_transaction_fault(value: Any) -> bool:
    """
    Tell whether a value is null or ``{"count": int, "ms": number}``.

    :param value: value from JSON.
    """
    return value is None or (
        isinstance(value, dict)
        and value.keys() == {"count", "ms"}
        and is_count(value["count"])
        and is_non_negative_number(value["ms"])
    )


def make_disabled_faults(specs: Mapping[str, FaultSpec]) -> Faults:
    """
    Return the values of all faults while they are off.

    :param specs: faults of the stand-in.
    """
    return {name: spec.off_value for name, spec in specs.items()}


def change_faults(
    specs: Mapping[str, FaultSpec], faults: Faults, body: bytes
) -> Faults | InvalidFaults:
    """
    Apply the body of ``POST /faults``.

    :param specs: faults of the stand-in.
    :param faults: current values; those not in the body are unchanged.
    :param body: JSON object that maps names of faults to values.
    """
    try:
        changes = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return InvalidFaults(f"not JSON: {error}")
    if not isinstance(changes, dict):
        return InvalidFaults("not a JSON object")
    for name, value in changes.items():
        if name not in specs:
            return InvalidFaults(f"unknown fault {name!r}; known: {sorted(specs)}")
        if not specs[name].is_valid(value):
            return InvalidFaults(f"fault {name!r} cannot be {value!r}")
    return {**faults, **changes}


COMMON_FAULTS = {
    "outage": FaultSpec(False, is_flag),
    "freeze": FaultSpec(False, is_flag),
    "silent": FaultSpec(False, is_flag),
}
