"""
What the accepted release notes add up to.

A :class:`Configuration` is immutable; each accepted note gives a new one with
a higher sequence number.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class Rule(NamedTuple):
    """
    How requests of one kind are served.

    A rule matches a request by method (``*`` for any) and by the longest
    path prefix. ``work_class`` is ``short`` or ``long``. ``deadline_ms`` is
    used where the caller gives none. ``response_timeout_ms`` bounds the wait
    for the next part of a response.
    """

    rule_id: str
    service_id: str
    method: str
    path_prefix: str
    work_class: str = "short"
    is_idempotent: bool = True
    deadline_ms: float = 2000.0
    response_timeout_ms: float = 1000.0


class ServiceSpec(NamedTuple):
    """
    Limits that hold for all backend servers of a service.

    ``probe_rate`` is in probes a second per backend server over all
    instances. ``long_slots`` bounds long work per backend server over all
    instances; 0 stands for a third of its slots.
    """

    service_id: str
    instances_max: int = 24
    probe_rate: float = 2.0
    long_slots: int = 0
    slow_start_ms: float = 5000.0


class BackendServer(NamedTuple):
    """One backend server of a service."""

    server_id: str
    service_id: str
    host: str
    port: int
    failure_domain: str
    slots: int
    connections: int


class Configuration(NamedTuple):
    """All services, backend servers and rules in force."""

    sequence: int
    services: Mapping[str, ServiceSpec]
    servers: Mapping[str, BackendServer]
    rules: Mapping[str, Rule]


EMPTY_CONFIGURATION = Configuration(
    0, MappingProxyType({}), MappingProxyType({}), MappingProxyType({})
)


def servers_of(
    configuration: Configuration, service_id: str
) -> tuple[BackendServer, ...]:
    """
    Return the backend servers of a service.

    :param configuration: configuration in force.
    :param service_id: id of the service.
    :returns: its backend servers, in the order of the notes.
    """
    return tuple(
        server
        for server in configuration.servers.values()
        if server.service_id == service_id
    )
