"""
Each instance's local copy of the backend servers registered with the platform.

Registrations are rows of the metadata store, which numbers its transactions;
it is not the table service that holds notes, claims and permits.
The local copy carries the store version it was read at, so an instance never
replaces its copy with an older one received from another instance.
"""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from cuminhatch.decisions.configuration import BackendServer, Configuration
from cuminhatch.decisions.store_version import NO_VERSION, StoreVersion
from cuminhatch.decisions.warmup_reads import has_become_cold, read_warmups

# A live backend server that can reach the store registers again within about
# two seconds of the store's return.
EXPIRY_GRACE_MS = 2_500.0
# The store removes a registration after three heartbeats without one; another
# one allows for delays.
HEARTBEATS_UNTIL_REMOVED = 4
# Far more than the servers that leave in the seconds that a store may lose.
DEPARTED_MAX = 1_000


class RefusedEntry(NamedTuple):
    """
    An entry of the configuration that cannot be used.

    ``kind`` is ``rule``, ``service`` or ``team``; ``entry_id`` is empty if the
    entry has no readable name.
    """

    kind: str
    entry_id: str
    reason: str


class ConfigurationDocument(NamedTuple):
    """
    The operator's configuration, without backend servers.

    It is read as one document, not built from notes; the backend servers
    register themselves in the metadata store.

    ``connections`` maps each service id to the number of connections that one
    of its backend servers accepts in total. ``refused`` lists the entries that
    cannot be used; all others are in force.
    """

    configuration: Configuration
    connections: Mapping[str, int]
    refused: tuple[RefusedEntry, ...] = ()


class Registration(NamedTuple):
    """
    A registered backend server and the version of its row.

    ``sequence`` counts what the server has written since its start, so it
    orders the registrations of one start also across a restore of the store.
    """

    server: BackendServer
    row_version: StoreVersion
    sequence: int = 0


class Catalog(NamedTuple):
    """
    All registrations as of one version of the store.

    ``version`` also advances when a backend server only renews its
    registration. ``changed_version`` is the version of the last other change,
    not counting changes of the remaining warm-up time. ``missing_since_ms``
    maps the ids of servers whose registration expired during a store outage,
    and may still be renewed, to the monotonic time they were first found
    missing. ``unconfirmed`` holds registrations that this instance found in a
    restored store and that may be those of servers that have left since.
    ``read_era`` is the era of the latest read by this instance itself.
    ``departed`` holds the last registrations of servers that were removed, the
    latest ones last. ``warmups_read_ms`` maps the ids of cold servers to the
    remaining warm-up in the latest read by this instance itself, None if it
    has not read them.
    """

    version: StoreVersion
    changed_version: StoreVersion
    registrations: Mapping[str, Registration]
    missing_since_ms: Mapping[str, float]
    unconfirmed: Mapping[str, Registration] = MappingProxyType({})
    read_era: int = 0
    departed: Mapping[str, Registration] = MappingProxyType({})
    warmups_read_ms: Mapping[str, float] | None = None

    @property
    def is_known(self) -> bool:
        """Tell whether the registrations have been read or received."""
        return self.version > NO_VERSION


EMPTY_CATALOG = Catalog(NO_VERSION, NO_VERSION, {}, {})


class CatalogChange(NamedTuple):
    """
    The difference between two versions of the catalog.

    It includes everything that changed since ``previous_version``, so it
    applies to any catalog of that version or a later one.
    """

    previous_version: StoreVersion
    version: StoreVersion
    changed: tuple[Registration, ...]
    removed_ids: tuple[str, ...]


class VersionGap(NamedTuple):
    """Result: the change cannot be applied, as earlier ones are missing."""

    reason: str


