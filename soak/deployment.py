"""The processes of a run: a store, backend servers, links and gateways."""

import os
import signal
from contextlib import ExitStack
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from subprocess import PIPE, Popen, TimeoutExpired
from typing import Any, NamedTuple

import orjson

from cuminhatch.messages import Address
from cuminhatch_standins.bound_child import bound_command
from soak.documents import (
    ROUTES,
    SERVERS,
    make_configuration,
    make_registration,
    make_settings,
)
from soak.plan import Targets
from soak.promises import Run

HOST = "127.0.0.1"
GATEWAYS = 3
STOP_LIMIT_S = 8.0
ASK_LIMIT_S = 3.0
OWN_ENDS = frozenset({0, -signal.SIGKILL, -signal.SIGTERM})


class Standin(NamedTuple):
    """A stand-in and its control address."""

    process: Popen
    address: Address


class Gateway:
    """State of a gateway that is started again and again."""

    def __init__(self, name: str, number: int, ports: dict[str, int]) -> None:
        """
        Name a gateway without starting it.

        :param name: id of the instance.
        :param number: last part of its address for the others.
        :param ports: its ports by use.
        """
        self.name = name
        self.number = number
        self.ports = ports
        self.process: Popen | None = None
        # Ends that the soak has asked for.
        self.is_end_expected = False


def ask(address: Address, method: str, path: str, value: Any = None) -> Any:
    """
    Call a control port.

    :param address: the control port.
    :param method: HTTP method.
    :param path: path of the request.
    :param value: body, sent as JSON.
    :raises OSError: nothing answers.
    """
    connection = HTTPConnection(*address, timeout=ASK_LIMIT_S)
    try:
        body = None if value is None else orjson.dumps(value)
        connection.request(method, path, body)
        return orjson.loads(connection.getresponse().read() or b"null")
    finally:
        connection.close()


class Deployment:
    """State of the processes of one run; ends only what it has started."""

    def __init__(self, folder: Path, stack: ExitStack, base_port: int) -> None:
        """
        Start everything but the gateways.

        :param folder: receives settings, logs and runs.
        :param stack: ends the processes when it is closed.
        :param base_port: first of the ports that the run uses.
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
        for server_id in SERVERS:
            self._server_ports[server_id] = self._take_port()
            self.start_server(server_id)
            self._start_link(server_id, self._server_ports[server_id])
        self.gateways = {
            f"front-{number}": self._plan_gateway(number)
            for number in range(1, GATEWAYS + 1)
        }
        for gateway in self.gateways.values():
            self._start_link(f"{gateway.name}-store", self.store.address.port)

    @property
    def targets(self) -> Targets:
        """Return what faults can concern."""
        return Targets(tuple(self.gateways), tuple(SERVERS), tuple(self.links))

    def _take_port(self) -> int:
        self._next_port += 1
        return self._next_port

    def _start(self, module: str, *arguments: str, **popen: Any) -> Popen:
        process = Popen(bound_command(module, *arguments), **popen)
        self._stack.callback(end_process, process)
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
        Start a backend server, and register it as its link's address.

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

    def _plan_gateway(self, number: int) -> Gateway:
        uses = ("callers", "readiness", "metrics")
        ports = {use: self._take_port() for use in uses}
        return Gateway(f"front-{number}", number, ports)

    def start_gateway(self, name: str) -> None:
        """
        Start a gateway that does not run.

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
        gateway.is_end_expected = False
        arguments = ("--settings", str(settings))
        gateway.process = self._start(
            "cuminhatch.gateway", *arguments, stdout=log, stderr=log
        )

    def is_ready(self, name: str) -> bool:
        """
        Tell whether a gateway says that it is ready.

        :param name: id of the instance.
        """
        address = Address(HOST, self.gateways[name].ports["readiness"])
        connection = HTTPConnection(*address, timeout=ASK_LIMIT_S)
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()

    def write(self, table: str, key: str, value: Any) -> None:
        """
        Write a row of the store as operators and servers do.

        :param table: table of the row.
        :param key: its key.
        :param value: its value.
        """
        row = {"table": table, "key": key, "value": value}
        ask(self.store.address, "POST", "/operator", row)

    def register(self, server_id: str, state: str = "ready") -> None:
        """
        Write the registration of a server.

        :param server_id: id of the server.
        :param state: ``ready`` or ``draining``.
        """
        port = self._link_ports[server_id]
        self.write("servers", server_id, make_registration(server_id, port, state))

    def configure(self, version: int) -> None:
        """
        Write a configuration; each has a route named by its version.

        :param version: its number.
        """
        routes = ROUTES | {f"v{version}": ("safe", "board")}
        self.write("op", "config", make_configuration(version, routes))

    def list_own_ends(self) -> list[str]:
        """Return the gateways that have ended without being asked to."""
        return [
            f"{gateway.name} ended by itself with {gateway.process.returncode}"
            for gateway in self.gateways.values()
            if gateway.process is not None
            and gateway.process.poll() is not None
            and not gateway.is_end_expected
        ]

    def read_runs(self) -> list[Run]:
        """Return all runs at all servers, also at those that were killed."""
        path = self._folder / "runs"
        if not path.exists():
            return []
        fields = (line.split() for line in path.read_text().splitlines())
        return [Run(float(at_s), *names) for at_s, *names in fields]


def end_process(process: Popen) -> None:
    """
    End a process that a run has started, paused or not.

    :param process: the process.
    """
    if process.poll() is None:
        process.kill()
    try:
        process.wait(STOP_LIMIT_S)
    except TimeoutExpired:
        os.kill(process.pid, signal.SIGCONT)
        process.wait()
