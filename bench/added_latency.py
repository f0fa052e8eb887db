"""Latency that a daemon adds to a short request."""

import time
from contextlib import ExitStack, closing
from socket import create_connection, socket

from bench.fleet import Fleet
from bench.sizes import SINGLE_PATH, SINGLE_SERVER, DeploymentSpec
from bench.table import Row, judge_at_most

ADDED_P99_TARGET_MS = 1.7
IDLE_CONNECTIONS = 1500
# Pause between two calls, which keeps the rate low.
CALL_PAUSE_S = 0.001
WARM_UP_CALLS = 50
HEAD_END = b"\r\n\r\n"


def measure_added_latency(
    deployment: DeploymentSpec, fleet: Fleet, caller_address: str, seconds: float
) -> list[Row]:
    """
    Compare direct calls of a backend server with calls through a daemon.

    :param deployment: deployment that is measured.
    :param fleet: the running processes.
    :param caller_address: address of the daemon for callers.
    :param seconds: length of the measurement for each number of idle
        connections.
    """
    rows = []
    with ExitStack() as stack:
        direct, proxied = (
            stack.enter_context(closing(_connect(address)))
            for address in (fleet.backends[SINGLE_SERVER.service_id][0], caller_address)
        )
        for idle in (0, IDLE_CONNECTIONS):
            for _ in range(idle):
                stack.enter_context(closing(_connect(caller_address)))
            rows += _compare_latency(deployment, direct, proxied, idle, seconds)
    return rows


def _connect(address: str) -> socket:
    host, _, port = address.rpartition(":")
    return create_connection((host, int(port)), timeout=30)


def _compare_latency(
    deployment: DeploymentSpec,
    direct: socket,
    proxied: socket,
    idle: int,
    seconds: float,
) -> list[Row]:
    for _ in range(WARM_UP_CALLS):
        _call_ms(direct)
        _call_ms(proxied)
    samples: tuple[list[float], list[float]] = ([], [])
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        for connection, values in zip((direct, proxied), samples, strict=True):
            values.append(_call_ms(connection))
            time.sleep(CALL_PAUSE_S)
    rows = []
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        base_ms, daemon_ms = (sorted(v)[int(len(v) * share)] for v in samples)
        figure = f"{name} added, {idle} idle connections ({base_ms:.2f} ms direct)"
        row = Row(
            "added",
            deployment.name,
            "power-of-d",
            figure,
            daemon_ms - base_ms,
            "ms",
            daemon_ms / base_ms,
        )
        if name == "p99":
            row = judge_at_most(row, ADDED_P99_TARGET_MS, row.value)
        rows.append(row)
    return rows


def _call_ms(connection: socket) -> float:
    started_s = time.perf_counter()
    connection.sendall(
        f"GET {SINGLE_PATH}?ms=0&bytes=20 HTTP/1.1\r\nHost: bench\r\n\r\n".encode()
    )
    data = b""
    while len(data.partition(HEAD_END)[2]) < 20:
        part = connection.recv(4096)
        if not part:
            raise RuntimeError("the connection of a measured call was closed")
        data += part
    if b" 200 " not in data.partition(b"\r\n")[0]:
        raise RuntimeError(f"a measured call failed: {data[:100]!r}")
    return (time.perf_counter() - started_s) * 1000.0
