"""Harness for gateways as processes, with stand-ins around them."""

import json
from contextlib import ExitStack, contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

from cuminhatch.messages import Address
from soak.documents import ROUTES, make_configuration
from tests.support import (
    Program,
    free_port,
    http_request,
    running_standin,
    start_program,
    stop_process,
    wait_for_port,
    wait_until,
)

SETTINGS = """
[instance]
id = "{name}"
failure_domain = "here"
[callers]
address = "127.0.0.1:{callers}"
[readiness]
address = "127.0.0.1:{readiness}"
[metrics]
address = "127.0.0.1:{metrics}"
[peers]
address = "127.0.0.{number}:{peers}"
key = "secret"
seeds = [{seeds}]
[store]
address = "{store}"
[resends]
ratio = 0.2
extra = 60
window_ms = 10000
[placement]
probes_per_s = 600
[drain]
announce_ms = 300
total_ms = 3600
"""
SERVERS = {"board": ("b1", "b2"), "ledger": ("l1", "l2")}


class Gateway(NamedTuple):
    """A gateway and its addresses; that of the program is for callers."""

    program: Program
    readiness: Address
    metrics: Address
    log: Path

    @property
    def is_ready(self):
        try:
            return http_request(self.readiness, "GET", "/readiness").status == 200
        except OSError:
            return False

    @property
    def lines(self):
        """Return the events in the log so far."""
        return [
            json.loads(line)
            for line in self.log.read_text().splitlines()
            if line.startswith("{")
        ]

    def send_request(self, route, attempt_id, wait_ms=3_000, body=None, **more):
        """Send a request with the headers that callers send, and ``more``."""
        headers = {
            "Host": "desk.example",
            "Attempt-Id": attempt_id,
            "Request-Deadline": str(wait_ms),
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        method = "POST" if body is not None else "GET"
        return self.program.request(method, f"/{route}/7?x=1", body, headers)


class GatewayCluster(NamedTuple):
    """Gateways, the metadata store, and backend servers by id."""

    gateways: list[Gateway]
    store: Program
    servers: dict[str, Program]
    stack: ExitStack
    directory: Path
    more_settings: str = ""

    def write(self, table, key, value):
        """Write a row as operators and servers do; None removes it."""
        row = {"table": table, "key": key}
        if value is not None:
            row["value"] = value
        response = self.store.request("POST", "/operator", json.dumps(row))
        assert response.status == 200

    def register(self, server_id, **fields):
        """Write the registration of a running server."""
        service = next(name for name, ids in SERVERS.items() if server_id in ids)
        host, port = self.servers[server_id].address
        registration = {
            "service": service,
            "address": f"{host}:{port}",
            "zone": "here",
            "version": "v1",
            "slots": 3,
            "state": "ready",
            "warmup-left-ms": 0,
            "sequence": 1,
        }
        self.write("servers", server_id, registration | fields)

    def configure(self, version, **routes):
        """Write a configuration with changes to the default routes."""
        chosen = {name: value for name, value in (ROUTES | routes).items() if value}
        self.write("op", "config", make_configuration(version, chosen))

    def configure_teams(self, version, keys, anonymous=()):
        """Write a configuration with keys of teams, by their names."""
        configuration = make_configuration(version, ROUTES, keys, anonymous)
        self.write("op", "config", configuration)

    def runs(self):
        """Return the attempt ids of all runs on all servers."""
        return [
            run["id"]
            for server in self.servers.values()
            if server.process.poll() is None
            for run in server.request("GET", "/runs").value
        ]

    def start_gateway(self, number):
        """Start another gateway."""
        gateway = start_gateway(self, number)
        self.gateways.append(gateway)
        return gateway


def start_gateway(cluster, number):
    """Start a gateway; each has its own loopback address for peers."""
    ports = {name: free_port() for name in ("callers", "readiness", "metrics")}
    name = f"front-{number}"
    host, port = cluster.store.address
    text = SETTINGS.format(
        name=name,
        number=number,
        peers=PEERS_PORT,
        seeds='"127.0.0.1:1"' if number > 1 else "",
        store=f"{host}:{port}",
        **ports,
    )
    settings = cluster.directory / f"{name}.toml"
    settings.write_text(text + cluster.more_settings)
    log = cluster.directory / f"{name}.log"
    output = cluster.stack.enter_context(log.open("w"))
    process = start_program(
        "cuminhatch.gateway", "--settings", settings, stdout=output, stderr=output
    )
    cluster.stack.callback(stop_process, process)
    address = Address("127.0.0.1", ports["callers"])
    wait_for_port(address, process)
    readiness = Address("127.0.0.1", ports["readiness"])
    metrics = Address("127.0.0.1", ports["metrics"])
    return Gateway(Program(process, address), readiness, metrics, log)


# The same on each loopback address, and of no other test run.
PEERS_PORT = free_port()


@contextmanager
def running_gateways(more_settings=""):
    """
    Run two gateways and wait until they are ready.

    :param more_settings: sections that are added to their settings.
    """
    with ExitStack() as stack, TemporaryDirectory() as directory:
        store = stack.enter_context(running_standin("metadata_store"))
        servers = {
            server_id: stack.enter_context(
                running_standin("registered_server", server_id=server_id)
            )
            for ids in SERVERS.values()
            for server_id in ids
        }
        cluster = GatewayCluster(
            [], store, servers, stack, Path(directory), more_settings
        )
        for server_id in servers:
            cluster.register(server_id)
        cluster.configure(1)
        for number in (1, 2):
            cluster.start_gateway(number)
        for gateway in cluster.gateways:
            wait_until(lambda gateway=gateway: gateway.is_ready, "readiness")
        yield cluster
