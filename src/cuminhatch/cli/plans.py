"""
What each command asks of the daemons and how it shows the replies.

A plan is data and functions; the ``command`` service carries it out.
"""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import urlencode

import orjson

from cuminhatch.address import Address
from cuminhatch.cli.tables import format_events, format_notes, format_table
from cuminhatch.codecs.note_toml import parse_note
from cuminhatch.decisions.notes import Note, check_form
from cuminhatch.errors import CodecError, CuminhatchError

STATUS_DONE = 0
STATUS_FAILED = 1
STATUS_USAGE = 2
STATUS_UNKNOWN = 3


class CommandError(CuminhatchError):
    """The command line, a file or a flag is wrong; one line says how."""


class ApiRequest(NamedTuple):
    """One request to the operators' port of a daemon."""

    daemon: Address
    method: bytes
    target: bytes
    body: bytes = b""


class ApiReply(NamedTuple):
    """The reply of a daemon."""

    daemon: Address
    status: int
    value: Any


class ApiFailed(NamedTuple):
    """Sentinel: no reply; ``is_sent`` tells whether the request had left."""

    daemon: Address
    reason: str
    is_sent: bool


class Output(NamedTuple):
    """What a command prints and its exit status."""

    text: str
    value: Any
    status: int


class Plan(NamedTuple):
    """
    Requests of a command and what to make of the replies.

    With ``is_first_only`` a further daemon is asked only if the request did
    not reach the one before.
    """

    requests: tuple[ApiRequest, ...]
    is_first_only: bool
    show: Callable[[Sequence[ApiReply | ApiFailed]], Output]


class Options(NamedTuple):
    """Flags that commands use."""

    daemons: tuple[Address, ...]
    request_id: str
    note_sequence: int
    limit: int


Maker = Callable[[Options, list[str]], Plan]


def name_of(daemon: Address) -> str:
    """
    Return the text form of an address.

    :param daemon: address of an operators' port.
    """
    return f"{daemon.host}:{daemon.port}"


def _describe(failed: ApiFailed) -> str:
    return f"{name_of(failed.daemon)}: {failed.reason}; is the daemon running?"


def _describe_error(reply: ApiReply | ApiFailed) -> str:
    if isinstance(reply, ApiFailed):
        return _describe(reply)
    value = reply.value if isinstance(reply.value, dict) else {}
    reason = value.get("error") or value.get("reason") or f"status {reply.status}"
    return f"{name_of(reply.daemon)}: {reason}"


def _split(
    replies: Sequence[ApiReply | ApiFailed],
) -> tuple[list[ApiReply], list[str]]:
    good = [r for r in replies if isinstance(r, ApiReply) and r.status == 200]
    bad = [_describe_error(r) for r in replies if r not in good]
    return good, bad


def _combine(
    replies: Sequence[ApiReply | ApiFailed],
    make_text: Callable[[list[ApiReply]], str],
    make_value: Callable[[list[ApiReply]], Any],
) -> Output:
    good, bad = _split(replies)
    lines = [make_text(good)] if good else []
    text = "\n".join(lines + [f"error: {line}" for line in bad])
    value = {"result": make_value(good), "errors": bad}
    return Output(text, value, STATUS_FAILED if bad else STATUS_DONE)


def _no_arguments(arguments: list[str]) -> None:
    if arguments:
        raise CommandError(f"unexpected argument {arguments[0]}; see --help")


