"""Keeps the pools and records of backend servers up to date."""

from math import inf

from cuminhatch.decisions.candidates import preference_key
from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.hedging_share import HedgingState
from cuminhatch.decisions.resending import ResendBudget
from cuminhatch.decisions.routing import make_router
from cuminhatch.decisions.server_records import (
    ServerRecord,
    record_failure,
    record_load,
    record_misplaced_response,
    record_rejected_connection,
    record_unreachable,
)
from cuminhatch.decisions.warmup import (
    count_senders,
    record_registered_warmup,
    record_warmup,
)
from cuminhatch.messages import ConfigurationChanged
from cuminhatch.messages.catalog import InstanceCountChanged, InstancesChanged
from cuminhatch.messages.loads import (
    MISPLACED_RESPONSE,
    HealthCheckAnswered,
    HealthCheckConnectionClosed,
    HealthCheckFailed,
)
from cuminhatch.services.forwarding._admission import (
    record_load_sample,
    update_admissions,
)
from cuminhatch.services.forwarding._credentials import (
    note_access_change,
    withdraw_outdated_attempts,
)
from cuminhatch.services.forwarding._state import ForwardingState, ServicePool


def on_configuration_changed(
    state: ForwardingState, message: ConfigurationChanged
) -> None:
    """Apply a new configuration or a change of the registered servers."""
    previous, state.configuration = state.configuration, message.configuration
    if previous.rules is not message.configuration.rules:
        state.match_rule = make_router(message.configuration)
        state.streamed_rule_ids &= message.configuration.rules.keys()
    note_access_change(state, previous)
    for service_id in message.configuration.services:
        if service_id not in state.pools:
            budget = ResendBudget(state.settings.resends, state.instance_count)
            pool = ServicePool(budget)
            pool.hedging = make_hedging(state)
            state.pools[service_id] = pool
    for service_id in state.pools.keys() - message.configuration.services.keys():
        del state.pools[service_id]
    update_admissions(state, previous)
    servers: dict[str, dict[str, BackendServer]] = {}
    for server_id, server in message.configuration.servers.items():
        servers.setdefault(server.service_id, {})[server_id] = server
    for service_id, pool in state.pools.items():
        pool.cold_senders = count_cold_senders(state, service_id)
        update_pool(state, pool, servers.get(service_id, {}))
    withdraw_outdated_attempts(state)


def make_hedging(state: ForwardingState) -> HedgingState | None:
    """Return the state of hedging for a service, None if it needs none."""
    share = state.settings.hedging_share
    if not 0.0 < share < inf:
        return None
    return HedgingState(share, state.settings.resends.window_ms)


def update_pool(
    state: ForwardingState, pool: ServicePool, servers: dict[str, BackendServer]
) -> None:
    """Apply a change of the registered servers of a service."""
    for server_id in pool.records.keys() - servers.keys():
        # Attempts in progress keep a reference to the record.
        del pool.records[server_id]
    known_count = len(pool.records)
    evacuated = state.configuration.evacuated_domains
    for server_id, server in servers.items():
        record = pool.records.get(server_id)
        if record is None or is_restarted(record.server, server):
            is_near = server.failure_domain == state.settings.failure_domain
            record = ServerRecord(server, is_near, state.clock.now_ms)
            pool.records[server_id] = record
        else:
            if server.warmup_left_ms != record.server.warmup_left_ms:
                update_warmup(state, pool, record, server)
            record.server = server
        record.is_evacuated = server.failure_domain in evacuated
    if len(pool.records) > known_count:
        sort_by_preference(pool, state.settings.instance_id)


def count_cold_senders(state: ForwardingState, service_id: str) -> int | None:
    """Return how many instances may send to a cold server of a service."""
    rate_per_s = state.configuration.services[service_id].warmup_rate
    if state.settings.warmup is None or not rate_per_s:
        return None
    return count_senders(state.settings.warmup, rate_per_s)


def update_warmup(
    state: ForwardingState,
    pool: ServicePool,
    record: ServerRecord,
    server: BackendServer,
) -> None:
    """Note that a server has become cold again under the same start."""
    if pool.cold_senders is not None:
        record_registered_warmup(record, server.warmup_left_ms, state.clock.now_ms)


def sort_by_preference(pool: ServicePool, instance_id: str) -> None:
    """Sort the servers of a service by the preference of an instance."""
    ids = sorted(
        pool.records, key=lambda server_id: preference_key(instance_id, server_id)
    )
    pool.records = {server_id: pool.records[server_id] for server_id in ids}


def is_restarted(before: BackendServer, after: BackendServer) -> bool:
    """Tell whether a server has been restarted under the same id."""
    is_moved = (before.host, before.port) != (after.host, after.port)
    return is_moved or before.started_ms != after.started_ms


def on_instance_count_changed(
    state: ForwardingState, message: InstanceCountChanged
) -> None:
    """Share the resend budgets among a changed number of instances."""
    state.instance_count = message.instances
    for pool in state.pools.values():
        pool.budget.set_instances(message.instances)


def on_instances_changed(state: ForwardingState, message: InstancesChanged) -> None:
    """Note which instances may send to servers that warm up."""
    now_ms = state.clock.now_ms
    state.senders.set_instances(*message, now_ms)


def on_health_check_answered(
    state: ForwardingState, message: HealthCheckAnswered
) -> None:
    """Update the record of a server that has answered a health check."""
    record = state.find_server(message.server_id)
    if record is None:
        return
    if record.is_unhealthy == message.is_healthy:
        record.is_unhealthy = not message.is_healthy
        details = {"server": message.server_id, "is_healthy": message.is_healthy}
        state.record("server_health_changed", "", details)
    if message.load is not None:
        record_load(record, message.load)
        if message.is_healthy:
            record_load_sample(state, record, message.load)
    if state.pools[record.server.service_id].cold_senders is not None:
        now_ms = state.clock.now_ms
        record_warmup(record, message.warmup_left_ms, message.asked_ms, now_ms)


def on_health_check_failed(state: ForwardingState, message: HealthCheckFailed) -> None:
    """Count a health check without a valid answer as a failure."""
    record = state.find_server(message.server_id)
    if record is None:
        return
    now_ms = state.clock.now_ms
    if message.is_unreachable:
        record_unreachable(record, now_ms)
    else:
        record_failure(record, now_ms)
    if message.reason == MISPLACED_RESPONSE:
        record_misplaced_response(record, now_ms)
    details = {
        "server": message.server_id,
        "reason": message.reason,
        "failures": record.failures,
    }
    state.record("server_silent", "", details)


def on_health_check_connection_closed(
    state: ForwardingState, message: HealthCheckConnectionClosed
) -> None:
    """Pause requests to a server that closed a health check connection."""
    record = state.find_server(message.server_id)
    if record is None:
        return
    record_rejected_connection(record, state.clock.now_ms)
    details = {"server": message.server_id, "reason": message.reason}
    state.record("server_turned_away", "", details)
