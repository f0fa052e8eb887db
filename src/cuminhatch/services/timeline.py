"""Keeps the latest events of this daemon."""

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
    StampHeard,
    TimelineReplied,
    TimelineRequested,
)

# About 400 bytes an event; 20,000 events take 8 MB of the daemon's 256 MB.
MAX_EVENTS = 20_000


class Timeline(Service):
    """A ring buffer of events with stamps."""

    name = "timeline"

    def __init__(
        self, kernel: Kernel, instance_id: str, max_events: int = MAX_EVENTS
    ) -> None:
        """
        Start without events.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance, part of every event.
        :param max_events: size of the ring buffer.
        """
        super().__init__(kernel)
        self._instance_id = instance_id
        self._recorded: deque[TimelineEvent] = deque(maxlen=max_events)
        self._stamp: Stamp = ZERO_STAMP

    def message_handlers(self) -> MessageTable:
        """Return the messages of all parts, operators and peers."""
        return {
            EventRecorded: self._on_event_recorded,
            StampHeard: self._on_stamp_heard,
            TimelineRequested: self._on_timeline_requested,
        }

    def _on_event_recorded(self, message: EventRecorded) -> None:
        self._stamp = advance_stamp(self._stamp, self.kernel.clock.wall_ms)
        self._recorded.append(TimelineEvent(self._stamp, self._instance_id, *message))
        if not message.request_id:
            # Events of requests stay on one instance; only the others need
            # an order over all of them.
            self.send("peers", StampAdvanced(self._stamp))

    def _on_stamp_heard(self, message: StampHeard) -> None:
        self._stamp = merge_stamp(self._stamp, message.stamp, self.kernel.clock.wall_ms)

    def _on_timeline_requested(self, message: TimelineRequested) -> None:
        events = select_events(
            self._recorded, message.request_id, message.note_sequence, message.limit
        )
        self.send(message.reply_to, TimelineReplied(message.token, events))
