"""Messages with timeline events, log events and metrics."""

from typing import Any, NamedTuple

from cuminhatch.decisions.hybrid_clock import Stamp
from cuminhatch.decisions.timeline import TimelineEvent


class EventRecorded(NamedTuple):
    """
    An event for the timeline or the event log.

    ``request_id`` is the value of ``X-Request-Id`` if the event is about a
    request, otherwise empty. ``note_sequence`` is the sequence number of the
    release note that the event is about, otherwise 0. An event about a request
    has the sequence number of the configuration in use in
    ``details["note_sequence"]`` instead, so that the events selected for a
    note exclude those of requests.
    """

    part: str
    name: str
    request_id: str
    note_sequence: int
    details: dict[str, Any]


class CounterIncremented(NamedTuple):
    """A counter is to be incremented."""

    name: str
    labels: dict[str, str]
    amount: float = 1.0


class ValueObserved(NamedTuple):
    """A sample for a histogram, in the unit given by the end of its name."""

    name: str
    labels: dict[str, str]
    value: float


class Gauge(NamedTuple):
    """A metric that can go up and down, with its current value."""

    name: str
    labels: dict[str, str]
    value: float


class GaugesRequested(NamedTuple):
    """The metrics are being scraped; a service is to report its gauges."""

    reply_to: str
    token: int


class GaugesReported(NamedTuple):
    """The current gauges of one service."""

    token: int
    gauges: tuple[Gauge, ...]


class TimelineRequested(NamedTuple):
    """
    Timeline events are to be listed.

    Events must match both ``request_id`` and ``note_sequence``; an empty
    ``request_id`` and a ``note_sequence`` of 0 match any event.
    """

    reply_to: str
    token: int
    request_id: str
    note_sequence: int
    limit: int


class TimelineReplied(NamedTuple):
    """Timeline events in the order of their timestamps."""

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


class StampReceived(NamedTuple):
    """Another instance has sent the timestamp of its latest event."""

    stamp: Stamp


class StampAdvanced(NamedTuple):
    """The timestamp to be sent to other instances has advanced."""

    stamp: Stamp
