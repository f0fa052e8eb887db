"""Latency that a daemon adds to a short call."""

import time
from contextlib import ExitStack, closing
from socket import create_connection, socket

from bench.fleet import Fleet
from bench.sizes import SINGLE, SINGLE_PATH, Deployment
from bench.table import Row, judge_at_most

ADDED_P99_TARGET_MS = 1.7
IDLE_CONNECTIONS = 1500
# Between two calls, so that the rate is low.
PAUSE_S = 0.001
WARM_UP_CALLS = 50
HEAD_END = b"\r\n\r\n"


def measure_added(
    deployment: Deployment, fleet: Fleet, callers: str, seconds: float
) -> list[Row]:
    """
    Call one backend server in turn directly and through a daemon.

    :param deployment: its sizes.
    :param fleet: the running processes.
    :param callers: port of the daemon for callers.
    :param seconds: time for each number of idle connections.
    """
    rows = []
    with ExitStack() as stack:
        direct, through = (
            stack.enter_context(closing(_connect(address)))
            for address in (fleet.backends[SINGLE.service_id][0], callers)
        )
        for idle in (0, IDLE_CONNECTIONS):
            for _ in range(idle):
                stack.enter_context(closing(_connect(callers)))
            rows += _compare(deployment, direct, through, idle, seconds)
    return rows


def _connect(address: str) -> socket:
    host, _, port = address.rpartition(":")
    return create_connection((host, int(port)), timeout=30)


def _compare(
    deployment: Deployment, direct: socket, through: socket, idle: int, seconds: float
) -> list[Row]:
    for _ in range(WARM_UP_CALLS):
        _call_ms(direct)
        _call_ms(through)
    samples: tuple[list[float], list[float]] = ([], [])
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        for connection, values in zip((direct, through), samples, strict=True):
            values.append(_call_ms(connection))
            time.sleep(PAUSE_S)
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
