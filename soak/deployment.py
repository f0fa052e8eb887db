"""The processes of a run: a store, backend servers, links and gateways."""

import os
import signal
from collections import Counter
from contextlib import ExitStack
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from subprocess import PIPE, Popen, TimeoutExpired
from typing import Any, NamedTuple
from urllib.request import urlopen

import orjson

from cuminhatch.messages import Address
from cuminhatch_standins.bound_child import build_child_command
from soak.documents import (
    ROUTES,
    SERVERS,
    make_configuration,
    make_registration,
    make_settings,
)
from soak.guarantees import RequestRun
from soak.plan import Targets

HOST = "127.0.0.1"
GATEWAY_COUNT = 3
EXIT_TIMEOUT_S = 8.0
CONTROL_TIMEOUT_S = 3.0
EXPECTED_EXIT_STATUSES = frozenset({0, -signal.SIGKILL, -signal.SIGTERM})


class Standin(NamedTuple):
    """A stand-in process and the address of its control port."""

    process: Popen
    address: Address


class Gateway:
    """State of a gateway, whose process is restarted during a run."""

    def __init__(self, name: str, number: int, ports: dict[str, int]) -> None:
        """
        Define a gateway without starting it.

        :param name: id of the instance.
        :param number: last octet of its address for peers.
        :param ports: its ports, by section of the settings.
        """
        self.name = name
        self.number = number
        self.ports = ports
        self.process: Popen | None = None
        # Whether the run itself has killed or stopped the process.
        self.is_exit_expected = False


def call_control_port(
    address: Address, method: str, path: str, value: Any = None
) -> Any:
    """
    Send a request to a control port.

    :param address: the control port.
    :param method: HTTP method.
    :param path: path of the request.
    :param value: body, sent as JSON.
    :raises OSError: the port does not respond.
    """
    connection = HTTPConnection(*address, timeout=CONTROL_TIMEOUT_S)
    try:
        body = None if value is None else orjson.dumps(value)
        connection.request(method, path, body)
        return orjson.loads(connection.getresponse().read() or b"null")
    finally:
        connection.close()


