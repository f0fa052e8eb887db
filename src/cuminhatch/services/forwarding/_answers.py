"""Judges the answers of backend servers and returns them to callers."""

from cuminhatch.codecs.dialect import AnswerFacts
from cuminhatch.codecs.http1 import ResponseHead
from cuminhatch.decisions.placement import is_full
from cuminhatch.decisions.server_records import (
    ServerLoad,
    note_failure,
    note_load,
    note_success,
    note_turned_away,
    note_unreachable,
)
from cuminhatch.messages import (
    AttemptBody,
    AttemptFailed,
    AttemptResponse,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.messages.attempts import CONNECTION_LIMIT
from cuminhatch.services._stream import CONNECTION_CLOSED, CONNECTION_FAILED
from cuminhatch.services.forwarding._attempts import (
    cancel_attempt,
    cancel_attempts,
    end_attempt,
)
from cuminhatch.services.forwarding._ends import break_off, finish_exchange
from cuminhatch.services.forwarding._exchange import Attempt, Exchange, Stage
from cuminhatch.services.forwarding._resending import resend_or_give_up
from cuminhatch.services.forwarding._state import ForwardingState

# Longer answers are passed on as they come; with 500 requests in progress
# this is less than half of the daemon's memory.
KEPT_ANSWER_BYTES = 256 * 1024
SERVER_ERROR = 500
SUCCESS = range(200, 300)


def find_attempt(
    state: ForwardingState, attempt_id: int
) -> tuple[Exchange, Attempt] | None:
    """Return the request and the send that a message is about."""
    exchange = state.by_attempt.get(attempt_id)
    if exchange is None:
        return None
    return exchange, exchange.attempts[attempt_id]


def on_attempt_response(state: ForwardingState, message: AttemptResponse) -> None:
    """Use what a response head tells, and keep or return the answer."""
    found = find_attempt(state, message.attempt_id)
    if found is None:
        return
    exchange, attempt = found
    facts = state.dialect.read_answer(message.head)
    now_ms = state.clock.now_ms
    if facts.load is not None:
        note_load(attempt.record, ServerLoad(*facts.load, now_ms))
    if facts.is_not_run:
        on_not_run(state, exchange, attempt, facts, message)
        return
    fault = find_fault(exchange, message.head, facts)
    if fault:
        note_failure(attempt.record, now_ms)
        cancel_attempt(state, exchange, attempt)
        exchange.is_maybe_run = True
        exchange.failure = fault
        resend_or_give_up(state, exchange, fault)
        return
    attempt.head = message.head
    attempt.facts = facts
    attempt.body_length = message.body_length
    take_data(state, exchange, attempt, message.data, message.is_complete)


def find_fault(exchange: Exchange, head: ResponseHead, facts: AnswerFacts) -> str:
    """Return why a response is not the answer to this request, or nothing."""
    if facts.request_id != exchange.facts.request_id:
        return "answer-of-another-request"
    if head.status in SUCCESS and not facts.is_vouched:
        return "answer-not-vouched"
    return ""


def on_not_run(
    state: ForwardingState,
    exchange: Exchange,
    attempt: Attempt,
    facts: AnswerFacts,
    message: AttemptResponse,
) -> None:
    """Send a request elsewhere that the backend server has not run."""
    now_ms = state.clock.now_ms
    if facts.is_other_server:
        note_unreachable(attempt.record, now_ms)
        reason = "another-server"
    else:
        note_failure(attempt.record, now_ms)
        reason = "server-full"
    if message.is_complete:
        end_attempt(state, exchange, attempt)
    else:
        cancel_attempt(state, exchange, attempt)
    exchange.failure = reason
    resend_or_give_up(state, exchange, reason)


def on_attempt_body(state: ForwardingState, message: AttemptBody) -> None:
    """Keep or return a part of an answer."""
    found = find_attempt(state, message.attempt_id)
    if found is not None:
        take_data(state, *found, message.data, message.is_complete)


def take_data(
    state: ForwardingState,
    exchange: Exchange,
    attempt: Attempt,
    data: bytes,
    is_complete: bool,
) -> None:
    """Take a part of an answer; a whole one goes to the caller."""
    attempt.answer_bytes += len(data)
    if exchange.stage is Stage.ANSWERING:
        pass_on(state, exchange, attempt, data, is_complete)
        return
    attempt.parts.append(data)
    if is_complete:
        judge_answer(state, exchange, attempt)
    elif max(attempt.answer_bytes, attempt.body_length or 0) > KEPT_ANSWER_BYTES:
        start_streaming(state, exchange, attempt)


def judge_answer(state: ForwardingState, exchange: Exchange, attempt: Attempt) -> None:
    """Return a whole answer, or try for a better one."""
    end_attempt(state, exchange, attempt)
    if attempt.head.status >= SERVER_ERROR:
        note_failure(attempt.record, state.clock.now_ms)
        exchange.is_maybe_run = True
        exchange.failure = f"status-{attempt.head.status}"
        if exchange.attempts:
            # The other send may still succeed.
            return
        if resend_or_give_up(state, exchange, exchange.failure, is_answered=True):
            return
    else:
        note_answer(state, exchange, attempt)
    cancel_attempts(state, exchange)
    body = b"".join(attempt.parts)
    if not exchange.is_caller_gone:
        head = ResponseHead(
            attempt.head.status, attempt.head.phrase, attempt.facts.headers
        )
        length = len(body)
        if exchange.head.method == b"HEAD":
            length = attempt.body_length
        state.send(
            "callers", ResponseStarted(exchange.request_id, head, length, body, True)
        )
    record_answer(state, exchange, attempt)
    finish_exchange(state, exchange, "answered")


def note_answer(state: ForwardingState, exchange: Exchange, attempt: Attempt) -> None:
    """Learn from a good answer."""
    now_ms = state.clock.now_ms
    note_success(attempt.record, now_ms)
    state.observe_stage(exchange, "server", now_ms - attempt.sent_ms)
    rule = exchange.rule
    state.work_times.note(
        rule.rule_id,
        exchange.service_id,
        rule.target_latency_ms,
        (now_ms - attempt.sent_ms) / attempt.slowness,
        attempt.answer_bytes,
    )


def record_answer(state: ForwardingState, exchange: Exchange, attempt: Attempt) -> None:
    """Log an answer of a backend server."""
    now_ms = state.clock.now_ms
    details = {
        "status": attempt.head.status,
        "server": attempt.record.server.server_id,
        "took_ms": round(now_ms - exchange.received_ms, 1),
        "server_ms": round(now_ms - attempt.sent_ms, 1),
        "sends": len(exchange.sends),
        "is_hedge": attempt.is_hedge,
        "is_caller_gone": exchange.is_caller_gone,
    }
    state.record("answered", exchange.trace_id, details)


def start_streaming(
    state: ForwardingState, exchange: Exchange, attempt: Attempt
) -> None:
    """Pass on an answer that is too long to be kept."""
    cancel_attempts(state, exchange, kept=attempt)
    exchange.stage = Stage.ANSWERING
    exchange.winner = attempt
    data = b"".join(attempt.parts)
    attempt.parts.clear()
    head = ResponseHead(attempt.head.status, attempt.head.phrase, attempt.facts.headers)
    if not exchange.is_caller_gone:
        state.send(
            "callers",
            ResponseStarted(
                exchange.request_id, head, attempt.body_length, data, False
            ),
        )


def pass_on(
    state: ForwardingState,
    exchange: Exchange,
    attempt: Attempt,
    data: bytes,
    is_complete: bool,
) -> None:
    """Pass on a part of a long answer."""
    if not exchange.is_caller_gone:
        state.send("callers", ResponseBody(exchange.request_id, data, is_complete))
    if is_complete:
        end_attempt(state, exchange, attempt)
        note_answer(state, exchange, attempt)
        record_answer(state, exchange, attempt)
        finish_exchange(state, exchange, "answered")


def on_attempt_failed(state: ForwardingState, message: AttemptFailed) -> None:
    """Send a request elsewhere, or tell the caller what is known."""
    found = find_attempt(state, message.attempt_id)
    if found is None:
        return
    exchange, attempt = found
    end_attempt(state, exchange, attempt)
    reason = message.reason.replace(" ", "-")
    exchange.failure = reason
    details = {
        "server": attempt.record.server.server_id,
        "reason": reason,
        "is_sent": message.is_sent,
        "is_reused": message.is_reused,
        "after_ms": round(state.clock.now_ms - attempt.sent_ms, 1),
    }
    state.record("send_failed", exchange.trace_id, details)
    if exchange.stage is Stage.ANSWERING:
        note_failure(attempt.record, state.clock.now_ms)
        break_off(state, exchange, reason)
        return
    judge_failure(state, attempt, message)
    if message.is_sent:
        exchange.is_maybe_run = True
    else:
        # Nothing of this send has arrived.
        exchange.sends.remove(attempt.record.server.server_id)
    resend_or_give_up(state, exchange, reason)


def judge_failure(
    state: ForwardingState, attempt: Attempt, message: AttemptFailed
) -> None:
    """Hold a failure against the server, unless the connection explains it."""
    now_ms = state.clock.now_ms
    if message.reason == CONNECTION_LIMIT or message.is_reused:
        return
    is_ended = message.reason in (CONNECTION_FAILED, CONNECTION_CLOSED)
    if is_ended and (not message.is_sent or is_full(attempt.record, now_ms)):
        note_turned_away(attempt.record, now_ms)
    elif message.is_sent:
        note_failure(attempt.record, now_ms)
    else:
        note_unreachable(attempt.record, now_ms)
