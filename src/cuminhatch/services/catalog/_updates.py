"""Applies newer configurations and registrations, and publishes them."""

from cuminhatch.decisions.catalog import (
    Catalog,
    CatalogChange,
    VersionGap,
    add_registered_servers,
    apply_change,
    has_same_servers,
    list_change_events,
)
from cuminhatch.errors import CodecError
from cuminhatch.kernel import SUPERVISOR
from cuminhatch.log import logger
from cuminhatch.messages import ConfigurationChanged, ReadinessChanged
from cuminhatch.services.catalog._view import NAME, CatalogView

# Services that are sent the configuration in force.
CONFIGURATION_CONSUMERS = ("forwarding", "backends", "callers")


def apply_document(view: CatalogView, data: bytes, source: str) -> bool:
    """
    Put a configuration in force if it is newer than the current one.

    :param view: state of the catalog.
    :param data: document as stored.
    :param source: ``store`` or ``peer``, for the event log.
    :returns: whether it is newer.
    """
    if not data or data == view.document_bytes:
        return False
    try:
        document = view.decode_configuration(data)
    except CodecError as error:
        logger.warning("catalog: Configuration refused: {}.", error)
        return False
    version = document.configuration.sequence
    if version <= view.configuration_version:
        return False
    view.document = document
    view.document_bytes = data
    view.record("configuration_in_force", {"version": version, "source": source})
    publish_configuration(view)
    return True


def replace_catalog(view: CatalogView, catalog: Catalog, source: str) -> None:
    """
    Replace the catalog, and publish it if its servers differ.

    :param view: state of the catalog.
    :param catalog: the newer catalog.
    :param source: ``store``, ``peer`` or an instance id, for the event log.
    """
    before = view.catalog
    view.catalog = catalog
    if before.version and has_same_servers(catalog, before):
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
    applied = apply_change(view.catalog, change)
    if isinstance(applied, VersionGap):
        return False
    if applied is not view.catalog:
        view.change_history.add(change)
        replace_catalog(view, applied, source)
    return True


def replace_registrations(
    view: CatalogView, change: CatalogChange, source: str
) -> None:
    """
    Replace the catalog by that of another instance unless it is older.

    :param view: state of the catalog.
    :param change: change that lists all registrations.
    :param source: ``peer``, for the event log.
    """
    if change.version < view.catalog.version:
        return
    view.change_history.clear()
    registrations = {item.server.server_id: item for item in change.changed}
    catalog = Catalog(change.version, change.version, registrations, {})
    replace_catalog(view, catalog, source)


def publish_configuration(view: CatalogView) -> None:
    """Send the configuration in force to the services of this daemon."""
    if view.document is None:
        return
    configuration = add_registered_servers(view.document, view.catalog)
    changed = ConfigurationChanged(configuration)
    for name in CONFIGURATION_CONSUMERS:
        view.send(name, changed)
    if view.catalog.version:
        view.send(SUPERVISOR, ReadinessChanged(NAME, True, ""))
