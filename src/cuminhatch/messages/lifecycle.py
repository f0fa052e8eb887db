"""Messages about the life cycle of the daemon."""

from typing import NamedTuple


class DrainRequested(NamedTuple):
    """The daemon is to stop without cutting off a request."""

    reason: str


class DrainAnnounced(NamedTuple):
    """The health answer is not ready; requests are still accepted."""


class DrainStarted(NamedTuple):
    """No new connections; answers close theirs."""


class ReadinessChanged(NamedTuple):
    """A part of the daemon has become ready or not ready."""

    part: str
    is_ready: bool
    reason: str
