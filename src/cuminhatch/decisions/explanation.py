"""
What happened to a request, described from the lines of the event logs.

Lines of different instances are never ordered by wall clock. All lines about
a request on one instance are ordered by the monotonic clock of that instance,
together with what it observed meanwhile about the servers involved.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

Line = Mapping[str, Any]

# Events about servers and dependencies that may explain an outcome.
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
# Events this long before or after the request are included: a server found to
# be gone or silent shortly before or after may be the cause of its outcome.
CONTEXT_MS = 2_000.0


class Explanation(NamedTuple):
    """Sentences about one request on one instance, in order of time."""

    instance: str
    sentences: tuple[str, ...]


class NotFound(NamedTuple):
    """No log line mentions the request; ``reason`` is the message."""

    reason: str


def explain_request(
    request_id: str, lines: Iterable[Line]
) -> tuple[Explanation, ...] | NotFound:
    """
    Describe what happened to a request.

    :param request_id: id that the caller gave the request.
    :param lines: log lines of any instances, in any order.
    :returns: one explanation for each instance that logged the request.
    """
    by_instance: dict[str, list[Line]] = {}
    for line in lines:
        by_instance.setdefault(line["instance"], []).append(line)
    found = []
    for instance, all_lines in sorted(by_instance.items()):
        own = [line for line in all_lines if line.get("request") == request_id]
        if own:
            found.append(_explain_instance(instance, own, all_lines))
    if not found:
        return NotFound(
            f"no log line mentions {request_id}; pass the logs of all instances"
        )
    return tuple(found)


def _explain_instance(
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
    sentences = [_describe(line, start_ms) for line in merged]
    if not any(line["event"] in _FINAL_EVENTS for line in own):
        sentences.append(
            "No final event in the log: the line was dropped to limit the log "
            "volume, or the process ended."
        )
    return Explanation(instance, tuple(sentences))


def _time_of(line: Line) -> float:
    return line["now_ms"]


def _describe(line: Line, start_ms: float) -> str:
    describe = _DESCRIPTIONS.get(line["event"], _describe_other)
    return f"{_time_of(line) - start_ms:+9.1f} ms  {describe(line)}"


def _describe_other(line: Line) -> str:
    details = {
        name: value
        for name, value in line.items()
        if name not in ("wall_ms", "now_ms", "instance", "part", "event")
    }
    event = line["event"].replace("_", " ")
    text = ", ".join(f"{name} {value}" for name, value in details.items())
    return f"meanwhile {event}: {text}" if text else f"meanwhile {event}"


def _describe_received(line: Line) -> str:
    team = f", team {line['team']}" if "team" in line else ""
    return (
        f"received for rule {line['rule']}, service {line['service']}{team}, "
        f"configuration {line['configuration']}; the caller's timeout is "
        f"{line['budget_ms']:.0f} ms"
    )


def _describe_placed(line: Line) -> str:
    where = "near" if line["is_near"] else "far"
    kind = "hedge sent" if line["is_hedge"] else f"sent (attempt {line['send']})"
    load = "load unknown"
    if "running" in line:
        load = (
            f"{line['running']} running and {line['waiting']} waiting, slowdown "
            f"{line['slowdown']}, reported {line['load_age_ms']} ms earlier"
        )
    return (
        f"{kind} to {where} server {line['server']} ({load}); response expected "
        f"after {line['predicted_ms']} ms, {line['left_ms']} ms left"
    )


def _describe_send_failed(line: Line) -> str:
    effect = "it may have run there" if line["is_sent"] else "nothing had been sent"
    return (
        f"send to {line['server']} failed after {line['after_ms']} ms: "
        f"{line['reason']}; {effect}"
    )


def _describe_resend_denied(line: Line) -> str:
    return (
        f"not sent again after {line['failure'] or 'a late response'}: {line['reason']}"
    )


def _describe_hedge_denied(line: Line) -> str:
    return (
        f"no hedge: {line['reason']}; gain needed {line['gain_needed']}, "
        f"{line['allowance_left']} hedges left, {line['reserve']} resends kept for "
        f"failures, occupancy {line['occupancy']}"
    )


def _describe_hedge_dropped(line: Line) -> str:
    return f"no hedge: {line['reason']}"


def _describe_hedge_ended(line: Line) -> str:
    return f"the hedge has {line['result']}"


def _describe_refused(line: Line) -> str:
    reason = line["reason"]
    part = _REFUSING_PARTS.get(reason)
    by_part = f" by {part}" if part is not None else ""
    text = f"refused with {line['status']}{by_part}, the request has not run: {reason}"
    if line.get("failure"):
        text += f" after {line['failure']}"
    if "rule" in line:
        text += f"; rule {line['rule']} of configuration {line['configuration']}"
    if "team" in line:
        text += f", team {line['team']}"
    if line.get("retry_after_ms") is not None:
        text += f"; retry after {line['retry_after_ms']:.0f} ms"
    return text


def _describe_not_placed(line: Line) -> str:
    loads = "; ".join(
        f"{server}: {running} running, {waiting} waiting, slowdown {slowdown}, "
        f"{age_ms} ms old"
        for server, running, waiting, slowdown, age_ms in line["freshest"]
    )
    return (
        f"no server found for a request that usually takes {line['usual_ms']} ms: "
        f"{line['reason']}; {line['servers']} servers known, "
        f"latest load reports: {loads or 'none'}"
    )


def _describe_upload_received(line: Line) -> str:
    return f"its body of {line['bytes']} bytes arrived within {line['took_ms']} ms"


def _describe_upload_streamed(line: Line) -> str:
    return (
        f"its body is passed on as it arrives, {line['received_bytes']} bytes so far: "
        f"{line['reason']}"
    )


def _describe_failed(line: Line) -> str:
    return (
        f"answered with {line['status']}, the outcome is unknown: {line['reason']}; "
        f"sent to {', '.join(line['sends']) or 'nobody'}"
    )


def _describe_response_rejected(line: Line) -> str:
    ids = ", ".join(line["response_ids"]) or "no request"
    connection = "a reused" if line["is_reused"] else "a new"
    text = (
        f"response {line['status']} of {line['server']} rejected after "
        f"{line['after_ms']} ms: {line['reason']}; it names {ids}, on {connection} "
        "connection"
    )
    return text + (", with more bytes behind it" if line["has_trailing_data"] else "")


def _describe_streaming_started(line: Line) -> str:
    declared = line["declared_bytes"]
    length = "no length" if declared is None else f"{declared} bytes"
    return (
        f"response {line['status']} of {line['server']} ({length}) is passed on as it "
        f"arrives, from {line['after_ms']} ms after the request was sent"
    )


def _describe_answered(line: Line) -> str:
    text = (
        f"answered with {line['status']} from {line['server']} after "
        f"{line['took_ms']} ms, of which {line['server_ms']} ms at the server"
    )
    return text + (
        ", but the caller had disconnected" if line["is_caller_gone"] else ""
    )


def _describe_broken_off(line: Line) -> str:
    return f"the response to the caller was cut off: {line['reason']}"


# Which part refuses requests for a reason, if the reason does not tell.
_REFUSING_PARTS: Mapping[str, str] = {
    "unknown-credential": "the check of credentials",
    "credential-moved": "the check of credentials",
    "route-removed": "the check for changes of the configuration",
    "route-changed": "the check for changes of the configuration",
    "rule-disabled": "the configuration",
    "team-disabled": "the configuration",
    "quota-exceeded": "the quota",
    "admission-level": "admission control",
}
_FINAL_EVENTS = frozenset(
    {"answered", "refused", "failed", "broken_off", "caller_left"}
)
_DESCRIPTIONS: Mapping[str, Callable[[Line], str]] = {
    "received": _describe_received,
    "placed": _describe_placed,
    "send_failed": _describe_send_failed,
    "resend_denied": _describe_resend_denied,
    "hedge_denied": _describe_hedge_denied,
    "hedge_dropped": _describe_hedge_dropped,
    "hedge_ended": _describe_hedge_ended,
    "upload_received": _describe_upload_received,
    "upload_streamed": _describe_upload_streamed,
    "not_placed": _describe_not_placed,
    "refused": _describe_refused,
    "failed": _describe_failed,
    "response_rejected": _describe_response_rejected,
    "streaming_started": _describe_streaming_started,
    "answered": _describe_answered,
    "broken_off": _describe_broken_off,
}
