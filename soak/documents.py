"""Gateway settings, and rows that operators and servers write to the store."""

from collections.abc import Collection, Mapping, Sequence
from typing import Any

import orjson

HOST = "127.0.0.1"
# Service of each backend server, by server id.
SERVERS = {
    **{f"b{number}": "board" for number in (1, 2, 3)},
    **{f"l{number}": "ledger" for number in (1, 2, 3)},
}
ROUTES = {"status": ("safe", "board"), "confirm": ("unsafe", "ledger")}
# The platform sends SIGKILL this long after SIGTERM.
TERMINATION_GRACE_MS = 5_000
ROUTE_TIMEOUT_MS = 4_000
DRAIN_ANNOUNCE_MS = 1_000
# A draining server gets no new requests after this time.
DRAIN_GRACE_MS = 2_000


def make_settings(
    name: str, number: int, ports: dict[str, int], peers_port: int
) -> str:
    """
    Return the settings of a gateway, without the store's address.

    :param name: id of the instance.
    :param number: last octet of its address for peers.
    :param ports: its ports, by section of the settings.
    :param peers_port: port on which all instances listen for peers.
    """
    seeds = [f"{HOST}:{peers_port}"] if number > 1 else []
    sections = {
        "instance": {"id": name, "failure_domain": "here"},
        **{use: {"address": f"{HOST}:{port}"} for use, port in ports.items()},
        "peers": {
            "address": f"127.0.0.{number}:{peers_port}",
            "key": "soak",
            "seeds": seeds,
        },
        "resends": {"ratio": 0.2, "extra": 60, "window_ms": 10_000},
        "placement": {"probes_per_s": 600},
        "drain": {"announce_ms": DRAIN_ANNOUNCE_MS, "total_ms": TERMINATION_GRACE_MS},
    }
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        # Strings, numbers and lists of strings are the same in JSON and TOML.
        lines += [f"{key} = {orjson.dumps(v).decode()}" for key, v in values.items()]
    return "\n".join(lines) + "\n"


def make_registration(
    server_id: str, port: int, state: str, sequence: int
) -> dict[str, Any]:
    """
    Return the registration of a backend server.

    :param server_id: id of the server.
    :param port: port of its link, which forwards to the server.
    :param state: ``ready`` or ``draining``.
    :param sequence: how often the server has registered.
    """
    return {
        "service": SERVERS[server_id],
        "address": f"{HOST}:{port}",
        "zone": "here",
        "version": "v1",
        "slots": 3,
        "state": state,
        "warmup-left-ms": 0,
        "sequence": sequence,
    }


def make_configuration(
    version: int,
    routes: Mapping[str, tuple[str, str]],
    keys: Mapping[str, Sequence[str]] | None = None,
    anonymous: Collection[str] = (),
) -> dict[str, Any]:
    """
    Return the configuration that the operator writes.

    :param version: version number.
    :param routes: kind and service of each route, by its name, which is also
        the first segment of its path.
    :param keys: keys of each team, by its name; None for no teams.
    :param anonymous: names of the routes whose requests need no key.
    """
    configuration = {
        "version": f"r{version}",
        "routes": [
            {
                "name": name,
                "host": "desk.example",
                "prefix": f"/{name}/",
                "kind": kind,
                "timeout-ms": ROUTE_TIMEOUT_MS,
                "target-latency-ms": 500,
                "priority": 1,
                "service": service,
                "max-attempts": 2,
                **({"anonymous": True} if name in anonymous else {}),
            }
            for name, (kind, service) in routes.items()
        ],
        "services": [
            {"name": name, "health-path": "/health", "max-conns": 200}
            for name in sorted(set(SERVERS.values()))
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1_000_000,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
    }
    if keys is not None:
        configuration["tenants"] = [
            {"name": team_id, "api-keys": list(team_keys)}
            for team_id, team_keys in keys.items()
        ]
    return configuration
