"""Chooses a backend server for each request."""

from cuminhatch.decisions.candidates import (
    CandidateCounts,
    Candidates,
    pick_candidates,
    widened_counts,
)
from cuminhatch.decisions.placement import (
    REPORT_MAX_AGE_MS,
    RETRY_AFTER_MIN_MS,
    NotPlaced,
    Placed,
    RequestProfile,
    Wait,
    choose_server,
)
from cuminhatch.decisions.server_records import ServerRecord, is_excluded, prefer_listed
from cuminhatch.decisions.stopping import can_end_before_stop
from cuminhatch.decisions.warmup import limit_candidates
from cuminhatch.messages import Address
from cuminhatch.messages.loads import LoadsMeasured, LoadsRequested, LoadTarget
from cuminhatch.services.forwarding._admission import (
    adjust_retry_after,
    check_admission,
    count_admitted,
    describe_admission,
    find_reserve,
)
from cuminhatch.services.forwarding._attempts import estimate_request, start_attempt
from cuminhatch.services.forwarding._completion import (
    STOPPING,
    refuse_access,
    refuse_unplaced,
)
from cuminhatch.services.forwarding._credentials import find_denial
from cuminhatch.services.forwarding._exchange import Exchange, Stage
from cuminhatch.services.forwarding._hedging import (
    NO_FREE_SERVER,
    acquire_hedge,
    count_denied_hedge,
    deny_hedge,
    list_hedgeable,
)
from cuminhatch.services.forwarding._state import NAME, ForwardingState, ServicePool
from cuminhatch.services.forwarding._timers import PlacementRetryDue
from cuminhatch.services.forwarding._warmup import (
    list_permitted,
    list_promising,
    wait_for_servers,
)

# Longest wait for the load of candidate servers. A health check takes 1 to
# 3 ms. A server without a recent load by then is left out of the choice,
# unless no candidate has one.
LOAD_WAIT_MS = 12.0
# Interval at which a request that waits for free capacity is placed again: a
# nearly full server completes a request about this often.
PLACEMENT_RETRY_INTERVAL_MS = 15.0
# Bounds the size of a "not_placed" event.
LOGGED_LOADS_MAX = 4
BYTES_PER_KB = 1024.0


def place_exchange(state: ForwardingState, exchange: Exchange) -> None:
    """Ask candidate servers for their load, to choose one of them."""
    pool = state.pools.get(exchange.service_id)
    records = pool.usable if pool is not None else []
    if not records:
        is_evacuated = pool is not None and any(
            record.is_evacuated for record in pool.records.values()
        )
        reason = "failure-domain-evacuated" if is_evacuated else "no-backend-server"
        fail_placement(state, exchange, NotPlaced(reason, RETRY_AFTER_MIN_MS))
        return
    # The first search prefers this instance's failure domain. Servers of other
    # domains are added if none of its candidates is good enough.
    wanted = CandidateCounts(state.settings.candidates, 0)
    if exchange.is_search_widened:
        exchange.wide_searches += 1
        wanted = widened_counts(exchange.wide_searches)
    records = list_hedgeable(state, pool, exchange, records)
    if pool.cold_senders is not None:
        records = list_promising(state, pool, exchange, records)
        wanted = limit_candidates(wanted, records)
    candidates = pick_candidates(
        records, exchange.tried_server_ids, wanted, state.clock.now_ms, state.rng
    )
    request_loads(state, exchange, candidates)


def request_loads(
    state: ForwardingState, exchange: Exchange, candidates: Candidates
) -> None:
    """Ask candidate servers for their load."""
    measurement_id = next(state.ids)
    exchange.measurement_id = measurement_id
    if not exchange.is_hedging:
        exchange.stage = Stage.MEASURING
    state.exchanges_by_measurement[measurement_id] = exchange
    request = LoadsRequested(
        NAME,
        measurement_id,
        make_load_targets(state, candidates.first),
        make_load_targets(state, candidates.spare),
        LOAD_WAIT_MS,
    )
    state.send("loads", request)