def _read_note(arguments: list[str]) -> tuple[str, str]:
    if len(arguments) != 1:
        raise CommandError("name exactly one note file")
    file_name = arguments[0]
    try:
        return file_name, Path(file_name).read_text()
    except OSError as error:
        raise CommandError(f"{file_name}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise CommandError(f"{file_name}: not UTF-8 text") from error


def _load_note(text: str, file_name: str) -> Note:
    """
    Read a note and check its form.

    :param text: content of the file.
    :param file_name: name of the file, for errors.
    :raises CommandError: it is not a note; one line says why.
    """
    try:
        note = parse_note(text, file_name)
    except CodecError as error:
        raise CommandError(str(error)) from error
    refused = check_form(note)
    if refused is not None:
        raise CommandError(f"{file_name}: {refused.reason}")
    return note


def plan_note_check(options: Options, arguments: list[str]) -> Plan:
    """
    Check a note file without a daemon.

    :param options: flags.
    :param arguments: name of the file.
    :raises CommandError: the file cannot be read.
    """
    file_name, text = _read_note(arguments)

    def show(_: Sequence[ApiReply | ApiFailed]) -> Output:
        try:
            note = _load_note(text, file_name)
        except CommandError as error:
            reason = str(error)
            return Output(f"error: {reason}", {"error": reason}, STATUS_FAILED)
        value = {"id": note.note_id, "items": len(note.items)}
        text_line = f"{file_name}: note {note.note_id} with {len(note.items)} items"
        return Output(text_line, value, STATUS_DONE)

    return Plan((), False, show)


def plan_note_submit(options: Options, arguments: list[str]) -> Plan:
    """
    Submit a note to the first daemon that can be reached.

    :param options: flags.
    :param arguments: name of the file.
    :raises CommandError: the file cannot be read or is not a note.
    """
    file_name, text = _read_note(arguments)
    note = _load_note(text, file_name)

    def show(replies: Sequence[ApiReply | ApiFailed]) -> Output:
        return _show_submission(note.note_id, replies[-1])

    requests = tuple(
        ApiRequest(daemon, b"POST", b"/notes", text.encode())
        for daemon in options.daemons
    )
    return Plan(requests, True, show)


def _show_submission(note_id: str, reply: ApiReply | ApiFailed) -> Output:
    value = getattr(reply, "value", None)
    outcome = value.get("outcome") if isinstance(value, dict) else None
    if outcome == "accepted":
        again = " (it was accepted before)" if value["repeated"] else ""
        text = f"note {note_id} accepted as number {value['sequence']}{again}"
        return Output(text, value, STATUS_DONE)
    if outcome == "unknown" or (isinstance(reply, ApiFailed) and reply.is_sent):
        text = (
            f"note {note_id}: outcome unknown ({_describe_error(reply)}); submit the "
            "same file again, which cannot accept it twice"
        )
        return Output(text, {"outcome": "unknown"}, STATUS_UNKNOWN)
    reason = _describe_error(reply)
    text = f"error: note {note_id} not accepted: {reason}"
    return Output(text, {"outcome": "refused", "reason": reason}, STATUS_FAILED)


def plan_note_show(options: Options, arguments: list[str]) -> Plan:
    """
    Show the configuration in force on one daemon.

    :param options: flags.
    :param arguments: none.
    """
    _no_arguments(arguments)

    def make_text(replies: list[ApiReply]) -> str:
        return orjson.dumps(replies[0].value, option=orjson.OPT_INDENT_2).decode()

    def show(replies: Sequence[ApiReply | ApiFailed]) -> Output:
        return _combine(replies[-1:], make_text, lambda good: good and good[0].value)

    requests = tuple(
        ApiRequest(daemon, b"GET", b"/configuration") for daemon in options.daemons
    )
    return Plan(requests, True, show)


def plan_note_history(options: Options, arguments: list[str]) -> Plan:
    """
    List accepted notes.

    :param options: flags; ``note_sequence`` is where the list starts after.
    :param arguments: none.
    """
    _no_arguments(arguments)
    query = urlencode({"after": options.note_sequence, "limit": options.limit})

    def show(replies: Sequence[ApiReply | ApiFailed]) -> Output:
        return _combine(
            replies[-1:],
            lambda good: format_notes(good[0].value["notes"]),
            lambda good: good and good[0].value["notes"],
        )

    requests = tuple(
        ApiRequest(daemon, b"GET", f"/notes?{query}".encode())
        for daemon in options.daemons
    )
    return Plan(requests, True, show)


def plan_status(options: Options, arguments: list[str]) -> Plan:
    """
    Show the status of all daemons.

    :param options: flags.
    :param arguments: none.
    """
    _no_arguments(arguments)

    def make_text(replies: list[ApiReply]) -> str:
        rows = [
            [
                name_of(reply.daemon),
                reply.value["instance"],
                "ready" if reply.value["parts"]["readiness"]["ready"] else "not ready",
                str(reply.value["note_sequence"]),
                str(reply.value["backend_servers"]),
                "; ".join(reply.value["parts"]["readiness"]["not_ready"].values()),
            ]
            for reply in replies
        ]
        heads = ["daemon", "instance", "state", "note", "backend servers", "why"]
        return format_table(heads, rows)

    def show(replies: Sequence[ApiReply | ApiFailed]) -> Output:
        return _combine(replies, make_text, lambda good: [r.value for r in good])

    requests = tuple(
        ApiRequest(daemon, b"GET", b"/status") for daemon in options.daemons
    )
    return Plan(requests, False, show)


def plan_timeline(options: Options, arguments: list[str]) -> Plan:
    """
    Merge the events of all daemons.

    :param options: flags; ``request_id`` or ``note_sequence`` select.
    :param arguments: none.
    """
    _no_arguments(arguments)
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

    def show(replies: Sequence[ApiReply | ApiFailed]) -> Output:
        return _combine(replies, lambda good: format_events(merge(good)), merge)

    requests = tuple(
        ApiRequest(daemon, b"GET", f"/timeline?{query}".encode())
        for daemon in options.daemons
    )
    return Plan(requests, False, show)


def plan_drain(options: Options, arguments: list[str]) -> Plan:
    """
    Drain one daemon.

    :param options: flags; exactly one daemon.
    :param arguments: none.
    :raises CommandError: not exactly one daemon is named.
    """
    _no_arguments(arguments)
    if len(options.daemons) != 1:
        raise CommandError("drain stops a daemon: name exactly one with --daemon")

    def show(replies: Sequence[ApiReply | ApiFailed]) -> Output:
        return _combine(
            replies,
            lambda good: f"{name_of(good[0].daemon)}: draining",
            lambda good: [reply.value for reply in good],
        )

    return Plan((ApiRequest(options.daemons[0], b"POST", b"/drain"),), False, show)
