"""Sizes of the two deployments, and the notes that configure them."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from bench.fleet import Fleet, ServiceSize
from cuminhatch.clock import MS_PER_SECOND

# A service with a single backend server, so that a direct call and a call
# through a daemon reach the same server.
SINGLE_SERVER = ServiceSize("single", 1, 3, 200, 0.0)
SHORT_PATH = "/short"
LONG_PATH = "/long"
SINGLE_PATH = "/single"
LONG_WORK_MS = 500.0
SHORT_DEADLINE_MS = 2000.0
LONG_DEADLINE_MS = 60_000.0
PROBE_RATE = 2.0


class DeploymentSpec(NamedTuple):
    """
    Sizes of a deployment and its services, of which the first gets the load.

    ``daemons`` is the number of daemons for each choice policy: the fewest
    that can handle arrivals at three times the capacity.
    """

    name: str
    domains: tuple[str, ...]
    services: tuple[ServiceSize, ...]
    daemons: int

    @property
    def loaded_service(self) -> ServiceSize:
        """Return the service that gets the load."""
        return self.services[0]

    @property
    def capacity(self) -> float:
        """Return how many short requests per second the service can run."""
        size = self.loaded_service
        return size.servers * size.slots * MS_PER_SECOND / size.work_ms

    @property
    def long_slots(self) -> int:
        """
        Return how many long requests the service runs concurrently.

        Daemons let long work use a third of the slots of a server, but at
        least one.
        """
        return self.loaded_service.servers * max(1, self.loaded_service.slots // 3)


DEPLOYMENTS: Mapping[str, DeploymentSpec] = MappingProxyType(
    {
        "blue-mahoe": DeploymentSpec(
            "blue-mahoe",
            ("Kingston", "Morant", "Spanish Town"),
            (
                ServiceSize("status-board", 10, 3, 200, 30.0),
                ServiceSize("dispatch-ledger", 6, 3, 200, 30.0),
                ServiceSize("archive-depot", 10, 3, 200, 30.0),
            ),
            2,
        ),
        # This deployment has more slots than Blue Mahoe. With work shorter
        # than 60 ms, three times the capacity would need more cores than the
        # load generators leave free.
        "macaulay": DeploymentSpec(
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


def format_note(deployment: DeploymentSpec, fleet: Fleet) -> str:
    """
    Return the note that configures a deployment.

    :param deployment: deployment to configure.
    :param fleet: fleet whose backend servers have been started.
    :returns: the note in TOML.
    """
    lines = [
        f'id = "bench-{deployment.name}"\nauthor = "bench"\nsummary = "bench sizes"'
    ]
    for size in (*deployment.services, SINGLE_SERVER):
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
        (SHORT_PATH, deployment.loaded_service, "short", SHORT_DEADLINE_MS),
        (LONG_PATH, deployment.loaded_service, "long", LONG_DEADLINE_MS),
        (SINGLE_PATH, SINGLE_SERVER, "short", SHORT_DEADLINE_MS),
    )
    for path, size, work_class, deadline_ms in rules:
        lines.append(
            f'[[rule]]\nid = "{path[1:]}"\nservice_id = "{size.service_id}"\n'
            f'method = "GET"\npath_prefix = "{path}"\nwork_class = "{work_class}"\n'
            f"deadline_ms = {deadline_ms}\nresponse_timeout_ms = 5000.0"
        )
    return "\n".join(lines) + "\n"
