"""Resends requests, as retries or as hedged attempts."""

from math import inf

from cuminhatch.decisions.resending import (
    RESEND_BUDGET_EMPTY,
    ResendDenied,
    check_resend,
)
from cuminhatch.services.forwarding._completion import give_up
from cuminhatch.services.forwarding._exchange import Exchange, Stage
from cuminhatch.services.forwarding._hedging import begin_planned_hedge, may_hedge
from cuminhatch.services.forwarding._placement import place_exchange
from cuminhatch.services.forwarding._state import ForwardingState
from cuminhatch.services.forwarding._timers import HedgeDue

# Most retries of a request. The resend budget does not apply while no server
# has received a byte of the request. Servers that accept no connection are
# soon excluded.
PLACEMENT_RETRIES_MAX = 6


def resend_or_give_up(
    state: ForwardingState, exchange: Exchange, reason: str, has_response: bool = False
) -> bool:
    """
    Retry a request whose latest attempt has failed, or end it.

    :param state: state of forwarding.
    :param exchange: the request.
    :param reason: why the attempt failed, reported if the request ends.
    :param has_response: the caller of this function ends the request with the
        response of a backend server if it is not retried.
    :returns: whether it is retried or another attempt is in progress.
    """
    if exchange.attempts:
        return True
    denied = acquire_resend(state, exchange)
    if denied is None:
        exchange.placement_retries += 1
        exchange.is_hedging = False
        exchange.is_search_widened = False
        place_exchange(state, exchange)
        return True
    if not has_response:
        give_up(state, exchange, reason)
    return False


def acquire_resend(state: ForwardingState, exchange: Exchange) -> ResendDenied | None:
    """Take a resend from the budget, or return why it is denied."""
    denied = check_exchange_resend(state, exchange)
    if denied is not None:
        details = {"reason": denied.reason, "failure": exchange.last_failure}
        state.record("resend_denied", exchange.trace_id, details)
    return denied


def check_exchange_resend(
    state: ForwardingState, exchange: Exchange
) -> ResendDenied | None:
    """Take a resend from the budget of the service unless it is denied."""
    if exchange.is_caller_gone:
        return ResendDenied("caller-left")
    pool = state.pools.get(exchange.service_id)
    if pool is None:
        return ResendDenied("service-withdrawn")
    if exchange.placement_retries >= PLACEMENT_RETRIES_MAX:
        return ResendDenied("no-server-accepts")
    now_ms = state.clock.now_ms
    history = exchange.get_history(now_ms)
    denied = check_resend(history, pool.budget, now_ms)
    if pool.hedging is not None and history.servers:
        if denied is None or denied.reason == RESEND_BUDGET_EMPTY:
            pool.hedging.allowance.count_retry(now_ms)
    return denied


def on_hedge_due(state: ForwardingState, message: HedgeDue) -> None:
    """Look for a second server for a request whose response is late."""
    exchange = state.exchanges.get(message.request_id)
    if exchange is None or exchange.stage is not Stage.RUNNING:
        return
    exchange.hedge_timer = None
    if not exchange.is_awaiting_response:
        # The response is arriving.
        return
    pool = state.pools.get(exchange.service_id)
    if exchange.measurement_id or pool is None:
        return
    if state.settings.hedging_share < inf:
        if begin_planned_hedge(state, exchange, pool):
            exchange.is_hedging = True
            place_exchange(state, exchange)
        return
    if not pool.list_untried(exchange.tried_server_ids):
        return
    if not may_hedge(state, exchange) or acquire_resend(state, exchange) is not None:
        return
    exchange.is_hedging = True
    place_exchange(state, exchange)
