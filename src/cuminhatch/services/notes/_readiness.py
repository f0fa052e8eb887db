"""Whether this instance is ready: it has notes, and contact to others."""

from cuminhatch.messages import ReadinessChanged
from cuminhatch.services.notes._state import NAME, NotesState

# The instance is not ready after this time without a reply of the table
# service or a heartbeat of a peer.
CONTACT_TIMEOUT_MS = 30_000.0


def record_contact(state: NotesState, is_head_current: bool) -> None:
    """Record a reply of the table service or a heartbeat of a peer."""
    state.last_contact_ms = state.clock.now_ms
    state.has_current_head = state.has_current_head or is_head_current
    update_readiness(state)


def update_readiness(state: NotesState) -> None:
    """Report a changed readiness to the supervisor."""
    if state.configuration.sequence == 0:
        readiness = (False, "no-note")
    elif not state.has_current_head:
        readiness = (False, "no-head-after-freeze")
    elif state.clock.now_ms - state.last_contact_ms >= CONTACT_TIMEOUT_MS:
        readiness = (False, "no-store-or-peer")
    else:
        readiness = (True, "")
    if readiness == state.readiness:
        return
    state.readiness = readiness
    is_ready, reason = readiness
    state.send("supervisor", ReadinessChanged(NAME, is_ready, reason))
    state.record(
        "readiness-changed",
        state.configuration.sequence,
        is_ready=is_ready,
        reason=reason,
    )
