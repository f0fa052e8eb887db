"""
Limit on the load probes that one instance sends to a backend server.

Load probes are sent before a placement, by every instance; the periodic probes
of ``probing`` are others, sent only by the holder of the probing permit.

A server is probed mostly by the instances of its failure domain, which prefer
it. They divide most of its budget among them; the rest is divided among all
instances. So the share of an instance does not vanish in a large fleet.
"""

from cuminhatch.clock import MS_PER_SECOND

# Requests arrive in bursts; the bucket holds the tokens of this period.
BURST_MS = 4_000.0
# The rest is a reserve for instances that this one does not know of yet.
USABLE_SHARE = 0.8
# Share of a server's budget for the instances in its failure domain.
NEAR_SHARE = 0.6


def share_probe_budget(
    probes_per_s: float, instances: int, near_instances: int, is_near: bool
) -> float:
    """
    Return this instance's share of the probe budget of a backend server.

    The shares of all instances add up to at most the usable budget, however
    the instances are spread over the failure domains.

    :param probes_per_s: probe budget of a server, over all instances.
    :param instances: number of instances.
    :param near_instances: number of instances in this failure domain.
    :param is_near: whether the server is in this failure domain.
    :returns: probes per second.
    """
    usable_per_s = probes_per_s * USABLE_SHARE
    far_per_s = usable_per_s * (1.0 - NEAR_SHARE) / max(1, instances)
    if not is_near:
        return far_per_s
    return far_per_s + usable_per_s * NEAR_SHARE / max(1, near_instances)


class ProbeAllowance:
    """State of the token bucket of one backend server."""

    __slots__ = ("_capacity", "_refilled_ms", "_tokens", "_tokens_per_s")

    def __init__(self, probes_per_s: float, now_ms: float) -> None:
        """
        Start with a full bucket.

        :param probes_per_s: this instance's share of the probe budget.
        :param now_ms: current time.
        """
        self._tokens_per_s = 0.0
        self._capacity = 0.0
        self._refilled_ms = now_ms
        self._tokens = 0.0
        self.set_rate(probes_per_s, now_ms)
        self._tokens = self._capacity

    def set_rate(self, probes_per_s: float, now_ms: float) -> None:
        """
        Change the share, and keep the tokens that are left.

        :param probes_per_s: this instance's share of the probe budget.
        :param now_ms: current time.
        """
        self._refill(now_ms)
        self._tokens_per_s = probes_per_s
        self._capacity = max(1.0, probes_per_s * BURST_MS / MS_PER_SECOND)
        self._tokens = min(self._tokens, self._capacity)

    def is_full(self, now_ms: float) -> bool:
        """
        Tell whether the bucket is full, that is, has not been used lately.

        :param now_ms: current time.
        """
        self._refill(now_ms)
        return self._tokens >= self._capacity

    def take(self, now_ms: float) -> bool:
        """
        Take one token.

        :param now_ms: current time.
        :returns: whether a probe may be sent.
        """
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now_ms: float) -> None:
        gained = (now_ms - self._refilled_ms) / MS_PER_SECOND * self._tokens_per_s
        self._tokens = min(self._capacity, self._tokens + gained)
        self._refilled_ms = now_ms
