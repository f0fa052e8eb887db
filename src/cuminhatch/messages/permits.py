"""Messages between ``permits`` and the services that need permits."""

from typing import NamedTuple

from cuminhatch.decisions.permits import Permit


class PermitRequested(NamedTuple):
    """
    A permit for any of these backend servers is requested.

    ``kind`` is ``long`` or ``probe``. ``server_ids`` are in order of
    preference. ``deadline_ms`` is in monotonic time.
    """

    reply_to: str
    token: int
    kind: str
    server_ids: tuple[str, ...]
    deadline_ms: float


class PermitGranted(NamedTuple):
    """The receiver may use the permit until it returns it."""

    token: int
    permit: Permit


class PermitRefused(NamedTuple):
    """No permit was available before the deadline."""

    token: int
    reason: str


class PermitReturned(NamedTuple):
    """The permit is no longer in use."""

    permit: Permit


class RemotePermitNeeded(NamedTuple):
    """To ``peers``: this instance needs a permit held by another instance."""

    holder_id: str
    kind: str
    server_id: str


class PermitReleaseRequested(NamedTuple):
    """From ``peers``: another instance needs a permit of this kind."""

    instance_id: str
    kind: str
    server_id: str
