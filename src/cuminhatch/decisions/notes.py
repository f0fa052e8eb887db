"""
Release notes: checks, conflicts, acceptance.

A submission is a record (:class:`Submission`) that functions advance; each
returns the next record and the next step to take. What can be said of a
submission rests on two facts:

- Each append is conditional on the version of row ``head`` and on the
  absence of ``note-id/<id>``, and its reply tells atomically which of the two
  failed. So a reply that shows a moved head and an absent note id proves that
  no earlier append of the submission on the old head can take effect, even
  if its reply was lost and it is still under way.
- A read proves only presence. "Absent" leaves open a write under way, so
  after a lost reply and an "absent" the same append is sent again: at most
  one of the two can win, and the reply settles both.

``head`` is read before ``note-id/<id>``: a note that is absent then was not
accepted up to that head, so a refusal at that head does not contradict an
earlier acceptance. A refusal is about one submission: no write of it can
take effect. Another submission of the same note may still be accepted.
"""

import math
import re
from collections.abc import Callable, Container, Iterable, Mapping
from ipaddress import ip_address
from typing import Any, NamedTuple, TypedDict

from cuminhatch.decisions.configuration import (
    BackendServer,
    Configuration,
    Entry,
    Rule,
    ServiceSpec,
    build_entry,
    entries_of,
)
from cuminhatch.decisions.platform import (
    Committed,
    Mismatched,
    Row,
    RowAbsent,
    RowCheck,
    RowPut,
    TableTransaction,
    TableUnavailable,
)

HEAD_KEY = "head"
NOTES_PREFIX = "note/"
# "0" is the character after "/", so this key bounds all keys of notes.
NOTES_END = "note0"

# Time after which a submitter is told that the outcome is unknown.
SUBMISSION_LIMIT_MS = 10_000.0
RETRY_MIN_MS = 100.0
RETRY_MAX_MS = 1000.0
# Conflicts are looked for in at most this many notes; 28,000 notes a day make
# 4,096 about three and a half hours.
BASE_AGE_MAX = 4096

ACTIONS = ("add", "change", "withdraw")
WORK_CLASSES = ("short", "long")
_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_METHOD_PATTERN = re.compile(r"[A-Z]+|\*")


class NoteItem(NamedTuple):
    """
    One change of a note.

    ``action`` is ``add``, ``change`` or ``withdraw``; ``kind`` is
    ``service``, ``backend_server`` or ``rule``; ``item_id`` is unique per
    kind. ``values`` are the fields given, empty for ``withdraw``.
    """

    action: str
    kind: str
    item_id: str
    values: Mapping[str, Any]


class Note(NamedTuple):
    """
    A release note as written by an operator.

    ``base`` is the sequence number that the operator wrote the note against;
    a later note that touches one of its items is a conflict. None stands for
    the head at the time of the submission.
    """

    note_id: str
    author: str
    summary: str
    items: tuple[NoteItem, ...]
    base: int | None = None


class AcceptedNote(NamedTuple):
    """A note with its place in the order of all notes."""

    sequence: int
    note: Note


class NoteAccepted(NamedTuple):
    """The note is in the table; ``is_repeated`` if it was there before."""

    sequence: int
    is_repeated: bool


class NoteRefused(NamedTuple):
    """Sentinel: no write of this submission took effect or ever can."""

    reason: str


class NoteOutcomeUnknown(NamedTuple):
    """Sentinel: whether the note was accepted cannot be told yet."""

    reason: str


class Conflict(NamedTuple):
    """Sentinel: a newer note touches an item of the note."""

    kind: str
    item_id: str
    sequence: int
    note_id: str
    reason: str = "conflict"


# Checks of one note


class _Field(NamedTuple):
    types: tuple[type, ...]
    is_required: bool
    find_fault: Callable[[Any], str | None]


def _at_least(bound: float) -> Callable[[Any], str | None]:
    return lambda value: None if value >= bound else f"must be at least {bound}"


def _above(bound: float) -> Callable[[Any], str | None]:
    return lambda value: None if value > bound else f"must be above {bound}"


def _between(low: int, high: int) -> Callable[[Any], str | None]:
    return lambda value: (
        None if low <= value <= high else f"must be between {low} and {high}"
    )


def _one_of(*choices: str) -> Callable[[Any], str | None]:
    return lambda value: (
        None if value in choices else f"must be one of {', '.join(choices)}"
    )


def _matching(pattern: re.Pattern[str], wanted: str) -> Callable[[Any], str | None]:
    return lambda value: None if pattern.fullmatch(value) else f"must be {wanted}"


