"""
Why requests were late, refused or failed, by the lines of the event logs.

Each request counts once, for the first cause in the order of
:data:`LATE_CAUSES` that its lines show.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

Line = Mapping[str, Any]

# From this factor on a machine counts as slow.
SLOW_FACTOR = 2.0
# Part of the target latency; a request held for longer has waited.
WAITED_SHARE = 0.25
# Work that takes this many times as long as predicted was long by itself.
LONG_FACTOR = 2.0


class Loss(NamedTuple):
    """How many requests were lost or late for one cause."""

    outcome: str
    cause: str
    requests: int


class Losses(NamedTuple):
    """All requests of the logs, and those that were late or lost."""

    requests: int
    in_time: int
    losses: tuple[Loss, ...]


class _Trace:
    """State of one request while its lines are read."""

    def __init__(self) -> None:
        self.target_ms = 0.0
        self.received_ms = 0.0
        self.first_sent_ms: float | None = None
        self.placed: Line | None = None
        self.failures = 0
        self.end: Line | None = None


def is_slow_machine(trace: _Trace) -> bool:
    """Tell whether the machine was known to be slow."""
    return (trace.placed or {}).get("slowdown", 1.0) >= SLOW_FACTOR


def is_queued(trace: _Trace) -> bool:
    """Tell whether requests were waiting at the server already."""
    return (trace.placed or {}).get("waiting", 0) > 0


def is_held(trace: _Trace) -> bool:
    """Tell whether the request was held here for long."""
    if trace.first_sent_ms is None:
        return False
    waited_ms = trace.first_sent_ms - trace.received_ms
    return waited_ms > trace.target_ms * WAITED_SHARE


def is_long_work(trace: _Trace) -> bool:
    """Tell whether the work took far longer than predicted."""
    predicted_ms = (trace.placed or {}).get("predicted_ms", 0.0)
    return trace.end.get("server_ms", 0.0) > predicted_ms * LONG_FACTOR


LATE_CAUSES: tuple[tuple[str, Callable[[_Trace], bool]], ...] = (
    ("a send failed before", lambda trace: trace.failures > 0),
    ("held for a better server", is_held),
    ("waited in a server's queue", is_queued),
    ("sent to a slow machine", is_slow_machine),
    ("work far longer than predicted", is_long_work),
    ("a little longer than predicted", lambda trace: True),
)


def list_losses(lines: Iterable[Line]) -> Losses:
    """
    Count the causes of late, refused and failed requests.

    :param lines: lines of the logs of any instances, in the order of each.
    """
    traces: dict[tuple[str, str], _Trace] = {}
    for line in lines:
        if "request" in line:
            key = (line["instance"], line["request"])
            take_line(traces, key, line)
    counts: Counter[tuple[str, str]] = Counter()
    in_time = 0
    for trace in traces.values():
        found = find_cause(trace)
        if found is None:
            in_time += 1
        else:
            counts[found] += 1
    losses = tuple(Loss(*found, count) for found, count in counts.most_common())
    return Losses(len(traces), in_time, losses)


def take_line(
    traces: dict[tuple[str, str], _Trace], key: tuple[str, str], line: Line
) -> None:
    """
    Take one line of a request.

    Requests without a begin are passed over, and those of a version that did
    not log their target latency.
    """
    event = line["event"]
    if event == "received" and "target_ms" in line:
        trace = traces[key] = _Trace()
        trace.target_ms = line["target_ms"]
        trace.received_ms = line["now_ms"]
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

    :param trace: what its lines show.
    """
    if trace.end is None:
        return "open", "no line of its end"
    event = trace.end["event"]
    if event != "answered":
        return event, trace.end["reason"]
    if trace.end["took_ms"] <= trace.target_ms:
        return None
    return "late", next(name for name, holds in LATE_CAUSES if holds(trace))
