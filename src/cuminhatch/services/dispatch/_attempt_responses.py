"""Handles and forwards the responses of backend servers."""

from cuminhatch.codecs.http1 import ResponseHead
from cuminhatch.decisions.leaving import apply_observation
from cuminhatch.decisions.not_run_promise import is_unproven_promise
from cuminhatch.decisions.response_copies import make_copy_finder
from cuminhatch.decisions.response_origin import (
    ResponseEvidence,
    is_own_response,
    is_refusal_proven,
)
from cuminhatch.decisions.servers import (
    LoadReport,
    ServerView,
    record_report,
    record_response,
    record_shed,
)
from cuminhatch.messages import (
    AttemptResponse,
    AttemptResponseBody,
    ClaimCompleted,
    LoadObserved,
    ResponseBody,
)
from cuminhatch.messages.attempts import get_body_part
from cuminhatch.services.dispatch._admission_queues import (
    refresh_and_start_waiting,
    start_waiting_requests,
)
from cuminhatch.services.dispatch._attempt_failures import (
    REFUSAL_NOT_PROVEN,
    handle_shed,
    handle_unproven_refusal,
    reject_response,
)
from cuminhatch.services.dispatch._attempts import cancel_attempt, end_attempt
from cuminhatch.services.dispatch._dispatch_state import DispatchState
from cuminhatch.services.dispatch._request import Phase, RequestRecord
from cuminhatch.services.dispatch._request_completion import (
    abort_response,
    finish_request,
    give_up,
)
from cuminhatch.services.dispatch._response_headers import (
    ParsedResponseHeaders,
    parse_response_headers,
    read_attempt_ids,
)
from cuminhatch.services.dispatch._responses import build_server_response
from cuminhatch.services.dispatch._server_observations import count_server_failure

# Responses from this status up count as failures of the server. A server that
# returns errors at once would otherwise look idle.
SERVER_ERROR_STATUS_MIN = 500
# Reason for which a response is rejected or aborted.
ANOTHER_RESPONSE_IN_BODY = "another-response-in-body"


def on_attempt_response(state: DispatchState, message: AttemptResponse) -> None:
    """Handle a response head: update the server view, then forward it."""
    record = state.by_attempt.get(message.attempt_id)
    if record is None or record.phase is not Phase.AWAITING_RESPONSE:
        return
    now_ms = state.clock.now_ms
    parsed = parse_response_headers(message.head)
    record.find_copy = make_copy_finder(
        record.attempt_tag,
        message.is_close_delimited or message.has_trailing_data,
        read_attempt_ids,
        None if record.head.method == b"HEAD" else message.body_length,
    )
    fault = check_response(record, message, parsed)
    if not fault and record.find_copy(get_body_part(message)):
        fault = ANOTHER_RESPONSE_IN_BODY
    if fault:
        reject_response(state, record, fault)
        return
    record.view.is_attempt_id_returned = bool(parsed.attempt_ids)
    update_view_from_response(state, record, parsed, message.head.status, now_ms)
    if parsed.is_shed:
        handle_shed(state, record, parsed, message)
        return
    if is_unproven_promise(message.head.status, record.rule.is_idempotent, False):
        handle_unproven_refusal(state, record, message)
        return
    if not message.is_complete:
        # A complete response refreshes the view when its attempt ends.
        refresh_and_start_waiting(state, record.pool, record.view)
    if not record.is_caller_gone:
        state.disarm_timer(record)
    record.phase = Phase.FORWARDING_RESPONSE
    forward_head(state, record, parsed, message)
    process_body_part(state, record, message.data, message.is_complete)


def check_response(
    record: RequestRecord, message: AttemptResponse, parsed: ParsedResponseHeaders
) -> str:
    """Return why a response is not valid for a request, or an empty string."""
    evidence = ResponseEvidence(
        record.attempt_tag,
        parsed.attempt_ids,
        message.is_reused,
        message.has_trailing_data,
    )
    if not is_own_response(evidence):
        return "response-of-another-request"
    if parsed.is_shed and not is_refusal_proven(evidence):
        return REFUSAL_NOT_PROVEN
    return ""


