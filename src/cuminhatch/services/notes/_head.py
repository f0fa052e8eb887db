"""Polls the head of the notes in the table service."""

from cuminhatch.decisions.notes import HEAD_KEY
from cuminhatch.decisions.platform import Row, RowAbsent, TableUnavailable
from cuminhatch.log import logger
from cuminhatch.messages import TableReadRequested
from cuminhatch.services.notes._readiness import record_contact, update_readiness
from cuminhatch.services.notes._replay import replay_to
from cuminhatch.services.notes._state import PLATFORM_REPLY_TIMEOUT_MS, NotesState
from cuminhatch.services.notes._timers import PollDue

HEAD_POLL_INTERVAL_MS = 1000.0
# A longer gap between two polls counts as a freeze: the process was suspended.
FREEZE_THRESHOLD_MS = 5000.0


def on_poll_due(state: NotesState, message: PollDue) -> None:
    """Poll the head; detect that the process was suspended."""
    state.call_after(HEAD_POLL_INTERVAL_MS, message)
    now_ms = state.clock.now_ms
    if now_ms - state.last_poll_ms > FREEZE_THRESHOLD_MS:
        state.freeze_count += 1
        state.has_current_head = False
        logger.warning(
            "notes: process suspended for {:.0f} ms; not ready until the "
            "latest note number is received.",
            now_ms - state.last_poll_ms,
        )
    state.last_poll_ms = now_ms
    poll_head(state)
    update_readiness(state)


def poll_head(state: NotesState) -> None:
    """Read the head from the table, unless a read is in progress."""
    now_ms = state.clock.now_ms
    sent_ms = state.head_read_sent_ms
    if sent_ms is not None and now_ms - sent_ms < PLATFORM_REPLY_TIMEOUT_MS:
        return
    state.head_read_sent_ms = now_ms
    freeze_count = state.freeze_count

    def on_head_read(result: Row | RowAbsent | TableUnavailable) -> None:
        state.head_read_sent_ms = None
        if isinstance(result, TableUnavailable):
            return
        # The reply to a read sent before a freeze may be outdated.
        record_contact(state, is_head_current=freeze_count == state.freeze_count)
        if isinstance(result, Row):
            replay_to(state, result.value["sequence"])

    state.request_platform(TableReadRequested, on_head_read, HEAD_KEY)
