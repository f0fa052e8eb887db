"""
What happened to a request, told from the lines of the event logs.

Lines of different instances are never ordered by their wall clocks. All lines
of one request come from one instance and are ordered by its monotonic clock;
what that instance noticed meanwhile about the servers used is told with them.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

Line = Mapping[str, Any]

# Events about servers and dependencies that may explain a request.
CONTEXT_EVENTS = frozenset(
    {
        "server_gone",
        "server_changed",
        "server_silent",
        "server_health_changed",
        "store_lost",
        "store_regained",
        "configuration_in_force",
        "drain_announced",
    }
)
# A server that was noticed as gone or silent shortly before or after explains
# the request as well.
CONTEXT_MS = 2_000.0


class Explanation(NamedTuple):
    """Sentences about one request on one instance, in order."""

    instance: str
    sentences: tuple[str, ...]


class NotFound(NamedTuple):
    """Sentinel: no line names the request."""

    reason: str


def explain_request(
    request_id: str, lines: Iterable[Line]
) -> tuple[Explanation, ...] | NotFound:
    """
    Tell what happened to a request.

    :param request_id: the caller's id of the request.
    :param lines: lines of the logs of any instances, in any order.
    :returns: one explanation for each instance that had the request.
    """
    by_instance: dict[str, list[Line]] = {}
    for line in lines:
        by_instance.setdefault(line["instance"], []).append(line)
    found = []
    for instance, all_lines in sorted(by_instance.items()):
        own = [line for line in all_lines if line.get("request") == request_id]
        if own:
            found.append(_explain_on(instance, own, all_lines))
    if not found:
        return NotFound(f"no line names {request_id}; are all instances' logs given?")
    return tuple(found)


def _explain_on(
    instance: str, own: list[Line], all_lines: Sequence[Line]
) -> Explanation:
    own.sort(key=_time_of)
    start_ms, end_ms = _time_of(own[0]), _time_of(own[-1])
    servers = {line["server"] for line in own if "server" in line}
    context = [
        line
        for line in all_lines
        if line["event"] in CONTEXT_EVENTS
        and start_ms - CONTEXT_MS <= _time_of(line) <= end_ms + CONTEXT_MS
        and ("server" not in line or line["server"] in servers)
    ]
    merged = sorted([*own, *context], key=_time_of)
    sentences = [_tell(line, start_ms) for line in merged]
    if not any(line["event"] in _ENDS for line in own):
        sentences.append("The log holds no end: it was thinned, or the process ended.")
    return Explanation(instance, tuple(sentences))


def _time_of(line: Line) -> float:
    return line["now_ms"]


def _tell(line: Line, start_ms: float) -> str:
    tell = _SENTENCES.get(line["event"], _tell_other)
    return f"{_time_of(line) - start_ms:+9.1f} ms  {tell(line)}"


def _tell_other(line: Line) -> str:
    details = {
        name: value
        for name, value in line.items()
        if name not in ("wall_ms", "now_ms", "instance", "part", "event")
    }
    what = line["event"].replace("_", " ")
    told = ", ".join(f"{name} {value}" for name, value in details.items())
    return f"meanwhile {what}: {told}" if told else f"meanwhile {what}"


def _tell_received(line: Line) -> str:
    return (
        f"received for rule {line['rule']}, service {line['service']}, configuration "
        f"{line['configuration']}; the caller waits {line['budget_ms']:.0f} ms"
    )


def _tell_placed(line: Line) -> str:
    where = "near" if line["is_near"] else "far"
    how = "sent beside the first" if line["is_hedge"] else f"send {line['send']}"
    load = "its load unknown"
    if "running" in line:
        load = (
            f"{line['running']} running and {line['waiting']} waiting, slowdown "
            f"{line['slowdown']}, seen {line['load_age_ms']} ms before"
        )
    return (
        f"{how} to {where} server {line['server']} ({load}); answer expected after "
        f"{line['predicted_ms']} ms of {line['left_ms']} ms left"
    )


def _tell_send_failed(line: Line) -> str:
    arrived = "it may have run there" if line["is_sent"] else "nothing had been sent"
    return (
        f"send to {line['server']} failed after {line['after_ms']} ms: "
        f"{line['reason']}; {arrived}"
    )


def _tell_resend_denied(line: Line) -> str:
    return (
        f"no further send after {line['failure'] or 'a late answer'}: {line['reason']}"
    )


def _tell_refused(line: Line) -> str:
    text = f"refused with {line['status']}, it has not run: {line['reason']}"
    if line.get("failure"):
        text += f" after {line['failure']}"
    if line.get("retry_after_ms") is not None:
        text += f"; told to come back after {line['retry_after_ms']:.0f} ms"
    return text


def _tell_not_placed(line: Line) -> str:
    loads = "; ".join(
        f"{server}: {running} running, {waiting} waiting, slowdown {slowdown}, "
        f"{age_ms} ms old"
        for server, running, waiting, slowdown, age_ms in line["freshest"]
    )
    return (
        f"no server found for work of usually {line['usual_ms']} ms: {line['reason']}; "
        f"{line['servers']} servers known, the freshest loads: {loads or 'none'}"
    )


def _tell_failed(line: Line) -> str:
    return (
        f"answered with {line['status']}, the outcome is unknown: {line['reason']}; "
        f"sent to {', '.join(line['sends']) or 'nobody'}"
    )


def _tell_answered(line: Line) -> str:
    text = (
        f"answered with {line['status']} of {line['server']} after "
        f"{line['took_ms']} ms, {line['server_ms']} ms of them there"
    )
    return text + (", but the caller had gone" if line["is_caller_gone"] else "")


def _tell_broken_off(line: Line) -> str:
    return f"the answer broke off on its way to the caller: {line['reason']}"


_ENDS = frozenset({"answered", "refused", "failed", "broken_off", "caller_left"})
_SENTENCES: Mapping[str, Callable[[Line], str]] = {
    "received": _tell_received,
    "placed": _tell_placed,
    "send_failed": _tell_send_failed,
    "resend_denied": _tell_resend_denied,
    "not_placed": _tell_not_placed,
    "refused": _tell_refused,
    "failed": _tell_failed,
    "answered": _tell_answered,
    "broken_off": _tell_broken_off,
}
