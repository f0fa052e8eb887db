"""Messages between ``forwarding`` and the service that measures load."""

from typing import NamedTuple

from cuminhatch.decisions.server_records import ServerLoad
from cuminhatch.messages.address import Address


class LoadTarget(NamedTuple):
    """A backend server to be asked for its load."""

    server_id: str
    address: Address
    path: str


class LoadsRequested(NamedTuple):
    """The load of some servers is needed within a time."""

    reply_to: str
    token: int
    targets: tuple[LoadTarget, ...]
    wait_ms: float


class ServerObserved(NamedTuple):
    """
    A backend server has answered a health check.

    ``load`` is None if it tells none.
    """

    server_id: str
    is_healthy: bool
    load: ServerLoad | None


class ServerSilent(NamedTuple):
    """
    A health check got no answer.

    ``is_unreachable`` tells that nothing listens there, or another server.
    """

    server_id: str
    is_unreachable: bool
    reason: str


class ServerTurnedAway(NamedTuple):
    """
    A backend server has ended the connection of a health check.

    One that has too many connections does, and so does one that has closed an
    idle connection; neither has failed.
    """

    server_id: str
    reason: str


class LoadsMeasured(NamedTuple):
    """What answered in time has been told; the rest comes late or never."""

    token: int