class Deployment:
    """State of the processes of one run; kills only those it has started."""

    def __init__(self, folder: Path, stack: ExitStack, base_port: int) -> None:
        """
        Start all processes except the gateways.

        :param folder: for settings, logs and the file in which the backend
            servers record the requests they run.
        :param stack: kills the processes when it is closed.
        :param base_port: base of the ports that the run uses.
        """
        self._folder = folder
        self._stack = stack
        self._next_port = base_port
        self._peers_port = self._take_port()
        self.store = self._start_standin("metadata_store")
        self.servers: dict[str, Standin] = {}
        self.links: dict[str, Standin] = {}
        self._link_ports: dict[str, int] = {}
        self._server_ports: dict[str, int] = {}
        # What operators and servers wrote last, to be written again.
        self._states: dict[str, str] = {}
        self._sequences: Counter[str] = Counter()
        self._configuration_version = 0
        for server_id in SERVERS:
            self._server_ports[server_id] = self._take_port()
            self.start_server(server_id)
            self._start_link(server_id, self._server_ports[server_id])
        self.gateways = {
            f"front-{number}": self._define_gateway(number)
            for number in range(1, GATEWAY_COUNT + 1)
        }
        for gateway in self.gateways.values():
            self._start_link(f"{gateway.name}-store", self.store.address.port)

    @property
    def targets(self) -> Targets:
        """Return the names of everything that faults can be injected into."""
        return Targets(tuple(self.gateways), tuple(SERVERS), tuple(self.links))

    def _take_port(self) -> int:
        self._next_port += 1
        return self._next_port

    def _start(self, module: str, *arguments: str, **popen: Any) -> Popen:
        process = Popen(build_child_command(module, *arguments), **popen)
        self._stack.callback(kill_process, process)
        return process

    def _start_standin(self, name: str, *arguments: str, port: int = 0) -> Standin:
        process = self._start(
            f"cuminhatch_standins.{name}",
            f"--port={port or self._take_port()}",
            *arguments,
            stdout=PIPE,
            text=True,
        )
        host, _, taken = process.stdout.readline().split()[-1].partition(":")
        process.stdout.close()
        return Standin(process, Address(host, int(taken)))

    def start_server(self, server_id: str) -> None:
        """
        Start a backend server.

        :param server_id: id of the server.
        """
        self.servers[server_id] = self._start_standin(
            "registered_server",
            f"--server_id={server_id}",
            f"--runs_file={self._folder / 'runs'}",
            "--work_ms=40",
            port=self._server_ports[server_id],
        )

    def _start_link(self, name: str, target_port: int) -> None:
        port = self._take_port()
        self._link_ports[name] = port
        self.links[name] = self._start_standin(
            "faulty_link", f"--link_port={port}", f"--target_port={target_port}"
        )

    def _define_gateway(self, number: int) -> Gateway:
        sections = ("callers", "readiness", "metrics")
        ports = {section: self._take_port() for section in sections}
        return Gateway(f"front-{number}", number, ports)

    def start_gateway(self, name: str) -> None:
        """
        Start a gateway that is not running.

        :param name: id of the instance.
        """
        gateway = self.gateways[name]
        store_port = self._link_ports[f"{name}-store"]
        settings = self._folder / f"{name}.toml"
        settings.write_text(
            make_settings(name, gateway.number, gateway.ports, self._peers_port)
            + f'[store]\naddress = "{HOST}:{store_port}"\n'
        )
        log = open(self._folder / f"{name}.log", "ab")  # noqa: SIM115
        self._stack.callback(log.close)
        gateway.is_exit_expected = False
        arguments = ("--settings", str(settings))
        gateway.process = self._start(
            "cuminhatch.gateway", *arguments, stdout=log, stderr=log
        )

    def is_ready(self, name: str) -> bool:
        """
        Return whether a gateway reports that it is ready.

        :param name: id of the instance.
        """
        address = Address(HOST, self.gateways[name].ports["readiness"])
        connection = HTTPConnection(*address, timeout=CONTROL_TIMEOUT_S)
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()

    def write_row(self, table: str, key: str, value: Any) -> None:
        """
        Write a row of the store, as operators and backend servers do.

        :param table: table that holds the row.
        :param key: key of the row.
        :param value: value of the row.
        """
        row = {"table": table, "key": key, "value": value}
        call_control_port(self.store.address, "POST", "/operator", row)

    def write_registration(self, server_id: str, state: str = "ready") -> None:
        """
        Write a backend server's registration, with the address of its link.

        :param server_id: id of the server.
        :param state: ``ready`` or ``draining``.
        """
        self._states[server_id] = state
        self._sequences[server_id] += 1
        port, sequence = self._link_ports[server_id], self._sequences[server_id]
        row = make_registration(server_id, port, state, sequence)
        self.write_row("servers", server_id, row)

    def write_configuration(self, version: int) -> None:
        """
        Write a configuration, with one route named after its version.

        :param version: version number.
        """
        self._configuration_version = version
        routes = ROUTES | {f"v{version}": ("safe", "board")}
        self.write_row("op", "config", make_configuration(version, routes))

    def write_all_again(self) -> None:
        """Write what a restored store has lost: the state of all rows."""
        self.write_configuration(self._configuration_version)
        for server_id, state in self._states.items():
            self.write_registration(server_id, state)

    def list_outdated(self, version: int) -> list[str]:
        """
        Return a line for each ready gateway with an older configuration.

        :param version: version that must be in force.
        """
        return [
            f"{name} has configuration {known}, {version} was written"
            for name in self.gateways
            if self.is_ready(name)
            and (known := self._read_configuration_version(name)) < version
        ]

    def _read_configuration_version(self, name: str) -> float:
        port = self.gateways[name].ports["metrics"]
        with urlopen(f"http://{HOST}:{port}/metrics", None, CONTROL_TIMEOUT_S) as reply:
            lines = reply.read().decode().splitlines()
        (value,) = (
            line.split()[-1]
            for line in lines
            if line.startswith("cuminhatch_configuration_version")
        )
        return float(value)

    def list_unexpected_exits(self) -> list[str]:
        """Return a line for each gateway that exited unexpectedly."""
        return [
            f"{gateway.name} exited unexpectedly: {gateway.process.returncode}"
            for gateway in self.gateways.values()
            if gateway.process is not None
            and gateway.process.poll() is not None
            and not gateway.is_exit_expected
        ]

    def read_runs(self) -> list[RequestRun]:
        """Return the requests run by all servers, killed ones included."""
        path = self._folder / "runs"
        if not path.exists():
            return []
        fields = (line.split() for line in path.read_text().splitlines())
        return [RequestRun(float(at_s), *names) for at_s, *names in fields]


def kill_process(process: Popen) -> None:
    """
    Kill a process, also when it is paused.

    :param process: process that this run has started.
    """
    if process.poll() is None:
        process.kill()
    try:
        process.wait(EXIT_TIMEOUT_S)
    except TimeoutExpired:
        os.kill(process.pid, signal.SIGCONT)
        process.wait()
