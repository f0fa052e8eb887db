"""Gauges of the catalog: versions, ages and counts."""

from collections.abc import Iterator

from cuminhatch.clock import MS_PER_SECOND
from cuminhatch.messages import Gauge, GaugesReported, GaugesRequested
from cuminhatch.services.catalog._view import CatalogView


def on_gauges_requested(view: CatalogView, message: GaugesRequested) -> None:
    """Report the versions, ages and counts as gauges."""
    last_read_ms = max(view.last_read_ms, view.latest_reads.last_read_ms)
    age_ms = view.clock.now_ms - last_read_ms
    is_reader = view.latest_reads.reader_id == view.own.instance_id
    values = {
        "configuration_version": view.configuration_version.number,
        "configuration_entries_refused": len(view.document.refused)
        if view.document is not None
        else 0,
        "registrations_version": view.catalog.version.number,
        "store_era": view.catalog.version.era,
        "registrations_age_ms": age_ms,
        "registrations_known": len(view.catalog.registrations),
        "instances_known": view.instance_count,
        "instances_near": view.near_instance_count,
        "store_reader": is_reader,
        "store_lost": view.is_store_unavailable,
    }
    gauges = tuple(Gauge(name, {}, float(value)) for name, value in values.items())
    gauges += tuple(list_evacuation_gauges(view))
    view.send(message.reply_to, GaugesReported(message.token, gauges))


def list_evacuation_gauges(view: CatalogView) -> Iterator[Gauge]:
    """Yield for each evacuated domain how long it is known to be so."""
    for domain, since_ms in view.evacuated_since_ms.items():
        age_s = (view.clock.now_ms - since_ms) / MS_PER_SECOND
        yield Gauge("evacuated_since_s", {"domain": domain}, age_s)