def make_load_targets(
    state: ForwardingState, records: list[ServerRecord]
) -> tuple[LoadTarget, ...]:
    """Return where the health checks of some servers are sent."""
    services = state.configuration.services
    return tuple(
        LoadTarget(
            record.server.server_id,
            Address(record.server.host, record.server.port),
            services[record.server.service_id].health_path,
            record.is_near,
        )
        for record in records
    )


def on_loads_measured(state: ForwardingState, message: LoadsMeasured) -> None:
    """Choose a server by the loads known so far."""
    exchange = state.exchanges_by_measurement.pop(message.token, None)
    if exchange is None or exchange.measurement_id != message.token:
        return
    exchange.measurement_id = 0
    if exchange.request_id not in state.exchanges:
        return
    if exchange.is_hedging and not exchange.attempts:
        # The first attempt has failed since, so this one is a retry.
        exchange.is_hedging = False
    # The request may have changed since the hedge was due.
    obstacle = exchange.find_hedge_obstacle() if exchange.is_hedging else ""
    if obstacle:
        exchange.is_hedging = False
        count_denied_hedge(state, exchange, obstacle)
        state.record("hedge_dropped", exchange.trace_id, {"reason": obstacle})
        return
    denied = find_denial(state, exchange)
    if denied is not None and exchange.is_hedging:
        # The attempt in progress was sent while access was granted.
        exchange.is_hedging = False
        count_denied_hedge(state, exchange, denied.reason)
        state.record("hedge_dropped", exchange.trace_id, {"reason": denied.reason})
    elif denied is not None:
        refuse_access(state, exchange, denied)
    else:
        choose_and_send(state, exchange)


def choose_and_send(state: ForwardingState, exchange: Exchange) -> None:
    """Send a request to the best server, widen the search, wait or refuse."""
    pool = state.pools.get(exchange.service_id)
    now_ms = state.clock.now_ms
    work = estimate_work(state, exchange, now_ms)
    chosen = choose_permitted(state, pool, exchange, work)
    refusal = check_admission(state, exchange, work, chosen)
    if refusal is not None:
        fail_placement(state, exchange, refusal)
    elif isinstance(chosen, Placed):
        if can_end_before_stop(
            state.stop,
            exchange.received_ms,
            exchange.deadline_ms,
            now_ms,
            chosen.predicted_ms,
        ):
            if exchange.is_hedging and not acquire_hedge(state, exchange, chosen):
                return
            count_admitted(state, exchange)
            start_attempt(state, exchange, chosen)
        else:
            refusal = NotPlaced(STOPPING, RETRY_AFTER_MIN_MS)
            fail_placement(state, exchange, refusal)
    elif exchange.is_hedging:
        deny_hedge(state, exchange, NO_FREE_SERVER)
    elif not exchange.is_search_widened:
        exchange.is_search_widened = True
        place_exchange(state, exchange)
    elif isinstance(chosen, Wait):
        schedule_placement_retry(state, exchange)
    else:
        fail_placement(state, exchange, chosen)


def choose_permitted(
    state: ForwardingState,
    pool: ServicePool | None,
    exchange: Exchange,
    work: RequestProfile,
) -> Placed | Wait | NotPlaced:
    """Choose one of the servers that the request may be sent to."""
    now_ms = state.clock.now_ms
    if pool is None:
        return choose_server([], work, now_ms, state.rng)
    usable = list_hedgeable(state, pool, exchange, pool.usable)
    permitted = list_permitted(state, pool, exchange, usable)
    if pool.cold_senders is not None and pool.usable and not permitted:
        return wait_for_servers(work)
    records = select_candidates(permitted, exchange, now_ms)
    return choose_server(records, work, now_ms, state.rng)


