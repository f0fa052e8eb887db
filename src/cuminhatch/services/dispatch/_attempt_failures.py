"""Judges failed attempts: retry, refusal or unknown outcome."""

from cuminhatch.decisions.retries import FailedAttempt, RetryAllowed, may_retry
from cuminhatch.decisions.servers import (
    may_take_short,
    note_connection_limit,
    note_refused_connection,
)
from cuminhatch.messages import AttemptFailed, AttemptResponse
from cuminhatch.messages.attempts import CONNECTION_LIMIT
from cuminhatch.services.dispatch._admission_queues import (
    ConnectionLimitAged,
    admit_request,
    start_waiting,
)
from cuminhatch.services.dispatch._answers import shed_answer
from cuminhatch.services.dispatch._attempts import (
    cancel_attempt,
    end_attempt,
    start_attempt,
)
from cuminhatch.services.dispatch._dispatch_state import DispatchState
from cuminhatch.services.dispatch._request import RequestRecord
from cuminhatch.services.dispatch._request_ends import (
    break_off,
    finish_request,
    give_up,
)
from cuminhatch.services.dispatch._response_facts import ResponseFacts
from cuminhatch.services.dispatch._server_observations import RefusalAged, count_failure

# Servers without probes are tried again; a refused attempt was not sent.
REFUSAL_KEPT_MS = 1000.0
# Reason of an attempt that made no progress; others without a byte sent mean
# that the connection was refused.
TIMEOUT = "timeout"


def handle_shed(
    state: DispatchState,
    record: RequestRecord,
    facts: ResponseFacts,
    message: AttemptResponse,
) -> None:
    """Send a shed request elsewhere, or tell the caller."""
    if message.is_complete:
        end_attempt(state, record)
    else:
        cancel_attempt(state, record)
    if retry_request(state, record, is_sent=True, is_shed=True, is_reused=False):
        pass
    elif record.is_keyed or record.is_maybe_run or not message.is_complete:
        give_up(state, record, False, "shed")
    else:
        state.send("callers", shed_answer(record, message, facts.headers))
        finish_request(state, record, "shed")
    start_waiting(state, record.pool)


def on_attempt_failed(state: DispatchState, message: AttemptFailed) -> None:
    """Retry a request, or tell the caller what is known."""
    record = state.by_attempt.get(message.attempt_id)
    if record is None:
        return
    end_attempt(state, record)
    if message.reason == CONNECTION_LIMIT:
        wait_for_connection(state, record)
        start_waiting(state, record.pool)
        return
    judge_failure(state, record, message)
    reason = message.reason.replace(" ", "-")
    if record.is_response_started:
        break_off(state, record, reason)
    elif not retry_request(state, record, message.is_sent, False, message.is_reused):
        give_up(state, record, message.is_sent, reason)
    start_waiting(state, record.pool)


def wait_for_connection(state: DispatchState, record: RequestRecord) -> None:
    """Send a request elsewhere or later; the attempt does not count."""
    pool, view = record.pool, record.view
    now_ms = state.clock.now_ms
    if view.full_until_ms <= now_ms:
        note_connection_limit(view, now_ms)
        pool.refresh(view, now_ms)
        aged = ConnectionLimitAged(pool.spec.service_id, view.server.server_id)
        state.call_at(view.full_until_ms, aged)
    record.attempts -= 1
    if record.is_caller_gone or not record.is_body_kept:
        give_up(state, record, False, "connection-limit")
    else:
        admit_request(state, record)


def judge_failure(
    state: DispatchState, record: RequestRecord, message: AttemptFailed
) -> None:
    """Hold a failure against the server, unless the connection is old."""
    if message.is_reused and not record.is_response_started:
        return
    view = record.view
    if not message.is_sent and message.reason != TIMEOUT:
        note_refused_connection(view)
        refusal = RefusalAged(view.server.server_id)
        now_ms = state.clock.now_ms
        state.call_at(now_ms + REFUSAL_KEPT_MS, refusal)
    count_failure(state, record.pool, view)


def retry_request(
    state: DispatchState,
    record: RequestRecord,
    is_sent: bool,
    is_shed: bool,
    is_reused: bool,
) -> bool:
    """Try again if that is safe and paid for."""
    now_ms = state.clock.now_ms
    record.is_maybe_run |= is_sent and not is_shed
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
        record.due_ms - now_ms,
    )
    decision = may_retry(attempt, record.pool.budget, now_ms)
    if not isinstance(decision, RetryAllowed):
        return False
    if decision.is_fresh and may_take_again(state, record, now_ms):
        start_attempt(state, record, record.view, is_fresh=True)
    else:
        admit_request(state, record)
    return True


def may_take_again(state: DispatchState, record: RequestRecord, now_ms: float) -> bool:
    """Tell whether the same server may get the request once more."""
    # Long work has given its permit back.
    return not record.is_long and may_take_short(record.view, now_ms)
