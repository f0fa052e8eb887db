"""Receives requests and their bodies from callers."""

from cuminhatch.decisions.routing import NoRoute
from cuminhatch.decisions.stopping import can_end_before_stop
from cuminhatch.messages import (
    AttemptRequestBody,
    CallerDisconnected,
    ClaimAbandoned,
    RequestBody,
    RequestReadPaused,
    RequestReceived,
    RequestRefused,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services.dispatch._admission_queues import (
    admit_request,
    start_waiting_requests,
)
from cuminhatch.services.dispatch._attempts import cancel_attempt, detach_caller
from cuminhatch.services.dispatch._dispatch_state import (
    DispatchState,
    RequestTimerExpired,
)
from cuminhatch.services.dispatch._request import (
    RETRY_BODY_BYTES_MAX,
    ParsedRequestHeaders,
    Phase,
    RequestRecord,
    parse_request_headers,
)
from cuminhatch.services.dispatch._request_claims import (
    collect_body,
    start_keyed_request,
)
from cuminhatch.services.dispatch._request_completion import (
    finish_request,
    leave_queue,
    refuse_request,
)


def on_request_received(state: DispatchState, message: RequestReceived) -> None:
    """Route a new request, then refuse, claim or admit it."""
    head = message.head
    request_id = message.request_id
    parsed = read_headers_with_trace_id(state, message)
    path = head.target.partition(b"?")[0].decode("latin-1")
    rule = state.table.match_rule(head.method.decode("latin-1"), path)
    if isinstance(rule, NoRoute):
        refuse_without_record(state, request_id, parsed.trace_id, 404, rule.reason)
        return
    pool = state.table.get_pool(rule.service_id)
    if pool is None or not pool.views:
        refuse_without_record(
            state, request_id, parsed.trace_id, 503, "no-backend-server"
        )
        return
    record = RequestRecord(message, parsed, rule, pool)
    record.note_sequence = state.table.sequence
    state.requests[request_id] = record
    pool.retry_budget.on_request()
    if record.start_deadline_ms <= state.clock.now_ms:
        refuse_request(state, record, 503, "deadline-passed")
        return
    if not can_end_before_stop(
        state.stop,
        message.received_ms,
        record.deadline_ms,
        state.clock.now_ms,
        pool.latency_ms,
    ):
        refuse_request(state, record, 503, "stopping")
        return
    record.timer = state.call_at(
        record.start_deadline_ms, RequestTimerExpired(request_id)
    )
    if record.is_keyed:
        start_keyed_request(state, record)
    else:
        admit_request(state, record)


def read_headers_with_trace_id(
    state: DispatchState, message: RequestReceived
) -> ParsedRequestHeaders:
    """Parse the headers; generate a trace id if there is no usable one."""
    parsed = parse_request_headers(message.head)
    if parsed.trace_id:
        return parsed
    generated = f"{state.instance_id}-{message.request_id}".encode()
    return parsed._replace(trace_id=generated)


def refuse_without_record(
    state: DispatchState, request_id: int, trace_id: bytes, status: int, reason: str
) -> None:
    """Refuse a request for which no record is created."""
    state.send(
        "callers",
        RequestRefused(request_id, status, Outcome.NOT_RUN, reason, trace_id),
    )
    state.telemetry.record_refusal(trace_id, reason, state.table.sequence)


def on_request_body(state: DispatchState, message: RequestBody) -> None:
    """Forward a part of the request body, or buffer it for a later send."""
    record = state.requests.get(message.request_id)
    if record is None or record.is_body_complete:
        return
    record.is_body_complete = message.is_complete
    if record.phase is Phase.COLLECTING_BODY:
        collect_body(state, record, message.data)
        return
    has_attempt = record.attempt_id != 0
    if record.is_body_kept:
        record.body += message.data
        if has_attempt and len(record.body) > RETRY_BODY_BYTES_MAX:
            record.is_body_kept = False
            record.body = b""
    if has_attempt:
        state.send(
            "backends",
            AttemptRequestBody(record.attempt_id, message.data, message.is_complete),
        )
    elif len(record.body) > RETRY_BODY_BYTES_MAX and not record.is_body_complete:
        record.is_read_paused = True
        state.send("callers", RequestReadPaused(record.request_id))


def on_caller_disconnected(state: DispatchState, message: CallerDisconnected) -> None:
    """End the request of a caller that has disconnected."""
    record = state.requests.get(message.request_id)
    if record is None or record.is_caller_gone:
        return
    if record.attempt_id == 0:
        drop_waiting_request(state, record)
    elif record.is_keyed:
        # The attempt runs to its end: its response is stored for the next
        # request with the same key.
        detach_caller(state, record)
    else:
        cancel_attempt(state, record)
        finish_request(state, record, "caller-left")
        start_waiting_requests(state, record.pool)


def drop_waiting_request(state: DispatchState, record: RequestRecord) -> None:
    """End a request whose caller has gone and that has no attempt."""
    if record.phase is Phase.AWAITING_CLAIM:
        state.orphaned_claim_requests.add(record.request_id)
    elif record.claim_id is not None and record.phase is not Phase.AWAITING_VOID:
        state.send("claims", ClaimAbandoned(record.claim_id))
    leave_queue(state, record)
    finish_request(state, record, "caller-left")
