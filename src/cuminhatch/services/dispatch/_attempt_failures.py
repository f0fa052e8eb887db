"""Handles failed and shed attempts: retry, refusal or unknown outcome."""

from cuminhatch.decisions.retries import FailedAttempt, RetryAllowed, may_retry
from cuminhatch.decisions.servers import (
    may_take_short,
    record_connection_limit,
    record_refused_connection,
)
from cuminhatch.messages import AttemptFailed, AttemptResponse
from cuminhatch.messages.attempts import CONNECTION_LIMIT
from cuminhatch.services.dispatch._admission_queues import (
    ConnectionLimitPauseEnded,
    admit_request,
    start_waiting_requests,
)
from cuminhatch.services.dispatch._attempts import (
    cancel_attempt,
    end_attempt,
    start_attempt,
)
from cuminhatch.services.dispatch._dispatch_state import DispatchState
from cuminhatch.services.dispatch._request import RequestRecord
from cuminhatch.services.dispatch._request_completion import (
    abort_response,
    finish_request,
    give_up,
)
from cuminhatch.services.dispatch._response_headers import ParsedResponseHeaders
from cuminhatch.services.dispatch._responses import build_shed_response
from cuminhatch.services.dispatch._server_observations import (
    RefusedConnectionExpired,
    count_server_failure,
)

# For this long a refused connection counts towards the limit at which its
# server gets no new requests. The server is then tried again even if no probe
# reports on it: if the connection is refused again, the request was not sent
# and can be retried.
REFUSED_CONNECTION_TTL_MS = 1000.0
# Failure reason of a timeout. An attempt that failed for another reason, apart
# from CONNECTION_LIMIT, before it sent a byte was refused the connection.
TIMEOUT_REASON = "timeout"
REFUSAL_NOT_PROVEN = "refusal-not-proven"


def handle_shed(
    state: DispatchState,
    record: RequestRecord,
    parsed: ParsedResponseHeaders,
    message: AttemptResponse,
) -> None:
    """Retry a shed request, or pass the refusal on to the caller."""
    if message.is_complete:
        end_attempt(state, record)
    else:
        cancel_attempt(state, record)
    if retry_request(state, record, is_sent=True, is_shed=True, is_reused=False):
        pass
    elif record.is_keyed or record.may_have_run or not message.is_complete:
        give_up(state, record, False, "shed")
    else:
        state.send("callers", build_shed_response(record, message, parsed.headers))
        finish_request(state, record, "shed")
    start_waiting_requests(state, record.pool)


def handle_unproven_refusal(
    state: DispatchState, record: RequestRecord, message: AttemptResponse
) -> None:
    """End a request that its server refuses as not run, without proof."""
    if message.is_complete:
        end_attempt(state, record)
    else:
        cancel_attempt(state, record)
    give_up(state, record, True, REFUSAL_NOT_PROVEN)
    start_waiting_requests(state, record.pool)


def reject_response(state: DispatchState, record: RequestRecord, reason: str) -> None:
    """
    Drop a response that is not valid for its request, and its connection.

    The request may have run; it is retried if that is safe.
    """
    cancel_attempt(state, record)
    count_server_failure(state, record.pool, record.view)
    if not retry_request(state, record, is_sent=True, is_shed=False, is_reused=False):
        give_up(state, record, True, reason)
    start_waiting_requests(state, record.pool)


def on_attempt_failed(state: DispatchState, message: AttemptFailed) -> None:
    """Retry a request whose attempt failed, or report its outcome."""
    record = state.by_attempt.get(message.attempt_id)
    if record is None:
        return
    end_attempt(state, record)
    if message.reason == CONNECTION_LIMIT:
        handle_connection_limit(state, record)
        start_waiting_requests(state, record.pool)
        return
    count_attempt_failure(state, record, message)
    reason = message.reason.replace(" ", "-")
    if record.is_response_started:
        abort_response(state, record, reason)
    elif not retry_request(state, record, message.is_sent, False, message.is_reused):
        give_up(state, record, message.is_sent, reason)
    start_waiting_requests(state, record.pool)


def handle_connection_limit(state: DispatchState, record: RequestRecord) -> None:
    """
    Pause the server, and admit the request again without counting the attempt.

    The request ends if its caller is gone or its body can no longer be sent.
    """
    pool, view = record.pool, record.view
    now_ms = state.clock.now_ms
    if view.connections_full_until_ms <= now_ms:
        record_connection_limit(view, now_ms)
        pool.refresh(view, now_ms)
        expired = ConnectionLimitPauseEnded(pool.spec.service_id, view.server.server_id)
        state.call_at(view.connections_full_until_ms, expired)
    record.attempts -= 1
    if record.is_caller_gone or not record.is_body_kept:
        give_up(state, record, False, "connection-limit")
    else:
        admit_request(state, record)


def count_attempt_failure(
    state: DispatchState, record: RequestRecord, message: AttemptFailed
) -> None:
    """Count a failed attempt as a failure of its backend server."""
    if message.is_reused and not record.is_response_started:
        # An idle connection may have been closed or may no longer deliver
        # data, which says nothing about the server.
        return
    view = record.view
    if not message.is_sent and message.reason != TIMEOUT_REASON:
        record_refused_connection(view)
        expired = RefusedConnectionExpired(view.server.server_id)
        now_ms = state.clock.now_ms
        state.call_at(now_ms + REFUSED_CONNECTION_TTL_MS, expired)
    count_server_failure(state, record.pool, view)


def retry_request(
    state: DispatchState,
    record: RequestRecord,
    is_sent: bool,
    is_shed: bool,
    is_reused: bool,
) -> bool:
    """Retry a request if that is safe and within the retry budget."""
    now_ms = state.clock.now_ms
    record.may_have_run |= is_sent and not is_shed
    if record.is_caller_gone:
        return False
    attempt = FailedAttempt(
        record.rule.is_idempotent,
        record.is_keyed,
        is_sent,
        is_shed,
        is_reused,
        record.is_body_kept,
        record.attempts,
        record.start_deadline_ms - now_ms,
    )
    decision = may_retry(attempt, record.pool.retry_budget, now_ms)
    if not isinstance(decision, RetryAllowed):
        return False
    if decision.is_fresh and may_retry_same_server(state, record, now_ms):
        start_attempt(state, record, record.view, is_new_connection_required=True)
    else:
        admit_request(state, record)
    return True


def may_retry_same_server(
    state: DispatchState, record: RequestRecord, now_ms: float
) -> bool:
    """Return whether the request may be retried on the same server."""
    # A long request has already returned its permit.
    return not record.is_long and may_take_short(record.view, now_ms)
