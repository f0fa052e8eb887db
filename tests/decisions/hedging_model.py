"""Requests of one rule at one instance, hedged by the real decisions."""

from heapq import heappop, heappush
from itertools import count
from typing import NamedTuple

from cuminhatch.decisions.hedging_share import (
    HedgingState,
    LateRequest,
    find_gain_denial,
    plan_hedge,
)
from cuminhatch.decisions.request_estimates import RequestEstimates
from cuminhatch.decisions.resending import ResendBudget, ResendLimits

WINDOW_MS = 10_000.0
# The extra resends of a service are shared by 115 instances.
RESENDS = ResendLimits(0.2, 184.0, WINDOW_MS)
INSTANCES = 115


class Kind(NamedTuple):
    """Load of one rule; ``tail_share`` of requests take 7 times as long."""

    work_ms: float
    target_ms: float
    rate_per_s: float
    tail_share: float = 0.0
    slow_share: float = 0.0


class Result(NamedTuple):
    """Requests, late ones, hedges, and hedges that answered in time."""

    requests: int
    late: int
    hedges: list
    useful: int


def draw_work(kind, rng):
    """Return the service time of a send."""
    factor = 7.0 if rng.random() < kind.tail_share else 1.0
    return kind.work_ms * factor * rng.lognormvariate(-0.06, 0.35)


def draw_time(kind, rng):
    """Return the response time of a send, some to a machine at a quarter."""
    work_ms = draw_work(kind, rng)
    if rng.random() < kind.slow_share:
        # Work that is done while the machine is slow takes four times longer.
        slow_ms = 300.0 * rng.random()
        work_ms += min(work_ms * 3.0, slow_ms * 0.75)
    return work_ms


def play(kind, share, rng, duration_ms=300_000, occupancy=0.2, retries_per_s=0.0):
    """Play the load at one instance, and tell what became of the requests."""
    hedging = HedgingState(share, WINDOW_MS)
    allowance, times = hedging.allowance, hedging.get_times("read")
    budget = ResendBudget(RESENDS, INSTANCES)
    estimates = RequestEstimates()
    ids = count()
    events = []
    requests = late = useful = 0
    hedges = []

    def schedule(at_ms, action, *arguments):
        heappush(events, (at_ms, next(ids), action, arguments))

    def describe(now_ms, sent_ms, usual_ms):
        left_ms = sent_ms + kind.target_ms - now_ms
        return LateRequest(now_ms - sent_ms, usual_ms, left_ms, usual_ms)

    def arrive(now_ms):
        nonlocal requests, late
        schedule(now_ms + rng.expovariate(kind.rate_per_s / 1_000.0), arrive)
        requests += 1
        allowance.count_request(now_ms)
        budget.count_request(now_ms)
        hedging.occupancy.record(occupancy, now_ms)
        usual_ms = estimates.estimate("read", "s", kind.target_ms).usual_ms
        took_ms = draw_time(kind, rng)
        late += took_ms > kind.target_ms
        schedule(now_ms + took_ms, respond, now_ms, usual_ms, ended := [])
        wait(now_ms, now_ms, usual_ms, took_ms, ended)

    def wait(now_ms, sent_ms, usual_ms, took_ms, ended):
        late_request = describe(now_ms, sent_ms, usual_ms)
        delay_ms = plan_hedge(times, late_request, allowance.get_price(now_ms))
        if delay_ms is not None:
            schedule(now_ms + delay_ms, due, sent_ms, usual_ms, took_ms, ended)

    def respond(now_ms, sent_ms, usual_ms, ended):
        if not ended:
            ended.append(now_ms)
            times.record((now_ms - sent_ms) / usual_ms)
            took_ms = now_ms - sent_ms
            estimates.record("read", "s", kind.target_ms, took_ms, 100)

    def due(now_ms, sent_ms, usual_ms, took_ms, ended):
        nonlocal late, useful
        if ended:
            return
        late_request = describe(now_ms, sent_ms, usual_ms)
        if find_gain_denial(times, late_request, allowance.get_price(now_ms)):
            wait(now_ms, sent_ms, usual_ms, took_ms, ended)
            return
        if hedging.is_short_of_capacity(now_ms):
            return
        if allowance.find_denial(budget, now_ms) or not budget.take(now_ms):
            return
        allowance.take(now_ms)
        hedges.append(now_ms)
        total_ms = now_ms - sent_ms + draw_time(kind, rng)
        if total_ms < took_ms:
            schedule(sent_ms + total_ms, win, sent_ms, usual_ms, ended)
        if total_ms <= kind.target_ms < took_ms:
            late -= 1
            useful += 1

    def win(now_ms, sent_ms, usual_ms, ended):
        ended.append(now_ms)
        times.record_longer((now_ms - sent_ms) / usual_ms)

    def fail(now_ms):
        schedule(now_ms + 1_000.0 / retries_per_s, fail)
        allowance.count_retry(now_ms)
        budget.take(now_ms)

    schedule(0.0, arrive)
    if retries_per_s:
        schedule(0.0, fail)
    while events[0][0] < duration_ms:
        now_ms, _, action, arguments = heappop(events)
        action(now_ms, *arguments)
    return Result(requests, late, hedges, useful)
