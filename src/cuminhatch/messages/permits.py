"""Messages between ``permits`` and the services that need permits."""

from typing import NamedTuple

from cuminhatch.decisions.permits import Permit


class PermitRequested(NamedTuple):
    """
    A permit of any of these backend servers is wanted.

    ``kind`` is ``long`` or ``probe``. ``server_ids`` are in order of
    preference. ``deadline_ms`` is monotonic.
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
    """No permit could be had before the deadline."""

    token: int
    reason: str


class PermitReturned(NamedTuple):
    """The permit is not used any more."""

    permit: Permit


class PermitNeeded(NamedTuple):
    """To ``peers``: another instance holds permits that are wanted here."""

    holder_id: str
    kind: str
    server_id: str


class PermitWanted(NamedTuple):
    """From ``peers``: another instance asks for a permit held here."""

    instance_id: str
    kind: str
    server_id: str
