"""Events for the timeline and samples for the metrics, from any service."""

from typing import Any, NamedTuple


class EventRecorded(NamedTuple):
    """Something worth a line on the timeline."""

    part: str
    name: str
    request_id: str
    note_sequence: int
    details: dict[str, Any]


class CounterIncremented(NamedTuple):
    """A metric that only rises has risen."""

    name: str
    labels: dict[str, str]
    amount: float = 1.0


class ValueObserved(NamedTuple):
    """A sample for a histogram, in the unit that its name ends with."""

    name: str
    labels: dict[str, str]
    value: float
