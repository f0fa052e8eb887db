"""Slopes of a daemon with stand-ins, each in its own process."""

import socket
import time
from collections.abc import Iterable
from statistics import fmean

import orjson

from bench._slopes_local import Series, cpu_ms
from bench.fleet import Fleet, ServiceSize, fetch, open_fleet, read_usage
from bench.load import LoadPlan, RequestStream
from cuminhatch.address import Address
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import HttpFailed, HttpReplied, HttpRequested
from cuminhatch.services import HttpClient

BASE_PORT = 23_000
SERVICE = "stockd"
# Fast servers with many slots, so that the daemon is the bottleneck.
SERVICE_SIZE = ServiceSize(SERVICE, 4, 64, 480, 1.0)
CALL_RATES = (100, 200, 300, 400)
KEYED_RATES = (10, 20, 40, 80)
CALL_SECONDS = 3.0
KEYED_SECONDS = 2.0
IDLE_SIZES = (250, 500, 750, 1_000)
PROBE_SIZES = (100, 200, 400, 800)


def _format_note(fleet: Fleet) -> str:
    servers = "".join(
        f'[[backend_server]]\nid = "{SERVICE}-{number}"\nservice_id = "{SERVICE}"\n'
        f'host = "{address.rpartition(":")[0]}"\nport = {address.rpartition(":")[2]}\n'
        f'failure_domain = "leith"\nslots = {SERVICE_SIZE.slots}\n'
        f"connections = {SERVICE_SIZE.connections}\n"
        for number, address in enumerate(fleet.backends[SERVICE])
    )
    return (
        'id = "slopes"\nauthor = "bench"\nsummary = "Slopes."\n'
        f'[[service]]\nid = "{SERVICE}"\n{servers}'
        f'[[rule]]\nid = "get"\nservice_id = "{SERVICE}"\nmethod = "GET"\n'
        'path_prefix = "/"\n'
        f'[[rule]]\nid = "post"\nservice_id = "{SERVICE}"\nmethod = "POST"\n'
        'path_prefix = "/"\nidempotent = false\n'
    )


def _run_load(fleet: Fleet, rate: int, seconds: float, is_keyed: bool) -> dict:
    stream = RequestStream(
        name="calls",
        targets=fleet.caller_addresses,
        path="/work",
        method="POST" if is_keyed else "GET",
        deadline_ms=2000.0,
        is_keyed=is_keyed,
        phases=[{"seconds": seconds, "rate": float(rate)}],
    )
    plan = LoadPlan(seed=rate, streams=[stream])
    return fleet.run_load_generators([plan])[0]["calls"]


def _measure_calls(fleet: Fleet) -> Iterable[Series]:
    points = []
    for rate in CALL_RATES:
        before, started_s = read_usage(fleet.daemons[0]), time.monotonic()
        outcomes = _run_load(fleet, rate, CALL_SECONDS, False)["outcomes"]
        elapsed_s = time.monotonic() - started_s
        used_s = read_usage(fleet.daemons[0]).cpu_s - before.cpu_s
        # The elapsed time includes the start of the load generator and its
        # wait for late responses, so rates are averages over its whole run.
        useful = outcomes.get("useful", 0)
        points.append((useful / elapsed_s, 1000.0 * used_s / elapsed_s))
    yield Series("daemon, calls", "call/s", "ms/s", tuple(points))


def _measure_keyed(fleet: Fleet) -> Iterable[Series]:
    points, cpu_points = [], []
    for rate in KEYED_RATES:
        before, started_s = _read_table_writes(fleet), time.monotonic()
        cpu_s = read_usage(fleet.daemons[0]).cpu_s
        outcomes = _run_load(fleet, rate, KEYED_SECONDS, True)["outcomes"]
        elapsed_s = time.monotonic() - started_s
        cpu_s = read_usage(fleet.daemons[0]).cpu_s - cpu_s
        useful = outcomes.get("useful", 0)
        points.append(
            (useful / elapsed_s, (_read_table_writes(fleet) - before) / elapsed_s)
        )
        cpu_points.append((useful / elapsed_s, 1000.0 * cpu_s / elapsed_s))
    yield Series("table writes", "keyed call/s", "write/s", tuple(points))
    yield Series("daemon, keyed calls", "keyed call/s", "ms/s", tuple(cpu_points))


