"""Timeline events and filters on them."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from cuminhatch.decisions.hybrid_clock import Stamp


class TimelineEvent(NamedTuple):
    """
    One event of one instance.

    ``part`` is the kernel service that recorded it. ``request_id`` is empty
    and ``note_sequence`` is 0 if the event concerns no request or no note.
    """

    stamp: Stamp
    instance_id: str
    part: str
    name: str
    request_id: str
    note_sequence: int
    details: dict[str, Any]


def select_events(
    events: Iterable[TimelineEvent],
    request_id: str,
    note_sequence: int,
    limit: int,
) -> tuple[TimelineEvent, ...]:
    """
    Return the latest events that match the given request and note.

    :param events: events in any order.
    :param request_id: id of the request, empty for any.
    :param note_sequence: sequence number of the note, 0 for any.
    :param limit: maximum number of events to return.
    :returns: events in the order of their timestamps.
    """
    selected = [
        event
        for event in events
        if (not request_id or event.request_id == request_id)
        and (not note_sequence or event.note_sequence == note_sequence)
    ]
    selected.sort(key=lambda event: (event.stamp, event.instance_id))
    return tuple(selected[-limit:]) if limit else ()
