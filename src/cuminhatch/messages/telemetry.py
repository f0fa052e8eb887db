"""Events for the timeline and samples for the metrics, from any service."""

from typing import Any, NamedTuple

from cuminhatch.decisions.hybrid_clock import Stamp
from cuminhatch.decisions.timeline import TimelineEvent


class EventRecorded(NamedTuple):
    """
    Something worth a line on the timeline.

    ``note_sequence`` is that of the note which the event is about, 0 for
    others. An event about a request gives the configuration that the request
    followed as ``details["note_sequence"]``, so that the events of a note
    leave out its requests.
    """

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


class Gauge(NamedTuple):
    """A metric that rises and falls, with its present value."""

    name: str
    labels: dict[str, str]
    value: float


class GaugesRequested(NamedTuple):
    """The metrics are about to be read; a part is to tell its gauges."""

    reply_to: str
    token: int


class GaugesReported(NamedTuple):
    """The gauges of one part."""

    token: int
    gauges: tuple[Gauge, ...]


class TimelineRequested(NamedTuple):
    """
    Events are to be listed.

    An empty ``request_id`` or a ``note_sequence`` of 0 selects all.
    """

    reply_to: str
    token: int
    request_id: str
    note_sequence: int
    limit: int


class TimelineReplied(NamedTuple):
    """Events in the order of their stamps."""

    token: int
    events: tuple[TimelineEvent, ...]


class MetricsRequested(NamedTuple):
    """The metrics are to be rendered."""

    reply_to: str
    token: int


class MetricsReplied(NamedTuple):
    """The metrics in the text format of Prometheus."""

    token: int
    content_type: str
    data: bytes


class StampHeard(NamedTuple):
    """Another instance has sent the stamp of its latest event."""

    stamp: Stamp


class StampAdvanced(NamedTuple):
    """The stamp to be sent to other instances."""

    stamp: Stamp
