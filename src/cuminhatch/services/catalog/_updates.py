"""Applies newer configurations and registrations, and publishes them."""

from cuminhatch.decisions.catalog import (
    EXPIRY_GRACE_MS,
    HEARTBEATS_UNTIL_REMOVED,
    Catalog,
    CatalogChange,
    VersionGap,
    add_registered_servers,
    apply_change,
    has_same_servers,
    list_change_events,
    replace_registrations,
)
from cuminhatch.decisions.evacuation import Evacuation, choose_later
from cuminhatch.decisions.read_span import ReadSpan
from cuminhatch.decisions.store_version import ConfigurationVersion, StoreVersion
from cuminhatch.kernel import SUPERVISOR
from cuminhatch.messages import ConfigurationChanged, ReadinessChanged
from cuminhatch.services.catalog._refused_documents import (
    decode_document,
    record_refused_entries,
)
from cuminhatch.services.catalog._timers import InstanceRecordDue
from cuminhatch.services.catalog._view import NAME, CatalogView

# Services that are sent the configuration in force.
CONFIGURATION_CONSUMERS = ("forwarding", "backends", "callers", "quota")


def apply_document(view: CatalogView, data: bytes, source: str, era: int) -> bool:
    """
    Put a configuration in force if it is newer than the current one.

    :param view: state of the catalog.
    :param data: document as stored.
    :param source: ``store`` or ``peer``, for the event log.
    :param era: era of the store that the document was read in.
    :returns: whether it is newer.
    """
    if not data:
        return False
    if data == view.document_bytes:
        if source == "peer":
            # Otherwise each announcement of the sender would cause a pull. A
            # read of the store leaves the era as it is, as the new one would
            # make all others pull a document that they know.
            view.document_era = max(view.document_era, era)
        return False
    document = decode_document(view, data)
    if document is None:
        return False
    version = ConfigurationVersion(document.configuration.sequence, era)
    if version <= view.configuration_version:
        return False
    view.document = document
    view.document_bytes = data
    view.document_era = era
    details = {"version": version.number, "era": era, "source": source}
    view.record("configuration_in_force", details)
    record_refused_entries(view)
    publish_configuration(view)
    return True


def detect_restore(view: CatalogView, version: StoreVersion, source: str) -> None:
    """
    Note that the store has been restored if a version is of a later era.

    The record of this instance may be lost, so it is stored again if it is
    needed.

    :param view: state of the catalog, before the version is applied.
    :param version: version of the store in a read or in a change.
    :param source: ``store``, ``peer`` or an instance id, for the event log.
    """
    if version.era <= view.store_era:
        return
    view.store_era = version.era
    # Their keys have the version of the last change, which may be of the
    # earlier era still.
    view.cached_responses.clear()
    if not view.catalog.is_known:
        return
    now_ms = view.clock.now_ms
    view.outage_ended_ms = now_ms
    view.read_span = ReadSpan(now_ms, now_ms)
    if is_knowledge_recent(view):
        view.restored_ms = now_ms
    details = {
        "version": version.number,
        "era": version.era,
        "known_version": view.catalog.version.number,
        "known_era": view.catalog.version.era,
        "source": source,
    }
    view.record("store_restored", details)
    if view.is_instance_record_stored:
        view.is_instance_record_stored = False
        view.call_at(now_ms, InstanceRecordDue())


def is_after_restore(view: CatalogView) -> bool:
    """Tell whether rows of the store may still be those of the copy."""
    since_ms = view.clock.now_ms - view.restored_ms
    return since_ms < get_copy_grace_ms(view)


def get_copy_grace_ms(view: CatalogView) -> float:
    """Return how long after a restore rows may still be those of the copy."""
    return HEARTBEATS_UNTIL_REMOVED * view.heartbeat_ms


def is_knowledge_recent(view: CatalogView) -> bool:
    """
    Tell whether this instance may know more than a restored store.

    One that was frozen or cut off for longer would treat servers as gone that
    have registered since. A refused call shows that it was running during an
    outage.
    """
    reads = view.latest_reads
    last_ms = max(view.last_read_ms, reads.last_read_ms, reads.last_refused_ms)
    return view.clock.now_ms - last_ms < get_copy_grace_ms(view)


