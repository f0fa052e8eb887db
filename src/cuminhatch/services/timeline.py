"""Keeps the latest events of this daemon in memory."""

from collections import deque

from cuminhatch.decisions.hybrid_clock import (
    ZERO_STAMP,
    Stamp,
    advance_stamp,
    merge_stamp,
)
from cuminhatch.decisions.timeline import TimelineEvent, select_events
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    EventRecorded,
    StampAdvanced,
    StampReceived,
    TimelineReplied,
    TimelineRequested,
)

# About 400 bytes an event; 20,000 events take 8 MB of the daemon's 256 MB.
MAX_EVENTS = 20_000


class Timeline(Service):
    """Ring buffer of events stamped by a hybrid logical clock."""

    name = "timeline"

    def __init__(
        self, kernel: Kernel, instance_id: str, max_events: int = MAX_EVENTS
    ) -> None:
        """
        Create the service without events.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance, set in every event.
        :param max_events: capacity of the ring buffer.
        """
        super().__init__(kernel)
        self._instance_id = instance_id
        self._events: deque[TimelineEvent] = deque(maxlen=max_events)
        self._last_stamp: Stamp = ZERO_STAMP

    def message_handlers(self) -> MessageTable:
        """Return the handlers of messages from any service."""
        return {
            EventRecorded: self._on_event_recorded,
            StampReceived: self._on_stamp_received,
            TimelineRequested: self._on_timeline_requested,
        }

    def _on_event_recorded(self, message: EventRecorded) -> None:
        self._last_stamp = advance_stamp(self._last_stamp, self.kernel.clock.wall_ms)
        self._events.append(
            TimelineEvent(self._last_stamp, self._instance_id, *message)
        )
        if not message.request_id:
            # The events of a request are recorded on one instance; only the
            # others need an order across instances.
            self.send("peers", StampAdvanced(self._last_stamp))

    def _on_stamp_received(self, message: StampReceived) -> None:
        self._last_stamp = merge_stamp(
            self._last_stamp, message.stamp, self.kernel.clock.wall_ms
        )

    def _on_timeline_requested(self, message: TimelineRequested) -> None:
        events = select_events(
            self._events, message.request_id, message.note_sequence, message.limit
        )
        self.send(message.reply_to, TimelineReplied(message.token, events))
