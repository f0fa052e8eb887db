"""Messages about the lifecycle of the process."""

from math import inf
from typing import Any, NamedTuple


class DrainRequested(NamedTuple):
    """The process is to shut down gracefully."""

    reason: str


class DrainAnnounced(NamedTuple):
    """
    Health checks report not ready; requests are still accepted.

    A listener forwards no more requests ahead of their turn: their responses
    could still wait for an earlier one when the process ends.
    """


class DrainStarted(NamedTuple):
    """
    The receiver is to complete its work, then report :class:`DrainFinished`.

    A listener accepts no more connections and closes each open one after its
    next response, which announces the close.
    """


class StopScheduled(NamedTuple):
    """
    The process will end; times are monotonic.

    A request received from ``late_from_ms`` on is not to be sent to a backend
    server unless its response is expected well before ``ends_ms``; one that is
    received from ``refused_from_ms`` on only if its deadline is before that.
    """

    late_from_ms: float
    ends_ms: float
    refused_from_ms: float = inf


class DrainLimitReached(NamedTuple):
    """
    The process ends now; every request is to get its final response.

    Responses that are complete are sent, requests without one are refused or
    end with an unknown outcome.
    """


class ReadinessChanged(NamedTuple):
    """A service, named by ``part``, has become ready or not ready."""

    part: str
    is_ready: bool
    reason: str


class DrainFinished(NamedTuple):
    """A service, named by ``part``, has finished its remaining work."""

    part: str


class StatusReported(NamedTuple):
    """State of a part of the process, for operators and health checks."""

    part: str
    values: dict[str, Any]


class RequestFailed(NamedTuple):
    """A handler failed while processing a caller's request."""

    request_id: int
    reason: str


class SettingsChanged(NamedTuple):
    """The settings file was reloaded with changed settings."""

    settings: Any
