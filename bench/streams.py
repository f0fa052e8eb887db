"""Streams of requests, split among several load generator processes."""

from collections import Counter
from typing import Any

from bench.fleet import Fleet
from bench.load import LoadPlan, Phase, RequestStream
from bench.sizes import SHORT_DEADLINE_MS, SHORT_PATH

# Requests per second that one load generator process can sustain.
RATE_PER_PROCESS = 1000.0


def make_short_stream(targets: list[str], phases: list[Phase]) -> RequestStream:
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


def run_streams(
    fleet: Fleet, streams: list[RequestStream], seed: int
) -> dict[str, Any]:
    """
    Run streams and merge the reports by stream name.

    A merged percentile is the highest of all processes, which is an upper
    bound of the true one.

    :param fleet: the running processes.
    :param streams: streams with their total rates.
    :param seed: seed of the arrivals.
    """
    # No phase has a higher rate than the first two phases together.
    rate = max(sum(phase["rate"] for phase in s["phases"][:2]) for s in streams)
    process_count = max(1, round(rate / RATE_PER_PROCESS))
    plans: list[LoadPlan] = [
        {
            "seed": seed * 100 + number,
            "streams": [
                {
                    **stream,
                    "phases": [
                        {**phase, "rate": phase["rate"] / process_count}
                        for phase in stream["phases"]
                    ],
                }
                for stream in streams
            ],
        }
        for number in range(process_count)
    ]
    reports = fleet.run_load_generators(plans)
    return {
        stream["name"]: _merge_reports([report[stream["name"]] for report in reports])
        for stream in streams
    }


def _merge_reports(reports: list[dict[str, Any]]) -> dict[str, Any]:
    merged: dict[str, Any] = {}
    for name, first in reports[0].items():
        values = [report[name] for report in reports]
        if isinstance(first, dict):
            merged[name] = dict(sum((Counter(value) for value in values), Counter()))
        else:
            merged[name] = sum(values) if name == "late_refusals" else max(values)
    return merged
