"""
Which requests are hedged within the share that operators set.

Load: three in 100 requests take seven times as long, and machines are four
times slower for 300 ms at a time, while an instance sees a few requests per
second. A second send draws new work, so it usually answers in the usual time.

The gain of a hedge is the probability that it answers within the target while
the first send doesn't. A hedge costs a part of an allowance, and the price of
it rises as the allowance is used up. No hedge takes what failures have needed
of the resend budget lately.
"""

from collections import deque
from typing import NamedTuple

from cuminhatch.decisions.admission_level import BAND_START, OccupancyAverage
from cuminhatch.decisions.hedging import OVERHEAD_MS
from cuminhatch.decisions.resending import RATIO_USABLE_SHARE, ResendBudget
from cuminhatch.decisions.response_times import ResponseTimes

# Hedges must not bring a service to the occupancy from which on requests are
# refused. The distance is about the noise of a few load reports.
OCCUPANCY_MAX = BAND_START - 0.1
# A hedge with a lower gain is not worth its load on a server.
PRICE_MIN = 0.1
# Price of the last hedge of the allowance. Most requests that are late for
# good reach it: they are answered in time by the second server only.
PRICE_MAX = 0.5
# Resends left to failures in any case, and for each one that failures have
# asked for in the last window.
RESERVE_MIN = 1.0
RESERVE_PER_RETRY = 1.0
# Times that are compared when a hedge is planned, until the target. More don't
# raise the gain by a hundredth.
PLAN_STEPS = 10
# Why a hedge is denied.
ALLOWANCE_USED = "allowance-used"
LEFT_TO_FAILURES = "left-to-failures"
SHORT_OF_CAPACITY = "short-of-capacity"
GAIN_TOO_LOW = "gain-too-low"
SECOND_TOO_SLOW = "second-too-slow"


