"""Messages between ``peers``, ``probes`` and the rest of the daemon."""

from typing import NamedTuple

from cuminhatch.decisions.membership import Member


class LoadObserved(NamedTuple):
    """
    Load of a backend server, as observed by this or another instance.

    ``observed_ms`` is the monotonic time of this process; ``latency_ms`` is
    that of the probe, 0 without a probe; ``source`` is ``probe``, ``answer``
    (a response to a request) or ``peer``.
    """

    server_id: str
    in_flight: int
    queued: int
    slots: int
    latency_ms: float
    is_leaving: bool
    observed_ms: float
    source: str


class ProbeFailed(NamedTuple):
    """A probe of a backend server has failed."""

    server_id: str
    reason: str


class MembershipChanged(NamedTuple):
    """The members known to this instance have changed."""

    members: tuple[Member, ...]


class LeavingServersChanged(NamedTuple):
    """The platform lists these backend servers, and no others, as leaving."""

    leaving_ids: frozenset[str]
