"""Refuses requests of teams that are over their quota."""

from cuminhatch.outcomes import Outcome
from cuminhatch.services.forwarding._completion import (
    RETRY_AFTER_JITTER_RATIO,
    finish_exchange,
    send_error_response,
)
from cuminhatch.services.forwarding._exchange import Exchange
from cuminhatch.services.forwarding._state import ForwardingState

QUOTA_EXCEEDED = "quota-exceeded"


def admit_by_quota(state: ForwardingState, exchange: Exchange) -> bool:
    """
    Count a request in the quota of its team, and refuse it if it exceeds it.

    :param state: state of forwarding.
    :param exchange: a request whose team is known.
    :returns: False if the request has been refused.
    """
    if state.quota is None or exchange.team is None:
        return True
    admission = state.quota.admit(exchange.team, state.clock.now_ms)
    if admission.is_admitted:
        exchange.quota_team = exchange.team
        return True
    jitter = 1.0 + RETRY_AFTER_JITTER_RATIO * (2.0 * state.rng.random() - 1.0)
    retry_after_ms = round(admission.retry_after_ms * jitter, 1)
    details = {
        "team": exchange.team.team_id,
        "basis": admission.basis,
        "share": round(admission.share, 3),
        "balance": round(admission.balance, 1),
        "figures_age_ms": admission.figures_age_ms,
        "instances_heard": admission.heard,
        "instances_known": admission.known,
    }
    send_error_response(
        state,
        exchange,
        429,
        Outcome.NOT_RUN,
        QUOTA_EXCEEDED,
        retry_after_ms,
        details,
    )
    finish_exchange(state, exchange, QUOTA_EXCEEDED)
    return False
