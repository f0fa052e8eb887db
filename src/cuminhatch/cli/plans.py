"""
Commands as data: requests to daemons, and formatting of the replies.

A :class:`Plan` opens no sockets: ``PlanRunner`` sends its requests.
"""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import urlencode

import orjson

from cuminhatch.address import Address
from cuminhatch.cli.tables import format_events, format_notes, format_table
from cuminhatch.codecs.note_toml import parse_note
from cuminhatch.decisions.notes import Note, check_note_fields
from cuminhatch.errors import CodecError, CuminhatchError

EXIT_SUCCESS = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_OUTCOME_UNKNOWN = 3


class CommandError(CuminhatchError):
    """A flag, an argument or a file is invalid; the text is one line."""


class ApiRequest(NamedTuple):
    """Request to the operators' API of a daemon."""

    daemon: Address
    method: bytes
    target: bytes
    body: bytes = b""


class ApiReply(NamedTuple):
    """Reply of a daemon; ``value`` is the decoded body."""

    daemon: Address
    status: int
    value: Any


class ApiFailed(NamedTuple):
    """
    The daemon did not reply.

    ``is_sent`` is set if it may have received the request.
    """

    daemon: Address
    reason: str
    is_sent: bool


class Output(NamedTuple):
    """Output of a command as text and as JSON value, and exit status."""

    text: str
    value: Any
    status: int


class Plan(NamedTuple):
    """
    Requests of a command and the function that formats the replies.

    With ``is_failover`` the requests are alternatives: the next one is sent
    only if no byte of the previous one was sent. Otherwise all are sent at
    once.
    """

    requests: tuple[ApiRequest, ...]
    is_failover: bool
    make_output: Callable[[Sequence[ApiReply | ApiFailed]], Output]


class Options(NamedTuple):
    """
    Values of the flags that commands use.

    ``loss_group`` is what losses are counted by, one of ``LOSS_GROUPS``.
    ``in_force`` names the file of the configuration in force, empty for none;
    with ``is_strict`` warnings fail a check. ``resend_ratio`` and
    ``quota_window_s`` are settings that a configuration is checked against.
    """

    daemons: tuple[Address, ...]
    request_id: str
    note_sequence: int
    limit: int
    loss_group: str = "cause"
    in_force: str = ""
    is_strict: bool = False
    resend_ratio: float = 0.1
    quota_window_s: float = 5.0


LOSS_GROUPS = ("cause", "team")
PlanMaker = Callable[[Options, list[str]], Plan]


def format_address(daemon: Address) -> str:
    """
    Format an address as host and port.

    :param daemon: address of a daemon's operators' API.
    """
    return f"{daemon.host}:{daemon.port}"


def _describe_missing_reply(failed: ApiFailed) -> str:
    return f"{format_address(failed.daemon)}: {failed.reason}; is the daemon running?"


def _describe_error(reply: ApiReply | ApiFailed) -> str:
    if isinstance(reply, ApiFailed):
        return _describe_missing_reply(reply)
    value = reply.value if isinstance(reply.value, dict) else {}
    reason = value.get("error") or value.get("reason") or f"status {reply.status}"
    return f"{format_address(reply.daemon)}: {reason}"


def _split_replies(
    replies: Sequence[ApiReply | ApiFailed],
) -> tuple[list[ApiReply], list[str]]:
    succeeded = [r for r in replies if isinstance(r, ApiReply) and r.status == 200]
    errors = [_describe_error(r) for r in replies if r not in succeeded]
    return succeeded, errors


def _combine_replies(
    replies: Sequence[ApiReply | ApiFailed],
    make_text: Callable[[list[ApiReply]], str],
    make_value: Callable[[list[ApiReply]], Any],
) -> Output:
    succeeded, errors = _split_replies(replies)
    lines = [make_text(succeeded)] if succeeded else []
    text = "\n".join(lines + [f"error: {line}" for line in errors])
    value = {"result": make_value(succeeded), "errors": errors}
    return Output(text, value, EXIT_FAILED if errors else EXIT_SUCCESS)


