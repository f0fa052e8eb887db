"""Leaves out servers that may be cold, where requests to them are limited."""

from cuminhatch.decisions.placement import (
    RETRY_AFTER_MIN_MS,
    NotPlaced,
    RequestProfile,
    Wait,
)
from cuminhatch.decisions.server_records import ServerRecord
from cuminhatch.decisions.warmup import (
    get_wait_limit_ms,
    has_fresh_answer,
    is_cold,
    may_send_to_cold,
)
from cuminhatch.services.forwarding._exchange import Exchange
from cuminhatch.services.forwarding._state import ForwardingState, ServicePool

# Servers are cold, or did not answer a health check in time.
SERVERS_WARMING_UP = "servers-warming-up"


def list_promising(
    state: ForwardingState,
    pool: ServicePool,
    exchange: Exchange,
    records: list[ServerRecord],
) -> list[ServerRecord]:
    """
    Return the servers to probe: without cold ones that may not be sent to.

    :param state: state of forwarding.
    :param pool: the service of the servers.
    :param exchange: the request to place.
    :param records: usable servers.
    """
    if pool.cold_senders is None:
        return records
    now_ms = state.clock.now_ms
    return [
        record
        for record in records
        if not is_cold(record, now_ms) or _may_send(state, pool, exchange, record)
    ]


def list_permitted(
    state: ForwardingState,
    pool: ServicePool,
    exchange: Exchange,
    records: list[ServerRecord],
) -> list[ServerRecord]:
    """
    Return the servers that the request may be sent to at this moment.

    :param state: state of forwarding.
    :param pool: the service of the servers.
    :param exchange: the request to place.
    :param records: candidates.
    """
    if pool.cold_senders is None:
        return records
    now_ms = state.clock.now_ms
    promising = list_promising(state, pool, exchange, records)
    checked = [record for record in promising if has_fresh_answer(record, now_ms)]
    if checked or exchange.is_hedging or not exchange.is_search_widened:
        return checked
    return [r for r in promising if _may_send(state, pool, exchange, r)]


def wait_for_servers(work: RequestProfile) -> Wait | NotPlaced:
    """
    Return what becomes of a request that no server may be sent.

    :param work: the request.
    """
    if work.waited_ms < get_wait_limit_ms(work):
        return Wait(SERVERS_WARMING_UP)
    return NotPlaced(SERVERS_WARMING_UP, RETRY_AFTER_MIN_MS)


def _may_send(
    state: ForwardingState,
    pool: ServicePool,
    exchange: Exchange,
    record: ServerRecord,
) -> bool:
    # A hedge is never worth one of the few requests that a cold server gets.
    return not exchange.is_hedging and may_send_to_cold(
        record, state.senders, pool.cold_senders, state.clock.now_ms
    )
