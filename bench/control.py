"""Probe rate at the backend servers, and resource use of idle daemons."""

import time
from bisect import bisect_left

import orjson

from bench.fleet import OPERATORS_KEY, Fleet, fetch, read_usage
from bench.sizes import PROBE_RATE, DeploymentSpec
from bench.table import Row, judge_at_most
from cuminhatch.clock import MS_PER_SECOND

CPU_TARGET_PERCENT = 1.4
MEMORY_TARGET_MB = 256.0
HEARTBEAT_TARGET_KB_PER_S = 8.0
KB = 1024.0
MB = 1024.0 * 1024.0


def measure_probe_rate(deployment: DeploymentSpec, fleet: Fleet) -> list[Row]:
    """
    Measure the highest number of probes that a server got in any second.

    :param deployment: deployment that is measured.
    :param fleet: the running processes; probes of all daemons are counted.
    """
    peak_probes = total = 0
    for addresses in fleet.backends.values():
        for address in addresses:
            times_ms = orjson.loads(fetch(address, "GET", "/stats")[1])["probes_ms"]
            total += len(times_ms)
            for first, time_ms in enumerate(times_ms):
                within = bisect_left(times_ms, time_ms + MS_PER_SECOND) - first
                peak_probes = max(peak_probes, within)
    row = Row(
        "probes",
        deployment.name,
        "power-of-d",
        f"most probes of a server in any second ({total} in all)",
        peak_probes,
        "",
        peak_probes / PROBE_RATE,
    )
    return [judge_at_most(row, PROBE_RATE, peak_probes)]


def measure_idle_daemons(
    deployment: DeploymentSpec, fleet: Fleet, seconds: float
) -> list[Row]:
    """
    Measure the resource use of daemons without callers.

    Each figure is the highest of all daemons.

    :param deployment: deployment that is measured.
    :param fleet: the running processes.
    :param seconds: length of the measurement.
    """
    before = [read_usage(process) for process in fleet.daemons]
    bytes_before = [
        _read_heartbeat_bytes(address) for address in fleet.operator_addresses
    ]
    started_s = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    after = [read_usage(process) for process in fleet.daemons]
    bytes_after = [
        _read_heartbeat_bytes(address) for address in fleet.operator_addresses
    ]
    cpu_percent = max(
        (b.cpu_s - a.cpu_s) * 100 / elapsed_s
        for a, b in zip(before, after, strict=True)
    )
    memory_mb = max(usage.resident_bytes for usage in after) / MB
    heartbeat_kb_per_s = max(
        (b - a) / KB / elapsed_s for a, b in zip(bytes_before, bytes_after, strict=True)
    )
    figures = (
        ("processor, idle daemon", cpu_percent, "% of a core", CPU_TARGET_PERCENT),
        ("memory of a daemon", memory_mb, "MB", MEMORY_TARGET_MB),
        (
            "heartbeats, sent and received",
            heartbeat_kb_per_s,
            "KB/s",
            HEARTBEAT_TARGET_KB_PER_S,
        ),
    )
    return [
        judge_at_most(
            Row("probes", deployment.name, "power-of-d", name, value, unit),
            limit,
            value,
        )
        for name, value, unit, limit in figures
    ]


def _read_heartbeat_bytes(operator_address: str) -> int:
    status = orjson.loads(
        fetch(operator_address, "GET", "/status", key=OPERATORS_KEY)[1]
    )
    peers = status["parts"].get("peers", {})
    return peers.get("sent_bytes", 0) + peers.get("received_bytes", 0)
