"""Ends requests and reports their outcomes to callers."""

from collections.abc import Mapping
from math import inf
from types import MappingProxyType
from typing import Any

from cuminhatch.decisions.credentials import AccessDenied
from cuminhatch.decisions.placement import RETRY_AFTER_MIN_MS, NotPlaced
from cuminhatch.decisions.stopping import StopSchedule
from cuminhatch.messages import (
    DrainLimitReached,
    RequestFailed,
    RequestRefused,
    ResponseAborted,
    StopScheduled,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services.forwarding._admission import describe_admission
from cuminhatch.services.forwarding._attempts import cancel_attempts
from cuminhatch.services.forwarding._exchange import Exchange, Stage
from cuminhatch.services.forwarding._hedging import finish_hedge
from cuminhatch.services.forwarding._state import ForwardingState
from cuminhatch.services.forwarding._timers import ExchangeTimedOut

# Keeps callers that were refused together from retrying together.
RETRY_AFTER_JITTER_RATIO = 0.3
NO_BASIS: Mapping[str, Any] = MappingProxyType({})
# Reason of requests that end because the process does.
STOPPING = "stopping"
# Retry-After of a request for an entry of the configuration that cannot be
# used, or that has changed: the configuration is read about once a second.
CONFIGURATION_RETRY_AFTER_MS = 1_000.0
# Reason of uploads whose body has not arrived by their deadline.
BODY_NOT_RECEIVED = "body-not-received"


def refuse_unplaced(
    state: ForwardingState, exchange: Exchange, refusal: NotPlaced
) -> None:
    """End a request that could not be placed."""
    give_up(state, exchange, refusal.reason, refusal.capacity_in_ms)


def give_up(
    state: ForwardingState,
    exchange: Exchange,
    reason: str,
    capacity_in_ms: float = RETRY_AFTER_MIN_MS,
) -> None:
    """
    End a request that has no response from a backend server.

    It is refused as not executed only if that is certain. The caller is then
    told to retry when a server is expected to have free capacity, with jitter.
    """
    if exchange.stage is Stage.ANSWERING:
        abort_response(state, exchange, reason)
    elif exchange.may_have_run:
        end_with_unknown_outcome(state, exchange, 502, reason)
    else:
        retry_after_ms = spread_retry_after(state, capacity_in_ms)
        send_error_response(
            state, exchange, 503, Outcome.NOT_RUN, reason, retry_after_ms
        )
        finish_exchange(state, exchange, reason)


def refuse_access(
    state: ForwardingState, exchange: Exchange, denied: AccessDenied
) -> None:
    """End a request that may no longer be sent, and has no attempt."""
    if exchange.may_have_run:
        end_with_unknown_outcome(state, exchange, 502, denied.reason)
        return
    retry_after_ms = get_access_retry_after(state, denied)
    send_error_response(
        state,
        exchange,
        denied.status,
        Outcome.NOT_RUN,
        denied.reason,
        retry_after_ms,
    )
    finish_exchange(state, exchange, denied.reason)


def get_access_retry_after(
    state: ForwardingState, denied: AccessDenied
) -> float | None:
    """Return when a denied request may be accepted, None for never."""
    if not denied.is_temporary:
        return None
    return spread_retry_after(state, CONFIGURATION_RETRY_AFTER_MS)


def spread_retry_after(state: ForwardingState, retry_after_ms: float) -> float:
    """Return the delay that one of several callers is told, with jitter."""
    jitter = 1.0 + RETRY_AFTER_JITTER_RATIO * (2.0 * state.rng.random() - 1.0)
    return round(retry_after_ms * jitter, 1)


def end_with_unknown_outcome(
    state: ForwardingState, exchange: Exchange, status: int, reason: str
) -> None:
    """End a request that may or may not have been executed."""
    send_error_response(state, exchange, status, Outcome.UNKNOWN, reason, None)
    finish_exchange(state, exchange, reason)


def abort_response(state: ForwardingState, exchange: Exchange, reason: str) -> None:
    """End a request whose streamed response cannot be completed."""
    if not exchange.is_caller_gone:
        state.send("callers", ResponseAborted(exchange.request_id))
    state.record("broken_off", exchange.trace_id, {"reason": reason})
    cancel_attempts(state, exchange)
    finish_exchange(state, exchange, reason)


def send_error_response(
    state: ForwardingState,
    exchange: Exchange,
    status: int,
    outcome: Outcome,
    reason: str,
    retry_after_ms: float | None,
    basis: Mapping[str, Any] = NO_BASIS,
) -> None:
    """
    Send an error response to the caller, unless it has left.

    ``basis`` is what the decision knew, for the event log.
    """
    now_ms = state.clock.now_ms
    details = {
        "status": status,
        "reason": reason,
        "waited_ms": round(now_ms - exchange.received_ms, 1),
        "sends": exchange.attempted_server_ids,
        "failure": exchange.last_failure,
        "retry_after_ms": retry_after_ms,
    }
    if outcome is Outcome.NOT_RUN:
        details |= describe_admission(state, exchange)
    name = "refused" if outcome is Outcome.NOT_RUN else "failed"
    state.record(name, exchange.trace_id, details | basis)
    if outcome is Outcome.NOT_RUN:
        refund_quota(state, exchange)
    if not exchange.is_caller_gone:
        refusal = RequestRefused(
            exchange.request_id, status, outcome, reason, b"", retry_after_ms
        )
        state.send("callers", refusal)


def refund_quota(state: ForwardingState, exchange: Exchange) -> None:
    """Take back the admission of a request that provably did not run."""
    if exchange.quota_team is not None:
        state.quota.refund(exchange.quota_team, state.clock.now_ms)
        exchange.quota_team = None


def finish_exchange(state: ForwardingState, exchange: Exchange, reason: str) -> None:
    """Forget a request and update the request metrics."""
    for timer in (exchange.deadline_timer, exchange.hedge_timer):
        state.kernel.cancel(timer)
    state.exchanges_by_measurement.pop(exchange.measurement_id, None)
    del state.exchanges[exchange.request_id]
    finish_hedge(state, exchange)
    state.uploads.release(exchange.request_id)
    labels = {"service": exchange.service_id, "end": reason}
    state.increment("requests_total", labels)
    duration_ms = state.clock.now_ms - exchange.received_ms
    service = {"service": exchange.service_id}
    state.observe("request_duration_ms", service, duration_ms)
    state.observe_stage(exchange, "total", duration_ms)


def on_exchange_timed_out(state: ForwardingState, message: ExchangeTimedOut) -> None:
    """End a request at its deadline with an error response."""
    exchange = state.exchanges.get(message.request_id)
    if exchange is None:
        return
    exchange.deadline_timer = None
    if exchange.stage is Stage.ANSWERING:
        limit_stream(state, exchange)
        return
    if exchange.attempts:
        exchange.may_have_run = True
    if not exchange.may_have_run:
        is_receiving = exchange.stage is Stage.RECEIVING
        give_up(state, exchange, BODY_NOT_RECEIVED if is_receiving else "timeout")
        return
    cancel_attempts(state, exchange)
    end_with_unknown_outcome(state, exchange, 504, "timeout")


def limit_stream(state: ForwardingState, exchange: Exchange) -> None:
    """
    Break a streamed response off, or set the time at which it will be.

    The deadline of the caller does not end it: a caller that still reads
    decides itself how long it waits. The timeout of the rule does, since a
    server may send without end, as does the deadline of a caller that has
    left.
    """
    ends_ms = exchange.stream_ends_ms
    if exchange.is_caller_gone or state.clock.now_ms >= ends_ms:
        abort_response(state, exchange, "timeout")
    elif ends_ms < inf:
        timed_out = ExchangeTimedOut(exchange.request_id)
        exchange.deadline_timer = state.call_at(ends_ms, timed_out)


def on_stop_scheduled(state: ForwardingState, message: StopScheduled) -> None:
    """Send on only requests that can end before the process does."""
    state.stop = StopSchedule(*message)


def on_drain_limit_reached(state: ForwardingState, message: DrainLimitReached) -> None:
    """
    Give every request without a response its final one.

    A streamed response goes on until the process ends.
    """
    state.is_stop_limit_reached = True
    for exchange in list(state.exchanges.values()):
        if exchange.stage is Stage.ANSWERING:
            continue
        exchange.may_have_run |= bool(exchange.attempts)
        cancel_attempts(state, exchange)
        if exchange.may_have_run:
            end_with_unknown_outcome(state, exchange, 504, STOPPING)
        else:
            give_up(state, exchange, STOPPING)


def on_request_failed(state: ForwardingState, message: RequestFailed) -> None:
    """End a request after one of its handlers has failed."""
    exchange = state.exchanges.get(message.request_id)
    if exchange is None:
        # The handler failed before it stored the request, or the request has
        # ended; the listener ignores a refusal after a final response.
        refusal = RequestRefused(
            message.request_id, 502, Outcome.UNKNOWN, message.reason
        )
        state.send("callers", refusal)
        return
    exchange.may_have_run |= bool(exchange.attempts)
    cancel_attempts(state, exchange)
    give_up(state, exchange, message.reason)
