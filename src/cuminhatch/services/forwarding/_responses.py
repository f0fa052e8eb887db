"""Checks the responses of backend servers and forwards them to callers."""

from functools import partial

from cuminhatch.codecs.dialect import ResponseMetadata
from cuminhatch.codecs.http1 import Header, ResponseHead
from cuminhatch.decisions.not_run_promise import is_unproven_promise
from cuminhatch.decisions.placement import is_full
from cuminhatch.decisions.response_copies import BodyPart, make_copy_finder
from cuminhatch.decisions.response_origin import (
    ResponseEvidence,
    is_own_response,
    is_refusal_proven,
)
from cuminhatch.decisions.server_records import (
    ServerLoad,
    record_failure,
    record_load,
    record_misplaced_response,
    record_rejected_connection,
    record_success,
    record_unreachable,
)
from cuminhatch.messages import (
    AttemptFailed,
    AttemptResponse,
    AttemptResponseBody,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.messages.attempts import (
    ATTEMPT_WITHDRAWN,
    CONNECTION_LIMIT,
    SERVER_EVACUATED,
    get_body_part,
)
from cuminhatch.services._stream import CONNECTION_CLOSED, CONNECTION_FAILED
from cuminhatch.services.forwarding._admission import (
    record_full_server,
    record_load_sample,
)
from cuminhatch.services.forwarding._attempts import (
    cancel_attempt,
    cancel_attempts,
    end_attempt,
)
from cuminhatch.services.forwarding._completion import abort_response, finish_exchange
from cuminhatch.services.forwarding._exchange import Attempt, Exchange, Stage
from cuminhatch.services.forwarding._hedging import (
    note_hedge_response,
    record_response_time,
)
from cuminhatch.services.forwarding._resending import resend_or_give_up
from cuminhatch.services.forwarding._state import ForwardingState

# Longer responses are streamed. For 500 requests in progress, buffers of this
# size take 128 MB, less than half of the daemon's memory.
RESPONSE_BUFFER_MAX_BYTES = 256 * 1024
# Reason for which a response is rejected or aborted.
ANOTHER_RESPONSE_IN_BODY = "another-response-in-body"
REFUSAL_NOT_PROVEN = "refusal-not-proven"
STATUS_OK = 200
SERVER_ERROR_MIN_STATUS = 500
SUCCESS_STATUSES = range(200, 300)


def find_attempt(
    state: ForwardingState, attempt_id: int
) -> tuple[Exchange, Attempt] | None:
    """Return a request and its attempt, None if the attempt has ended."""
    exchange = state.exchanges_by_attempt.get(attempt_id)
    if exchange is None:
        return None
    return exchange, exchange.attempts[attempt_id]


def on_attempt_response(state: ForwardingState, message: AttemptResponse) -> None:
    """Check a response head, then forward the response or retry."""
    found = find_attempt(state, message.attempt_id)
    if found is None:
        return
    exchange, attempt = found
    facts = state.dialect.read_response(message.head)
    attempt.head = message.head
    attempt.facts = facts
    attempt.evidence = ResponseEvidence(
        exchange.facts.request_id,
        facts.request_ids,
        message.is_reused,
        message.has_trailing_data,
    )
    fault = check_response(attempt)
    if fault:
        reject_response(state, exchange, attempt, fault)
        return
    if facts.load is not None:
        load = ServerLoad(*facts.load, state.clock.now_ms)
        record_load(attempt.record, load)
        record_load_sample(state, attempt.record, load)
    attempt.body_length = message.body_length
    attempt.find_copy = make_copy_finder(
        exchange.facts.request_id,
        message.is_close_delimited or message.has_trailing_data,
        partial(read_request_ids, state),
        None if exchange.head.method == b"HEAD" else message.body_length,
    )
    if facts.is_not_executed:
        handle_not_run(state, exchange, attempt, facts, message)
        return
    # A refusal that is proven has been handled above.
    if is_unproven_promise(message.head.status, exchange.is_idempotent, False):
        handle_unproven_refusal(state, exchange, attempt, message)
        return
    add_response_data(state, exchange, attempt, get_body_part(message))


def check_response(attempt: Attempt) -> str:
    """Return why a response is not valid for a request, or an empty string."""
    facts = attempt.facts
    if not is_own_response(attempt.evidence):
        return "answer-of-another-request"
    if facts.is_not_executed and not is_refusal_proven(attempt.evidence):
        return REFUSAL_NOT_PROVEN
    if attempt.head.status in SUCCESS_STATUSES and not facts.is_authenticated:
        return "answer-not-vouched"
    return ""


def read_request_ids(
    state: ForwardingState, name: bytes, value: bytes
) -> tuple[bytes, ...]:
    """Return the ids of requests in a header of a response."""
    head = ResponseHead(STATUS_OK, b"", (Header(name, value),))
    return state.dialect.read_response(head).request_ids


def reject_response(
    state: ForwardingState, exchange: Exchange, attempt: Attempt, fault: str
) -> None:
    """
    Drop a response that is not valid for its request, and its connection.

    The request may have run; it is retried if that is allowed.
    """
    record_rejection(state, exchange, attempt, fault)
    record_failure(attempt.record, state.clock.now_ms)
    record_misplaced_response(attempt.record, state.clock.now_ms)
    cancel_attempt(state, exchange, attempt)
    exchange.may_have_run = True
    exchange.last_failure = fault
    if exchange.stage is Stage.ANSWERING:
        abort_response(state, exchange, fault)
    else:
        resend_or_give_up(state, exchange, fault)


def record_rejection(
    state: ForwardingState,
    exchange: Exchange,
    attempt: Attempt,
    fault: str,
) -> None:
    """Write a ``response_rejected`` event with what speaks against it."""
    evidence = attempt.evidence
    details = {
        "server": attempt.record.server.server_id,
        "reason": fault,
        "status": attempt.head.status,
        "response_ids": [value.decode("latin-1") for value in evidence.response_ids],
        "is_reused": evidence.is_reused,
        "has_trailing_data": evidence.has_trailing_data,
        "after_ms": round(state.clock.now_ms - attempt.sent_ms, 1),
    }
    state.record("response_rejected", exchange.trace_id, details)


def handle_not_run(
    state: ForwardingState,
    exchange: Exchange,
    attempt: Attempt,
    facts: ResponseMetadata,
    message: AttemptResponse,
) -> None:
    """Retry a request that the backend server has not executed."""
    if attempt.find_copy(get_body_part(message)):
        # The other response may be that of a run.
        reject_response(state, exchange, attempt, ANOTHER_RESPONSE_IN_BODY)
        return
    now_ms = state.clock.now_ms
    if facts.is_misdirected:
        record_unreachable(attempt.record, now_ms)
        reason = "another-server"
    else:
        record_failure(attempt.record, now_ms)
        record_full_server(state, attempt.record)
        reason = "server-full"
    if message.is_complete:
        end_attempt(state, exchange, attempt)
    else:
        cancel_attempt(state, exchange, attempt)
    exchange.last_failure = reason
    resend_or_give_up(state, exchange, reason)


def handle_unproven_refusal(
    state: ForwardingState,
    exchange: Exchange,
    attempt: Attempt,
    message: AttemptResponse,
) -> None:
    """End a request that its server refuses as not run, without proof."""
    record_rejection(state, exchange, attempt, REFUSAL_NOT_PROVEN)
    if message.head.status >= SERVER_ERROR_MIN_STATUS:
        record_failure(attempt.record, state.clock.now_ms)
    if message.is_complete:
        end_attempt(state, exchange, attempt)
    else:
        cancel_attempt(state, exchange, attempt)
    exchange.may_have_run = True
    exchange.last_failure = f"status-{message.head.status}"
    resend_or_give_up(state, exchange, REFUSAL_NOT_PROVEN)


def on_attempt_response_body(
    state: ForwardingState, message: AttemptResponseBody
) -> None:
    """Buffer or forward a part of a response body."""
    found = find_attempt(state, message.attempt_id)
    if found is not None:
        add_response_data(state, *found, get_body_part(message))


def add_response_data(
    state: ForwardingState,
    exchange: Exchange,
    attempt: Attempt,
    part: BodyPart,
) -> None:
    """Buffer or forward a part of a response body; finish a complete one."""
    attempt.response_bytes += len(part.data)
    if attempt.find_copy(part):
        reject_response(state, exchange, attempt, ANOTHER_RESPONSE_IN_BODY)
        return
    if exchange.stage is Stage.ANSWERING:
        forward_response_data(state, exchange, attempt, part.data, part.is_complete)
        return
    attempt.body_parts.append(part.data)
    if part.is_complete:
        finish_response(state, exchange, attempt)
    elif (
        max(attempt.response_bytes, attempt.body_length or 0)
        > RESPONSE_BUFFER_MAX_BYTES
    ):
        start_streaming(state, exchange, attempt)


def finish_response(
    state: ForwardingState, exchange: Exchange, attempt: Attempt
) -> None:
    """Send a complete response to the caller; retry a server error."""
    end_attempt(state, exchange, attempt)
    if attempt.head.status >= SERVER_ERROR_MIN_STATUS:
        record_failure(attempt.record, state.clock.now_ms)
        exchange.may_have_run = True
        exchange.last_failure = f"status-{attempt.head.status}"
        if exchange.attempts:
            # The other attempt may still succeed.
            return
        if resend_or_give_up(state, exchange, exchange.last_failure, has_response=True):
            return
    else:
        note_response(state, exchange, attempt)
    cancel_attempts(state, exchange)
    body = b"".join(attempt.body_parts)
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
    record_response(state, exchange, attempt)
    finish_exchange(state, exchange, "answered")


def note_response(state: ForwardingState, exchange: Exchange, attempt: Attempt) -> None:
    """Update the statistics of a server and a rule after a valid response."""
    now_ms = state.clock.now_ms
    record_success(attempt.record, now_ms)
    state.observe_stage(exchange, "server", now_ms - attempt.sent_ms)
    record_response_time(state, exchange, attempt)
    rule = exchange.rule
    state.request_estimates.record(
        rule.rule_id,
        exchange.service_id,
        rule.target_latency_ms,
        (now_ms - attempt.sent_ms) / attempt.predicted_slowdown,
        attempt.response_bytes,
    )


def record_response(
    state: ForwardingState, exchange: Exchange, attempt: Attempt
) -> None:
    """Write an ``answered`` event to the event log."""
    note_hedge_response(state, exchange, attempt)
    now_ms = state.clock.now_ms
    details = {
        "status": attempt.head.status,
        "server": attempt.record.server.server_id,
        "took_ms": round(now_ms - exchange.received_ms, 1),
        "server_ms": round(now_ms - attempt.sent_ms, 1),
        "sends": len(exchange.attempted_server_ids),
        "is_hedge": attempt.is_hedge,
        "is_caller_gone": exchange.is_caller_gone,
        "response_bytes": attempt.response_bytes,
        "declared_bytes": attempt.body_length,
    }
    state.record("answered", exchange.trace_id, details)


def start_streaming(
    state: ForwardingState, exchange: Exchange, attempt: Attempt
) -> None:
    """Start streaming a response that is too long to be buffered."""
    cancel_attempts(state, exchange, kept=attempt)
    exchange.stage = Stage.ANSWERING
    exchange.streaming_attempt = attempt
    state.streamed_rule_ids.add(exchange.rule.rule_id)
    record_streaming(state, exchange, attempt)
    data = b"".join(attempt.body_parts)
    attempt.body_parts.clear()
    head = ResponseHead(attempt.head.status, attempt.head.phrase, attempt.facts.headers)
    if not exchange.is_caller_gone:
        state.send(
            "callers",
            ResponseStarted(
                exchange.request_id, head, attempt.body_length, data, False
            ),
        )


def record_streaming(
    state: ForwardingState, exchange: Exchange, attempt: Attempt
) -> None:
    """Write a ``streaming_started`` event to the event log."""
    details = {
        "server": attempt.record.server.server_id,
        "status": attempt.head.status,
        "received_bytes": attempt.response_bytes,
        "declared_bytes": attempt.body_length,
        "after_ms": round(state.clock.now_ms - attempt.sent_ms, 1),
    }
    state.record("streaming_started", exchange.trace_id, details)


def forward_response_data(
    state: ForwardingState,
    exchange: Exchange,
    attempt: Attempt,
    data: bytes,
    is_complete: bool,
) -> None:
    """Forward a part of the body of a streamed response."""
    if not exchange.is_caller_gone:
        state.send("callers", ResponseBody(exchange.request_id, data, is_complete))
    if is_complete:
        end_attempt(state, exchange, attempt)
        note_response(state, exchange, attempt)
        record_response(state, exchange, attempt)
        finish_exchange(state, exchange, "answered")


def on_attempt_failed(state: ForwardingState, message: AttemptFailed) -> None:
    """Retry a request whose attempt failed, or end it."""
    found = find_attempt(state, message.attempt_id)
    if found is None:
        return
    exchange, attempt = found
    end_attempt(state, exchange, attempt)
    reason = message.reason.replace(" ", "-")
    exchange.last_failure = reason
    details = {
        "server": attempt.record.server.server_id,
        "reason": reason,
        "is_sent": message.is_sent,
        "is_reused": message.is_reused,
        "after_ms": round(state.clock.now_ms - attempt.sent_ms, 1),
    }
    state.record("send_failed", exchange.trace_id, details)
    if exchange.stage is Stage.ANSWERING:
        record_failure(attempt.record, state.clock.now_ms)
        abort_response(state, exchange, reason)
        return
    if note_attempt_failure(state, attempt, message):
        record_full_server(state, attempt.record)
    if message.is_sent:
        exchange.may_have_run = True
    else:
        # The server has received nothing of this attempt.
        exchange.attempted_server_ids.remove(attempt.record.server.server_id)
    resend_or_give_up(state, exchange, reason)


def note_attempt_failure(
    state: ForwardingState, attempt: Attempt, message: AttemptFailed
) -> bool:
    """Update the record of a server, and tell whether it was full."""
    now_ms = state.clock.now_ms
    not_at_fault = (CONNECTION_LIMIT, ATTEMPT_WITHDRAWN, SERVER_EVACUATED)
    if message.reason in not_at_fault or message.is_reused:
        # A server is not at fault if this instance has no connection left, may
        # not use it or withdraws the attempt, or if a reused connection ends.
        return False
    is_connection_closed = message.reason in (CONNECTION_FAILED, CONNECTION_CLOSED)
    if is_connection_closed and (
        not message.is_sent or is_full(attempt.record, now_ms)
    ):
        record_rejected_connection(attempt.record, now_ms)
        return True
    if message.is_sent:
        record_failure(attempt.record, now_ms)
    else:
        record_unreachable(attempt.record, now_ms)
    return False
