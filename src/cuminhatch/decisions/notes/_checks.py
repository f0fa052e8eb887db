"""Validation of a note against the configuration and newer notes."""

from collections.abc import Container, Iterable
from typing import Any

from cuminhatch.decisions.configuration import (
    BackendServer,
    Configuration,
    ConfigurationEntry,
    Rule,
    ServiceSpec,
    build_entry,
    get_entries,
)
from cuminhatch.decisions.notes._types import (
    AcceptedNote,
    Conflict,
    Note,
    NoteItem,
    NoteRefused,
)
from cuminhatch.decisions.notes._validation import FIELDS, check_note_fields

# A note is checked for conflicts with at most this many newer notes. At 28,000
# notes per day, which the design allows for, they span three and a half hours.
BASE_AGE_MAX = 4096


def _find_presence_error(configuration: Configuration, item: NoteItem) -> str | None:
    is_present = item.item_id in get_entries(configuration, item.kind)
    if item.action == "add" and is_present:
        return "exists already; use action change, or another id"
    if item.action != "add" and not is_present:
        return f"does not exist; it cannot be used with action {item.action}"
    return None


def _find_limit_error(server: BackendServer, service: ServiceSpec) -> str | None:
    if server.connections < service.instances_max:
        return (
            f"{server.connections} connections are fewer than instances_max "
            f"{service.instances_max} of service {service.service_id}; each "
            "instance needs one"
        )
    if service.long_slots >= server.slots:
        return (
            f"long_slots {service.long_slots} of service {service.service_id} must "
            f"be below its slots {server.slots}"
        )
    return None


class _Overlay:
    """The entries after a note, without copying the configuration."""

    def __init__(self, configuration: Configuration, note: Note) -> None:
        self.configuration = configuration
        self.modified: dict[str, dict[str, ConfigurationEntry | None]] = {
            kind: {} for kind in FIELDS
        }
        for item in note.items:
            existing = get_entries(configuration, item.kind).get(item.item_id)
            self.modified[item.kind][item.item_id] = (
                None
                if item.action == "withdraw"
                else build_entry(item.kind, item.item_id, item.values, existing)
            )

    def find(self, kind: str, item_id: str) -> Any:
        modified = self.modified[kind]
        if item_id in modified:
            return modified[item_id]
        return get_entries(self.configuration, kind).get(item_id)

    def iterate(self, kind: str, service_ids: Container[str] | None) -> Iterable[Any]:
        """Yield modified entries, then the others that use these services."""
        modified = self.modified[kind]
        yield from (entry for entry in modified.values() if entry is not None)
        for item_id, entry in get_entries(self.configuration, kind).items():
            if service_ids is None or entry.service_id in service_ids:
                if item_id not in modified:
                    yield entry


def _find_reference_errors(overlay: _Overlay) -> Iterable[tuple[str, str, str]]:
    services = overlay.modified["service"]
    # All servers and rules are checked only if the note modifies an existing
    # service: nothing outside the note refers to a new one.
    is_full_check = any(
        service_id in overlay.configuration.services for service_id in services
    )
    for kind in ("backend_server", "rule"):
        entries = (
            overlay.iterate(kind, services)
            if is_full_check
            else overlay.modified[kind].values()
        )
        for entry in entries:
            if entry is None:
                continue
            service = overlay.find("service", entry.service_id)
            if service is not None:
                if isinstance(entry, BackendServer):
                    error = _find_limit_error(entry, service)
                    if error is not None:
                        yield kind, entry.server_id, error
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


def _find_rule_errors(overlay: _Overlay) -> Iterable[tuple[str, str, str]]:
    if not any(overlay.modified["rule"].values()):
        return
    first_rules: dict[tuple[str, str], Rule] = {}
    for rule in overlay.iterate("rule", None):
        # Rules that the note modifies come first, so they are reported.
        first = first_rules.setdefault((rule.method, rule.path_prefix), rule)
        if first is not rule:
            yield (
                "rule",
                first.rule_id,
                f"rule {rule.rule_id} has the same method and path_prefix; "
                "change one of them",
            )


def check_note(configuration: Configuration, note: Note) -> NoteRefused | None:
    """
    Validate a note against the configuration it would be applied to.

    The order of the items does not matter.

    :param configuration: configuration at the head.
    :param note: note to validate.
    :returns: None if it is valid, otherwise a refusal that names the item and
        how to correct it.
    """
    refused = check_note_fields(note)
    if refused is not None:
        return refused
    for item in note.items:
        error = _find_presence_error(configuration, item)
        if error is not None:
            return NoteRefused(f"{item.kind} {item.item_id}: {error}")
    overlay = _Overlay(configuration, note)
    for find_errors in (_find_reference_errors, _find_rule_errors):
        for kind, item_id, error in find_errors(overlay):
            return NoteRefused(f"{kind} {item_id}: {error}")
    return None


def find_conflict(note: Note, newer_notes: Iterable[AcceptedNote]) -> Conflict | None:
    """
    Find an item that is modified both by a note and by a newer one.

    :param note: note that is not accepted yet.
    :param newer_notes: notes accepted after the base of the note.
    :returns: the first conflict in the order of the newer notes, or None.
    """
    modified = {(item.kind, item.item_id) for item in note.items}
    for newer in newer_notes:
        for item in newer.note.items:
            if (item.kind, item.item_id) in modified:
                return Conflict(
                    item.kind, item.item_id, newer.sequence, newer.note.note_id
                )
    return None


def is_next_note(sequence: int, accepted: AcceptedNote) -> bool:
    """
    Return whether a note directly follows the configuration in force.

    Only that note may be applied, so that an instance neither reverts nor
    skips a note.

    :param sequence: sequence number of the configuration in force.
    :param accepted: note received from the table service or from a peer.
    """
    return accepted.sequence == sequence + 1