def update_view_from_response(
    state: DispatchState,
    record: RequestRecord,
    parsed: ParsedResponseHeaders,
    status: int,
    now_ms: float,
) -> None:
    """Update the view of a backend server from its response head."""
    pool, view = record.pool, record.view
    if parsed.load is not None:
        record_report(view, LoadReport(*parsed.load, now_ms))
    if parsed.is_draining:
        view.leaving_signs = apply_observation(view.leaving_signs, True, now_ms)
        announce_draining_server(state, view, parsed, now_ms)
    if parsed.is_shed:
        record_shed(view, now_ms)
        state.telemetry.count("shed_total", {"server": view.server.server_id})
        return
    if status >= SERVER_ERROR_STATUS_MIN:
        count_server_failure(state, pool, view)
        return
    latency_ms = now_ms - record.sent_ms
    if not record.is_long:
        pool.add_latency_sample(latency_ms)
    pool.ejected_ids.discard(view.server.server_id)
    record_response(view, latency_ms, not record.is_long, now_ms)


def announce_draining_server(
    state: DispatchState, view: ServerView, parsed: ParsedResponseHeaders, now_ms: float
) -> None:
    """
    Report a draining server to the other instances.

    Instances without requests in flight to the server cannot learn from its
    responses that it is draining.
    """
    server = view.server
    in_flight, queued, slots = parsed.load or (view.in_flight, 0, server.slots)
    observed = LoadObserved(
        server.server_id, in_flight, queued, slots, 0.0, True, now_ms, "answer"
    )
    state.send("peers", observed)


def forward_head(
    state: DispatchState,
    record: RequestRecord,
    parsed: ParsedResponseHeaders,
    message: AttemptResponse,
) -> None:
    """Send the response head, and the body so far, to the caller."""
    head = message.head
    has_no_body = record.head.method == b"HEAD" or head.status in (204, 304)
    record.response_bytes_left = None if has_no_body else message.body_length
    if record.is_keyed:
        record.response_head = ResponseHead(head.status, head.phrase, parsed.headers)
    if not record.is_caller_gone:
        is_length_valid = record.has_expected_length(message.data, message.is_complete)
        response = build_server_response(
            record, message, parsed.headers, is_length_valid
        )
        state.send("callers", response)


def process_body_part(
    state: DispatchState, record: RequestRecord, data: bytes, is_complete: bool
) -> None:
    """Check and store a part of the body; end the request with the last."""
    if not record.has_expected_length(data, is_complete):
        cancel_attempt(state, record)
        abort_response(state, record, "body-length-mismatch")
        start_waiting_requests(state, record.pool)
        return
    if record.response_bytes_left is not None:
        record.response_bytes_left -= len(data)
    if record.is_keyed:
        record.collect_response(data)
    if is_complete:
        end_attempt(state, record)
        if record.claim_id is not None:
            answer = ClaimCompleted(record.claim_id, record.to_stored_response())
            state.send("claims", answer)
        finish_request(state, record, "answered")
        start_waiting_requests(state, record.pool)


def on_attempt_response_body(
    state: DispatchState, message: AttemptResponseBody
) -> None:
    """Forward a part of the response body."""
    record = state.by_attempt.get(message.attempt_id)
    if record is None:
        return
    if record.phase is not Phase.FORWARDING_RESPONSE:
        # The head was never forwarded, so the response cannot be complete.
        cancel_attempt(state, record)
        give_up(state, record, True, "body-before-head")
        start_waiting_requests(state, record.pool)
        return
    data, is_complete = message.data, message.is_complete
    if record.find_copy(get_body_part(message)):
        count_server_failure(state, record.pool, record.view)
        cancel_attempt(state, record)
        abort_response(state, record, ANOTHER_RESPONSE_IN_BODY)
        start_waiting_requests(state, record.pool)
        return
    if not record.is_caller_gone and record.has_expected_length(data, is_complete):
        state.send("callers", ResponseBody(record.request_id, data, is_complete))
    process_body_part(state, record, data, is_complete)
