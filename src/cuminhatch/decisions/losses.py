"""
Why requests were late, refused or failed, according to the event logs.

Each late request is counted once, under the first of :data:`LATE_CAUSES` that
applies.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from cuminhatch.decisions.credentials import ARRIVAL_REASONS

Line = Mapping[str, Any]

# A machine with at least this slowdown counts as slow.
SLOW_FACTOR = 2.0
# A request counts as delayed if it waited in the instance, before it was sent,
# for more than this share of the target latency.
WAITED_SHARE = 0.25
# A request took far longer than predicted if the server took more than this
# multiple of the predicted time.
LONGER_FACTOR = 2.0


class Loss(NamedTuple):
    """How many requests ended with one outcome for one cause."""

    outcome: str
    cause: str
    requests: int


class Losses(NamedTuple):
    """Number of requests, of those in time, and of the others by cause."""

    requests: int
    in_time: int
    losses: tuple[Loss, ...]


class _Trace:
    """State of one request while its log lines are read."""

    def __init__(self, first: Line) -> None:
        # The team of the request, empty if it belongs to none.
        self.team_id: str = first.get("team", "")
        self.target_ms = 0.0
        self.received_ms = 0.0
        self.first_sent_ms: float | None = None
        # The last line about a placement.
        self.placed: Line | None = None
        self.failures = 0
        # The line about the end of the request.
        self.end: Line | None = None


def is_slow_machine(trace: _Trace) -> bool:
    """Tell whether the chosen machine was known to be slow."""
    return (trace.placed or {}).get("slowdown", 1.0) >= SLOW_FACTOR


def is_queued(trace: _Trace) -> bool:
    """Tell whether requests were already waiting at the chosen server."""
    return (trace.placed or {}).get("waiting", 0) > 0


def is_delayed(trace: _Trace) -> bool:
    """Tell whether the request waited long before it was sent."""
    if trace.first_sent_ms is None:
        return False
    waited_ms = trace.first_sent_ms - trace.received_ms
    return waited_ms > trace.target_ms * WAITED_SHARE


def is_slower_than_predicted(trace: _Trace) -> bool:
    """Tell whether the server took far longer than predicted."""
    predicted_ms = (trace.placed or {}).get("predicted_ms", 0.0)
    return trace.end.get("server_ms", 0.0) > predicted_ms * LONGER_FACTOR


# The texts go out as ``cause`` in the JSON of ``cuminhatch losses`` and are
# compared between versions, so they must not change. The last one applies to
# all other late requests, also to those that were predicted to be late.
LATE_CAUSES: tuple[tuple[str, Callable[[_Trace], bool]], ...] = (
    ("a send failed before", lambda trace: trace.failures > 0),
    ("held for a better server", is_delayed),
    ("waited in a server's queue", is_queued),
    ("sent to a slow machine", is_slow_machine),
    ("work far longer than predicted", is_slower_than_predicted),
    ("a little longer than predicted", lambda trace: True),
)


def list_losses(lines: Iterable[Line]) -> Losses:
    """
    Count late, refused and failed requests by cause.

    :param lines: log lines of any instances, those of each in order.
    """
    return count_losses(read_traces(lines))


def list_losses_by_team(lines: Iterable[Line]) -> dict[str, Losses]:
    """
    Count late, refused and failed requests of each team by cause.

    :param lines: log lines of any instances, those of each in order.
    :returns: counts by team, sorted; those of requests without a team under
        an empty id.
    """
    by_team: dict[str, list[_Trace]] = {}
    for trace in read_traces(lines):
        by_team.setdefault(trace.team_id, []).append(trace)
    return {team_id: count_losses(by_team[team_id]) for team_id in sorted(by_team)}


def read_traces(lines: Iterable[Line]) -> list[_Trace]:
    """
    Return the requests that log lines tell of.

    :param lines: log lines of any instances, those of each in order.
    """
    traces: dict[tuple[str, str], _Trace] = {}
    for line in lines:
        if "request" in line:
            key = (line["instance"], line["request"])
            add_line(traces, key, line)
    return list(traces.values())


def count_losses(traces: Sequence[_Trace]) -> Losses:
    """
    Count late, refused and failed requests by cause.

    :param traces: the requests.
    """
    counts: Counter[tuple[str, str]] = Counter()
    in_time = 0
    for trace in traces:
        found = find_cause(trace)
        if found is None:
            in_time += 1
        else:
            counts[found] += 1
    losses = tuple(Loss(*found, count) for found, count in counts.most_common())
    return Losses(len(traces), in_time, losses)


def add_line(
    traces: dict[tuple[str, str], _Trace], key: tuple[str, str], line: Line
) -> None:
    """
    Add a log line to the trace of its request.

    Requests without a ``received`` line are ignored, unless they were refused
    on arrival, as are those logged by an older version that did not log the
    target latency.

    :param traces: traces so far, by instance and request.
    :param key: instance and request of the line.
    :param line: the log line.
    """
    event = line["event"]
    if event == "received" and "target_ms" in line:
        trace = traces[key] = _Trace(line)
        trace.target_ms = line["target_ms"]
        trace.received_ms = line["now_ms"]
    elif event == "refused" and line.get("reason") in ARRIVAL_REASONS:
        trace = traces.setdefault(key, _Trace(line))
        trace.end = line
    elif key in traces:
        trace = traces[key]
        if event == "placed":
            trace.placed = line
            if trace.first_sent_ms is None:
                trace.first_sent_ms = line["now_ms"]
        elif event == "send_failed":
            trace.failures += 1
        elif event in ("answered", "refused", "failed", "broken_off"):
            trace.end = line


def find_cause(trace: _Trace) -> tuple[str, str] | None:
    """
    Return outcome and cause of a request, None if it was answered in time.

    :param trace: the request.
    """
    if trace.end is None:
        # This text goes out in JSON too.
        return "open", "no line of its end"
    event = trace.end["event"]
    if event != "answered":
        return event, trace.end["reason"]
    if trace.end["took_ms"] <= trace.target_ms:
        return None
    return "late", next(cause for cause, applies in LATE_CAUSES if applies(trace))
