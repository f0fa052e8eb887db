"""Command that checks a configuration before it is sent."""

import re
from collections.abc import Sequence
from pathlib import Path
from typing import Any

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
    Finding,
    check_draft,
    check_versions,
    format_path,
)
from cuminhatch.decisions.notes import check_note_fields
from cuminhatch.errors import CodecError
from cuminhatch.platform.documents import DocumentError
from cuminhatch.platform.drafts import name_fields, read_draft

NOTE_SUFFIX = ".toml"
DOCUMENT_SUFFIX = ".json"
TITLES = {ERROR: "errors", WARNING: "warnings", CHANGE: "changes"}


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
        findings = _check_note(file_name, data)
    else:
        limits = CheckLimits(options.resend_ratio, options.quota_window_s)
        findings = _check_document(file_name, data, options.in_force, limits)
    findings.sort(key=_get_position)
    output = _make_output(file_name, findings, options)
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


def _check_note(file_name: str, data: bytes) -> list[Finding]:
    try:
        note = parse_note(data.decode(), file_name)
    except UnicodeDecodeError:
        return [Finding(ERROR, "", "", "", "not UTF-8 text")]
    except CodecError as error:
        message = str(error).removeprefix(f"{file_name}: ")
        return [Finding(ERROR, "", "", "", message)]
    refused = check_note_fields(note)
    return [] if refused is None else [Finding(ERROR, "", "", "", refused.reason)]


def _check_document(
    file_name: str, data: bytes, in_force_name: str, limits: CheckLimits
) -> list[Finding]:
    in_force = None
    if in_force_name:
        try:
            in_force = read_draft(_read_file(in_force_name)).draft
        except DocumentError as error:
            raise CommandError(f"--in-force: {in_force_name}: {error}") from error
        if in_force.version is None:
            raise CommandError(f"--in-force: {in_force_name}: it has no valid version")
    try:
        draft, read_findings = read_draft(data)
    except DocumentError as error:
        return [Finding(ERROR, "", "", "", str(error))]
    findings = [*read_findings, *check_draft(draft, limits)]
    if in_force is not None:
        findings += check_versions(draft, in_force)
        findings += find_changes(draft, in_force)
    return name_fields(findings)


def _get_position(finding: Finding) -> list[str | int]:
    """Return a sort key by which ``routes[10]`` follows ``routes[9]``."""
    texts = re.split(r"([0-9]+)", finding.place)
    return [int(text) if index % 2 else text for index, text in enumerate(texts)]


def _make_output(
    file_name: str, findings: Sequence[Finding], options: Options
) -> Output:
    levels = [finding.level for finding in findings]
    is_failed = ERROR in levels or (options.is_strict and WARNING in levels)
    lines = []
    for level in LEVELS:
        group = [finding for finding in findings if finding.level == level]
        if group:
            lines.append(f"{TITLES[level]}:")
            lines += [f"  {_format_finding(finding)}" for finding in group]
    lines.append(f"{file_name}: {_count(levels, options)}")
    status = EXIT_FAILED if is_failed else EXIT_SUCCESS
    return Output("\n".join(lines), [_make_value(f) for f in findings], status)


def _count(levels: Sequence[str], options: Options) -> str:
    counts = []
    for level in LEVELS:
        number = levels.count(level)
        if level != CHANGE or options.in_force:
            counts.append(f"{number} {level if number == 1 else TITLES[level]}")
    return ", ".join(counts)


def _format_finding(finding: Finding) -> str:
    path = format_path(finding)
    subject = " = ".join(text for text in (path, finding.value) if text)
    line = f"{subject}: {finding.message}" if subject else finding.message
    return f"{line} ({finding.hint})" if finding.hint else line


def _make_value(finding: Finding) -> dict[str, Any]:
    return {
        "level": finding.level,
        "path": format_path(finding),
        "value": finding.value or None,
        "message": finding.message,
        "hint": finding.hint or None,
    }