class HedgeAllowance:
    """State of the hedges that one instance may start for a service."""

    __slots__ = (
        "_hedge_times",
        "_request_times",
        "_retry_times",
        "_share",
        "_window_ms",
    )

    def __init__(self, share: float, window_ms: float) -> None:
        """
        Start without requests.

        :param share: most hedges as a share of the requests.
        :param window_ms: length of the windows in which the share holds.
        """
        self._share = share
        self._window_ms = window_ms
        self._request_times: deque[float] = deque()
        self._hedge_times: deque[float] = deque()
        # Retries after failures, granted or not.
        self._retry_times: deque[float] = deque()

    def count_request(self, now_ms: float) -> None:
        """
        Count a caller's request for the service.

        :param now_ms: current time.
        """
        self._drop_expired(now_ms)
        self._request_times.append(now_ms)

    def count_retry(self, now_ms: float) -> None:
        """
        Count a retry that a failure needs.

        :param now_ms: current time.
        """
        self._drop_expired(now_ms)
        self._retry_times.append(now_ms)

    def get_left(self, now_ms: float) -> float:
        """
        Return how many hedges are left in the window that ends now.

        :param now_ms: current time.
        """
        self._drop_expired(now_ms)
        return self._get_allowed() - len(self._hedge_times)

    def get_reserve(self, now_ms: float) -> float:
        """
        Return the part of the resend budget that is left to failures.

        :param now_ms: current time.
        """
        self._drop_expired(now_ms)
        return RESERVE_MIN + RESERVE_PER_RETRY * len(self._retry_times)

    def get_price(self, now_ms: float) -> float:
        """
        Return the gain that a hedge needs at present.

        It is the higher the smaller the part of the allowance that is left
        after this hedge. An allowance of a single hedge has the highest price.

        :param now_ms: current time.
        """
        left = self.get_left(now_ms) - 1.0
        left_share = max(0.0, left) / max(1.0, self._get_allowed())
        return PRICE_MAX - (PRICE_MAX - PRICE_MIN) * left_share

    def find_denial(self, budget: ResendBudget, now_ms: float) -> str:
        """
        Return why no hedge may start, or an empty string.

        :param budget: resend budget of the service.
        :param now_ms: current time.
        """
        if self.get_left(now_ms) < 1.0:
            return ALLOWANCE_USED
        if budget.get_left(now_ms) - 1.0 < self.get_reserve(now_ms):
            return LEFT_TO_FAILURES
        return ""

    def take(self, now_ms: float) -> None:
        """
        Spend one hedge; ``find_denial`` must have allowed it.

        :param now_ms: current time.
        """
        self._hedge_times.append(now_ms)

    def _get_allowed(self) -> float:
        return self._share * RATIO_USABLE_SHARE * len(self._request_times)

    def _drop_expired(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._window_ms
        for times in (self._request_times, self._hedge_times, self._retry_times):
            while times and times[0] <= oldest_ms:
                times.popleft()


class HedgingState:
    """State of hedging for one service, where operators set a share."""

    __slots__ = ("allowance", "occupancy", "times_by_rule")

    def __init__(self, share: float, window_ms: float) -> None:
        """
        Start without requests and responses.

        :param share: most hedges as a share of the requests.
        :param window_ms: length of the windows in which the share holds.
        """
        self.allowance = HedgeAllowance(share, window_ms)
        self.occupancy = OccupancyAverage()
        self.times_by_rule: dict[str, ResponseTimes] = {}

    def get_times(self, rule_id: str) -> ResponseTimes:
        """
        Return the distribution of response times of a rule.

        :param rule_id: the rule.
        """
        return self.times_by_rule.setdefault(rule_id, ResponseTimes())

    def is_short_of_capacity(self, now_ms: float) -> bool:
        """
        Tell whether the servers are too busy for hedges.

        :param now_ms: current time.
        """
        return self.occupancy.get(now_ms) >= OCCUPANCY_MAX


class LateRequest(NamedTuple):
    """
    A request whose first send is not answered yet.

    ``elapsed_ms`` is the time since the first send, ``predicted_ms`` the
    response time predicted then. ``left_ms`` is the time to the target.
    ``second_ms`` is the predicted response time of a second send.
    """

    elapsed_ms: float
    predicted_ms: float
    left_ms: float
    second_ms: float


def hedge_gain(times: ResponseTimes, late: LateRequest) -> float:
    """
    Return the probability that a hedge started now makes the difference.

    That is, it answers within the target, and the first send does not. The
    work of the two sends is drawn independently. It is 0 if the second send is
    predicted to miss the target.

    :param times: response times of the rule.
    :param late: the request.
    """
    if late.second_ms > late.left_ms - OVERHEAD_MS:
        return 0.0
    unanswered = times.longer_share(late.elapsed_ms / late.predicted_ms)
    if unanswered <= 0.0:
        return 0.0
    target_ratio = (late.elapsed_ms + late.left_ms) / late.predicted_ms
    first_late = times.longer_share(target_ratio) / unanswered
    second_ratio = (late.left_ms - OVERHEAD_MS) / late.second_ms
    return first_late * (1.0 - times.longer_share(second_ratio))


def plan_hedge(times: ResponseTimes, late: LateRequest, price: float) -> float | None:
    """
    Return in how many ms to hedge if there is no response by then.

    The time is the one with the highest gain above the price, weighted by the
    probability that the hedge is needed at all. At a low price a hedge starts
    early; the higher the price, the closer the time is to the highest gain.

    :param times: response times of the rule.
    :param late: the request, at present.
    :param price: gain that a hedge needs.
    :returns: the delay, None if the gain never reaches the price.
    """
    best_delay_ms, best_value = None, 0.0
    for step in range(PLAN_STEPS):
        delay_ms = late.left_ms * step / PLAN_STEPS
        elapsed_ms = late.elapsed_ms + delay_ms
        then = late._replace(elapsed_ms=elapsed_ms, left_ms=late.left_ms - delay_ms)
        value = hedge_gain(times, then) - price
        value *= times.longer_share(elapsed_ms / late.predicted_ms)
        if value > best_value:
            best_delay_ms, best_value = delay_ms, value
    return best_delay_ms


def find_gain_denial(times: ResponseTimes, late: LateRequest, price: float) -> str:
    """
    Return why a hedge to a certain server isn't worth it, or an empty string.

    :param times: response times of the rule.
    :param late: the request, with the prediction for that server.
    :param price: gain that a hedge needs.
    """
    if late.second_ms > late.left_ms - OVERHEAD_MS:
        return SECOND_TOO_SLOW
    if hedge_gain(times, late) < price:
        return GAIN_TOO_LOW
    return ""
