"""Starts and stops the processes of one measurement."""

import os
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPConnection
from pathlib import Path
from subprocess import DEVNULL, Popen, TimeoutExpired
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

import orjson

from bench.load import LoadPlan
from cuminhatch_standins.bound_child import build_child_command

OPERATORS_KEY = "bench-operators-key"
HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
NS_PER_SECOND = 1e9


class ServiceSize(NamedTuple):
    """Backend servers of a service; ``work_ms`` is their default work time."""

    service_id: str
    servers: int
    slots: int
    connections: int
    work_ms: float


class Usage(NamedTuple):
    """CPU time and resident memory of a process."""

    cpu_s: float
    resident_bytes: int


def read_usage(process: Popen) -> Usage:
    """
    Read the CPU time and resident memory of a process.

    ``schedstat`` counts in nanoseconds. The 10 ms ticks of ``stat`` are too
    coarse to measure about 1% of a core over a few seconds.

    :param process: a running process of this measurement.
    """
    cpu_ns = int(Path(f"/proc/{process.pid}/schedstat").read_text().split()[0])
    resident_pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return Usage(cpu_ns / NS_PER_SECOND, resident_pages * PAGE_BYTES)


def fetch(
    address: str, method: str, path: str, body: bytes = b"", key: str = ""
) -> tuple[int, bytes]:
    """
    Send one request and read the response.

    :param address: ``host:port``.
    :param method: HTTP method.
    :param path: request target.
    :param body: request body.
    :param key: operators' key, if the port needs one.
    :returns: status and body.
    """
    host, _, port = address.rpartition(":")
    connection = HTTPConnection(host, int(port), timeout=30)
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def wait_until_up(address: str) -> None:
    """
    Wait until a port responds to HTTP requests.

    :param address: ``host:port``.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            fetch(address, "GET", "/health")
            return
        except OSError:
            if time.monotonic() > deadline_s:
                raise
            time.sleep(0.05)


class Fleet:
    """Stand-ins and daemons of one deployment on loopback."""

    def __init__(self, directory: str, base_port: int) -> None:
        """
        Create a fleet without processes.

        :param directory: directory for settings, load plans and reports.
        :param base_port: first of the ports to use.
        """
        self._directory = Path(directory)
        self._next_port = base_port
        self._processes: list[Popen] = []
        self.daemons: list[Popen] = []
        self.caller_addresses: list[str] = []
        self.operator_addresses: list[str] = []
        self.backends: dict[str, list[str]] = {}
        self.table_address = self.object_store_address = self.instance_list_address = ""

    def take_port(self) -> int:
        """Return a port that this fleet has not used yet."""
        self._next_port += 1
        return self._next_port

    def start(self, module: str, *arguments: str) -> Popen:
        """
        Start a Python module of this repository.

        :param module: name of the module.
        :param arguments: command-line arguments.
        """
        command = build_child_command(module, *arguments)
        process = Popen(command, stdout=DEVNULL, stderr=DEVNULL)
        self._processes.append(process)
        return process

    def start_platform(self) -> None:
        """Start table service, object store and list of instances."""
        addresses = []
        for name in ("table_service", "object_store", "instance_list"):
            port = self.take_port()
            self.start(f"cuminhatch_standins.{name}", "--port", str(port))
            addresses.append(f"{HOST}:{port}")
        (
            self.table_address,
            self.object_store_address,
            self.instance_list_address,
        ) = addresses
        for address in addresses:
            wait_until_up(address)

    def start_backends(self, sizes: tuple[ServiceSize, ...]) -> None:
        """
        Start the backend servers of all services.

        :param sizes: backend servers of each service.
        """
        for size in sizes:
            addresses = []
            for _ in range(size.servers):
                port = self.take_port()
                self.start(
                    "cuminhatch_standins.backend_server",
                    f"--port={port}",
                    f"--slots={size.slots}",
                    f"--work_ms={size.work_ms}",
                )
                addresses.append(f"{HOST}:{port}")
            self.backends[size.service_id] = addresses
        for addresses in self.backends.values():
            for address in addresses:
                wait_until_up(address)

    def start_daemons(self, domains: tuple[str, ...], extras: list[str]) -> None:
        """
        Start daemons and add them to the list of instances.

        :param domains: failure domains, assigned round-robin.
        :param extras: additional settings of each daemon, in TOML.
        """
        count = len(extras)
        ports = [[self.take_port() for _ in range(3)] for _ in range(count)]
        for number, (callers, operators, peers) in enumerate(ports):
            settings = self._directory / f"entry-{number}.toml"
            seed = ports[(number + 1) % count][2]
            settings.write_text(
                f'[instance]\nid = "entry-{number}"\n'
                f'failure_domain = "{domains[number % len(domains)]}"\n'
                f'[callers]\naddress = "{HOST}:{callers}"\n'
                f'[operators]\naddress = "{HOST}:{operators}"\n'
                f'key = "{OPERATORS_KEY}"\n'
                f'[peers]\naddress = "{HOST}:{peers}"\nkey = "bench-peers-key"\n'
                f'seeds = ["{HOST}:{seed}"]\n'
                f'[platform]\ntable = "{self.table_address}"\n'
                f'objects = "{self.object_store_address}"\n'
                f'list = "{self.instance_list_address}"\n[drain]\nannounce_ms = 0\n'
                f"limit_ms = 1000\n{extras[number]}"
            )
            # Daemons also send heartbeats to listed addresses.
            fetch(
                self.instance_list_address,
                "PUT",
                f"/instances/entry-{number}",
                orjson.dumps(
                    {"address": f"{HOST}:{peers}", "kind": "entry", "state": "live"}
                ),
            )
            self.daemons.append(
                self.start("cuminhatch.daemon", f"--settings={settings}")
            )
            self.caller_addresses.append(f"{HOST}:{callers}")
            self.operator_addresses.append(f"{HOST}:{operators}")
        for address in self.operator_addresses:
            wait_until_up(address)

    def submit_note(self, text: str) -> None:
        """
        Submit a note and wait until every daemon is ready.

        :param text: the note in TOML.
        """
        status, body = fetch(
            self.operator_addresses[0], "POST", "/notes", text.encode(), OPERATORS_KEY
        )
        if status != 200:
            raise RuntimeError(f"the note was not accepted: {body.decode()}")
        deadline_s = time.monotonic() + START_TIMEOUT_S
        for address in self.operator_addresses:
            while fetch(address, "GET", "/health")[0] != 200:
                if time.monotonic() > deadline_s:
                    raise RuntimeError(f"{address} did not become ready")
                time.sleep(0.05)

    def run_load_generators(self, plans: list[LoadPlan]) -> list[dict[str, Any]]:
        """
        Run load generators in parallel, each in its own process.

        :param plans: one plan for each process.
        :returns: one report for each plan.
        """
        processes, reports = [], []
        for number, plan in enumerate(plans):
            plan_file = self._directory / f"plan-{number}.json"
            report_file = self._directory / f"report-{number}.json"
            plan_file.write_bytes(orjson.dumps(plan))
            processes.append(self.start("bench.load", str(plan_file), str(report_file)))
            reports.append(report_file)
        for process in processes:
            if process.wait() != 0:
                raise RuntimeError("a load generator failed")
            self._processes.remove(process)
        return [orjson.loads(report.read_bytes()) for report in reports]

    def stop(self) -> None:
        """Stop all processes of this fleet."""
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except TimeoutExpired:
                process.kill()
                process.wait()
        self._processes.clear()


@contextmanager
def open_fleet(base_port: int) -> Iterator[Fleet]:
    """
    Yield a fleet, and stop it afterwards.

    :param base_port: first of the ports to use.
    """
    with TemporaryDirectory() as directory:
        fleet = Fleet(directory, base_port)
        try:
            yield fleet
        finally:
            fleet.stop()
