"""Estimates of the service time and response size of each rule."""

from typing import NamedTuple

# Initial estimate of the service time, as a share of the target latency.
TARGET_SHARE = 0.35
# Samples are clamped to these multiples of the estimate, so that the few
# requests that take very long do not dominate it.
SAMPLE_MAX_FACTOR = 2.0
SAMPLE_MIN_FACTOR = 0.5
# Assumed before the first response, so that the first large responses do not
# cross failure domains.
DEFAULT_RESPONSE_BYTES = 16 * 1024.0
TIME_WEIGHT = 1 / 16
BYTES_WEIGHT = 1 / 8


class RequestEstimate(NamedTuple):
    """Estimated service time at normal speed, and size of the response."""

    usual_ms: float
    response_bytes: float


class RequestEstimates:
    """State of the estimates, moving averages by rule and service."""

    __slots__ = ("_estimates",)

    def __init__(self) -> None:
        """Start without samples."""
        self._estimates: dict[tuple[str, str], RequestEstimate] = {}

    def estimate(
        self, rule_id: str, service_id: str, target_ms: float
    ) -> RequestEstimate:
        """
        Return the estimate for a request.

        :param rule_id: rule of the request.
        :param service_id: service that gets the request.
        :param target_ms: target latency of the rule.
        """
        estimate = self._estimates.get((rule_id, service_id))
        return estimate or RequestEstimate(
            target_ms * TARGET_SHARE, DEFAULT_RESPONSE_BYTES
        )

    def record(
        self,
        rule_id: str,
        service_id: str,
        target_ms: float,
        took_ms: float,
        response_bytes: int,
    ) -> None:
        """
        Update the estimate with a response.

        :param rule_id: rule of the request.
        :param service_id: service that responded.
        :param target_ms: target latency of the rule.
        :param took_ms: time from sending to the end of the response, scaled
            to the normal speed of a server.
        :param response_bytes: size of the response body.
        """
        usual = self.estimate(rule_id, service_id, target_ms)
        lowest_ms = usual.usual_ms * SAMPLE_MIN_FACTOR
        sample_ms = min(max(took_ms, lowest_ms), usual.usual_ms * SAMPLE_MAX_FACTOR)
        weight = BYTES_WEIGHT if (rule_id, service_id) in self._estimates else 1.0
        self._estimates[(rule_id, service_id)] = RequestEstimate(
            usual.usual_ms + (sample_ms - usual.usual_ms) * TIME_WEIGHT,
            usual.response_bytes + (response_bytes - usual.response_bytes) * weight,
        )