def is_whole_catalog_needed(view: CatalogView) -> bool:
    """
    Tell whether this instance can't know if some servers have left.

    It holds rows of a copy back that the store may have kept, or has kept
    servers for the grace period of an outage, and another instance, which may
    never have known these, reads the store since.
    """
    catalog = view.catalog
    since_ms = view.clock.now_ms - EXPIRY_GRACE_MS
    is_grace_over = any(at_ms < since_ms for at_ms in catalog.missing_since_ms.values())
    has_unconfirmed = bool(catalog.unconfirmed) and not is_after_restore(view)
    return has_unconfirmed or is_grace_over


def replace_catalog(view: CatalogView, catalog: Catalog, source: str) -> None:
    """
    Replace the catalog, and publish it if its servers differ.

    :param view: state of the catalog.
    :param catalog: the newer catalog.
    :param source: ``store``, ``peer`` or an instance id, for the event log.
    """
    before = view.catalog
    detect_restore(view, catalog.version, source)
    view.catalog = catalog
    if before.is_known and has_same_servers(catalog, before):
        return
    for name, details in list_change_events(before, catalog):
        view.record(name, details | {"source": source})
    publish_configuration(view)


def apply_catalog_change(view: CatalogView, change: CatalogChange, source: str) -> bool:
    """
    Apply a change that another instance has sent.

    :param view: state of the catalog.
    :param change: the change.
    :param source: ``peer`` or an instance id, for the event log.
    :returns: False if earlier changes are missing here.
    """
    detect_restore(view, change.version, source)
    applied = apply_change(view.catalog, change, is_after_restore(view))
    if isinstance(applied, VersionGap):
        return False
    if applied is not view.catalog:
        view.change_history.add(change)
        replace_catalog(view, applied, source)
    return True


def apply_whole_catalog(view: CatalogView, change: CatalogChange, source: str) -> None:
    """
    Replace the catalog by that of another instance unless it is older.

    :param view: state of the catalog.
    :param change: change that lists all registrations.
    :param source: ``peer``, for the event log.
    """
    if change.version < view.catalog.version:
        return
    view.change_history.clear()
    detect_restore(view, change.version, source)
    catalog = replace_registrations(view.catalog, change, is_after_restore(view))
    replace_catalog(view, catalog, source)


def apply_evacuation(
    view: CatalogView, evacuation: Evacuation | None, source: str
) -> bool:
    """
    Put the evacuated domains in force if they were read later.

    :param view: state of the catalog.
    :param evacuation: the domains as read or received, None if unknown.
    :param source: ``store``, ``peer`` or an instance id, for the event log.
    :returns: whether other domains are evacuated than before.
    """
    if not view.has_evacuations:
        return False
    before = view.evacuation
    view.evacuation = choose_later(before, evacuation)
    if view.evacuation is before:
        return False
    domains = view.evacuation.domains
    if before is not None and domains == before.domains:
        return False
    record_evacuation(view, source)
    # They hold the domains evacuated before.
    view.cached_responses.clear()
    publish_configuration(view)
    return True


def record_evacuation(view: CatalogView, source: str) -> None:
    """Record each domain whose evacuation has started or ended."""
    version, domains = view.evacuation
    known = view.evacuated_since_ms
    details = {"version": version.number, "era": version.era, "source": source}
    for domain in sorted(domains - known.keys()):
        view.record("evacuation_started", {"domain": domain} | details)
    for domain in sorted(known.keys() - domains):
        view.record("evacuation_ended", {"domain": domain} | details)
    now_ms = view.clock.now_ms
    view.evacuated_since_ms = {d: known.get(d, now_ms) for d in sorted(domains)}


def publish_configuration(view: CatalogView) -> None:
    """Send the configuration in force to the services of this daemon."""
    if view.document is None:
        return
    if view.is_evacuation_awaited:
        if view.evacuation_missed_ms is None:
            view.evacuation_missed_ms = view.clock.now_ms
        return
    view.is_published = True
    configuration = add_registered_servers(view.document, view.catalog)
    if view.evacuation is not None:
        domains = view.evacuation.domains
        configuration = configuration._replace(evacuated_domains=domains)
    changed = ConfigurationChanged(configuration)
    for name in CONFIGURATION_CONSUMERS:
        view.send(name, changed)
    if view.catalog.is_known:
        view.send(SUPERVISOR, ReadinessChanged(NAME, True, ""))
