"""Accepts requests and their bodies from callers."""

from collections.abc import Mapping
from types import MappingProxyType

from cuminhatch.decisions.configuration import Rule
from cuminhatch.decisions.credentials import AccessDenied
from cuminhatch.decisions.routing import NoRoute
from cuminhatch.messages import (
    AttemptRequestBody,
    CallerDisconnected,
    PipeliningAllowed,
    PipeliningRequested,
    RequestBody,
    RequestReadPaused,
    RequestReceived,
    RequestRefused,
)
from cuminhatch.outcomes import Outcome
from cuminhatch.services.forwarding._admission import count_demand
from cuminhatch.services.forwarding._attempts import cancel_attempts
from cuminhatch.services.forwarding._completion import (
    STOPPING,
    finish_exchange,
    get_access_retry_after,
    refund_quota,
)
from cuminhatch.services.forwarding._credentials import (
    accept_exchange,
    check_request,
    match_request,
)
from cuminhatch.services.forwarding._exchange import (
    REQUEST_BUFFER_MAX_BYTES,
    Exchange,
    Stage,
)
from cuminhatch.services.forwarding._quota import admit_by_quota
from cuminhatch.services.forwarding._receiving import (
    receive_or_place,
    receive_part,
)
from cuminhatch.services.forwarding._state import ForwardingState
from cuminhatch.services.forwarding._timers import ExchangeTimedOut

# Retry-After of a request that is refused because no configuration is known
# yet: a new instance knows it after its first read of the store.
NO_CONFIGURATION_RETRY_AFTER_MS = 500.0


def on_request_received(state: ForwardingState, message: RequestReceived) -> None:
    """Route a request and place it, or refuse it."""
    facts = state.dialect.read_request(message.head)
    trace_id = facts.request_id.decode("latin-1")
    if state.is_stop_limit_reached:
        refuse_unrouted(state, message, trace_id, 503, STOPPING)
        return
    if not state.has_configuration:
        refuse_unrouted(state, message, trace_id, 503, "no-configuration")
        return
    rule = match_request(state, message.head, facts)
    if isinstance(rule, NoRoute):
        refuse_unrouted(state, message, trace_id, 404, rule.reason)
        return
    access = check_request(state, rule, facts)
    if isinstance(access, AccessDenied):
        refuse_denied(state, message, trace_id, rule, access)
        return
    service_id = state.pick_service(rule)
    exchange = Exchange(message, facts, rule, service_id)
    accept_exchange(state, exchange, access)
    state.exchanges[message.request_id] = exchange
    details = {
        "rule": rule.rule_id,
        "service": service_id,
        "configuration": state.configuration.sequence,
        "budget_ms": facts.budget_ms,
        "target_ms": rule.target_latency_ms,
    }
    if exchange.team is not None:
        details["team"] = exchange.team.team_id
    state.record("received", trace_id, details)
    if not admit_by_quota(state, exchange):
        return
    pool = state.pools.get(service_id)
    if pool is not None:
        pool.budget.count_request(state.clock.now_ms)
        if pool.hedging is not None:
            pool.hedging.allowance.count_request(state.clock.now_ms)
    timed_out = ExchangeTimedOut(exchange.request_id)
    exchange.deadline_timer = state.call_at(exchange.deadline_ms, timed_out)
    count_demand(state, exchange)
    receive_or_place(state, exchange)


def refuse_denied(
    state: ForwardingState,
    message: RequestReceived,
    trace_id: str,
    rule: Rule,
    denied: AccessDenied,
) -> None:
    """Refuse a request that may not run; record its rule and team."""
    details = {"rule": rule.rule_id}
    if denied.team_id:
        details["team"] = denied.team_id
    refuse_unrouted(
        state,
        message,
        trace_id,
        denied.status,
        denied.reason,
        get_access_retry_after(state, denied),
        details,
    )


def refuse_unrouted(
    state: ForwardingState,
    message: RequestReceived,
    trace_id: str,
    status: int,
    reason: str,
    retry_after_ms: float | None = None,
    more: Mapping[str, str] = MappingProxyType({}),
) -> None:
    """Refuse a request before it is assigned to a service."""
    if status == 503 and retry_after_ms is None:
        retry_after_ms = NO_CONFIGURATION_RETRY_AFTER_MS
    refusal = RequestRefused(
        message.request_id, status, Outcome.NOT_RUN, reason, b"", retry_after_ms
    )
    state.send("callers", refusal)
    details = {
        "status": status,
        "reason": reason,
        "configuration": state.configuration.sequence,
        **more,
    }
    state.record("refused", trace_id, details)
    state.increment("requests_refused_total", {"reason": reason})


def on_pipelining_requested(
    state: ForwardingState, message: PipeliningRequested
) -> None:
    """Allow the next request unless the response may be streamed."""
    exchange = state.exchanges.get(message.request_id)
    if exchange is None or not may_stream(state, exchange):
        state.send("callers", PipeliningAllowed(message.request_id))


def may_stream(state: ForwardingState, exchange: Exchange) -> bool:
    """Tell whether the response to a request is, or may be, streamed."""
    rule = exchange.rule
    return (
        exchange.stage is Stage.ANSWERING
        or rule.has_long_responses
        or rule.rule_id in state.streamed_rule_ids
    )


def on_request_body(state: ForwardingState, message: RequestBody) -> None:
    """Forward a part of a body, or buffer it until an attempt starts."""
    exchange = state.exchanges.get(message.request_id)
    if exchange is None or exchange.is_body_complete:
        return
    exchange.is_body_complete = message.is_complete
    if exchange.stage is Stage.RECEIVING:
        receive_part(state, exchange, message)
        return
    if exchange.is_body_buffered:
        exchange.body += message.data
    if exchange.attempts:
        for attempt_id in exchange.attempts:
            part = AttemptRequestBody(attempt_id, message.data, message.is_complete)
            state.send("backends", part)
        drop_long_body(exchange)
    elif (
        len(exchange.body) > REQUEST_BUFFER_MAX_BYTES and not exchange.is_body_complete
    ):
        exchange.is_read_paused = True
        state.send("callers", RequestReadPaused(exchange.request_id))


def drop_long_body(exchange: Exchange) -> None:
    """Drop a body that is too long to be buffered; it cannot be resent."""
    if exchange.is_body_buffered and len(exchange.body) > REQUEST_BUFFER_MAX_BYTES:
        exchange.is_body_buffered = False
        exchange.body = bytearray()


def on_caller_disconnected(state: ForwardingState, message: CallerDisconnected) -> None:
    """
    End the request of a caller that has disconnected.

    A non-idempotent request continues if a server may be executing it.
    """
    exchange = state.exchanges.get(message.request_id)
    if exchange is None or exchange.is_caller_gone:
        return
    exchange.is_caller_gone = True
    if exchange.attempts and not exchange.is_idempotent:
        if exchange.stage is not Stage.ANSWERING and exchange.is_body_complete:
            # The request is not interrupted, so that it is not executed in
            # part. Its outcome is written to the event log.
            state.record("caller_left", exchange.trace_id, {"is_running": True})
            return
    exchange.may_have_run |= bool(exchange.attempts)
    cancel_attempts(state, exchange)
    if not exchange.may_have_run:
        refund_quota(state, exchange)
    finish_exchange(state, exchange, "caller-left")
