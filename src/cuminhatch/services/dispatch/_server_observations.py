"""Updates server views from configuration, probes and failures."""

from typing import NamedTuple

from cuminhatch.decisions.leaving import expire_refused_connection
from cuminhatch.decisions.servers import (
    LoadReport,
    ServerView,
    record_failure,
    record_observation,
)
from cuminhatch.messages import (
    ConfigurationChanged,
    LeavingServersChanged,
    LoadObserved,
    MembershipChanged,
    ProbeFailed,
)
from cuminhatch.services.dispatch._admission_queues import (
    refresh_and_start_waiting,
    start_waiting_requests,
)
from cuminhatch.services.dispatch._dispatch_state import DispatchState
from cuminhatch.services.dispatch._pool import ServerPool
from cuminhatch.services.dispatch._request_completion import refuse_waiting_request


class EjectionTrialDue(NamedTuple):
    """The ejection time is over: the server may take one trial request."""

    server_id: str


class RefusedConnectionExpired(NamedTuple):
    """A refused connection of a server no longer counts against it."""

    server_id: str


def on_configuration_changed(
    state: DispatchState, message: ConfigurationChanged
) -> None:
    """Apply a configuration; refuse requests for withdrawn services."""
    now_ms = state.clock.now_ms
    changed, withdrawn = state.table.apply(message.configuration, now_ms)
    for pool in withdrawn:
        for queue in (pool.short_queue, pool.long_queue):
            for request_id in queue.request_ids:
                record = state.requests[request_id]
                refuse_waiting_request(state, record, "service-withdrawn")
    for pool in changed:
        start_waiting_requests(state, pool)


def on_leaving_servers_changed(
    state: DispatchState, message: LeavingServersChanged
) -> None:
    """Apply the list of servers that the platform shows as leaving."""
    now_ms = state.clock.now_ms
    for pool in state.table.set_leaving_ids(message.leaving_ids, now_ms):
        start_waiting_requests(state, pool)


def on_membership_changed(state: DispatchState, message: MembershipChanged) -> None:
    """Report the number of instances as a metric."""
    # Limits and server selection do not depend on membership.
    state.telemetry.observe("members", {}, float(len(message.members)))


def on_load_observed(state: DispatchState, message: LoadObserved) -> None:
    """Apply a load observation of this or another instance."""
    found = state.table.find_server(message.server_id)
    if found is None:
        return
    pool, view = found
    report = LoadReport(
        message.in_flight, message.queued, message.slots, message.observed_ms
    )
    record_observation(view, report, message.is_leaving)
    refresh_and_start_waiting(state, pool, view)


def on_probe_failed(state: DispatchState, message: ProbeFailed) -> None:
    """Count a failed probe as a failure of the server."""
    found = state.table.find_server(message.server_id)
    if found is not None:
        count_server_failure(state, *found)


def on_ejection_trial_due(state: DispatchState, message: EjectionTrialDue) -> None:
    """Let one trial request reach an ejected server."""
    found = state.table.find_server(message.server_id)
    if found is not None:
        refresh_and_start_waiting(state, *found)


def on_refused_connection_expired(
    state: DispatchState, message: RefusedConnectionExpired
) -> None:
    """Allow requests to a server that refused a connection."""
    found = state.table.find_server(message.server_id)
    if found is not None:
        pool, view = found
        view.leaving_signs = expire_refused_connection(view.leaving_signs)
        refresh_and_start_waiting(state, pool, view)


def count_server_failure(
    state: DispatchState, pool: ServerPool, view: ServerView
) -> None:
    """Count a failure of a server; eject it after several in a row."""
    server_id = view.server.server_id
    now_ms = state.clock.now_ms
    if record_failure(view, pool.may_eject(server_id), now_ms):
        pool.ejected_ids.add(server_id)
        state.call_at(view.ejected_until_ms, EjectionTrialDue(server_id))
        state.telemetry.count("ejections_total", {"server": server_id})
    refresh_and_start_waiting(state, pool, view)
