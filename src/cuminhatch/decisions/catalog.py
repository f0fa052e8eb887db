"""
What one instance believes of the servers registered with the platform.

The registrations are rows of a store that numbers its transactions. Each
belief carries the number of the reading that it comes from, so instances that
tell each other never replace newer knowledge by older.
"""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from cuminhatch.decisions.configuration import BackendServer, Configuration

# A backend server that lives and reaches the store is registered again within
# about two seconds of its return.
LAPSE_GRACE_MS = 2_500.0


class ConfigurationDocument(NamedTuple):
    """
    A configuration of the operator, without backend servers.

    ``connections`` is how many connections one backend server of a service
    accepts from all callers, by service.
    """

    configuration: Configuration
    connections: Mapping[str, int]


class Registration(NamedTuple):
    """A registered backend server, and the version of its row."""

    server: BackendServer
    row_version: int


class Catalog(NamedTuple):
    """
    All registrations, as of a version of the store.

    Heartbeats advance ``version`` all the time; ``changed_version`` is that of
    the last change worth telling. ``lapsed`` holds when registrations were
    first missed that lapsed during an outage of the store and may still come
    back, in monotonic time.
    """

    version: int
    changed_version: int
    registrations: Mapping[str, Registration]
    lapsed: Mapping[str, float]


EMPTY_CATALOG = Catalog(0, 0, {}, {})


class CatalogChange(NamedTuple):
    """
    What differs between two versions of the catalog.

    Nothing else has changed since ``previous_version``, so it applies to any
    catalog of that version or a later one.
    """

    previous_version: int
    version: int
    changed: tuple[Registration, ...]
    removed_ids: tuple[str, ...]


class VersionGap(NamedTuple):
    """Sentinel: changes before this one are missing."""

    reason: str


def merge_reading(
    catalog: Catalog,
    version: int,
    rows: Mapping[str, Registration],
    now_ms: float,
    is_after_outage: bool,
) -> tuple[Catalog, CatalogChange]:
    """
    Take a whole reading of the store.

    Registrations lapse while the store is away, since backend servers cannot
    renew them. Those that are missed in the first reading after an outage
    stay for a grace time; those that are missed at other times go at once.

    :param catalog: what was known before.
    :param version: version of the store that the reading shows.
    :param rows: registrations by server id.
    :param now_ms: current time.
    :param is_after_outage: whether the store has not answered until now, or
        not for long enough that all servers could have renewed.
    :returns: the new catalog, and what to tell other instances.
    """
    before = catalog.registrations
    if version < catalog.version:
        return catalog, CatalogChange(catalog.changed_version, version, (), ())
    kept: dict[str, Registration] = {}
    changed = []
    for server_id, registration in rows.items():
        known = before.get(server_id)
        if known is None or _is_news(known, registration):
            kept[server_id] = registration
            changed.append(registration)
        else:
            kept[server_id] = known
    lapsed = _find_lapsed(catalog, rows, now_ms, is_after_outage)
    kept.update({server_id: before[server_id] for server_id in lapsed})
    removed = tuple(server_id for server_id in before if server_id not in kept)
    change = CatalogChange(catalog.changed_version, version, tuple(changed), removed)
    changed_version = version if changed or removed else catalog.changed_version
    return Catalog(version, changed_version, kept, lapsed), change


def _find_lapsed(
    catalog: Catalog,
    rows: Mapping[str, Registration],
    now_ms: float,
    is_after_outage: bool,
) -> dict[str, float]:
    """Return which missing registrations may come back, and since when."""
    lapsed = {}
    for server_id in catalog.registrations:
        if server_id in rows:
            continue
        missed_ms = catalog.lapsed.get(server_id)
        if missed_ms is None and is_after_outage:
            missed_ms = now_ms
        if missed_ms is not None and now_ms - missed_ms < LAPSE_GRACE_MS:
            lapsed[server_id] = missed_ms
    return lapsed


def _is_news(before: Registration, after: Registration) -> bool:
    """Tell whether more than the progress of a heartbeat has changed."""
    warm = before.server.warmup_left_ms
    return before.server != after.server._replace(warmup_left_ms=warm)


def apply_change(catalog: Catalog, change: CatalogChange) -> Catalog | VersionGap:
    """
    Take what another instance has read.

    :param catalog: what was known before.
    :param change: what the other instance tells.
    """
    if change.previous_version > catalog.version:
        return VersionGap("missed-changes")
    if change.version < catalog.version:
        return catalog
    if not change.changed and not change.removed_ids:
        changed_version = max(catalog.changed_version, change.previous_version)
        return catalog._replace(version=change.version, changed_version=changed_version)
    registrations = dict(catalog.registrations)
    for server_id in change.removed_ids:
        registrations.pop(server_id, None)
    for registration in change.changed:
        registrations[registration.server.server_id] = registration
    lapsed = {k: v for k, v in catalog.lapsed.items() if k in registrations}
    return Catalog(change.version, change.version, registrations, lapsed)


def join_configuration(
    document: ConfigurationDocument, catalog: Catalog
) -> Configuration:
    """
    Return the configuration with the registered servers of its services.

    :param document: the operator's configuration.
    :param catalog: what is registered.
    """
    servers = {}
    for server_id, registration in catalog.registrations.items():
        server = registration.server
        connections = document.connections.get(server.service_id)
        if connections is not None:
            servers[server_id] = server._replace(connections=connections)
    return document.configuration._replace(servers=MappingProxyType(servers))


def has_same_servers(one: Catalog, other: Catalog) -> bool:
    """
    Tell whether two catalogs differ by the versions of their rows only.

    :param one: a catalog.
    :param other: another one.
    """
    return [item.server for item in one.registrations.values()] == [
        item.server for item in other.registrations.values()
    ]


def list_changes(
    before: Catalog, after: Catalog
) -> Iterator[tuple[str, dict[str, Any]]]:
    """
    Name what differs, one event for each server.

    :param before: what was known.
    :param after: what is known now.
    """
    for server_id in before.registrations.keys() - after.registrations.keys():
        yield "server_gone", {"server": server_id}
    for server_id, item in after.registrations.items():
        known = before.registrations.get(server_id)
        if known is not None and known.server == item.server:
            continue
        details = {
            "server": server_id,
            "service": item.server.service_id,
            "is_draining": item.server.is_draining,
            "row_version": item.row_version,
        }
        yield ("server_added" if known is None else "server_changed"), details