def _read_table_writes(fleet: Fleet) -> int:
    return orjson.loads(fetch(fleet.table_address, "GET", "/stats")[1])["writes"]


def _measure_idle(fleet: Fleet) -> Iterable[Series]:
    host, _, port = fleet.caller_addresses[0].rpartition(":")
    connections: list[socket.socket] = []
    points = []
    try:
        for size in IDLE_SIZES:
            while len(connections) < size:
                connection = socket.create_connection((host, int(port)), timeout=10)
                connections.append(connection)
                connection.sendall(b"GET /work HTTP/1.1\r\nHost: bench\r\n\r\n")
                connection.recv(65_536)
            resident = [_read_resident_bytes(fleet) for _ in range(3)]
            points.append((float(size), fmean(resident)))
    finally:
        for connection in connections:
            connection.close()
    yield Series("idle callers, memory", "connection", "byte", tuple(points))


def _read_resident_bytes(fleet: Fleet) -> int:
    time.sleep(0.1)
    return read_usage(fleet.daemons[0]).resident_bytes


class _Prober(Service):
    """Sends probes one after another."""

    name = "prober"

    def __init__(self, kernel: Kernel, address: Address) -> None:
        super().__init__(kernel)
        self._address = address
        self._remaining = 0

    def message_handlers(self) -> MessageTable:
        return {HttpReplied: self._on_reply, HttpFailed: self._on_failed}

    def start(self, count: int) -> None:
        self._remaining = count
        self._probe()

    def _probe(self) -> None:
        request = (self.name, 1, self._address, b"GET", b"/load", (), b"", 5000.0)
        self.send("http_client", HttpRequested(*request))

    def _on_reply(self, message: HttpReplied) -> None:
        self._remaining -= 1
        if self._remaining:
            self._probe()
        else:
            self.kernel.stop()

    def _on_failed(self, message: HttpFailed) -> None:
        raise RuntimeError(f"a probe failed: {message.reason}")


def _measure_probes(fleet: Fleet) -> Iterable[Series]:
    host, _, port = fleet.backends[SERVICE][0].rpartition(":")
    points = []

    def run(size: int) -> None:
        kernel = Kernel()
        prober = _Prober(kernel, Address(host, int(port)))
        kernel.register(HttpClient(kernel))
        kernel.register(prober)
        kernel.open()
        prober.start(size)
        kernel.run()
        kernel.close()

    for size in PROBE_SIZES:
        points.append((float(size), cpu_ms(lambda size=size: run(size))))
    yield Series("probes", "probe", "ms", tuple(points))


def measure_fleet() -> Iterable[Series]:
    """Measure one daemon under load, and the cost of probes."""
    with open_fleet(BASE_PORT) as fleet:
        fleet.start_platform()
        fleet.start_backends((SERVICE_SIZE,))
        fleet.start_daemons(("leith",), [""])
        fleet.submit_note(_format_note(fleet))
        # The daemon requests its first probing permits after 5 s.
        time.sleep(6.0)
        usage = read_usage(fleet.daemons[0])
        time.sleep(4.0)
        idle_ms = 1000.0 * (read_usage(fleet.daemons[0]).cpu_s - usage.cpu_s)
        size = float(usage.resident_bytes)
        yield Series("daemon without calls", "", "ms/s", ((0.0, idle_ms / 4.0),))
        yield Series("daemon without calls, memory", "", "byte", ((0.0, size),))
        yield from _measure_calls(fleet)
        yield from _measure_keyed(fleet)
        yield from _measure_idle(fleet)
        yield from _measure_probes(fleet)
