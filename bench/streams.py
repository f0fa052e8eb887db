"""Streams of requests, split among the processes of the load tool."""

from collections import Counter
from typing import Any

from bench.fleet import Fleet
from bench.load import LoadPlan, Phase, Stream
from bench.sizes import SHORT_DEADLINE_MS, SHORT_PATH

# Requests a second that one process of the load tool sends without falling
# behind.
RATE_PER_PROCESS = 1000.0


def short_stream(targets: list[str], phases: list[Phase]) -> Stream:
    """
    Return a stream of short requests.

    :param targets: addresses of daemons or backend servers.
    :param phases: rates over time.
    """
    return {
        "name": "short",
        "targets": targets,
        "path": SHORT_PATH,
        "method": "GET",
        "deadline_ms": SHORT_DEADLINE_MS,
        "is_keyed": False,
        "phases": phases,
    }


def run_streams(fleet: Fleet, streams: list[Stream], seed: int) -> dict[str, Any]:
    """
    Run streams and join the reports by the name of the stream.

    Percentiles are joined as the largest of the processes, which is not
    less than the true one.

    :param fleet: the running processes.
    :param streams: streams with their whole rates.
    :param seed: seed of the arrivals.
    """
    rate = max(sum(phase["rate"] for phase in s["phases"][:2]) for s in streams)
    parts = max(1, round(rate / RATE_PER_PROCESS))
    plans: list[LoadPlan] = [
        {
            "seed": seed * 100 + part,
            "streams": [
                {
                    **stream,
                    "phases": [
                        {**phase, "rate": phase["rate"] / parts}
                        for phase in stream["phases"]
                    ],
                }
                for stream in streams
            ],
        }
        for part in range(parts)
    ]
    reports = fleet.run_loads(plans)
    return {
        stream["name"]: _join([report[stream["name"]] for report in reports])
        for stream in streams
    }


def _join(reports: list[dict[str, Any]]) -> dict[str, Any]:
    joined: dict[str, Any] = {}
    for name, first in reports[0].items():
        values = [report[name] for report in reports]
        if isinstance(first, dict):
            joined[name] = dict(sum((Counter(value) for value in values), Counter()))
        else:
            joined[name] = sum(values) if name == "late_refusals" else max(values)
    return joined