def schedule_placement_retry(state: ForwardingState, exchange: Exchange) -> None:
    """Schedule another placement of a request."""
    exchange.stage = Stage.WAITING
    due = PlacementRetryDue(exchange.request_id)
    state.call_at(state.clock.now_ms + PLACEMENT_RETRY_INTERVAL_MS, due)


def on_placement_retry_due(state: ForwardingState, message: PlacementRetryDue) -> None:
    """Place a request again that still waits for a server."""
    exchange = state.exchanges.get(message.request_id)
    if exchange is not None and exchange.stage is Stage.WAITING:
        place_exchange(state, exchange)


def select_candidates(
    usable: list[ServerRecord], exchange: Exchange, now_ms: float
) -> list[ServerRecord]:
    """
    Return the servers to choose from.

    Preferred are those that have not received the request and whose load is
    recent, then those that the store lists.
    """
    tried = exchange.tried_server_ids
    candidates = [r for r in usable if r.server.server_id not in tried]
    if not candidates and not exchange.is_hedging:
        candidates = usable
    preferred = [r for r in candidates if is_preferred(r, now_ms)]
    return preferred or prefer_listed(candidates)


def is_preferred(record: ServerRecord, now_ms: float) -> bool:
    """Tell whether a server has a recent load and is not excluded."""
    load = record.load
    is_recent = load is not None and now_ms - load.observed_ms <= REPORT_MAX_AGE_MS
    return is_recent and not is_excluded(record, now_ms)


def estimate_work(
    state: ForwardingState, exchange: Exchange, now_ms: float
) -> RequestProfile:
    """Return the properties of a request that the choice of a server uses."""
    usual = estimate_request(state, exchange)
    # What the body took to arrive is no wait for a server, and the target is
    # nearer by it.
    receiving_ms = exchange.placeable_ms - exchange.received_ms
    target_ms = exchange.rule.target_latency_ms
    if receiving_ms:
        target_ms = max(usual.usual_ms, target_ms - receiving_ms)
    per_kb = state.settings.far_charge_ms_per_kb
    return RequestProfile(
        usual.usual_ms,
        target_ms,
        now_ms - exchange.placeable_ms,
        exchange.deadline_ms - now_ms,
        usual.response_bytes / BYTES_PER_KB * per_kb,
        exchange.is_idempotent,
        exchange.placement_retries > 0 or exchange.is_hedging,
        find_reserve(state, exchange),
    )


def fail_placement(
    state: ForwardingState, exchange: Exchange, refusal: NotPlaced
) -> None:
    """Refuse a request that no server can take, unless it has an attempt."""
    if exchange.is_hedging or exchange.attempts:
        if exchange.is_hedging:
            deny_hedge(state, exchange, refusal.reason)
        return
    refusal = adjust_retry_after(state, exchange, refusal)
    record_not_placed(state, exchange, refusal)
    refuse_unplaced(state, exchange, refusal)


def record_not_placed(
    state: ForwardingState, exchange: Exchange, refusal: NotPlaced
) -> None:
    """Write a ``not_placed`` event with the latest loads of the servers."""
    pool = state.pools.get(exchange.service_id)
    now_ms = state.clock.now_ms
    loads = [
        (
            record.server.server_id,
            record.load.running,
            record.load.waiting,
            record.load.slowdown,
            round(now_ms - record.load.observed_ms, 1),
        )
        for record in (pool.usable if pool is not None else ())
        if record.load is not None
    ]
    details = {
        "reason": refusal.reason,
        "waited_ms": round(now_ms - exchange.received_ms, 1),
        "usual_ms": round(estimate_request(state, exchange).usual_ms, 1),
        "servers": len(pool.records) if pool is not None else 0,
        "freshest": sorted(loads, key=lambda load: load[-1])[:LOGGED_LOADS_MAX],
    } | describe_admission(state, exchange)
    state.record("not_placed", exchange.trace_id, details)