def merge_store_read(
    catalog: Catalog,
    version: StoreVersion,
    rows: Mapping[str, Registration],
    now_ms: float,
    is_after_outage: bool,
    is_after_restore: bool = False,
    is_warmup_sent: bool = False,
) -> tuple[Catalog, CatalogChange]:
    """
    Update the catalog from a complete read of the store.

    Registrations expire while the store is down, since backend servers cannot
    renew them. Registrations missing from a read soon after an outage are kept
    until its grace period is over; otherwise a missing registration is removed
    at once.

    A restored store holds registrations as they were some time before, until
    the servers have written them again or the store has removed them. What is
    known to be newer is kept meanwhile, and sent to other instances, since
    they may have read the older rows themselves.

    :param catalog: catalog before the read.
    :param version: version of the store at the read.
    :param rows: registrations read, by server id.
    :param now_ms: monotonic time in milliseconds.
    :param is_after_outage: whether a store outage ended so recently that some
        servers may not have renewed their registration yet.
    :param is_after_restore: whether the store was restored so recently that
        some rows may still be those of the copy.
    :param is_warmup_sent: whether other instances are told of a server that
        becomes cold again under the same start.
    :returns: the new catalog and the change to send to other instances.
    """
    previous = catalog.registrations
    if version < catalog.version:
        return catalog, CatalogChange(catalog.changed_version, version, (), ())
    kept: dict[str, Registration] = {}
    unconfirmed: dict[str, Registration] = {}
    changed = []
    for server_id, registration in rows.items():
        known = previous.get(server_id)
        if known is None and is_after_restore:
            if _is_unconfirmed(catalog, version, registration):
                unconfirmed[server_id] = registration
                continue
        merged = _merge_row(registration, known, is_after_restore)
        if is_warmup_sent and known is not None and not merged.is_sent:
            read_ms = catalog.warmups_read_ms
            is_cold = has_become_cold(registration.server, known.server, read_ms)
            if is_cold and not _is_older_row(registration, known):
                merged = _MergedRow(registration, True)
        kept[server_id] = merged.registration
        if merged.is_sent:
            changed.append(merged.registration)
    missing_since_ms = _find_missing_in_grace(catalog, rows, now_ms, is_after_outage)
    for server_id in missing_since_ms:
        known = previous[server_id]
        kept[server_id] = _mark_listed(known, False)
        is_draining = known.server.is_draining
        if not known.server.is_unlisted or (is_after_restore and is_draining):
            # A draining server is ready in the copy, which another instance
            # may have read.
            changed.append(kept[server_id])
    # Other instances may have read the unconfirmed registrations themselves.
    removed = tuple(
        server_id
        for server_id in {**previous, **catalog.unconfirmed, **unconfirmed}
        if server_id not in kept
    )
    change = CatalogChange(catalog.changed_version, version, tuple(changed), removed)
    changed_version = version if changed or removed else catalog.changed_version
    after = Catalog(
        version,
        changed_version,
        kept,
        missing_since_ms,
        unconfirmed,
        version.era,
        _add_departed(catalog, kept),
        read_warmups(row.server for row in rows.values()) if is_warmup_sent else None,
    )
    return after, change


def _add_departed(
    before: Catalog, kept: Mapping[str, Registration]
) -> Mapping[str, Registration]:
    """Return the servers that were removed, with those that are not kept."""
    removed = before.registrations.keys() - kept.keys()
    if not removed and before.departed.keys().isdisjoint(kept):
        return before.departed
    departed = {
        server_id: registration
        for server_id, registration in before.departed.items()
        if server_id not in kept
    }
    departed |= {server_id: before.registrations[server_id] for server_id in removed}
    return dict(list(departed.items())[-DEPARTED_MAX:])


def _is_of_departed_server(catalog: Catalog, registration: Registration) -> bool:
    """Return whether a server was removed after it had written this row."""
    departed = catalog.departed.get(registration.server.server_id)
    return (
        departed is not None
        and departed.server.started_ms == registration.server.started_ms
        and registration.sequence <= departed.sequence
    )


def _mark_listed(registration: Registration, is_listed: bool) -> Registration:
    """Return the registration with a note whether the store lists it."""
    if registration.server.is_unlisted is not is_listed:
        return registration
    server = registration.server._replace(is_unlisted=not is_listed)
    return registration._replace(server=server)


