"""Messages about the life cycle of the daemon."""

from typing import Any, NamedTuple


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


class DrainFinished(NamedTuple):
    """A part of the daemon has nothing left to finish."""

    part: str


class StatusReported(NamedTuple):
    """What a part of the daemon shows operators of its state."""

    part: str
    values: dict[str, Any]


class RequestFailed(NamedTuple):
    """A handler failed while it worked on a request of a caller."""

    request_id: int
    reason: str


class SettingsChanged(NamedTuple):
    """The settings file has been read again, and differs."""

    settings: Any
