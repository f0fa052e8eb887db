"""Ends requests, and reports their outcome to callers and claims."""

from cuminhatch.messages import (
    ClaimAbandoned,
    ClaimOutcomeUnknown,
    RequestRefused,
    ResponseAborted,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services.dispatch._dispatch_state import CLAIM_GRACE_MS, DispatchState
from cuminhatch.services.dispatch._request import Phase, RequestRecord


def refuse_waiting_request(
    state: DispatchState, record: RequestRecord, reason: str
) -> None:
    """
    End a request that is not in flight.

    It is refused once its claim is voided. If an earlier attempt may have run,
    its outcome is reported as unknown instead.
    """
    leave_queue(state, record)
    if record.may_have_run:
        give_up(state, record, True, reason)
    elif record.claim_id is None:
        refuse_request(state, record, 503, reason)
    elif record.is_caller_gone:
        state.send("claims", ClaimAbandoned(record.claim_id))
        finish_request(state, record, reason)
    else:
        record.phase = Phase.AWAITING_VOID
        record.pending_refusal = (503, reason)
        now_ms = state.clock.now_ms
        state.arm_timer(record, max(record.deadline_ms, now_ms + CLAIM_GRACE_MS))
        state.send("claims", ClaimAbandoned(record.claim_id))


def refuse_request(
    state: DispatchState, record: RequestRecord, status: int, reason: str
) -> None:
    """Refuse a request that certainly did not run."""
    send_refusal(state, record, status, Outcome.NOT_RUN, reason)
    finish_request(state, record, reason)


def give_up(
    state: DispatchState, record: RequestRecord, is_sent: bool, reason: str
) -> None:
    """End a request that got no response; it may have run if it was sent."""
    record.may_have_run |= is_sent
    if not record.may_have_run:
        refuse_waiting_request(state, record, reason)
        return
    if record.claim_id is not None:
        state.send("claims", ClaimOutcomeUnknown(record.claim_id))
    end_with_unknown_outcome(state, record, reason)


def abort_response(state: DispatchState, record: RequestRecord, reason: str) -> None:
    """End a request whose response broke off after the head."""
    if record.claim_id is not None:
        state.send("claims", ClaimOutcomeUnknown(record.claim_id))
    if not record.is_caller_gone:
        state.send("callers", ResponseAborted(record.request_id))
    finish_request(state, record, reason)


def end_with_unknown_outcome(
    state: DispatchState, record: RequestRecord, reason: str
) -> None:
    """Report an unknown outcome to the caller, and delete the record."""
    send_unknown_outcome(state, record, reason)
    finish_request(state, record, reason)


def send_unknown_outcome(
    state: DispatchState, record: RequestRecord, reason: str
) -> None:
    """Send a 504 response with the outcome ``unknown``."""
    send_refusal(state, record, 504, Outcome.UNKNOWN, reason)


def send_refusal(
    state: DispatchState,
    record: RequestRecord,
    status: int,
    outcome: Outcome,
    reason: str,
) -> None:
    """Send an error response to the caller, unless it has disconnected."""
    if not record.is_caller_gone:
        refusal = RequestRefused(
            record.request_id, status, outcome, reason, record.trace_id
        )
        state.send("callers", refusal)


def leave_queue(state: DispatchState, record: RequestRecord) -> None:
    """Remove a request from its admission queue, if it is queued."""
    record.pool.get_queue(record.rule.work_class).remove(record.request_id)


def finish_request(state: DispatchState, record: RequestRecord, reason: str) -> None:
    """Delete the record of a request, and report its end to telemetry."""
    state.disarm_timer(record)
    del state.requests[record.request_id]
    state.telemetry.record_end(record, reason)
