"""
Whether a request is sent to another backend server.

Used by the ``forwarding`` service; ``dispatch`` uses ``retries`` instead. A
resend is any send of a request after the first one: a retry or a hedge. All
instances share one resend budget per service: within any time window, resends
stay below a ratio of the requests plus a fixed number. Instances don't see
each other's requests. Each one resends at most the ratio of its own requests
plus an equal share of the fixed number, so the sum holds whatever the other
instances do.
"""

from collections import deque
from typing import NamedTuple

# Resends in a window may belong to requests that arrived just before it and
# are not counted in it.
RATIO_USABLE_SHARE = 0.9
# Instances that this one does not know of yet spend a share of the fixed
# number as well.
EXTRA_USABLE_SHARE = 0.75
# A send that cannot be answered in time only adds load.
MIN_LEFT_MS = 20.0


class ResendLimits(NamedTuple):
    """
    Resend budget of each service, shared by all instances.

    Within ``window_ms`` there may be at most ``ratio`` times the requests plus
    ``extra`` resends.
    """

    ratio: float
    extra: float
    window_ms: float


class ResendBudget:
    """State of one instance's share of the resend budget of a service."""

    __slots__ = ("_extra_share", "_limits", "_request_times", "_resend_times")

    def __init__(self, limits: ResendLimits, instances: int) -> None:
        """
        Start without requests.

        :param limits: budget of the service over all instances.
        :param instances: number of instances that share it.
        """
        self._limits = limits
        self._request_times: deque[float] = deque()
        self._resend_times: deque[float] = deque()
        self._extra_share = 0.0
        self.set_instances(instances)

    def set_instances(self, instances: int) -> None:
        """
        Set the number of instances.

        :param instances: number of instances that share the budget.
        """
        self._extra_share = self._limits.extra * EXTRA_USABLE_SHARE / max(1, instances)

    def count_request(self, now_ms: float) -> None:
        """
        Count a caller's request for the service.

        :param now_ms: current time.
        """
        self._request_times.append(now_ms)
        self._drop_expired(now_ms)

    @property
    def left(self) -> float:
        """Return how many resends are left, as of the last counted event."""
        ratio = self._limits.ratio * RATIO_USABLE_SHARE
        allowed = ratio * len(self._request_times) + self._extra_share
        return allowed - len(self._resend_times)

    def get_left(self, now_ms: float) -> float:
        """
        Return how many resends are left in the window that ends now.

        :param now_ms: current time.
        """
        self._drop_expired(now_ms)
        return self.left

    def take(self, now_ms: float) -> bool:
        """
        Spend one resend.

        :param now_ms: current time.
        :returns: whether the budget allowed it.
        """
        if self.get_left(now_ms) < 1.0:
            return False
        self._resend_times.append(now_ms)
        return True

    def _drop_expired(self, now_ms: float) -> None:
        """Drop what has left the time window."""
        oldest_ms = now_ms - self._limits.window_ms
        for times in (self._request_times, self._resend_times):
            while times and times[0] <= oldest_ms:
                times.popleft()


class SendHistory(NamedTuple):
    """
    Earlier sends of a request.

    ``may_have_run`` tells that a backend server may have run the request.
    ``servers`` counts the servers that may have received it, and
    ``servers_max`` is the limit set by its rule. ``is_body_kept`` tells that
    the body is still buffered and can be sent again. ``left_ms`` is the time
    to the deadline.
    """

    is_idempotent: bool
    may_have_run: bool
    is_body_kept: bool
    servers: int
    servers_max: int
    left_ms: float


RESEND_BUDGET_EMPTY = "resend-budget-empty"


class ResendDenied(NamedTuple):
    """The request must not be sent again; ``reason`` says why."""

    reason: str


def check_resend(
    history: SendHistory, budget: ResendBudget, now_ms: float
) -> ResendDenied | None:
    """
    Decide whether to send a request again, and charge the budget if so.

    :param history: earlier sends of the request.
    :param budget: budget of the service.
    :param now_ms: current time.
    :returns: why the request must not be sent, None if it may be.
    """
    if history.may_have_run and not history.is_idempotent:
        return ResendDenied("may-have-run")
    if not history.is_body_kept:
        return ResendDenied("body-not-kept")
    if history.left_ms < MIN_LEFT_MS:
        return ResendDenied("no-time-left")
    if history.servers == 0:
        # No backend server has received the request, so this counts as its
        # first send.
        return None
    if history.servers >= history.servers_max:
        return ResendDenied("servers-used-up")
    if not budget.take(now_ms):
        return ResendDenied(RESEND_BUDGET_EMPTY)
    return None
