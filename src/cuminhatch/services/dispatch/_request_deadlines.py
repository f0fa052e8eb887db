"""Ends requests whose deadline has passed or whose handler failed."""

from cuminhatch.decisions.servers import record_latency
from cuminhatch.decisions.stopping import StopSchedule
from cuminhatch.messages import (
    DrainLimitReached,
    RequestFailed,
    RequestRefused,
    StopScheduled,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services.dispatch._admission_queues import start_waiting_requests
from cuminhatch.services.dispatch._attempts import cancel_attempt, detach_caller
from cuminhatch.services.dispatch._dispatch_state import (
    CLAIM_GRACE_MS,
    DispatchState,
    RequestTimerExpired,
)
from cuminhatch.services.dispatch._request import Phase, RequestRecord
from cuminhatch.services.dispatch._request_completion import (
    abort_response,
    end_with_unknown_outcome,
    give_up,
    leave_queue,
    refuse_waiting_request,
    send_unknown_outcome,
)
from cuminhatch.services.dispatch._server_observations import count_server_failure

# A missed deadline counts as a failure of the server only if the request was
# in flight for this many times the average latency of the service, and at
# least for the minimum.
LATE_LATENCY_FACTOR = 10.0
LATE_WAIT_MIN_MS = 100.0


def on_request_timer_expired(
    state: DispatchState, message: RequestTimerExpired
) -> None:
    """Handle the expired timer of a request, depending on its phase."""
    record = state.requests.get(message.request_id)
    if record is None or record.timer is None:
        return
    record.timer = None
    now_ms = state.clock.now_ms
    if record.is_caller_gone and record.attempt_id:
        cancel_attempt(state, record)
        give_up(state, record, True, "response-not-completed")
        start_waiting_requests(state, record.pool)
    elif record.phase is Phase.AWAITING_CLAIM:
        if now_ms < record.deadline_ms:
            state.arm_timer(record, record.deadline_ms + CLAIM_GRACE_MS)
            return
        state.orphaned_claim_requests.add(record.request_id)
        end_with_unknown_outcome(state, record, "claim-unknown")
    elif record.phase is Phase.AWAITING_VOID:
        end_with_unknown_outcome(state, record, "void-unconfirmed")
    elif record.phase is Phase.AWAITING_RESPONSE:
        if now_ms < record.deadline_ms:
            # The timer expires before the deadline, which leaves time to
            # refuse a request that has not been sent. This one has been sent
            # and may still be answered in time.
            state.arm_timer(record, record.deadline_ms)
            return
        end_late_attempt(state, record, now_ms)
    elif record.phase is not Phase.FORWARDING_RESPONSE:
        refuse_waiting_request(state, record, "deadline-passed")


def end_late_attempt(
    state: DispatchState, record: RequestRecord, now_ms: float
) -> None:
    """End a request that got no response head before its deadline."""
    waited_ms = now_ms - record.sent_ms
    average_ms = record.pool.latency_ms
    if waited_ms >= max(LATE_WAIT_MIN_MS, LATE_LATENCY_FACTOR * average_ms):
        count_server_failure(state, record.pool, record.view)
    else:
        record_latency(record.view, waited_ms, now_ms)
    if record.is_keyed:
        send_unknown_outcome(state, record, "deadline-passed")
        detach_caller(state, record)
        return
    cancel_attempt(state, record)
    end_with_unknown_outcome(state, record, "deadline-passed")
    start_waiting_requests(state, record.pool)


def on_request_failed(state: DispatchState, message: RequestFailed) -> None:
    """Handle the failure of a message handler that processed a request."""
    request_id = message.request_id
    if request_id in state.requests:
        fail_request(state, request_id, message.reason)
        return
    # There is no record: the handler of RequestReceived failed, or the request
    # has ended. The listener ignores refusals of requests that have ended.
    refusal = RequestRefused(request_id, 504, Outcome.UNKNOWN, message.reason)
    state.send("callers", refusal)


def on_stop_scheduled(state: DispatchState, message: StopScheduled) -> None:
    """Accept only requests that can end before the process does."""
    state.stop = StopSchedule(*message)


def on_drain_limit_reached(state: DispatchState, message: DrainLimitReached) -> None:
    """
    Give every request without a response its final one.

    Those that wait come first: the end of a request in flight lets one of
    them start. A streamed response goes on until the process ends.
    """
    unanswered = [
        record
        for record in state.requests.values()
        if record.phase is not Phase.FORWARDING_RESPONSE
    ]
    for record in sorted(unanswered, key=lambda record: record.attempt_id != 0):
        fail_request(state, record.request_id, "stopping")


def fail_request(state: DispatchState, request_id: int, reason: str) -> None:
    """
    End a request after one of its message handlers failed.

    :param request_id: id of the request; ignored if the request has ended.
    :param reason: short reason code for the caller.
    """
    record = state.requests.get(request_id)
    if record is None:
        return
    was_sent = record.attempt_id != 0
    if was_sent:
        cancel_attempt(state, record)
    leave_queue(state, record)
    if record.phase is Phase.FORWARDING_RESPONSE:
        abort_response(state, record, reason)
    elif record.phase is Phase.AWAITING_CLAIM:
        state.orphaned_claim_requests.add(request_id)
        end_with_unknown_outcome(state, record, reason)
    elif record.phase is Phase.AWAITING_VOID:
        end_with_unknown_outcome(state, record, reason)
    else:
        give_up(state, record, was_sent, reason)
    start_waiting_requests(state, record.pool)
