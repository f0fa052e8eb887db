"""Sends requests, or queues them for a backend server or a permit."""

from typing import NamedTuple

from cuminhatch.decisions.admission import NotAdmitted
from cuminhatch.decisions.choice import NotChosen
from cuminhatch.decisions.servers import ServerView, may_take_long
from cuminhatch.messages import (
    PermitGranted,
    PermitRefused,
    PermitRequested,
    PermitReturned,
)
from cuminhatch.services.dispatch._attempts import start_attempt
from cuminhatch.services.dispatch._dispatch_state import NAME, DispatchState
from cuminhatch.services.dispatch._pool import ServerPool
from cuminhatch.services.dispatch._request import Phase, RequestRecord
from cuminhatch.services.dispatch._request_completion import (
    leave_queue,
    refuse_waiting_request,
)

# Most permit requests per request. Another one is needed if the server of a
# granted permit can no longer take the request.
PERMIT_REQUESTS_MAX = 3


class ConnectionLimitPauseEnded(NamedTuple):
    """The pause after a server had no free connection has ended."""

    service_id: str
    server_id: str


def check_admission(state: DispatchState, record: RequestRecord) -> NotAdmitted | None:
    """Return why a request would be refused now, None if it would not."""
    pool = record.pool
    queue = pool.get_queue(record.rule.work_class)
    if not record.is_long and pool.open_views and not queue.length:
        return None
    expected_latency_ms = 0.0 if record.is_long else pool.latency_ms
    return queue.check(
        record.start_deadline_ms, expected_latency_ms, state.clock.now_ms
    )


def admit_request(state: DispatchState, record: RequestRecord) -> None:
    """Send a request to a backend server, queue it, or refuse it."""
    pool = record.pool
    if not pool.views:
        refuse_waiting_request(state, record, "no-backend-server")
        return
    queue = pool.get_queue(record.rule.work_class)
    if not record.is_long and not queue.length:
        chosen = choose_server(state, record)
        if not isinstance(chosen, NotChosen):
            start_attempt(state, record, chosen)
            return
    expected_latency_ms = 0.0 if record.is_long else pool.latency_ms
    now_ms = state.clock.now_ms
    admitted = queue.offer(
        record.request_id, record.start_deadline_ms, expected_latency_ms, now_ms
    )
    if isinstance(admitted, NotAdmitted):
        refuse_waiting_request(state, record, admitted.reason)
        return
    record.phase = Phase.QUEUED
    if not record.is_long:
        return
    if state.kernel.has_service("permits"):
        record.phase = Phase.AWAITING_PERMIT
        request_permit(state, record)
    else:
        start_waiting_long_requests(state, pool)


def choose_server(
    state: DispatchState, record: RequestRecord
) -> ServerView | NotChosen:
    """Choose a backend server for a short request."""
    now_ms = state.clock.now_ms
    candidates = record.pool.open_views
    if record.attempts and len(candidates) > 1:
        # A retry avoids the server of the previous attempt.
        candidates = [view for view in candidates if view is not record.view]
    return state.choose(candidates, now_ms)


def start_waiting_requests(state: DispatchState, pool: ServerPool) -> None:
    """Send queued requests while backend servers can take them."""
    queue = pool.short_queue
    if not queue.length and not pool.long_queue.length:
        return
    while queue.length and pool.open_views:
        record = state.requests[queue.take()]
        chosen = choose_server(state, record)
        if isinstance(chosen, NotChosen):
            admit_request(state, record)
            break
        start_attempt(state, record, chosen)
    if pool.long_queue.length and not state.kernel.has_service("permits"):
        start_waiting_long_requests(state, pool)


def start_waiting_long_requests(state: DispatchState, pool: ServerPool) -> None:
    """Send queued long requests if there is no permits service."""
    queue = pool.long_queue
    while queue.length:
        now_ms = state.clock.now_ms
        chosen = state.choose(pool.find_long_candidates(now_ms), now_ms)
        if isinstance(chosen, NotChosen):
            return
        start_attempt(state, state.requests[queue.take()], chosen)


def refresh_and_start_waiting(
    state: DispatchState, pool: ServerPool, view: ServerView
) -> None:
    """Update the available servers, and send waiting requests."""
    pool.refresh(view, state.clock.now_ms)
    start_waiting_requests(state, pool)


def request_permit(state: DispatchState, record: RequestRecord) -> None:
    """Request a permit for any of the best candidate servers."""
    now_ms = state.clock.now_ms
    ids = record.pool.rank_permit_candidates(record.view, now_ms)
    record.permit_requests += 1
    state.send(
        "permits",
        PermitRequested(NAME, record.request_id, "long", ids, record.start_deadline_ms),
    )


def on_permit_granted(state: DispatchState, message: PermitGranted) -> None:
    """Send a long request, or return a permit that cannot be used."""
    record = state.requests.get(message.token)
    if record is None or record.phase is not Phase.AWAITING_PERMIT:
        state.send("permits", PermitReturned(message.permit))
        return
    view = record.pool.views.get(message.permit.server_id)
    now_ms = state.clock.now_ms
    # The permit already limits long requests across all instances, so the
    # lower local limit does not apply.
    is_usable = view is not None and may_take_long(view, now_ms, view.server.slots)
    if is_usable:
        leave_queue(state, record)
        record.permit = message.permit
        start_attempt(state, record, view)
        return
    state.send("permits", PermitReturned(message.permit))
    if view is not None and now_ms < view.connections_full_until_ms:
        # Another permit is requested on ConnectionLimitPauseEnded.
        record.phase = Phase.QUEUED
    elif record.permit_requests < PERMIT_REQUESTS_MAX:
        request_permit(state, record)
    else:
        refuse_waiting_request(state, record, "no-server-for-permit")


def on_permit_refused(state: DispatchState, message: PermitRefused) -> None:
    """Refuse a long request that was denied a permit."""
    record = state.requests.get(message.token)
    if record is not None and record.phase is Phase.AWAITING_PERMIT:
        refuse_waiting_request(state, record, message.reason.replace(" ", "-"))


def on_connection_limit_pause_ended(
    state: DispatchState, message: ConnectionLimitPauseEnded
) -> None:
    """Send queued requests, and request permits again for long ones."""
    pool = state.table.get_pool(message.service_id)
    if pool is None:
        return
    view = pool.views.get(message.server_id)
    if view is not None:
        refresh_and_start_waiting(state, pool, view)
    if not state.kernel.has_service("permits"):
        return
    for request_id in pool.long_queue.request_ids:
        record = state.requests[request_id]
        if record.phase is Phase.QUEUED:
            record.phase = Phase.AWAITING_PERMIT
            record.permit_requests = 0
            request_permit(state, record)
