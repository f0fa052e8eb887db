"""
Admission control: refuses less urgent requests when capacity is short.

Active while the configuration has teams. Otherwise no service has an
admission state and no request a ticket.
"""

from typing import Any

from cuminhatch.decisions.configuration import Configuration
from cuminhatch.decisions.placement import (
    SERVERS_FULL,
    SLOTS_RESERVED,
    NotPlaced,
    Placed,
    RequestProfile,
    SlotReserve,
    Wait,
    misses_target,
)
from cuminhatch.decisions.server_records import ServerLoad, ServerRecord
from cuminhatch.decisions.service_admission import ServiceAdmission
from cuminhatch.decisions.urgency import find_urgency, list_urgencies
from cuminhatch.services.forwarding._exchange import Exchange
from cuminhatch.services.forwarding._hedging import (
    record_hedging_load,
    record_hedging_refusal,
)
from cuminhatch.services.forwarding._state import ForwardingState

ADMISSION_LEVEL = "admission-level"


def update_admissions(state: ForwardingState, previous: Configuration) -> None:
    """Apply changed rules and teams; the state of other services is kept."""
    configuration = state.configuration
    if (
        previous.services is configuration.services
        and previous.rules is configuration.rules
        and previous.teams is configuration.teams
    ):
        # Only the registered servers have changed.
        return
    urgencies = {} if configuration.teams is None else list_urgencies(configuration)
    for service_id, pool in state.pools.items():
        found = urgencies.get(service_id)
        if found is None:
            pool.admission = None
        elif pool.admission is None or pool.admission.urgencies != found:
            pool.admission = ServiceAdmission(found, state.rng)


def find_admission(state: ForwardingState, service_id: str) -> ServiceAdmission | None:
    """Return the admission state of a service, None if it has none."""
    pool = state.pools.get(service_id)
    return pool.admission if pool is not None else None


def record_load_sample(
    state: ForwardingState, record: ServerRecord, load: ServerLoad
) -> None:
    """Add a load report of a server to the occupancy of its service."""
    now_ms = state.clock.now_ms
    pool = state.pools.get(record.server.service_id)
    if pool is not None:
        record_hedging_load(pool, load, now_ms)
    admission = find_admission(state, record.server.service_id)
    if admission is not None:
        admission.record_load(load.running, load.waiting, load.slots, now_ms)


def record_full_server(state: ForwardingState, record: ServerRecord) -> None:
    """Add a refusal by a full server to the occupancy of its service."""
    pool = state.pools.get(record.server.service_id)
    if pool is not None:
        record_hedging_refusal(pool, state.clock.now_ms)
    admission = find_admission(state, record.server.service_id)
    if admission is not None:
        admission.record_refusal(state.clock.now_ms)


def count_demand(state: ForwardingState, exchange: Exchange) -> None:
    """Count a request on arrival, once its team is known."""
    admission = find_admission(state, exchange.service_id)
    if admission is None:
        return
    team = exchange.team
    now_ms = state.clock.now_ms
    exchange.ticket = admission.count_request(
        find_urgency(exchange.rule, team),
        team.team_id if team is not None else None,
        state.clock.wall_ms + exchange.caller_deadline_ms - now_ms,
        now_ms,
    )


def find_reserve(state: ForwardingState, exchange: Exchange) -> SlotReserve | None:
    """Return the slots that a request leaves to more urgent ones, if any."""
    admission = find_admission(state, exchange.service_id)
    if admission is None or exchange.ticket is None:
        return None
    return admission.get_reserve(exchange.ticket)


def check_admission(
    state: ForwardingState,
    exchange: Exchange,
    work: RequestProfile,
    chosen: Placed | Wait | NotPlaced,
) -> NotPlaced | None:
    """
    Refuse a request that more urgent ones leave no capacity for.

    A request that waits for a server is checked each time it is placed. One
    that may have run isn't refused: its caller would learn nothing.
    """
    admission = find_admission(state, exchange.service_id)
    ticket = exchange.ticket
    if admission is None or ticket is None:
        return None
    if exchange.is_hedging or exchange.attempts or exchange.may_have_run:
        return None
    now_ms = state.clock.now_ms
    is_late = isinstance(chosen, Placed) and misses_target(chosen, work)
    if admission.is_admitted(ticket, is_late, now_ms):
        return None
    count_decision(state, exchange, admission, "admission_refused_total")
    left_ms = exchange.caller_deadline_ms - now_ms
    retry_after_ms = admission.get_retry_after_ms(ticket, left_ms, now_ms)
    return NotPlaced(ADMISSION_LEVEL, retry_after_ms)


def adjust_retry_after(
    state: ForwardingState, exchange: Exchange, refusal: NotPlaced
) -> NotPlaced:
    """Return a refusal with a Retry-After that depends on the rank."""
    admission = find_admission(state, exchange.service_id)
    if admission is None or exchange.ticket is None or len(admission.urgencies) == 1:
        return refusal
    if refusal.reason not in (SERVERS_FULL, SLOTS_RESERVED):
        return refusal
    now_ms = state.clock.now_ms
    left_ms = exchange.caller_deadline_ms - now_ms
    retry_after_ms = admission.get_retry_after_ms(
        exchange.ticket, left_ms, now_ms, is_admitted=True
    )
    return refusal._replace(capacity_in_ms=retry_after_ms)


def count_admitted(state: ForwardingState, exchange: Exchange) -> None:
    """Count a request before its first send."""
    admission = find_admission(state, exchange.service_id)
    if admission is None or exchange.ticket is None or exchange.is_admitted:
        return
    exchange.is_admitted = True
    admission.count_admitted(exchange.ticket, state.clock.now_ms)
    count_decision(state, exchange, admission, "admission_admitted_total")


def count_decision(
    state: ForwardingState, exchange: Exchange, admission: ServiceAdmission, name: str
) -> None:
    """Increment a metric by service and rank."""
    rank = admission.find_rank(exchange.ticket.urgency)
    labels = {"service": exchange.service_id, "rank": str(rank)}
    state.increment(name, labels)


def describe_admission(state: ForwardingState, exchange: Exchange) -> dict[str, Any]:
    """Return what a refusal tells about admission, nothing while it is off."""
    admission = find_admission(state, exchange.service_id)
    if admission is None or exchange.ticket is None:
        return {}
    found = admission.get_state(state.clock.now_ms)
    return {
        "rank": admission.find_rank(exchange.ticket.urgency),
        "level": round(found.level, 2),
        "occupancy": round(found.occupancy, 2),
    }
