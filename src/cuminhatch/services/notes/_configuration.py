"""Applies accepted notes to the configuration, and publishes it."""

from collections.abc import Iterable

from cuminhatch.decisions.notes import AcceptedNote
from cuminhatch.errors import DecisionError
from cuminhatch.log import logger
from cuminhatch.messages import ConfigurationChanged, HeadChanged
from cuminhatch.services.notes._readiness import update_readiness
from cuminhatch.services.notes._snapshots import schedule_snapshot
from cuminhatch.services.notes._state import NotesState

CONFIGURATION_SUBSCRIBERS = (
    "dispatch",
    "backends",
    "probes",
    "permits",
    "peers",
    "operators",
)


def apply_notes(state: NotesState, notes: Iterable[AcceptedNote]) -> None:
    """Apply the notes that come next, and publish the configuration."""
    before = state.configuration
    for accepted in notes:
        if not state.decisions.is_next_note(state.configuration.sequence, accepted):
            continue
        try:
            state.configuration = state.decisions.apply_note(
                state.configuration, accepted
            )
        except DecisionError as error:
            logger.error("notes: cannot apply note {}: {}.", accepted[0], error)
            state.record("note-failed", accepted.sequence, error=str(error))
            break
        state.recent_notes.append(accepted)
        state.record("note-applied", accepted.sequence, note_id=accepted.note.note_id)
        if state.decisions.is_snapshot_due(accepted.sequence):
            state.pending_snapshot = state.configuration
    if state.configuration is not before:
        publish_configuration(state)
        schedule_snapshot(state)


def publish_configuration(state: NotesState) -> None:
    """Send the current configuration to the other services."""
    configuration = state.configuration
    logger.info("notes: configuration is now at note {}.", configuration.sequence)
    for subscriber in CONFIGURATION_SUBSCRIBERS:
        state.send(subscriber, ConfigurationChanged(configuration))
    state.send("peers", HeadChanged(configuration.sequence))
    update_readiness(state)
