"""The queue of messages between services."""

from collections import deque
from typing import Any

from circuits.core.components import BaseComponent
from circuits.core.events import Event
from circuits.core.handlers import handler

from cuminhatch.kernel.service import Service

# Bounds the time between two looks at sockets and deadlines when services
# keep sending to each other.
MAX_BATCH = 1000


class messages_queued(Event):  # noqa: N801 (circuits names events in lower case)
    """At least one message waits for delivery."""


class Mailbox(BaseComponent):
    """
    Delivers messages in the order of sending.

    One ``circuits`` event stands for a whole batch, since an event costs
    more than the handling of a typical message.
    """

    channel = "mailbox"

    def __init__(self) -> None:
        """Create an empty queue."""
        super().__init__()
        self._messages: deque[tuple[Service, Any]] = deque()
        self._is_event_fired = False

    def append(self, service: Service, message: Any) -> None:
        """
        Queue a message.

        :param service: receiving service.
        :param message: message to deliver.
        """
        self._messages.append((service, message))
        if not self._is_event_fired:
            self._is_event_fired = True
            self.fire(messages_queued(), self.channel)

    @handler("messages_queued")
    def _on_messages_queued(self) -> None:
        messages = self._messages
        try:
            # Messages sent by the handlers join the batch.
            for _ in range(MAX_BATCH):
                if not messages:
                    break
                service, message = messages.popleft()
                service.deliver(message)
        finally:
            self._is_event_fired = bool(messages)
            if messages:
                self.fire(messages_queued(), self.channel)
