"""Looks for a backend server for each request."""

from cuminhatch.decisions.candidates import WIDENED, Wanted, pick_candidates
from cuminhatch.decisions.placement import (
    REPORT_MAX_AGE_MS,
    NotPlaced,
    Placed,
    Wait,
    Work,
    choose_server,
)
from cuminhatch.decisions.server_records import ServerRecord, is_left_out
from cuminhatch.messages import Address
from cuminhatch.messages.loads import LoadsMeasured, LoadsRequested, LoadTarget
from cuminhatch.services.forwarding._attempts import expected_time, start_attempt
from cuminhatch.services.forwarding._ends import refuse_unplaced
from cuminhatch.services.forwarding._exchange import Exchange, Stage
from cuminhatch.services.forwarding._state import NAME, ForwardingState, ServicePool
from cuminhatch.services.forwarding._timers import PlacementDue

# A health check takes 1 to 3 ms; what is slower is better not chosen.
MEASURE_WAIT_MS = 12.0
# Servers end a request about this often when they are nearly full.
LOOK_INTERVAL_MS = 15.0
# Loads named in the line of a refusal.
LOGGED_LOADS = 4
BYTES_PER_KB = 1024.0


def place_exchange(state: ForwardingState, exchange: Exchange) -> None:
    """Ask some servers for their load, then choose one of them."""
    pool = state.pools.get(exchange.service_id)
    records = pool.usable if pool is not None else []
    if not records:
        no_server = NotPlaced("no-backend-server", MEASURE_WAIT_MS)
        end_placement(state, exchange, no_server)
        return
    # Far servers are asked if no near one is good enough.
    wanted = WIDENED if exchange.is_widened else Wanted(state.settings.candidates, 0)
    candidates = pick_candidates(
        records, exchange.tried, wanted, state.clock.now_ms, state.rng
    )
    measure(state, exchange, candidates)


def measure(
    state: ForwardingState, exchange: Exchange, candidates: list[ServerRecord]
) -> None:
    """Ask servers for their load."""
    measurement_id = next(state.ids)
    exchange.measurement_id = measurement_id
    if not exchange.is_hedging:
        exchange.stage = Stage.MEASURING
    state.by_measurement[measurement_id] = exchange
    services = state.configuration.services
    targets = tuple(
        LoadTarget(
            record.server.server_id,
            Address(record.server.host, record.server.port),
            services[record.server.service_id].health_path,
        )
        for record in candidates
    )
    request = LoadsRequested(NAME, measurement_id, targets, MEASURE_WAIT_MS)
    state.send("loads", request)


def on_loads_measured(state: ForwardingState, message: LoadsMeasured) -> None:
    """Choose a server by the loads that are known now."""
    exchange = state.by_measurement.pop(message.token, None)
    if exchange is None or exchange.measurement_id != message.token:
        return
    exchange.measurement_id = 0
    if exchange.request_id not in state.exchanges:
        return
    if exchange.is_hedging and not exchange.attempts:
        # The first send has failed meanwhile; this is its replacement.
        exchange.is_hedging = False
    choose_and_send(state, exchange)


def choose_and_send(state: ForwardingState, exchange: Exchange) -> None:
    """Send the request to the best server, or widen the search, or give up."""
    pool = state.pools.get(exchange.service_id)
    now_ms = state.clock.now_ms
    work = expected_work(state, exchange, now_ms)
    records = recently_measured(pool, exchange, now_ms) if pool is not None else []
    chosen = choose_server(records, work, now_ms, state.rng)
    if isinstance(chosen, Placed):
        start_attempt(state, exchange, chosen)
    elif exchange.is_hedging:
        exchange.is_hedging = False
    elif not exchange.is_widened:
        exchange.is_widened = True
        place_exchange(state, exchange)
    elif isinstance(chosen, Wait):
        look_later(state, exchange)
    else:
        end_placement(state, exchange, chosen)


def look_later(state: ForwardingState, exchange: Exchange) -> None:
    """Look for a server again in a moment."""
    exchange.stage = Stage.WAITING
    due = PlacementDue(exchange.request_id)
    state.call_at(state.clock.now_ms + LOOK_INTERVAL_MS, due)


def on_placement_due(state: ForwardingState, message: PlacementDue) -> None:
    """Look for a server again."""
    exchange = state.exchanges.get(message.request_id)
    if exchange is not None and exchange.stage is Stage.WAITING:
        place_exchange(state, exchange)


def recently_measured(
    pool: ServicePool, exchange: Exchange, now_ms: float
) -> list[ServerRecord]:
    """Return the servers to choose from, without those tried already."""
    candidates = pool.untried(exchange.tried)
    if not candidates and not exchange.is_hedging:
        candidates = pool.usable
    sound = [r for r in candidates if is_measured_sound(r, now_ms)]
    return sound or candidates


def is_measured_sound(record: ServerRecord, now_ms: float) -> bool:
    """Tell whether a server has just answered and is not left out."""
    load = record.load
    is_known = load is not None and now_ms - load.observed_ms <= REPORT_MAX_AGE_MS
    return is_known and not is_left_out(record, now_ms)


def expected_work(state: ForwardingState, exchange: Exchange, now_ms: float) -> Work:
    """Return what is known of a request before it is placed."""
    target_ms = exchange.rule.target_latency_ms
    usual = expected_time(state, exchange)
    per_kb = state.settings.far_charge_ms_per_kb
    return Work(
        usual.usual_ms,
        target_ms,
        now_ms - exchange.received_ms,
        exchange.due_ms - now_ms,
        usual.answer_bytes / BYTES_PER_KB * per_kb,
        exchange.is_idempotent,
        exchange.placements > 0 or exchange.is_hedging,
    )


def end_placement(
    state: ForwardingState, exchange: Exchange, refusal: NotPlaced
) -> None:
    """Tell the caller that no server can take its request."""
    if exchange.is_hedging or exchange.attempts:
        exchange.is_hedging = False
        return
    record_refusal(state, exchange, refusal)
    refuse_unplaced(state, exchange, refusal)


def record_refusal(
    state: ForwardingState, exchange: Exchange, refusal: NotPlaced
) -> None:
    """Log the loads by which no server was chosen."""
    pool = state.pools.get(exchange.service_id)
    now_ms = state.clock.now_ms
    seen = [
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
        "usual_ms": round(expected_time(state, exchange).usual_ms, 1),
        "servers": len(pool.records) if pool is not None else 0,
        "freshest": sorted(seen, key=lambda load: load[-1])[:LOGGED_LOADS],
    }
    state.record("not_placed", exchange.trace_id, details)
