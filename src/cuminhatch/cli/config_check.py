"""Command that checks a configuration before it is sent."""

import re
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from cuminhatch.cli.plans import (
    EXIT_FAILED,
    EXIT_SUCCESS,
    CommandError,
    Options,
    Output,
    Plan,
)
from cuminhatch.codecs.note_toml import parse_note
from cuminhatch.decisions.configuration_changes import find_changes
from cuminhatch.decisions.configuration_check import (
    CHANGE,
    ERROR,
    LEVELS,
    WARNING,
    CheckLimits,
    Draft,
    Finding,
    check_draft,
    check_versions,
    format_path,
    list_names,
)
from cuminhatch.decisions.notes import check_note_fields
from cuminhatch.errors import CodecError
from cuminhatch.platform.documents import DocumentError
from cuminhatch.platform.drafts import name_fields, read_draft

NOTE_SUFFIX = ".toml"
DOCUMENT_SUFFIX = ".json"
TITLES = {ERROR: "errors", WARNING: "warnings", CHANGE: "changes"}


REFUSED = "instances refuse the document as a whole"
NOTHING_CHANGES = "the version in force stays"


class Checked(NamedTuple):
    """Findings in the order of the document, and names of entries by place."""

    findings: list[Finding]
    names: Mapping[str, str]


def plan_config_check(options: Options, arguments: list[str]) -> Plan:
    """
    Return the plan that checks a configuration or a note without a daemon.

    :param options: values of the flags: the file in force, the limits to check
        against, and whether warnings fail.
    :param arguments: name of the file.
    :raises CommandError: not exactly one file is given, a file cannot be read,
        or the one in force is no configuration.
    """
    if len(arguments) != 1:
        raise CommandError("config check: expected exactly one file")
    file_name = arguments[0]
    data = _read_file(file_name)
    if _is_note(file_name, data):
        if options.in_force:
            raise CommandError(f"--in-force: {file_name} is a release note")
        checked = _check_note(file_name, data)
    else:
        limits = CheckLimits(options.resend_ratio, options.quota_window_s)
        in_force = _read_in_force(options.in_force) if options.in_force else None
        checked = check_document(data, in_force, limits)
    output = _make_output(file_name, checked, options)
    return Plan((), False, lambda _: output)


def _read_file(file_name: str) -> bytes:
    try:
        return Path(file_name).read_bytes()
    except OSError as error:
        raise CommandError(f"{file_name}: {error.strerror}") from error


def _is_note(file_name: str, data: bytes) -> bool:
    suffix = Path(file_name).suffix
    if suffix in (NOTE_SUFFIX, DOCUMENT_SUFFIX):
        return suffix == NOTE_SUFFIX
    # A note begins with a key, a table or a comment.
    first = data.lstrip()[:1]
    return first == b"#" or first.isalpha() or data.lstrip()[:2] == b"[["


def _refuse(message: str) -> Checked:
    return Checked([Finding(ERROR, "", "", "", message)], {})


def _check_note(file_name: str, data: bytes) -> Checked:
    try:
        note = parse_note(data.decode(), file_name)
    except UnicodeDecodeError:
        return _refuse("not UTF-8 text")
    except CodecError as error:
        return _refuse(str(error).removeprefix(f"{file_name}: "))
    refused = check_note_fields(note)
    return Checked([], {}) if refused is None else _refuse(refused.reason)


def check_document(data: bytes, in_force: Draft | None, limits: CheckLimits) -> Checked:
    """
    Check a configuration.

    :param data: document to check.
    :param in_force: entries in force, None to leave out what changes.
    :param limits: settings of the instances.
    """
    try:
        draft, read_findings, is_accepted = read_draft(data)
    except DocumentError as error:
        return _refuse(f"{error}; {NOTHING_CHANGES}")
    findings = [*read_findings, *check_draft(draft, limits)]
    if in_force is not None:
        findings += check_versions(draft, in_force)
    if not is_accepted:
        findings.append(Finding(ERROR, "", "", "", f"{REFUSED}; {NOTHING_CHANGES}"))
    elif in_force is not None:
        findings += find_changes(draft, in_force)
    findings.sort(key=_get_position)
    return Checked(name_fields(findings), list_names(draft))


def _read_in_force(file_name: str) -> Draft:
    try:
        current = read_draft(_read_file(file_name))
    except DocumentError as error:
        raise CommandError(f"--in-force: {file_name}: {error}") from error
    if not current.is_accepted:
        raise CommandError(f"--in-force: {file_name}: instances refuse this document")
    return current.draft


def _get_position(finding: Finding) -> list[str | int]:
    """Return a sort key by which ``routes[10]`` follows ``routes[9]``."""
    texts = re.split(r"([0-9]+)", finding.place)
    return [int(text) if index % 2 else text for index, text in enumerate(texts)]


def _make_output(file_name: str, checked: Checked, options: Options) -> Output:
    findings = checked.findings
    levels = [finding.level for finding in findings]
    is_failed = ERROR in levels or (options.is_strict and WARNING in levels)
    lines = []
    for level in LEVELS:
        group = [finding for finding in findings if finding.level == level]
        if group:
            lines.append(f"{TITLES[level]}:")
            lines += [
                f"  {_format_finding(finding, checked.names)}" for finding in group
            ]
    lines.append(f"{file_name}: {_count(levels, options)}")
    status = EXIT_FAILED if is_failed else EXIT_SUCCESS
    values = [_make_value(finding, checked.names) for finding in findings]
    return Output("\n".join(lines), values, status)


def _count(levels: Sequence[str], options: Options) -> str:
    counts = []
    for level in LEVELS:
        number = levels.count(level)
        if level != CHANGE or options.in_force:
            counts.append(f"{number} {level if number == 1 else TITLES[level]}")
    return ", ".join(counts)


def _find_name(finding: Finding, names: Mapping[str, str]) -> str:
    """Return the name of the entry that a finding is about, if it has one."""
    # A place within an entry, such as a part of a split, begins with it.
    return names.get(finding.place.partition(".")[0], "")


def _format_finding(finding: Finding, names: Mapping[str, str]) -> str:
    path = format_path(finding)
    subject = " = ".join(text for text in (path, finding.value) if text)
    name = _find_name(finding, names)
    if name and name != finding.value:
        subject += f" ({name})"
    line = f"{subject}: {finding.message}" if subject else finding.message
    return f"{line} ({finding.hint})" if finding.hint else line


def _make_value(finding: Finding, names: Mapping[str, str]) -> dict[str, Any]:
    # Entries that were removed have no place; their value is their name.
    return {
        "level": finding.level,
        "path": format_path(finding),
        "name": _find_name(finding, names) or None,
        "value": finding.value or None,
        "message": finding.message,
        "hint": finding.hint or None,
    }
