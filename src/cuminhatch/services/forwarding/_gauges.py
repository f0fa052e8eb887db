"""Reports the state of forwarding as gauges."""

from collections import Counter
from collections.abc import Iterator

from cuminhatch.decisions.server_records import is_excluded
from cuminhatch.decisions.warmup import is_cold
from cuminhatch.messages import Gauge, GaugesReported, GaugesRequested
from cuminhatch.services.forwarding._exchange import Stage
from cuminhatch.services.forwarding._state import ForwardingState


def on_gauges_requested(state: ForwardingState, message: GaugesRequested) -> None:
    """Report requests, backend servers and resend budgets."""
    gauges = (*list_request_gauges(state), *list_pool_gauges(state))
    state.send(message.reply_to, GaugesReported(message.token, gauges))


def list_request_gauges(state: ForwardingState) -> Iterator[Gauge]:
    """Yield how many requests are in each stage, and the memory of uploads."""
    has_uploads = state.has_uploads
    stages = Counter(exchange.stage for exchange in state.exchanges.values())
    for stage in Stage:
        if stage is Stage.RECEIVING and not has_uploads:
            continue
        labels = {"stage": stage.name.lower()}
        yield Gauge("requests_in_progress", labels, stages[stage])
    if has_uploads:
        held = sum(
            len(exchange.body)
            for exchange in state.exchanges.values()
            if exchange.rule.is_upload
        )
        yield Gauge("upload_bytes_held", {}, held)
        yield Gauge("upload_bytes_reserved", {}, state.uploads.reserved_bytes)


def list_pool_gauges(state: ForwardingState) -> Iterator[Gauge]:
    """Yield the gauges of the server pool of each service."""
    now_ms = state.clock.now_ms
    for service_id, pool in state.pools.items():
        labels = {"service": service_id}
        records = pool.records.values()
        left_out = sum(is_excluded(record, now_ms) for record in records)
        evacuated = sum(record.is_evacuated for record in records)
        in_flight = sum(record.in_flight for record in records)
        yield Gauge("servers_known", labels, len(records))
        yield Gauge("servers_left_out", labels, left_out)
        if pool.cold_senders is not None:
            cold = sum(is_cold(record, now_ms) for record in records)
            yield Gauge("servers_warming_up", labels, cold)
        if evacuated:
            yield Gauge("servers_evacuated", labels, evacuated)
        yield Gauge("sends_in_flight", labels, in_flight)
        yield Gauge("resend_budget_left", labels, pool.budget.left)
        if pool.hedging is not None:
            left = pool.hedging.allowance.get_left(now_ms)
            yield Gauge("hedging_allowance_left", labels, left)
        if pool.admission is not None:
            found = pool.admission.get_state(now_ms)
            yield Gauge("admission_level", labels, found.level)
            yield Gauge("admission_occupancy", labels, found.occupancy)
