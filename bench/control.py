"""Probes of the backend servers, and the cost of control when idle."""

import time
from bisect import bisect_left

import orjson

from bench.fleet import KEY, Fleet, fetch, read_usage
from bench.sizes import PROBE_RATE, Deployment
from bench.table import Row, judge_at_most
from cuminhatch.clock import MS_PER_SECOND

CORE_TARGET_PERCENT = 1.4
MEMORY_TARGET_MB = 256.0
BYTES_TARGET_KB = 8.0
KB = 1024.0
MB = 1024.0 * 1024.0


def count_probes(deployment: Deployment, fleet: Fleet) -> list[Row]:
    """
    Find the most probes of any backend server in any second.

    :param deployment: its sizes.
    :param fleet: the running processes; all daemons count.
    """
    most = total = 0
    for addresses in fleet.backends.values():
        for address in addresses:
            times_ms = orjson.loads(fetch(address, "GET", "/stats")[1])["probes_ms"]
            total += len(times_ms)
            for first, time_ms in enumerate(times_ms):
                within = bisect_left(times_ms, time_ms + MS_PER_SECOND) - first
                most = max(most, within)
    row = Row(
        "probes",
        deployment.name,
        "power-of-d",
        f"most probes of a server in any second ({total} in all)",
        most,
        "",
        most / PROBE_RATE,
    )
    return [judge_at_most(row, PROBE_RATE, most)]


def measure_control(deployment: Deployment, fleet: Fleet, seconds: float) -> list[Row]:
    """
    Measure what the daemons use without callers; the worst one counts.

    :param deployment: its sizes.
    :param fleet: the running processes.
    :param seconds: how long.
    """
    before = [read_usage(process) for process in fleet.daemons]
    bytes_before = [_control_bytes(address) for address in fleet.operators]
    started_s = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    after = [read_usage(process) for process in fleet.daemons]
    bytes_after = [_control_bytes(address) for address in fleet.operators]
    core = max(
        (b.processor_s - a.processor_s) * 100 / elapsed_s
        for a, b in zip(before, after, strict=True)
    )
    memory = max(usage.resident_bytes for usage in after) / MB
    sent = max(
        (b - a) / KB / elapsed_s for a, b in zip(bytes_before, bytes_after, strict=True)
    )
    figures = (
        ("processor, idle daemon", core, "% of a core", CORE_TARGET_PERCENT),
        ("memory of a daemon", memory, "MB", MEMORY_TARGET_MB),
        ("heartbeats, sent and received", sent, "KB/s", BYTES_TARGET_KB),
    )
    return [
        judge_at_most(
            Row("probes", deployment.name, "power-of-d", name, value, unit),
            limit,
            value,
        )
        for name, value, unit, limit in figures
    ]


def _control_bytes(operators: str) -> int:
    status = orjson.loads(fetch(operators, "GET", "/status", key=KEY)[1])
    peers = status["parts"].get("peers", {})
    return peers.get("sent_bytes", 0) + peers.get("received_bytes", 0)
