"""
Hedges within the share that operators set.

Without that setting there is no state for it, and ``_resending`` hedges as the
resend budget allows.
"""

from typing import Any

from cuminhatch.decisions.admission_level import REFUSAL_OCCUPANCY
from cuminhatch.decisions.hedging_share import (
    SHORT_OF_CAPACITY,
    HedgingState,
    LateRequest,
    find_gain_denial,
    plan_hedge,
)
from cuminhatch.decisions.placement import Placed
from cuminhatch.decisions.resending import check_resend
from cuminhatch.decisions.server_records import ServerLoad, ServerRecord
from cuminhatch.decisions.warmup import is_cold
from cuminhatch.services.forwarding._exchange import Attempt, Exchange
from cuminhatch.services.forwarding._state import ForwardingState, ServicePool
from cuminhatch.services.forwarding._timers import HedgeDue

# Why a hedge is denied, besides the reasons of the decisions.
NO_OTHER_SERVER = "no-other-server"
NO_FREE_SERVER = "no-free-server"
NOT_PERMITTED = "not-permitted"


def find_hedging(state: ForwardingState, exchange: Exchange) -> HedgingState | None:
    """Return the state of hedging for a request, None if it has none."""
    pool = state.pools.get(exchange.service_id)
    return pool.hedging if pool is not None else None


def may_hedge(state: ForwardingState, exchange: Exchange) -> bool:
    """
    Tell whether a request may be hedged apart from load and allowance.

    A second send would run a request more of a team that is over its quota.
    """
    if state.quota is not None and exchange.team is not None:
        if state.quota.is_limited(exchange.team):
            return False
    return exchange.is_idempotent and not exchange.is_caller_gone


def schedule_planned_hedge(state: ForwardingState, exchange: Exchange) -> None:
    """Schedule a hedge at its best time, unless none is worth it."""
    hedging = find_hedging(state, exchange)
    if hedging is None or exchange.hedge_result or len(exchange.attempts) != 1:
        return
    now_ms = state.clock.now_ms
    late = describe_late(state, exchange, estimate_usual_ms(state, exchange))
    times = hedging.get_times(exchange.rule.rule_id)
    delay_ms = plan_hedge(times, late, hedging.allowance.get_price(now_ms))
    if delay_ms is not None:
        due = HedgeDue(exchange.request_id)
        exchange.hedge_timer = state.call_at(now_ms + delay_ms, due)


def begin_planned_hedge(
    state: ForwardingState, exchange: Exchange, pool: ServicePool
) -> bool:
    """
    Tell whether a hedge that is due is still worth a look for a server.

    If the price has risen since it was scheduled, it may be due later.
    """
    hedging = pool.hedging
    if hedging is None or exchange.hedge_result or len(exchange.attempts) != 1:
        return False
    now_ms = state.clock.now_ms
    late = describe_late(state, exchange, estimate_usual_ms(state, exchange))
    times = hedging.get_times(exchange.rule.rule_id)
    denied = find_gain_denial(times, late, hedging.allowance.get_price(now_ms))
    if denied:
        schedule_planned_hedge(state, exchange)
        if exchange.hedge_timer is None:
            count_hedge(state, exchange, "due")
            deny_hedge(state, exchange, denied)
        return False
    count_hedge(state, exchange, "due")
    denied = find_hedge_denial(state, exchange, pool)
    if denied:
        deny_hedge(state, exchange, denied)
    return not denied


def find_hedge_denial(
    state: ForwardingState, exchange: Exchange, pool: ServicePool
) -> str:
    """Return why no server is to be asked for a hedge, or an empty string."""
    now_ms = state.clock.now_ms
    if not may_hedge(state, exchange):
        return NOT_PERMITTED
    if pool.hedging.is_short_of_capacity(now_ms):
        return SHORT_OF_CAPACITY
    untried = pool.list_untried(exchange.tried_server_ids)
    if not list_warm(state, untried):
        return NO_OTHER_SERVER
    return pool.hedging.allowance.find_denial(pool.budget, now_ms)


def acquire_hedge(state: ForwardingState, exchange: Exchange, placed: Placed) -> bool:
    """
    Charge allowance and resend budget for a hedge to the server chosen.

    :returns: whether it may start; always if no share is set, as the budget
        has been charged when the hedge was due.
    """
    hedging = find_hedging(state, exchange)
    if hedging is None:
        return True
    pool = state.pools[exchange.service_id]
    now_ms = state.clock.now_ms
    denied = find_hedge_denial(state, exchange, pool)
    if not denied:
        late = describe_late(state, exchange, placed.predicted_ms)
        times = hedging.get_times(exchange.rule.rule_id)
        denied = find_gain_denial(times, late, hedging.allowance.get_price(now_ms))
    if not denied:
        resend = check_resend(exchange.get_history(now_ms), pool.budget, now_ms)
        denied = resend.reason if resend is not None else ""
    if denied:
        deny_hedge(state, exchange, denied)
        return False
    hedging.allowance.take(now_ms)
    exchange.hedge_result = "lost"
    count_hedge(state, exchange, "started")
    return True


