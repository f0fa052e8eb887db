"""Claims the idempotency keys of requests before these are sent."""

from cuminhatch.messages import (
    ClaimAbandoned,
    ClaimGranted,
    ClaimRefused,
    ClaimRequested,
    ClaimVoided,
    RequestReadResumed,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services.dispatch._admission_queues import (
    admit_request,
    check_admission,
)
from cuminhatch.services.dispatch._dispatch_state import DispatchState
from cuminhatch.services.dispatch._request import (
    IDEMPOTENCY_KEY_BYTES_MAX,
    KEYED_BODY_BYTES_MAX,
    Phase,
    RequestRecord,
    compute_request_digest,
)
from cuminhatch.services.dispatch._request_completion import (
    end_with_unknown_outcome,
    finish_request,
    refuse_request,
    send_refusal,
)
from cuminhatch.services.dispatch._responses import build_replayed_response


def start_keyed_request(state: DispatchState, record: RequestRecord) -> None:
    """Validate a keyed request, and claim it once its body is complete."""
    if not state.kernel.has_service("claims"):
        refuse_request(state, record, 503, "no-claims")
    elif not 0 < len(record.idempotency_key) <= IDEMPOTENCY_KEY_BYTES_MAX:
        refuse_request(state, record, 400, "bad-idempotency-key")
    elif (record.body_length or 0) > KEYED_BODY_BYTES_MAX:
        refuse_request(state, record, 413, "keyed-body-too-large")
    elif record.is_body_complete:
        request_claim(state, record)
    else:
        record.phase = Phase.COLLECTING_BODY
        state.send("callers", RequestReadResumed(record.request_id))


def collect_body(state: DispatchState, record: RequestRecord, data: bytes) -> None:
    """Buffer a part of the body of a keyed request."""
    record.body += data
    if len(record.body) > KEYED_BODY_BYTES_MAX:
        refuse_request(state, record, 413, "keyed-body-too-large")
    elif record.is_body_complete:
        request_claim(state, record)


def request_claim(state: DispatchState, record: RequestRecord) -> None:
    """Request the claim, or refuse a request that the queue cannot admit."""
    # Overload is checked before the claim: the refusal then costs no write,
    # and it is certain that the request has not run.
    refusal = check_admission(state, record)
    if refusal is not None:
        refuse_request(state, record, 503, refusal.reason)
        return
    record.phase = Phase.AWAITING_CLAIM
    state.send(
        "claims",
        ClaimRequested(
            record.request_id,
            record.rule.service_id,
            record.idempotency_key.decode("latin-1"),
            compute_request_digest(record),
            record.start_deadline_ms,
        ),
    )


def on_claim_granted(state: DispatchState, message: ClaimGranted) -> None:
    """Admit the request that holds the claim."""
    record = state.requests.get(message.request_id)
    if record is not None and record.phase is Phase.AWAITING_CLAIM:
        record.claim_id = message.claim_id
        admit_request(state, record)
    elif message.request_id in state.orphaned_claim_requests:
        state.orphaned_claim_requests.discard(message.request_id)
        state.send("claims", ClaimAbandoned(message.claim_id))


def on_claim_refused(state: DispatchState, message: ClaimRefused) -> None:
    """Send the stored response for this key, or the refusal of ``claims``."""
    state.orphaned_claim_requests.discard(message.request_id)
    record = state.requests.get(message.request_id)
    if record is None or record.phase is not Phase.AWAITING_CLAIM:
        return
    if message.response is None:
        send_refusal(state, record, message.status, message.outcome, message.reason)
    elif message.response.is_body_kept:
        state.send("callers", build_replayed_response(record, message.response))
    else:
        send_refusal(state, record, 409, Outcome.RAN, "answer-not-kept")
    finish_request(state, record, message.reason)


def on_claim_voided(state: DispatchState, message: ClaimVoided) -> None:
    """Report the outcome of a request whose claim was to be voided."""
    record = state.requests.get(message.request_id)
    if record is None or record.phase is not Phase.AWAITING_VOID:
        return
    if message.is_confirmed:
        status, reason = record.pending_refusal
        send_refusal(state, record, status, Outcome.NOT_RUN, reason)
        finish_request(state, record, reason)
    else:
        end_with_unknown_outcome(state, record, "void-unconfirmed")
