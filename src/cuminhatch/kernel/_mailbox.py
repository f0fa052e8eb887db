"""Message queue shared by all services."""

from collections import deque
from typing import Any

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler

from cuminhatch.kernel.service import Service

# Keeps sockets and timers served while services send to each other without
# pause.
MAX_MESSAGES_PER_TICK = 1000


class Mailbox(BaseComponent):
    """
    Delivers messages in the order in which they were sent.

    Messages are delivered from the ``generate_events`` handler, which
    ``circuits`` calls once per tick. One ``circuits`` event per message would
    cost more than handling a typical message.
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

    # Runs before the timers, since message handlers start timers, and before
    # the poller, which blocks.
    @handler("generate_events", priority=1)
    def _on_generate_events(self, event: Any) -> None:
        messages = self._messages
        if not messages:
            return
        # Includes messages that the handlers send meanwhile.
        for _ in range(MAX_MESSAGES_PER_TICK):
            service, message = messages.popleft()
            service.deliver(message)
            if not messages:
                break
        if messages or len(self.root):
            # More messages, or circuits events fired by handlers, are queued:
            # the poller must not block.
            event.reduce_time_left(0)