def describe_late(
    state: ForwardingState, exchange: Exchange, second_ms: float
) -> LateRequest:
    """Return how late a request with one attempt is."""
    (first,) = exchange.attempts.values()
    now_ms = state.clock.now_ms
    target_ms = exchange.received_ms + exchange.rule.target_latency_ms
    return LateRequest(
        now_ms - first.sent_ms, first.predicted_ms, target_ms - now_ms, second_ms
    )


def estimate_usual_ms(state: ForwardingState, exchange: Exchange) -> float:
    """Return the usual duration of a request, expected of a second server."""
    rule = exchange.rule
    return state.request_estimates.estimate(
        rule.rule_id, exchange.service_id, rule.target_latency_ms
    ).usual_ms


def list_warm(
    state: ForwardingState, records: list[ServerRecord]
) -> list[ServerRecord]:
    """Return the servers that don't warm up."""
    now_ms = state.clock.now_ms
    return [record for record in records if not is_cold(record, now_ms)]


def list_hedgeable(
    state: ForwardingState,
    pool: ServicePool,
    exchange: Exchange,
    records: list[ServerRecord],
) -> list[ServerRecord]:
    """Return the servers that a request may be sent to, a hedge or not."""
    if pool.hedging is None or not exchange.is_hedging:
        return records
    return list_warm(state, records)


def record_response_time(
    state: ForwardingState, exchange: Exchange, attempt: Attempt
) -> None:
    """Add the time of a valid response to the distribution of its rule."""
    hedging = find_hedging(state, exchange)
    if hedging is not None and exchange.is_idempotent:
        ratio = (state.clock.now_ms - attempt.sent_ms) / attempt.predicted_ms
        hedging.get_times(exchange.rule.rule_id).record(ratio)


def record_cancelled_attempt(
    state: ForwardingState, exchange: Exchange, attempt: Attempt
) -> None:
    """Note that a response would have taken longer than was waited."""
    hedging = find_hedging(state, exchange)
    if hedging is not None and exchange.is_idempotent and attempt.head is None:
        ratio = (state.clock.now_ms - attempt.sent_ms) / attempt.predicted_ms
        hedging.get_times(exchange.rule.rule_id).record_longer(ratio)


def record_hedging_load(pool: ServicePool, load: ServerLoad, now_ms: float) -> None:
    """Add a load report to the occupancy that hedges depend on."""
    if pool.hedging is not None:
        occupancy = (load.running + load.waiting) / max(1, load.slots)
        pool.hedging.occupancy.record(occupancy, now_ms)


def record_hedging_refusal(pool: ServicePool, now_ms: float) -> None:
    """Add a refusal by a full server to that occupancy."""
    if pool.hedging is not None:
        pool.hedging.occupancy.record(REFUSAL_OCCUPANCY, now_ms)


def note_hedge_response(
    state: ForwardingState, exchange: Exchange, attempt: Attempt
) -> None:
    """Note which of two attempts has answered the caller."""
    if exchange.hedge_result and attempt.is_hedge:
        exchange.hedge_result = "won"


def finish_hedge(state: ForwardingState, exchange: Exchange) -> None:
    """Report the result of a hedge at the end of its request."""
    if exchange.hedge_result:
        count_hedge(state, exchange, exchange.hedge_result)
        state.record(
            "hedge_ended", exchange.trace_id, {"result": exchange.hedge_result}
        )


def deny_hedge(state: ForwardingState, exchange: Exchange, reason: str) -> None:
    """Leave a hedge out that was due, and report why."""
    exchange.is_hedging = False
    hedging = find_hedging(state, exchange)
    if hedging is None:
        return
    count_denied_hedge(state, exchange, reason)
    details = {"reason": reason} | describe_hedging(state, hedging)
    state.record("hedge_denied", exchange.trace_id, details)


def describe_hedging(state: ForwardingState, hedging: HedgingState) -> dict[str, Any]:
    """Return what a hedge was decided on."""
    now_ms = state.clock.now_ms
    allowance = hedging.allowance
    return {
        "gain_needed": round(allowance.get_price(now_ms), 2),
        "allowance_left": round(allowance.get_left(now_ms), 2),
        "reserve": round(allowance.get_reserve(now_ms), 2),
        "occupancy": round(hedging.occupancy.get(now_ms), 2),
    }


def count_hedge(state: ForwardingState, exchange: Exchange, stage: str) -> None:
    """Increment the metric of one stage of hedges by rule."""
    labels = {"rule": exchange.rule.rule_id}
    state.increment(f"hedges_{stage}_total", labels)


def count_denied_hedge(state: ForwardingState, exchange: Exchange, reason: str) -> None:
    """Increment the metric of denied hedges where operators set a share."""
    if find_hedging(state, exchange) is not None:
        labels = {"rule": exchange.rule.rule_id, "reason": reason}
        state.increment("hedges_denied_total", labels)
