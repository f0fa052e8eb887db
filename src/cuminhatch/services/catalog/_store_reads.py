"""Reads of the store, for which the instances take turns."""

from cuminhatch.decisions.catalog import EXPIRY_GRACE_MS, Catalog, merge_store_read
from cuminhatch.decisions.read_span import ReadSpan
from cuminhatch.decisions.reader_selection import next_read_ms
from cuminhatch.log import logger
from cuminhatch.messages.catalog import (
    ConfigurationRead,
    ConfigurationRequested,
    RegistrationsRead,
    RegistrationsRequested,
    StoreUnavailable,
)
from cuminhatch.services.catalog._members import broadcast_change, make_empty_change
from cuminhatch.services.catalog._read_spans import note_reads
from cuminhatch.services.catalog._timers import (
    CONFIGURATION_INTERVAL_MS,
    INSTANCE_RECORD_DELAY_MS,
    STALE_READ_MS,
    InstanceRecordDue,
    ReadDue,
)
from cuminhatch.services.catalog._updates import (
    apply_document,
    apply_evacuation,
    detect_restore,
    is_after_restore,
    replace_catalog,
)
from cuminhatch.services.catalog._view import NAME, CatalogView


def schedule_read(view: CatalogView) -> None:
    """Set the timer for the next read by this instance."""
    view.kernel.cancel(view.read_timer)
    due_ms = next_read_ms(view.latest_reads, view.members)
    if view.read_token:
        due_ms = max(due_ms, view.read_started_ms + STALE_READ_MS)
    due_ms = max(due_ms, view.first_read_ms, view.clock.now_ms)
    view.read_timer = view.call_at(due_ms, ReadDue())


def on_read_due(view: CatalogView, message: ReadDue) -> None:
    """Read the registrations, and the configuration if it is due."""
    now_ms = view.clock.now_ms
    view.read_token = next(view.request_tokens)
    view.read_started_ms = now_ms
    view.send("store", RegistrationsRequested(NAME, view.read_token))
    is_taking_over = view.latest_reads.reader_id != view.own.instance_id
    if is_taking_over and not view.is_instance_record_stored:
        view.call_at(now_ms + INSTANCE_RECORD_DELAY_MS, InstanceRecordDue())
    is_due = now_ms - view.configuration_requested_ms >= CONFIGURATION_INTERVAL_MS
    if (is_taking_over or is_due) and not view.is_store_unavailable:
        request_configuration(view)
    schedule_read(view)


def request_configuration(view: CatalogView) -> None:
    """Ask the store for the operator's configuration."""
    view.configuration_requested_ms = view.clock.now_ms
    view.send("store", ConfigurationRequested(NAME, next(view.request_tokens)))


def on_registrations_read(view: CatalogView, message: RegistrationsRead) -> None:
    """Apply the registrations as read, and send the change to the others."""
    now_ms = view.clock.now_ms
    own_id = view.own.instance_id
    note_reads(view, ReadSpan(now_ms, now_ms), own_id)
    detect_restore(view, message.version, "store")
    mark_store_available(view)
    if message.token == view.read_token:
        view.read_token = 0
    view.last_read_ms = now_ms
    view.latest_reads = view.latest_reads._replace(
        reader_id=own_id, last_read_ms=now_ms
    )
    is_after_outage = now_ms - view.outage_ended_ms < EXPIRY_GRACE_MS
    catalog, change = merge_store_read(
        view.catalog,
        message.version,
        message.registrations,
        now_ms,
        is_after_outage and view.catalog.is_known,
        is_after_restore(view),
        view.has_warmup_limit,
    )
    record_refused_rows(view, message)
    record_unconfirmed(view, catalog)
    record_missing(view, catalog)
    view.change_history.add(change)
    replace_catalog(view, catalog, "store")
    broadcast_change(view, change)
    schedule_read(view)


def on_configuration_read(view: CatalogView, message: ConfigurationRead) -> None:
    """
    Apply a newer configuration, and announce its version to the others.

    Evacuated domains come first, so that no configuration is in force without
    them.
    """
    is_changed = apply_evacuation(view, message.evacuation, "store")
    is_changed |= apply_document(view, message.document, "store", message.era)
    if is_changed:
        broadcast_change(view, make_empty_change(view))


def on_store_unavailable(view: CatalogView, message: StoreUnavailable) -> None:
    """Leave the next read to other instances, and record the outage."""
    now_ms = view.clock.now_ms
    if message.token == view.read_token:
        view.read_token = 0
    view.latest_reads = view.latest_reads._replace(last_refused_ms=now_ms)
    reason = message.reason or "unknown"
    if view.store_lost_reason != reason:
        # Logged again for another reason: a store that has come back may have
        # its responses refused.
        logger.warning("catalog: Store is unavailable: {}.", reason)
        view.record("store_lost", {"reason": reason})
    view.store_lost_reason = reason
    schedule_read(view)


def mark_store_available(view: CatalogView) -> None:
    """Record the end of an outage, and request the configuration."""
    if view.is_store_unavailable:
        view.store_lost_reason = ""
        logger.info("catalog: Store is available again.")
        view.record("store_regained", {})
        # It may have changed during the outage.
        request_configuration(view)


def record_unconfirmed(view: CatalogView, catalog: Catalog) -> None:
    """Record each server whose registration may be that of a copy only."""
    for server_id, registration in catalog.unconfirmed.items():
        if server_id not in view.catalog.unconfirmed:
            details = {
                "server": server_id,
                "service": registration.server.service_id,
                "row_version": registration.row_version.number,
                "era": registration.row_version.era,
            }
            view.record("registration_unconfirmed", details)


def record_missing(view: CatalogView, catalog: Catalog) -> None:
    """Record each server that is kept although the store does not list it."""
    for server_id in catalog.missing_since_ms:
        if server_id not in view.catalog.missing_since_ms:
            service_id = catalog.registrations[server_id].server.service_id
            details = {"server": server_id, "service": service_id}
            view.record("registration_missing", details)


def record_refused_rows(view: CatalogView, message: RegistrationsRead) -> None:
    """Record each row that names no usable server, once per reason."""
    refused = dict(message.refused)
    for server_id, reason in refused.items():
        if view.refused_rows.get(server_id) != reason:
            details = {"server": server_id, "reason": reason}
            view.record("registration_refused", details)
    view.refused_rows = refused
