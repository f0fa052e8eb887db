"""
Messages between ``forwarding`` and ``loads``, which measures load.

Both run in a gateway, which measures load by health checks. In a daemon,
``probes`` does it by probes; see ``cuminhatch.messages.peers``.
"""

from typing import NamedTuple

from cuminhatch.decisions.server_records import ServerLoad
from cuminhatch.messages.address import Address


class LoadTarget(NamedTuple):
    """
    A backend server whose load is to be measured, by a health check.

    ``is_near`` tells whether it is in the failure domain of this instance.
    """

    server_id: str
    address: Address
    path: str
    is_near: bool


class LoadsRequested(NamedTuple):
    """
    The load of some servers is to be measured within ``wait_ms``.

    For each of the ``targets`` that may not be probed now, one of the
    ``spare_targets`` is probed instead, in their order.
    """

    reply_to: str
    token: int
    targets: tuple[LoadTarget, ...]
    spare_targets: tuple[LoadTarget, ...]
    wait_ms: float


class HealthCheckAnswered(NamedTuple):
    """
    A backend server has answered a health check.

    ``load`` is None if the response reports none.
    """

    server_id: str
    is_healthy: bool
    load: ServerLoad | None


class HealthCheckFailed(NamedTuple):
    """
    A health check got no response, or one from another server.

    ``is_unreachable`` is True if nothing, or another server, listens at the
    address.
    """

    server_id: str
    is_unreachable: bool
    reason: str


class HealthCheckConnectionClosed(NamedTuple):
    """
    A backend server has closed the connection of a health check.

    This does not count as a failure: the server may have too many connections,
    or may have closed an idle one.
    """

    server_id: str
    reason: str


class LoadsMeasured(NamedTuple):
    """All observations made in time were sent; others may follow late."""

    token: int
