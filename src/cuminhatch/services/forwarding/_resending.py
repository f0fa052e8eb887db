"""Sends requests again, one after the other or beside each other."""

from cuminhatch.decisions.resending import ResendDenied, check_resend
from cuminhatch.services.forwarding._ends import give_up
from cuminhatch.services.forwarding._exchange import Exchange, Stage
from cuminhatch.services.forwarding._placing import place_exchange
from cuminhatch.services.forwarding._state import ForwardingState
from cuminhatch.services.forwarding._timers import HedgeDue

# Tries to place a request of which nothing has been sent; servers that accept
# no connection are left out soon.
PLACEMENTS_MAX = 6


def resend_or_give_up(
    state: ForwardingState, exchange: Exchange, reason: str, is_answered: bool = False
) -> bool:
    """
    Send a request again whose latest send has failed, if that is allowed.

    :param is_answered: a backend server's answer can be returned instead of
        an answer of our own.
    :returns: whether it is sent again, or another send is still under way.
    """
    if exchange.attempts:
        return True
    denied = deny_resend(state, exchange)
    if denied is None:
        exchange.placements += 1
        exchange.is_hedging = False
        exchange.is_widened = False
        place_exchange(state, exchange)
        return True
    if not is_answered:
        give_up(state, exchange, reason)
    return False


def deny_resend(state: ForwardingState, exchange: Exchange) -> ResendDenied | None:
    """Return why no send may follow; one that is allowed is paid for."""
    if exchange.is_caller_gone:
        return ResendDenied("caller-left")
    pool = state.pools.get(exchange.service_id)
    if pool is None:
        return ResendDenied("service-withdrawn")
    if exchange.placements >= PLACEMENTS_MAX:
        return ResendDenied("no-server-accepts")
    now_ms = state.clock.now_ms
    denied = check_resend(exchange.history(now_ms), pool.budget, now_ms)
    if denied is not None:
        details = {"reason": denied.reason, "failure": exchange.failure}
        state.record("resend_denied", exchange.trace_id, details)
    return denied


def on_hedge_due(state: ForwardingState, message: HedgeDue) -> None:
    """Look for a second server for a request whose answer is late."""
    exchange = state.exchanges.get(message.request_id)
    if exchange is None or exchange.stage is not Stage.RUNNING:
        return
    exchange.hedge_timer = None
    if any(attempt.head is not None for attempt in exchange.attempts.values()):
        # The answer is arriving.
        return
    pool = state.pools.get(exchange.service_id)
    if exchange.measurement_id or pool is None or not pool.untried(exchange.tried):
        return
    if deny_resend(state, exchange) is not None:
        return
    exchange.is_hedging = True
    place_exchange(state, exchange)