def _find_host_fault(value: str) -> str | None:
    try:
        ip_address(value)
    except ValueError:
        return "must be an IP address"
    return None


def _accept_any(value: Any) -> None:
    return None


_NUMBER = (int, float)
_find_id_fault = _matching(
    _ID_PATTERN, "1 to 100 letters, digits, dots, dashes or underscores"
)
_FIELDS: Mapping[str, Mapping[str, _Field]] = {
    "service": {
        "instances_max": _Field((int,), False, _at_least(1)),
        "probe_rate": _Field(_NUMBER, False, _above(0)),
        "long_slots": _Field((int,), False, _at_least(0)),
        "slow_start_ms": _Field(_NUMBER, False, _at_least(0)),
    },
    "backend_server": {
        "service_id": _Field((str,), True, _find_id_fault),
        "host": _Field((str,), True, _find_host_fault),
        "port": _Field((int,), True, _between(1, 65535)),
        "failure_domain": _Field((str,), True, _matching(re.compile(r".+"), "a name")),
        "slots": _Field((int,), True, _at_least(1)),
        "connections": _Field((int,), True, _at_least(1)),
    },
    "rule": {
        "service_id": _Field((str,), True, _find_id_fault),
        "method": _Field((str,), True, _matching(_METHOD_PATTERN, "upper case or *")),
        "path_prefix": _Field(
            (str,), True, _matching(re.compile(r"/[^\s?#]*"), "a path from / on")
        ),
        "work_class": _Field((str,), False, _one_of(*WORK_CLASSES)),
        "idempotent": _Field((bool,), False, _accept_any),
        "deadline_ms": _Field(_NUMBER, False, _above(0)),
        "response_timeout_ms": _Field(_NUMBER, False, _above(0)),
    },
}


def _find_value_fault(field: _Field, value: Any) -> str | None:
    # bool is a subclass of int, but true is not a number of slots.
    if not isinstance(value, field.types) or (
        isinstance(value, bool) and bool not in field.types
    ):
        return f"must be of type {' or '.join(kind.__name__ for kind in field.types)}"
    if isinstance(value, float) and not math.isfinite(value):
        return "must be a finite number"
    if isinstance(value, int) and abs(value) >= 2**53:
        return "is too large"
    return field.find_fault(value)


def _find_item_fault(item: NoteItem) -> str | None:
    if item.kind not in _FIELDS:
        return f"unknown kind; use one of {', '.join(_FIELDS)}"
    if item.action not in ACTIONS:
        return f"unknown action {item.action!r}; use one of {', '.join(ACTIONS)}"
    fault = _find_id_fault(item.item_id)
    if fault is not None:
        return f"id {fault}"
    fields = _FIELDS[item.kind]
    if item.action == "withdraw":
        return "a withdrawal has no fields; remove them" if item.values else None
    if item.action == "change" and not item.values:
        return "a change needs at least one field"
    for name, value in item.values.items():
        if name not in fields:
            return f"unknown field {name}; use some of {', '.join(fields)}"
        fault = _find_value_fault(fields[name], value)
        if fault is not None:
            return f"{name} {fault}, not {value!r}"
    if item.action == "add":
        for name, field in fields.items():
            if field.is_required and name not in item.values:
                return f"field {name} is missing; add it"
    return None


def check_form(note: Note) -> NoteRefused | None:
    """
    Check what can be told without a configuration.

    :param note: note to check.
    :returns: None, or a refusal that names the item and what to do.
    """
    for name, value in (("id", note.note_id), ("author", note.author)):
        fault = _find_id_fault(value) if name == "id" else None
        if fault is not None or not value.strip():
            return NoteRefused(f"{name} {fault or 'is empty; set it'}")
    if note.base is not None and not 0 <= note.base < 2**53:
        return NoteRefused("base must be the sequence number of a note, or 0")
    if not note.items:
        return NoteRefused("the note has no items; add at least one")
    seen = set()
    for item in note.items:
        fault = _find_item_fault(item)
        if fault is None and (item.kind, item.item_id) in seen:
            fault = "named by two items of the note; merge them"
        if fault is not None:
            return NoteRefused(f"{item.kind} {item.item_id}: {fault}")
        seen.add((item.kind, item.item_id))
    return None


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
        self.touched: dict[str, dict[str, Entry | None]] = {
            kind: {} for kind in _FIELDS
        }
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


# Rows


class HeadValue(TypedDict):
    """Value of row ``head``."""

    sequence: int


class NoteValue(TypedDict):
    """Value of a row ``note/<sequence>``."""

    sequence: int
    digest: str
    note: dict[str, Any]