class _MergedRow(NamedTuple):
    """The registration to keep, and whether other instances need it."""

    registration: Registration
    is_sent: bool


def _merge_row(
    registration: Registration, known: Registration | None, is_after_restore: bool
) -> _MergedRow:
    """Return the newer one of the registration read and the known one."""
    if known is None:
        return _MergedRow(registration, True)
    if known.server.is_unlisted:
        merged = _merge_row(registration, _mark_listed(known, True), is_after_restore)
        return merged._replace(is_sent=True)
    if not _is_relevant_change(known, registration):
        # An instance that has read the copy does not know a row that the
        # server has written since.
        is_sent = is_after_restore and (
            registration.row_version.number != known.row_version.number
        )
        return _MergedRow(registration if is_sent else known, is_sent)
    if not _is_older_row(registration, known, is_after_restore):
        return _MergedRow(registration, True)
    if not is_after_restore:
        return _MergedRow(known, False)
    # With the version of the row it replaces that row elsewhere, and gives way
    # to it if the server never writes again.
    row_version = max(known.row_version, registration.row_version)
    return _MergedRow(known._replace(row_version=row_version), True)


def _is_unconfirmed(
    catalog: Catalog, version: StoreVersion, registration: Registration
) -> bool:
    """
    Return whether an unknown server may have left since the copy was made.

    Its row was there at the first read after the restore, and the server has
    not written it since.
    """
    if version.era != catalog.read_era:
        return True
    return catalog.unconfirmed.get(registration.server.server_id) == registration


def _find_missing_in_grace(
    catalog: Catalog,
    rows: Mapping[str, Registration],
    now_ms: float,
    is_after_outage: bool,
) -> dict[str, float]:
    """Return the missing servers that are kept, and since when they miss."""
    if not is_after_outage:
        return {}
    missing_since_ms = {}
    for server_id in catalog.registrations:
        if server_id not in rows:
            since_ms = catalog.missing_since_ms.get(server_id, now_ms)
            missing_since_ms[server_id] = since_ms
    return missing_since_ms


def _is_relevant_change(before: Registration, after: Registration) -> bool:
    """Return whether more than the remaining warm-up time differs."""
    warmup_left_ms = before.server.warmup_left_ms
    return before.server != after.server._replace(warmup_left_ms=warmup_left_ms)


def _is_older_row(
    registration: Registration, known: Registration, is_after_restore: bool = False
) -> bool:
    """
    Return whether a registration was replaced by the known one.

    Another instance may have sent a newer row than the one that was read, and
    a restored store holds older rows under versions of a later era.
    """
    started_ms = registration.server.started_ms
    known_started_ms = known.server.started_ms
    is_same_start = started_ms == known_started_ms
    if is_after_restore and not is_same_start:
        return started_ms < known_started_ms
    is_same_era = registration.row_version.era == known.row_version.era
    if is_after_restore:
        return registration.sequence <= known.sequence
    # A server that does not tell when it started may have started again. An
    # equal sequence is what the reader knows better than the copy: its row
    # version lets the row replace it that the reader uses in the end.
    if is_same_start and started_ms and not is_same_era:
        return registration.sequence < known.sequence
    return registration.row_version < known.row_version


