"""The queue of messages between services."""

from collections import deque
from typing import Any

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler

from cuminhatch.kernel.service import Service

# Bounds the time between two looks at sockets and deadlines when services
# keep sending to each other.
MAX_BATCH = 1000


class Mailbox(BaseComponent):
    """
    Delivers messages in the order of sending.

    The messages are delivered when ``circuits`` asks its components for
    events, which it does once on each tick. An event per message costs more
    than the handling of a typical message.
    """

    channel = "mailbox"

    def __init__(self) -> None:
        """Create an empty queue."""
        super().__init__()
        self._messages: deque[tuple[Service, Any]] = deque()

    def append(self, service: Service, message: Any) -> None:
        """
        Queue a message.

        :param service: receiving service.
        :param message: message to deliver.
        """
        self._messages.append((service, message))

    # Before the deadlines, since handlers add deadlines, and before the
    # poller, which waits.
    @handler("generate_events", priority=1)
    def _on_generate_events(self, event: Any) -> None:
        messages = self._messages
        if not messages:
            return
        # Messages sent by the handlers join the batch.
        for _ in range(MAX_BATCH):
            service, message = messages.popleft()
            service.deliver(message)
            if not messages:
                break
        if messages or len(self.root):
            # Other messages, or circuits events fired by the handlers, wait.
            event.reduce_time_left(0)
