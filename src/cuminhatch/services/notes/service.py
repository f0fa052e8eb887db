"""The notes service: its message handlers and the start of its polls."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from cuminhatch.decisions.configuration import Configuration
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    HeadReceived,
    NotesPulled,
    NotesRequested,
    NoteSubmitted,
    ObjectGetReplied,
    ObjectPutReplied,
    TableReadReplied,
    TableScanReplied,
    TableTransactReplied,
)
from cuminhatch.services.notes._head import (
    HEAD_POLL_INTERVAL_MS,
    on_poll_due,
    poll_head,
)
from cuminhatch.services.notes._pulls import (
    on_head_received,
    on_notes_pulled,
    on_notes_requested,
)
from cuminhatch.services.notes._readiness import update_readiness
from cuminhatch.services.notes._state import NAME, NoteDecisions, NotesState
from cuminhatch.services.notes._submissions import on_note_submitted
from cuminhatch.services.notes._timers import CallbackDue, PollDue

PLATFORM_REPLIES = (
    TableReadReplied,
    TableScanReplied,
    TableTransactReplied,
    ObjectGetReplied,
    ObjectPutReplied,
)


class Notes(Service):
    """
    Owns the current configuration and the submissions in progress.

    The handlers are functions of a shared state, in modules by task.
    """

    name = NAME

    def __init__(
        self,
        kernel: Kernel,
        instance_id: str,
        random: Random,
        decisions: NoteDecisions | None = None,
    ) -> None:
        """
        Create the service with an empty configuration.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance, used in submission ids.
        :param random: random source for the snapshot delay and for the part
            of submission ids that differs between restarts.
        :param decisions: decision functions to use instead of the defaults.
        """
        super().__init__(kernel)
        self._state = NotesState(
            kernel, instance_id, random, decisions or NoteDecisions()
        )

    @property
    def configuration(self) -> Configuration:
        """Return the current configuration."""
        return self._state.configuration

    def message_handlers(self) -> MessageTable:
        """Return the handlers of operator, peer and platform messages."""
        handlers: dict[type, Callable[[NotesState, Any], None]] = {
            PollDue: on_poll_due,
            NoteSubmitted: on_note_submitted,
            HeadReceived: on_head_received,
            NotesPulled: on_notes_pulled,
            NotesRequested: on_notes_requested,
        }
        table = {
            kind: partial(handle, self._state) for kind, handle in handlers.items()
        }
        table |= dict.fromkeys(PLATFORM_REPLIES, self._on_platform_replied)
        return table | {CallbackDue: self._on_callback_due}

    def open(self) -> None:
        """Start to poll the head."""
        now_ms = self.kernel.clock.now_ms
        self._state.last_poll_ms = self._state.last_contact_ms = now_ms
        update_readiness(self._state)
        poll_head(self._state)
        self.call_after(HEAD_POLL_INTERVAL_MS, PollDue())

    def _on_platform_replied(self, message: Any) -> None:
        callback = self._state.reply_callbacks.pop(message.token, None)
        if callback is not None:
            callback(message.result)

    def _on_callback_due(self, message: CallbackDue) -> None:
        self._state.delayed_callbacks.pop(message.token)()
