"""Puts newer configurations and registrations into force."""

from cuminhatch.decisions.catalog import (
    Catalog,
    CatalogChange,
    VersionGap,
    apply_change,
    has_same_servers,
    join_configuration,
    list_changes,
)
from cuminhatch.errors import CodecError
from cuminhatch.kernel import SUPERVISOR
from cuminhatch.log import logger
from cuminhatch.messages import ConfigurationChanged, ReadinessChanged
from cuminhatch.services.catalog._view import NAME, CatalogView

# Listeners of the configuration in force.
CONSUMERS = ("forwarding", "backends", "callers")


def take_document(view: CatalogView, data: bytes, source: str) -> bool:
    """
    Put a newer configuration in force; older ones are ignored.

    :param view: state of the catalog.
    :param data: document as stored.
    :param source: who told it, for the log.
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
    publish(view)
    return True


def adopt_catalog(view: CatalogView, catalog: Catalog, source: str) -> None:
    """
    Believe a newer catalog.

    :param view: state of the catalog.
    :param catalog: what is registered.
    :param source: who told it, for the log.
    """
    before = view.catalog
    view.catalog = catalog
    if before.version and has_same_servers(catalog, before):
        return
    for name, details in list_changes(before, catalog):
        view.record(name, details | {"source": source})
    publish(view)


def adopt_change(view: CatalogView, change: CatalogChange, source: str) -> bool:
    """
    Believe a change that another instance tells.

    :param view: state of the catalog.
    :param change: the change.
    :param source: who told it, for the log.
    :returns: False if changes before it are missing here.
    """
    applied = apply_change(view.catalog, change)
    if isinstance(applied, VersionGap):
        return False
    if applied is not view.catalog:
        view.history.note(change)
        adopt_catalog(view, applied, source)
    return True


def adopt_whole(view: CatalogView, change: CatalogChange, source: str) -> None:
    """
    Believe all that another instance knows, in place of what is known here.

    :param view: state of the catalog.
    :param change: lists all registrations.
    :param source: who told it, for the log.
    """
    if change.version < view.catalog.version:
        return
    view.history.restart()
    registrations = {item.server.server_id: item for item in change.changed}
    catalog = Catalog(change.version, change.version, registrations, {})
    adopt_catalog(view, catalog, source)


def publish(view: CatalogView) -> None:
    """Tell the services of this daemon what is in force."""
    if view.document is None:
        return
    configuration = join_configuration(view.document, view.catalog)
    changed = ConfigurationChanged(configuration)
    for name in CONSUMERS:
        view.send(name, changed)
    if view.catalog.version:
        view.send(SUPERVISOR, ReadinessChanged(NAME, True, ""))
