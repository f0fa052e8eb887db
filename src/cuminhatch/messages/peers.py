"""Messages between ``peers``, ``probes`` and the rest of the daemon."""

from typing import NamedTuple

from cuminhatch.decisions.membership import Member


class LoadObserved(NamedTuple):
    """
    What is known of the load of a backend server.

    ``observed_ms`` is monotonic time of this process; ``latency_ms`` is that
    of the probe, 0 if there was none; ``source`` is ``probe``, ``answer`` or
    ``peer``.
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
    """A backend server did not answer a probe."""

    server_id: str
    reason: str


class MembershipChanged(NamedTuple):
    """The view of the other instances has changed."""

    members: tuple[Member, ...]


class InstanceListChanged(NamedTuple):
    """The platform's list names these ids as leaving."""

    leaving_ids: frozenset[str]
