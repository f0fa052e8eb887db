"""Sizes of the two deployments, and the notes that the bench submits."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from bench.fleet import Fleet, ServiceSize
from cuminhatch.clock import MS_PER_SECOND

# One backend server alone, so that a call through a daemon and a direct call
# reach the same one.
SINGLE = ServiceSize("single", 1, 3, 200, 0.0)
SHORT_PATH = "/short"
LONG_PATH = "/long"
SINGLE_PATH = "/single"
LONG_WORK_MS = 500.0
SHORT_DEADLINE_MS = 2000.0
LONG_DEADLINE_MS = 60_000.0
PROBE_RATE = 2.0


class Deployment(NamedTuple):
    """
    A deployment of the design; the first service gets the load.

    ``daemons`` is the number for each choice policy, as few as carry three
    times the capacity.
    """

    name: str
    domains: tuple[str, ...]
    services: tuple[ServiceSize, ...]
    daemons: int

    @property
    def loaded(self) -> ServiceSize:
        """Return the service that gets the load."""
        return self.services[0]

    @property
    def capacity(self) -> float:
        """Return short requests per second that the service can run."""
        size = self.loaded
        return size.servers * size.slots * MS_PER_SECOND / size.work_ms

    @property
    def long_slots(self) -> int:
        """Return the long requests that the service runs at a time."""
        return self.loaded.servers * max(1, self.loaded.slots // 3)


DEPLOYMENTS: Mapping[str, Deployment] = MappingProxyType(
    {
        "blue-mahoe": Deployment(
            "blue-mahoe",
            ("Kingston", "Morant", "Spanish Town"),
            (
                ServiceSize("status-board", 10, 3, 200, 30.0),
                ServiceSize("dispatch-ledger", 6, 3, 200, 30.0),
                ServiceSize("archive-depot", 10, 3, 200, 30.0),
            ),
            2,
        ),
        # Work of 60 ms: with more slots than Blue Mahoe, shorter work at three
        # times the capacity would need more cores than the load tool leaves.
        "macaulay": Deployment(
            "macaulay",
            ("Leith", "Falkirk", "Paisley"),
            (
                ServiceSize("stockd", 14, 6, 250, 60.0),
                ServiceSize("tillbox", 9, 6, 250, 60.0),
                ServiceSize("reelhouse", 14, 6, 250, 60.0),
            ),
            3,
        ),
    }
)


def write_note(deployment: Deployment, fleet: Fleet) -> str:
    """
    Write the note that puts a deployment in force.

    :param deployment: its sizes.
    :param fleet: backend servers that have been started.
    :returns: the note in TOML.
    """
    lines = [
        f'id = "bench-{deployment.name}"\nauthor = "bench"\nsummary = "bench sizes"'
    ]
    for size in (*deployment.services, SINGLE):
        lines.append(
            f'[[service]]\nid = "{size.service_id}"\nprobe_rate = {PROBE_RATE}'
        )
        for number, address in enumerate(fleet.backends[size.service_id]):
            host, _, port = address.rpartition(":")
            domain = deployment.domains[number % len(deployment.domains)]
            lines.append(
                f'[[backend_server]]\nid = "{size.service_id}-{number}"\n'
                f'service_id = "{size.service_id}"\nhost = "{host}"\nport = {port}\n'
                f'failure_domain = "{domain}"\nslots = {size.slots}\n'
                f"connections = {size.connections}"
            )
    rules = (
        (SHORT_PATH, deployment.loaded, "short", SHORT_DEADLINE_MS),
        (LONG_PATH, deployment.loaded, "long", LONG_DEADLINE_MS),
        (SINGLE_PATH, SINGLE, "short", SHORT_DEADLINE_MS),
    )
    for path, size, work_class, deadline_ms in rules:
        lines.append(
            f'[[rule]]\nid = "{path[1:]}"\nservice_id = "{size.service_id}"\n'
            f'method = "GET"\npath_prefix = "{path}"\nwork_class = "{work_class}"\n'
            f"deadline_ms = {deadline_ms}\nresponse_timeout_ms = 5000.0"
        )
    return "\n".join(lines) + "\n"
