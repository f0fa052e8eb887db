"""Starts, cancels and ends attempts, and relays flow control."""

from math import inf

from cuminhatch.codecs.dialect import ForwardingMetadata
from cuminhatch.decisions.hedging import hedge_delay_ms
from cuminhatch.decisions.placement import Placed
from cuminhatch.decisions.request_estimates import RequestEstimate
from cuminhatch.decisions.response_origin import idle_limit_ms
from cuminhatch.decisions.server_records import (
    are_responses_reliable,
    record_ended,
    record_sent,
)
from cuminhatch.messages import (
    Address,
    AttemptCancelled,
    AttemptRequested,
    RequestReadResumed,
)
from cuminhatch.services.forwarding._exchange import (
    REQUEST_BUFFER_MAX_BYTES,
    Attempt,
    Exchange,
    Stage,
)
from cuminhatch.services.forwarding._hedging import (
    record_cancelled_attempt,
    schedule_planned_hedge,
)
from cuminhatch.services.forwarding._sending import take_first_slice
from cuminhatch.services.forwarding._state import ForwardingState
from cuminhatch.services.forwarding._timers import HedgeDue


def start_attempt(state: ForwardingState, exchange: Exchange, placed: Placed) -> None:
    """Send a request to a backend server."""
    now_ms = state.clock.now_ms
    record = placed.record
    usual_ms = estimate_request(state, exchange).usual_ms
    slowdown = placed.predicted_ms / usual_ms
    attempt = Attempt(next(state.ids), record, now_ms, exchange.is_hedging, slowdown)
    attempt.predicted_ms = placed.predicted_ms
    exchange.is_hedging = False
    exchange.stage = Stage.RUNNING
    exchange.attempts[attempt.attempt_id] = attempt
    state.exchanges_by_attempt[attempt.attempt_id] = exchange
    if not exchange.attempted_server_ids:
        state.observe_stage(exchange, "waiting", now_ms - exchange.received_ms)
    exchange.attempted_server_ids.append(record.server.server_id)
    record_placement(state, exchange, attempt, placed)
    record_sent(record, now_ms)
    state.send("backends", make_attempt_request(state, exchange, attempt, now_ms))
    if len(exchange.body) > REQUEST_BUFFER_MAX_BYTES and not exchange.is_received_ahead:
        exchange.is_body_buffered = False
        exchange.body = bytearray()
        state.uploads.release(exchange.request_id)
    if not exchange.is_body_complete:
        exchange.is_read_paused = False
        state.send("callers", RequestReadResumed(exchange.request_id))
    schedule_hedge(state, exchange, placed, now_ms)


def estimate_request(state: ForwardingState, exchange: Exchange) -> RequestEstimate:
    """Return the usual duration and response length of a request."""
    rule = exchange.rule
    return state.request_estimates.estimate(
        rule.rule_id, exchange.service_id, rule.target_latency_ms
    )


def record_placement(
    state: ForwardingState, exchange: Exchange, attempt: Attempt, placed: Placed
) -> None:
    """Record which server was chosen, and its load at that time."""
    record = attempt.record
    load = record.load
    details = {
        "server": record.server.server_id,
        "send": len(exchange.attempted_server_ids),
        "is_hedge": attempt.is_hedge,
        "is_near": record.is_near,
        "predicted_ms": round(placed.predicted_ms, 1),
        "left_ms": round(exchange.deadline_ms - attempt.sent_ms, 1),
    }
    if load is not None:
        details |= {
            "running": load.running,
            "waiting": load.waiting,
            "slowdown": load.slowdown,
            "load_age_ms": round(attempt.sent_ms - load.observed_ms, 1),
        }
    state.record("placed", exchange.trace_id, details)


def make_attempt_request(
    state: ForwardingState, exchange: Exchange, attempt: Attempt, now_ms: float
) -> AttemptRequested:
    """Return the message that requests an attempt."""
    server = attempt.record.server
    left_ms = exchange.deadline_ms - now_ms
    is_reliable = are_responses_reliable(attempt.record, now_ms)
    idle_max_ms = idle_limit_ms(
        exchange.facts.request_id,
        exchange.is_idempotent,
        exchange.attempted_server_ids.count(server.server_id) > 1,
        state.settings.active_connection_ms if is_reliable else 0.0,
    )
    team = exchange.team
    forwarding = ForwardingMetadata(
        server.server_id,
        left_ms,
        team.team_id if team is not None else "",
        team is not None or state.configuration.teams is not None,
    )
    head = state.dialect.forward_request(exchange.head, exchange.facts, forwarding)
    data = take_first_slice(state, exchange, attempt)
    return AttemptRequested(
        attempt.attempt_id,
        server.server_id,
        Address(server.host, server.port),
        head,
        exchange.body_length,
        data,
        exchange.is_body_complete and len(data) == len(exchange.body),
        max(1.0, left_ms),
        idle_max_ms == 0.0,
        idle_max_ms,
    )


def schedule_hedge(
    state: ForwardingState, exchange: Exchange, placed: Placed, now_ms: float
) -> None:
    """Schedule a hedged attempt for an idempotent request."""
    if not exchange.is_idempotent or exchange.hedge_timer is not None:
        return
    if state.settings.hedging_share < inf:
        schedule_planned_hedge(state, exchange)
        return
    usual = estimate_request(state, exchange)
    target_ms = exchange.rule.target_latency_ms
    delay_ms = hedge_delay_ms(usual.usual_ms, placed.predicted_ms, target_ms)
    if now_ms + delay_ms < exchange.deadline_ms:
        due = HedgeDue(exchange.request_id)
        exchange.hedge_timer = state.call_at(now_ms + delay_ms, due)


def end_attempt(state: ForwardingState, exchange: Exchange, attempt: Attempt) -> None:
    """Forget an attempt; later messages about it are ignored."""
    state.exchanges_by_attempt.pop(attempt.attempt_id, None)
    exchange.attempts.pop(attempt.attempt_id, None)
    state.sliced_attempt_ids.discard(attempt.attempt_id)
    record_ended(attempt.record)
    if exchange.attempts and not exchange.is_body_complete:
        # The caller may not have been read because this server read slowly.
        state.send("callers", RequestReadResumed(exchange.request_id))


def cancel_attempt(
    state: ForwardingState, exchange: Exchange, attempt: Attempt
) -> None:
    """Cancel an attempt whose response is no longer needed."""
    state.send("backends", AttemptCancelled(attempt.attempt_id))
    end_attempt(state, exchange, attempt)


def cancel_attempts(
    state: ForwardingState, exchange: Exchange, kept: Attempt | None = None
) -> None:
    """Cancel all attempts of a request except one."""
    for attempt in list(exchange.attempts.values()):
        if attempt is not kept:
            record_cancelled_attempt(state, exchange, attempt)
            cancel_attempt(state, exchange, attempt)


def find_request_id(state: ForwardingState, attempt_id: int) -> int | None:
    """Return the request that an attempt belongs to, None if it has ended."""
    exchange = state.exchanges_by_attempt.get(attempt_id)
    return exchange.request_id if exchange is not None else None


def find_streaming_attempt_id(state: ForwardingState, request_id: int) -> int | None:
    """Return the attempt whose response is streamed to the caller, if any."""
    exchange = state.exchanges.get(request_id)
    if exchange is None or exchange.streaming_attempt is None:
        return None
    return exchange.streaming_attempt.attempt_id