class NoteIdValue(TypedDict):
    """Value of a row ``note-id/<id>``."""

    sequence: int
    digest: str
    submission: str


def note_key(sequence: int) -> str:
    """
    Name the row of a note.

    :param sequence: sequence number of the note.
    :returns: a key whose order is the order of the notes.
    """
    return f"{NOTES_PREFIX}{sequence:012d}"


def note_id_key(note_id: str) -> str:
    """
    Name the row that tells whether a note id is taken.

    :param note_id: id of the note.
    :returns: key of the row.
    """
    return f"note-id/{note_id}"


def plan_append(
    head_version: int,
    head_sequence: int,
    note: Note,
    body: dict[str, Any],
    digest: str,
    submission_id: str,
) -> TableTransaction:
    """
    Plan the transaction that accepts a note.

    :param head_version: version of row ``head``, 0 if it is absent.
    :param head_sequence: sequence number in that version, 0 if absent.
    :param note: note to append.
    :param body: the note as the table keeps it.
    :param digest: digest of the note's text.
    :param submission_id: unique id of the submission.
    :returns: a transaction that changes nothing once the head has moved.
    """
    sequence = head_sequence + 1
    id_key = note_id_key(note.note_id)
    return TableTransaction(
        f"{submission_id}-{head_version}",
        (RowCheck(HEAD_KEY, head_version), RowCheck(id_key, 0)),
        (
            RowPut(HEAD_KEY, dict(HeadValue(sequence=sequence))),
            RowPut(
                note_key(sequence),
                dict(NoteValue(sequence=sequence, digest=digest, note=body)),
            ),
            RowPut(
                id_key,
                dict(
                    NoteIdValue(
                        sequence=sequence, digest=digest, submission=submission_id
                    )
                ),
            ),
        ),
    )


# A submission


class Submission(NamedTuple):
    """
    State of one submission.

    ``baseline`` is the sequence number after which notes may conflict, None
    before the first read of the head. ``is_append_open`` tells that an append
    on ``head_version`` may have taken effect or still may.
    """

    submission_id: str
    note: Note
    body: dict[str, Any]
    digest: str
    deadline_ms: float
    baseline: int | None = None
    head_version: int = 0
    head_sequence: int = 0
    is_append_open: bool = False
    failures: int = 0


class HeadReadNeeded(NamedTuple):
    """Step: read row ``head``, after a delay."""

    delay_ms: float = 0.0


class NoteIdReadNeeded(NamedTuple):
    """Step: read row ``note-id/<id>``, after a delay."""

    delay_ms: float = 0.0


class CatchUpNeeded(NamedTuple):
    """Step: learn the notes after ``after`` up to ``sequence``."""

    after: int
    sequence: int


class AppendNeeded(NamedTuple):
    """Step: send the transaction, after a delay."""

    transaction: TableTransaction
    delay_ms: float = 0.0


class Decided(NamedTuple):
    """Step: tell the submitter."""

    result: NoteAccepted | NoteRefused | NoteOutcomeUnknown


Step = HeadReadNeeded | NoteIdReadNeeded | CatchUpNeeded | AppendNeeded | Decided
Advanced = tuple[Submission, Step]


def _retry(submission: Submission, now_ms: float, step: Step) -> Advanced:
    delay_ms = min(RETRY_MAX_MS, RETRY_MIN_MS * 2**submission.failures)
    if now_ms + delay_ms > submission.deadline_ms:
        return submission, Decided(expire(submission))
    submission = submission._replace(failures=submission.failures + 1)
    return submission, step._replace(delay_ms=delay_ms)


def expire(submission: Submission) -> NoteOutcomeUnknown:
    """
    Tell what is known when time is up.

    The result is never a refusal: even where this submission has written
    nothing, another one of the same note may have.

    :param submission: submission without a decision.
    :returns: what to report.
    """
    if submission.is_append_open:
        return NoteOutcomeUnknown(
            "the table service did not confirm the write, which may still take "
            "effect; submit the same note again to learn its outcome"
        )
    return NoteOutcomeUnknown(
        "the table service did not answer in time and this submission has written "
        "nothing; submit the same note again"
    )


def _plan(submission: Submission) -> AppendNeeded:
    return AppendNeeded(
        plan_append(
            submission.head_version,
            submission.head_sequence,
            submission.note,
            submission.body,
            submission.digest,
            submission.submission_id,
        )
    )


def _with_head(submission: Submission, head: Row | None) -> Submission:
    version, sequence = (head.version, head.value["sequence"]) if head else (0, 0)
    baseline = submission.baseline
    if baseline is None:
        baseline = sequence if submission.note.base is None else submission.note.base
    return submission._replace(
        baseline=baseline,
        head_version=version,
        head_sequence=sequence,
        is_append_open=False,
        failures=0,
    )


