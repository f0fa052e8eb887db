"""Checks of a note against the configuration and newer notes."""

from collections.abc import Container, Iterable
from typing import Any

from cuminhatch.decisions.configuration import (
    BackendServer,
    Configuration,
    Entry,
    Rule,
    ServiceSpec,
    build_entry,
    entries_of,
)
from cuminhatch.decisions.notes._form import FIELDS, check_form
from cuminhatch.decisions.notes._types import (
    AcceptedNote,
    Conflict,
    Note,
    NoteItem,
    NoteRefused,
)

# Conflicts are looked for in at most this many notes; 28,000 notes a day make
# 4,096 about three and a half hours.
BASE_AGE_MAX = 4096


def _find_presence_fault(configuration: Configuration, item: NoteItem) -> str | None:
    is_present = item.item_id in entries_of(configuration, item.kind)
    if item.action == "add" and is_present:
        return "exists already; use action change, or another id"
    if item.action != "add" and not is_present:
        return f"does not exist; it cannot be used with action {item.action}"
    return None


def _find_limit_fault(server: BackendServer, service: ServiceSpec) -> str | None:
    if server.connections < service.instances_max:
        return (
            f"{server.connections} connections are fewer than instances_max "
            f"{service.instances_max} of service {service.service_id}; every "
            "instance needs one"
        )
    if service.long_slots >= server.slots:
        return (
            f"long_slots {service.long_slots} of service {service.service_id} must "
            f"be below its slots {server.slots}"
        )
    return None


class _Overlay:
    """The entries as they would be after a note, without copies."""

    def __init__(self, configuration: Configuration, note: Note) -> None:
        self.configuration = configuration
        self.touched: dict[str, dict[str, Entry | None]] = {kind: {} for kind in FIELDS}
        for item in note.items:
            present = entries_of(configuration, item.kind).get(item.item_id)
            self.touched[item.kind][item.item_id] = (
                None
                if item.action == "withdraw"
                else build_entry(item.kind, item.item_id, item.values, present)
            )

    def find(self, kind: str, item_id: str) -> Any:
        touched = self.touched[kind]
        if item_id in touched:
            return touched[item_id]
        return entries_of(self.configuration, kind).get(item_id)

    def walk(self, kind: str, service_ids: Container[str] | None) -> Iterable[Any]:
        """Yield touched entries, then all others that use these services."""
        touched = self.touched[kind]
        yield from (entry for entry in touched.values() if entry is not None)
        for item_id, entry in entries_of(self.configuration, kind).items():
            if service_ids is None or entry.service_id in service_ids:
                if item_id not in touched:
                    yield entry


def _find_reference_faults(overlay: _Overlay) -> Iterable[tuple[str, str, str]]:
    services = overlay.touched["service"]
    # All servers and rules are visited only if the note touches a service
    # that exists: new ones have no users outside the note.
    is_whole = any(
        service_id in overlay.configuration.services for service_id in services
    )
    for kind in ("backend_server", "rule"):
        entries = (
            overlay.walk(kind, services) if is_whole else overlay.touched[kind].values()
        )
        for entry in entries:
            if entry is None:
                continue
            service = overlay.find("service", entry.service_id)
            if service is not None:
                if isinstance(entry, BackendServer):
                    fault = _find_limit_fault(entry, service)
                    if fault is not None:
                        yield kind, entry.server_id, fault
            elif entry.service_id in services:
                yield (
                    "service",
                    entry.service_id,
                    f"{kind} {entry[0]} still uses it; withdraw that in the same note",
                )
            else:
                yield (
                    kind,
                    entry[0],
                    f"service {entry.service_id} does not exist; add it",
                )


def _find_rule_faults(overlay: _Overlay) -> Iterable[tuple[str, str, str]]:
    if not any(overlay.touched["rule"].values()):
        return
    seen: dict[tuple[str, str], Rule] = {}
    for rule in overlay.walk("rule", None):
        # Rules that the note touches come first, so they are the ones named.
        named = seen.setdefault((rule.method, rule.path_prefix), rule)
        if named is not rule:
            yield (
                "rule",
                named.rule_id,
                f"rule {rule.rule_id} has the same method and path_prefix; "
                "change one of them",
            )


def check_note(configuration: Configuration, note: Note) -> NoteRefused | None:
    """
    Check a note against the configuration it would be applied to.

    The order of the items does not matter.

    :param configuration: configuration at the head.
    :param note: note to check.
    :returns: None, or a refusal that names the item and what to do.
    """
    refused = check_form(note)
    if refused is not None:
        return refused
    for item in note.items:
        fault = _find_presence_fault(configuration, item)
        if fault is not None:
            return NoteRefused(f"{item.kind} {item.item_id}: {fault}")
    overlay = _Overlay(configuration, note)
    for find_faults in (_find_reference_faults, _find_rule_faults):
        for kind, item_id, fault in find_faults(overlay):
            return NoteRefused(f"{kind} {item_id}: {fault}")
    return None


def find_conflict(note: Note, newer_notes: Iterable[AcceptedNote]) -> Conflict | None:
    """
    Find an item that a note and a newer one both touch.

    :param note: note that is not accepted yet.
    :param newer_notes: notes accepted after the base of the note.
    :returns: the first conflict in order of the newer notes, or None.
    """
    touched = {(item.kind, item.item_id) for item in note.items}
    for newer in newer_notes:
        for item in newer.note.items:
            if (item.kind, item.item_id) in touched:
                return Conflict(
                    item.kind, item.item_id, newer.sequence, newer.note.note_id
                )
    return None


def is_next(sequence: int, accepted: AcceptedNote) -> bool:
    """
    Tell whether a note may be applied now.

    :param sequence: sequence number of the configuration in force.
    :param accepted: note learnt from the table or from a peer.
    :returns: True only for the very next note, so that an instance neither
        goes back nor skips a note.
    """
    return accepted.sequence == sequence + 1
