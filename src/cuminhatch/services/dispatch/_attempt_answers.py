"""Judges the answers of backend servers and forwards them."""

from cuminhatch.codecs.http1 import ResponseHead
from cuminhatch.decisions.leaving import after_observation
from cuminhatch.decisions.servers import (
    LoadReport,
    ServerView,
    note_answer,
    note_report,
    note_shed,
)
from cuminhatch.messages import (
    AttemptBody,
    AttemptResponse,
    ClaimAnswered,
    LoadObserved,
    ResponseBody,
)
from cuminhatch.services.dispatch._admission_queues import refresh_view, start_waiting
from cuminhatch.services.dispatch._answers import ran_answer
from cuminhatch.services.dispatch._attempt_failures import handle_shed
from cuminhatch.services.dispatch._attempts import cancel_attempt, end_attempt
from cuminhatch.services.dispatch._dispatch_state import DispatchState
from cuminhatch.services.dispatch._request import Phase, RequestRecord
from cuminhatch.services.dispatch._request_ends import (
    break_off,
    finish_request,
    give_up,
)
from cuminhatch.services.dispatch._response_facts import ResponseFacts, read_facts
from cuminhatch.services.dispatch._server_observations import count_failure

# A server that answers errors at once would look idle.
SERVER_ERROR = 500


def on_attempt_response(state: DispatchState, message: AttemptResponse) -> None:
    """Use what a response head tells, and forward it."""
    record = state.by_attempt.get(message.attempt_id)
    if record is None or record.phase is not Phase.RUNNING:
        return
    now_ms = state.clock.now_ms
    facts = read_facts(message.head)
    note_response(state, record, facts, message.head.status, now_ms)
    if facts.is_shed:
        handle_shed(state, record, facts, message)
        return
    if not message.is_complete:
        # The attempt goes on; what its head says holds from now on.
        refresh_view(state, record.pool, record.view)
    state.disarm_timer(record)
    record.phase = Phase.RESPONDING
    forward_head(state, record, facts, message)
    pass_data(state, record, message.data, message.is_complete)


def note_response(
    state: DispatchState,
    record: RequestRecord,
    facts: ResponseFacts,
    status: int,
    now_ms: float,
) -> None:
    """Update the view of the server by its response head."""
    pool, view = record.pool, record.view
    if facts.load is not None:
        note_report(view, LoadReport(*facts.load, now_ms))
    if facts.is_draining:
        view.signs = after_observation(view.signs, True, now_ms)
        share_leaving(state, view, facts, now_ms)
    if facts.is_shed:
        note_shed(view, now_ms)
        state.telemetry.count("shed_total", {"server": view.server.server_id})
        return
    if status >= SERVER_ERROR:
        count_failure(state, pool, view)
        return
    latency_ms = now_ms - record.sent_ms
    if not record.is_long:
        pool.note_latency(latency_ms)
    pool.ejected_ids.discard(view.server.server_id)
    note_answer(view, latency_ms, not record.is_long, now_ms)


def share_leaving(
    state: DispatchState, view: ServerView, facts: ResponseFacts, now_ms: float
) -> None:
    """Tell the other instances, which may not call the server themselves."""
    server = view.server
    in_flight, queued, slots = facts.load or (view.in_flight, 0, server.slots)
    observed = LoadObserved(
        server.server_id, in_flight, queued, slots, 0.0, True, now_ms, "answer"
    )
    state.send("peers", observed)


def forward_head(
    state: DispatchState,
    record: RequestRecord,
    facts: ResponseFacts,
    message: AttemptResponse,
) -> None:
    """Send the head of the answer to the caller."""
    head = message.head
    is_bodiless = record.head.method == b"HEAD" or head.status in (204, 304)
    record.response_left = None if is_bodiless else message.body_length
    if record.is_keyed:
        record.answer_head = ResponseHead(head.status, head.phrase, facts.headers)
    if not record.is_caller_gone:
        is_whole = record.is_part_whole(message.data, message.is_complete)
        answer = ran_answer(record, message, facts.headers, is_whole)
        state.send("callers", answer)


def pass_data(
    state: DispatchState, record: RequestRecord, data: bytes, is_complete: bool
) -> None:
    """Account for a part of the answer, and end it if it is whole."""
    if not record.is_part_whole(data, is_complete):
        cancel_attempt(state, record)
        break_off(state, record, "body-length-mismatch")
        start_waiting(state, record.pool)
        return
    if record.response_left is not None:
        record.response_left -= len(data)
    if record.is_keyed:
        record.keep_answer(data)
    if is_complete:
        end_attempt(state, record)
        if record.claim_id is not None:
            answer = ClaimAnswered(record.claim_id, record.stored_answer())
            state.send("claims", answer)
        finish_request(state, record, "answered")
        start_waiting(state, record.pool)


def on_attempt_body(state: DispatchState, message: AttemptBody) -> None:
    """Forward a part of the answer."""
    record = state.by_attempt.get(message.attempt_id)
    if record is None:
        return
    if record.phase is not Phase.RESPONDING:
        # A body without its head can only be a part of the answer.
        cancel_attempt(state, record)
        give_up(state, record, True, "body-before-head")
        start_waiting(state, record.pool)
        return
    data, is_complete = message.data, message.is_complete
    if not record.is_caller_gone and record.is_part_whole(data, is_complete):
        state.send("callers", ResponseBody(record.request_id, data, is_complete))
    pass_data(state, record, data, is_complete)