def apply_change(
    catalog: Catalog, change: CatalogChange, is_after_restore: bool = False
) -> Catalog | VersionGap:
    """
    Apply a change that another instance has sent.

    That instance may have started since the store was restored, and not know
    which servers of the copy have left.

    :param catalog: local catalog.
    :param change: change received.
    :param is_after_restore: whether the store was restored so recently that
        some rows may still be those of the copy.
    :returns: the new catalog, the same one if the change is outdated, or
        :class:`VersionGap` if earlier changes were missed.
    """
    if change.previous_version > catalog.version:
        return VersionGap("missed-changes")
    if change.version < catalog.version:
        return catalog
    is_later_era = change.version.era > catalog.version.era
    if is_later_era and catalog.changed_version > change.previous_version:
        # The sender has not heard of the last changes of the earlier era, so
        # it does not say which of them the store has lost.
        return VersionGap("changes-before-restore")
    if not change.changed and not change.removed_ids:
        changed_version = max(catalog.changed_version, change.previous_version)
        return catalog._replace(version=change.version, changed_version=changed_version)
    registrations = dict(catalog.registrations)
    unconfirmed = dict(catalog.unconfirmed)
    for server_id in change.removed_ids:
        registrations.pop(server_id, None)
        unconfirmed.pop(server_id, None)
    for registration in change.changed:
        server_id = registration.server.server_id
        known = registrations.get(server_id)
        if known is None and is_after_restore:
            if _is_of_departed_server(catalog, registration):
                unconfirmed[server_id] = registration
                continue
        unconfirmed.pop(server_id, None)
        if known is None or not _is_older_row(registration, known):
            registrations[server_id] = registration
    missing_since_ms = {
        server_id: since_ms
        for server_id, since_ms in catalog.missing_since_ms.items()
        if server_id in registrations
    }
    return catalog._replace(
        version=change.version,
        changed_version=change.version,
        registrations=registrations,
        missing_since_ms=missing_since_ms,
        unconfirmed=unconfirmed,
        departed=_add_departed(catalog, registrations),
    )


def replace_registrations(
    catalog: Catalog, change: CatalogChange, is_after_restore: bool = False
) -> Catalog:
    """
    Replace the registrations by all those of another instance.

    That instance may have read the rows of a restored store, and not know what
    the servers had written since. Unless it has removed them, such servers
    keep their later state.

    :param catalog: local catalog, of the same version or an earlier one.
    :param change: change that lists all registrations.
    :param is_after_restore: as in :func:`apply_change`.
    """
    registrations: dict[str, Registration] = {}
    unconfirmed: dict[str, Registration] = {}
    for registration in change.changed:
        server_id = registration.server.server_id
        known = catalog.registrations.get(server_id)
        if known is None and is_after_restore:
            if _is_of_departed_server(catalog, registration):
                unconfirmed[server_id] = registration
                continue
        is_kept = (
            known is not None
            and known.row_version.era != registration.row_version.era
            and _is_older_row(registration, known)
        )
        registrations[server_id] = known if is_kept else registration
    return catalog._replace(
        version=change.version,
        changed_version=change.version,
        registrations=registrations,
        missing_since_ms={},
        unconfirmed=unconfirmed,
        departed=_add_departed(catalog, registrations),
    )


def add_registered_servers(
    document: ConfigurationDocument, catalog: Catalog
) -> Configuration:
    """
    Return the configuration with the registered backend servers added.

    Servers of services that the configuration does not define are left out.

    :param document: the operator's configuration.
    :param catalog: registered backend servers.
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
    Return whether two catalogs list the same servers in the same order.

    :param one: a catalog.
    :param other: another catalog.
    """
    return [registration.server for registration in one.registrations.values()] == [
        registration.server for registration in other.registrations.values()
    ]


def list_change_events(
    before: Catalog, after: Catalog
) -> Iterator[tuple[str, dict[str, Any]]]:
    """
    Yield an event name and details for each server that differs.

    :param before: previous catalog.
    :param after: current catalog.
    """
    for server_id in before.registrations.keys() - after.registrations.keys():
        yield "server_gone", {"server": server_id}
    for server_id, registration in after.registrations.items():
        known = before.registrations.get(server_id)
        if known is not None and known.server == registration.server:
            continue
        details = {
            "server": server_id,
            "service": registration.server.service_id,
            "is_draining": registration.server.is_draining,
            "is_unlisted": registration.server.is_unlisted,
            "row_version": registration.row_version.number,
            "era": registration.row_version.era,
        }
        yield ("server_added" if known is None else "server_changed"), details