def _reject_arguments(arguments: list[str]) -> None:
    if arguments:
        raise CommandError(f"unexpected argument {arguments[0]}; see --help")


def _read_note_file(arguments: list[str]) -> tuple[str, str]:
    if len(arguments) != 1:
        raise CommandError("expected exactly one note file")
    file_name = arguments[0]
    try:
        return file_name, Path(file_name).read_text()
    except OSError as error:
        raise CommandError(f"{file_name}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise CommandError(f"{file_name}: not UTF-8 text") from error


def _load_note(text: str, file_name: str) -> Note:
    """
    Parse a note and check its fields.

    :param text: content of the note file.
    :param file_name: name of the file, for error messages.
    :raises CommandError: the text is not a valid note.
    """
    try:
        note = parse_note(text, file_name)
    except CodecError as error:
        raise CommandError(str(error)) from error
    refused = check_note_fields(note)
    if refused is not None:
        raise CommandError(f"{file_name}: {refused.reason}")
    return note


def plan_note_check(options: Options, arguments: list[str]) -> Plan:
    """
    Return the plan that validates a note file without a daemon.

    :param options: values of the flags.
    :param arguments: name of the note file.
    :raises CommandError: not exactly one file is given, or it cannot be read.
    """
    file_name, text = _read_note_file(arguments)

    def make_output(_: Sequence[ApiReply | ApiFailed]) -> Output:
        try:
            note = _load_note(text, file_name)
        except CommandError as error:
            reason = str(error)
            return Output(f"error: {reason}", {"error": reason}, EXIT_FAILED)
        value = {"id": note.note_id, "items": len(note.items)}
        summary = f"{file_name}: note {note.note_id} with {len(note.items)} items"
        return Output(summary, value, EXIT_SUCCESS)

    return Plan((), False, make_output)


def plan_note_submit(options: Options, arguments: list[str]) -> Plan:
    """
    Return the plan that submits a note to the first reachable daemon.

    :param options: values of the flags.
    :param arguments: name of the note file.
    :raises CommandError: not exactly one file is given, or it cannot be read
        or is not a valid note.
    """
    file_name, text = _read_note_file(arguments)
    note = _load_note(text, file_name)

    def make_output(replies: Sequence[ApiReply | ApiFailed]) -> Output:
        return _make_submission_output(note.note_id, replies[-1])

    requests = tuple(
        ApiRequest(daemon, b"POST", b"/notes", text.encode())
        for daemon in options.daemons
    )
    return Plan(requests, True, make_output)


def _make_submission_output(note_id: str, reply: ApiReply | ApiFailed) -> Output:
    value = getattr(reply, "value", None)
    outcome = value.get("outcome") if isinstance(value, dict) else None
    if outcome == "accepted":
        suffix = " (it was accepted before)" if value["repeated"] else ""
        text = f"note {note_id} accepted as number {value['sequence']}{suffix}"
        return Output(text, value, EXIT_SUCCESS)
    if outcome == "unknown" or (isinstance(reply, ApiFailed) and reply.is_sent):
        text = (
            f"note {note_id}: outcome unknown ({_describe_error(reply)}); submit the "
            "same file again, it is accepted at most once"
        )
        return Output(text, {"outcome": "unknown"}, EXIT_OUTCOME_UNKNOWN)
    reason = _describe_error(reply)
    text = f"error: note {note_id} not accepted: {reason}"
    return Output(text, {"outcome": "refused", "reason": reason}, EXIT_FAILED)


def plan_note_show(options: Options, arguments: list[str]) -> Plan:
    """
    Return the plan that shows the configuration in force on one daemon.

    :param options: values of the flags.
    :param arguments: none.
    """
    _reject_arguments(arguments)

    def make_text(replies: list[ApiReply]) -> str:
        return orjson.dumps(replies[0].value, option=orjson.OPT_INDENT_2).decode()

    def make_output(replies: Sequence[ApiReply | ApiFailed]) -> Output:
        return _combine_replies(
            replies[-1:], make_text, lambda succeeded: succeeded and succeeded[0].value
        )

    requests = tuple(
        ApiRequest(daemon, b"GET", b"/configuration") for daemon in options.daemons
    )
    return Plan(requests, True, make_output)


def plan_note_history(options: Options, arguments: list[str]) -> Plan:
    """
    Return the plan that lists the accepted notes that one daemon knows.

    :param options: values of the flags; only notes with a sequence number
        above ``note_sequence`` are listed.
    :param arguments: none.
    """
    _reject_arguments(arguments)
    query = urlencode({"after": options.note_sequence, "limit": options.limit})

    def make_output(replies: Sequence[ApiReply | ApiFailed]) -> Output:
        return _combine_replies(
            replies[-1:],
            lambda succeeded: format_notes(succeeded[0].value["notes"]),
            lambda succeeded: succeeded and succeeded[0].value["notes"],
        )

    requests = tuple(
        ApiRequest(daemon, b"GET", f"/notes?{query}".encode())
        for daemon in options.daemons
    )
    return Plan(requests, True, make_output)


def plan_status(options: Options, arguments: list[str]) -> Plan:
    """
    Return the plan that shows the status of all daemons in ``options``.

    :param options: values of the flags.
    :param arguments: none.
    """
    _reject_arguments(arguments)

    def make_text(replies: list[ApiReply]) -> str:
        rows = [
            [
                format_address(reply.daemon),
                reply.value["instance"],
                "ready" if reply.value["parts"]["readiness"]["ready"] else "not ready",
                str(reply.value["note_sequence"]),
                str(reply.value["backend_servers"]),
                "; ".join(reply.value["parts"]["readiness"]["not_ready"].values()),
            ]
            for reply in replies
        ]
        columns = ["daemon", "instance", "state", "note", "backend servers", "why"]
        return format_table(columns, rows)

    def make_output(replies: Sequence[ApiReply | ApiFailed]) -> Output:
        return _combine_replies(
            replies, make_text, lambda succeeded: [r.value for r in succeeded]
        )

    requests = tuple(
        ApiRequest(daemon, b"GET", b"/status") for daemon in options.daemons
    )
    return Plan(requests, False, make_output)


def plan_timeline(options: Options, arguments: list[str]) -> Plan:
    """
    Return the plan that shows the events of all daemons in ``options``.

    Events are in the order of their hybrid-clock timestamps.

    :param options: values of the flags; ``request_id`` and ``note_sequence``
        filter the events.
    :param arguments: none.
    """
    _reject_arguments(arguments)
    query = urlencode(
        {
            "request_id": options.request_id,
            "note": options.note_sequence,
            "limit": options.limit,
        }
    )

    def merge(replies: list[ApiReply]) -> list[dict[str, Any]]:
        events = [event for reply in replies for event in reply.value["events"]]
        events.sort(key=lambda event: (event["stamp"], event["instance_id"]))
        return events[-options.limit :]

    def make_output(replies: Sequence[ApiReply | ApiFailed]) -> Output:
        return _combine_replies(
            replies, lambda succeeded: format_events(merge(succeeded)), merge
        )

    requests = tuple(
        ApiRequest(daemon, b"GET", f"/timeline?{query}".encode())
        for daemon in options.daemons
    )
    return Plan(requests, False, make_output)


def plan_drain(options: Options, arguments: list[str]) -> Plan:
    """
    Return the plan that drains one daemon, which then exits.

    :param options: values of the flags; exactly one daemon.
    :param arguments: none.
    :raises CommandError: no daemon or several daemons are given.
    """
    _reject_arguments(arguments)
    if len(options.daemons) != 1:
        raise CommandError("drain shuts down a daemon: give exactly one with --daemon")

    def make_output(replies: Sequence[ApiReply | ApiFailed]) -> Output:
        return _combine_replies(
            replies,
            lambda succeeded: f"{format_address(succeeded[0].daemon)}: draining",
            lambda succeeded: [reply.value for reply in succeeded],
        )

    return Plan(
        (ApiRequest(options.daemons[0], b"POST", b"/drain"),), False, make_output
    )
