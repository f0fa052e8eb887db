"""
When a request is sent to a second backend server.

All instances share one budget per service: in any window the arrivals beyond
the first of each request stay below a share of the requests plus a fixed
number. Instances don't see each other's requests. Each spends at most the
share of its own requests and an equal part of the fixed number, so the sum
holds whatever the others do.
"""

from collections import deque
from typing import NamedTuple

# Requests just before the window are counted by no instance, while their
# second sends may fall into it.
RATIO_RESERVE = 0.9
# Instances that are not known yet spend a part of the fixed number as well.
EXTRA_RESERVE = 0.75
# A send that cannot be answered in time only adds load.
MIN_LEFT_MS = 20.0


class ResendLimits(NamedTuple):
    """The budget that all instances share, for each service."""

    ratio: float
    extra: float
    window_ms: float


class ResendBudget:
    """State of one instance's part of the budget of one service."""

    __slots__ = ("_limits", "_requests", "_resends", "_share")

    def __init__(self, limits: ResendLimits, instances: int) -> None:
        """
        Start without requests.

        :param limits: budget of the service over all instances.
        :param instances: instances that share it.
        """
        self._limits = limits
        self._requests: deque[float] = deque()
        self._resends: deque[float] = deque()
        self._share = 0.0
        self.set_instances(instances)

    def set_instances(self, instances: int) -> None:
        """
        Take a changed number of instances.

        :param instances: instances that share the budget.
        """
        self._share = self._limits.extra * EXTRA_RESERVE / max(1, instances)

    def note_request(self, now_ms: float) -> None:
        """
        Count a request of a caller for the service.

        :param now_ms: current time.
        """
        self._requests.append(now_ms)
        self._forget(now_ms)

    @property
    def left(self) -> float:
        """Return how many sends are left, as of the last call."""
        ratio = self._limits.ratio * RATIO_RESERVE
        allowed = ratio * len(self._requests) + self._share
        return allowed - len(self._resends)

    def take(self, now_ms: float) -> bool:
        """
        Take one second send.

        :param now_ms: current time.
        :returns: whether there was one left.
        """
        self._forget(now_ms)
        if self.left < 1.0:
            return False
        self._resends.append(now_ms)
        return True

    def _forget(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._limits.window_ms
        for times in (self._requests, self._resends):
            while times and times[0] <= oldest_ms:
                times.popleft()


class SendHistory(NamedTuple):
    """
    What is known of the earlier sends of a request.

    ``is_maybe_run`` tells that a backend server may have run it. ``servers``
    counts those that may have received it; ``servers_max`` is the bound of
    its rule. ``is_body_kept`` tells that the body can be sent again.
    """

    is_idempotent: bool
    is_maybe_run: bool
    is_body_kept: bool
    servers: int
    servers_max: int
    left_ms: float


class ResendDenied(NamedTuple):
    """Sentinel: the request must not be sent again."""

    reason: str


def check_resend(
    history: SendHistory, budget: ResendBudget, now_ms: float
) -> ResendDenied | None:
    """
    Decide whether a request is sent once more; an allowed send is paid for.

    :param history: its earlier sends.
    :param budget: budget of the service.
    :param now_ms: current time.
    :returns: the reason against it, None if it may be sent.
    """
    if history.is_maybe_run and not history.is_idempotent:
        return ResendDenied("may-have-run")
    if not history.is_body_kept:
        return ResendDenied("body-not-kept")
    if history.left_ms < MIN_LEFT_MS:
        return ResendDenied("no-time-left")
    if history.servers == 0:
        # Nothing has reached a backend server, so this is the first send.
        return None
    if history.servers >= history.servers_max:
        return ResendDenied("servers-used-up")
    if not budget.take(now_ms):
        return ResendDenied("resend-budget-empty")
    return None
