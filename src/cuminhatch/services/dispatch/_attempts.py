"""Starts and ends attempts, and propagates back pressure."""

from cuminhatch.decisions.servers import ServerView
from cuminhatch.messages import (
    Address,
    AttemptCancelled,
    AttemptReadResumed,
    AttemptRequested,
    PermitReturned,
    RequestReadResumed,
)
from cuminhatch.services.dispatch._dispatch_state import DispatchState
from cuminhatch.services.dispatch._request import (
    RETRY_BODY_BYTES_MAX,
    Phase,
    RequestRecord,
    build_forwarded_head,
)
from cuminhatch.services.dispatch._request_completion import refuse_waiting_request

# Time that an attempt has left when its caller leaves, at least. A server that
# sends without end would hold it otherwise.
DETACHED_ATTEMPT_TIMEOUT_MS = 60_000.0


def start_attempt(
    state: DispatchState,
    record: RequestRecord,
    view: ServerView,
    is_new_connection_required: bool = False,
) -> None:
    """Send a request to a backend server, if enough time is left."""
    now_ms = state.clock.now_ms
    if not record.is_long and record.start_deadline_ms <= now_ms:
        refuse_waiting_request(state, record, "deadline-passed")
        return
    record.view = view
    record.attempts += 1
    record.attempt_id = next(state.attempt_ids)
    record.attempt_tag = b"%s-%d" % (state.instance_id.encode(), record.attempt_id)
    record.phase = Phase.AWAITING_RESPONSE
    record.sent_ms = now_ms
    state.by_attempt[record.attempt_id] = record
    view.in_flight += 1
    view.long_in_flight += record.is_long
    record.pool.refresh(view, now_ms)
    # A repeated response can't be told apart if the server repeats no ids, so
    # it never meets a connection that is in use again.
    is_new = is_new_connection_required or not view.is_attempt_id_returned
    state.send("backends", build_attempt_request(record, is_new, now_ms))
    if len(record.body) > RETRY_BODY_BYTES_MAX and not record.is_keyed:
        record.is_body_kept = False
        record.body = b""
    if not record.is_body_complete:
        record.is_read_paused = False
        state.send("callers", RequestReadResumed(record.request_id))
    if record.attempts > 1:
        state.telemetry.record_retry(record)


def build_attempt_request(
    record: RequestRecord, is_new_connection_required: bool, now_ms: float
) -> AttemptRequested:
    """Build the message that sends a request to its backend server."""
    server = record.view.server
    return AttemptRequested(
        record.attempt_id,
        server.server_id,
        Address(server.host, server.port),
        build_forwarded_head(record, now_ms),
        record.body_length,
        bytes(record.body),
        record.is_body_complete,
        record.rule.response_timeout_ms,
        is_new_connection_required,
    )


def cancel_attempt(state: DispatchState, record: RequestRecord) -> None:
    """Cancel an attempt whose response is no longer needed."""
    state.send("backends", AttemptCancelled(record.attempt_id))
    end_attempt(state, record)


def end_attempt(state: DispatchState, record: RequestRecord) -> None:
    """Release the slot and permit of an attempt; ignore its later messages."""
    state.by_attempt.pop(record.attempt_id, None)
    record.attempt_id = 0
    view = record.view
    view.in_flight -= 1
    view.long_in_flight -= record.is_long
    if record.permit is not None:
        state.send("permits", PermitReturned(record.permit))
        record.permit = None
    now_ms = state.clock.now_ms
    record.pool.get_queue(record.rule.work_class).on_end(now_ms)
    record.pool.refresh(view, now_ms)


def detach_caller(state: DispatchState, record: RequestRecord) -> None:
    """Let an attempt finish, within a limit, without a caller to answer."""
    record.is_caller_gone = True
    timeout_ms = state.clock.now_ms + DETACHED_ATTEMPT_TIMEOUT_MS
    state.arm_timer(record, max(record.deadline_ms, timeout_ms))
    state.send("backends", AttemptReadResumed(record.attempt_id))


def find_request_id(state: DispatchState, attempt_id: int) -> int | None:
    """Return the request that an attempt belongs to, None if it has ended."""
    record = state.by_attempt.get(attempt_id)
    return record.request_id if record is not None else None


def find_attempt_id(state: DispatchState, request_id: int) -> int | None:
    """Return the attempt of a request whose caller waits, None for none."""
    record = state.requests.get(request_id)
    if record is None or record.is_caller_gone:
        return None
    return record.attempt_id or None