def _catch_up(submission: Submission) -> Advanced:
    baseline = submission.baseline or 0
    sequence = submission.head_sequence
    if baseline > sequence:
        return submission, Decided(
            NoteRefused(f"base {baseline} is above the head {sequence}; correct it")
        )
    if sequence - baseline > BASE_AGE_MAX:
        return submission, Decided(
            NoteRefused(
                f"base {baseline} is more than {BASE_AGE_MAX} notes behind the head "
                f"{sequence}; write the note against a newer one"
            )
        )
    return submission, CatchUpNeeded(baseline, sequence)


def _decide_by_row(submission: Submission, row: Row) -> Decided:
    if row.value["digest"] != submission.digest:
        return Decided(
            NoteRefused(
                f"id {submission.note.note_id} is taken by note "
                f"{row.value['sequence']} with a different text; use another id"
            )
        )
    is_repeated = row.value["submission"] != submission.submission_id
    return Decided(NoteAccepted(row.value["sequence"], is_repeated))


def after_head_read(
    submission: Submission, result: Row | RowAbsent | TableUnavailable, now_ms: float
) -> Advanced:
    """
    Go on after row ``head`` was read; no append is open then.

    :param submission: state before.
    :param result: what the read gave.
    :param now_ms: monotonic time in milliseconds.
    :returns: state after, and the next step.
    """
    if isinstance(result, TableUnavailable):
        return _retry(submission, now_ms, HeadReadNeeded())
    head = result if isinstance(result, Row) else None
    return _with_head(submission, head), NoteIdReadNeeded()


def after_note_id_read(
    submission: Submission, result: Row | RowAbsent | TableUnavailable, now_ms: float
) -> Advanced:
    """
    Go on after row ``note-id/<id>`` was read.

    :param submission: state before.
    :param result: what the read gave.
    :param now_ms: monotonic time in milliseconds.
    :returns: state after, and the next step.
    """
    if isinstance(result, TableUnavailable):
        return _retry(submission, now_ms, NoteIdReadNeeded())
    if isinstance(result, Row):
        return submission, _decide_by_row(submission, result)
    if submission.is_append_open:
        # The append may still arrive; the same one again settles it.
        return _retry(submission, now_ms, _plan(submission))
    return _catch_up(submission)


def after_catch_up(
    submission: Submission,
    configuration: Configuration,
    refused: NoteRefused | None,
    conflict: Conflict | None,
    now_ms: float,
) -> Advanced:
    """
    Go on after the notes up to the head were learnt.

    :param submission: state before.
    :param configuration: configuration of this instance, at or above the
        head that was read.
    :param refused: result of :func:`check_note` at that configuration.
    :param conflict: result of :func:`find_conflict` for the notes after the
        baseline.
    :param now_ms: monotonic time in milliseconds.
    :returns: state after, and the next step.
    """
    if configuration.sequence != submission.head_sequence:
        return _retry(submission, now_ms, HeadReadNeeded())
    if conflict is not None:
        return submission, Decided(
            NoteRefused(
                f"{conflict.kind} {conflict.item_id}: note {conflict.sequence} "
                f"({conflict.note_id}) touches it too; look at that note and submit "
                "a new one"
            )
        )
    if refused is not None:
        return submission, Decided(refused)
    return submission, _plan(submission)


def after_append(
    submission: Submission,
    result: Committed | Mismatched | TableUnavailable,
    now_ms: float,
) -> Advanced:
    """
    Go on after an append.

    :param submission: state before.
    :param result: what the table service said.
    :param now_ms: monotonic time in milliseconds.
    :returns: state after, and the next step.
    """
    if isinstance(result, Committed):
        return submission, Decided(NoteAccepted(submission.head_sequence + 1, False))
    if isinstance(result, Mismatched):
        row = result.rows.get(note_id_key(submission.note.note_id))
        if row is not None:
            return submission, _decide_by_row(submission, row)
        if HEAD_KEY not in result.rows:
            return _retry(submission, now_ms, NoteIdReadNeeded())
        # The head has moved and the note id is absent, both at one moment:
        # no append on the old head can take effect any more.
        return _catch_up(_with_head(submission, result.rows[HEAD_KEY]))
    if result.is_maybe_applied:
        submission = submission._replace(is_append_open=True)
    if submission.is_append_open:
        return _retry(submission, now_ms, NoteIdReadNeeded())
    return _retry(submission, now_ms, _plan(submission))
