"""
Messages between ``forwarding`` and ``loads``, which measures load.

``loads`` sends its probes through ``backends``, whose replies are those of
``http_client``. It runs in a gateway, which measures load by health checks. In
a daemon, ``probes`` does it by probes; see ``cuminhatch.messages.peers``.
"""

from math import inf
from typing import NamedTuple

from cuminhatch.decisions.server_records import ServerLoad
from cuminhatch.messages.address import Address

# Reason of a health check whose response claims to be that of a request.
MISPLACED_RESPONSE = "response of another request"


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


class ProbeRequested(NamedTuple):
    """
    A load probe is to be sent to a backend server.

    ``timeout_ms`` limits the time until the response is complete.
    """

    reply_to: str
    token: int
    server_id: str
    address: Address
    path: str
    timeout_ms: float


class ProbeResponseRejected(NamedTuple):
    """
    The response to a probe belongs to another request.

    The own one may still follow, so the connection is to be closed as long as
    no other attempt uses it.
    """

    requester: str
    token: int


class HealthCheckAnswered(NamedTuple):
    """
    A backend server has answered a health check.

    ``load`` is None if the response reports none, as is ``warmup_left_ms``,
    the time until the server is warmed up. ``asked_ms`` is when the health
    check was sent.
    """

    server_id: str
    is_healthy: bool
    load: ServerLoad | None
    warmup_left_ms: float | None = None
    asked_ms: float = -inf


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
