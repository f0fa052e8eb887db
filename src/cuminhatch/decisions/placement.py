"""
Which backend server gets a request, or that none can answer it in time.

Load changes within milliseconds, so a placement uses load reports that are a
few milliseconds old. For each candidate it predicts the time to the response
from the wait for a slot and the service time at the machine's present speed.
It then adds penalties for what the prediction leaves out: bytes that cross
failure domains, and the share of requests that the server fails.

A server is near if it is in the failure domain of this instance, else far.
"""

from collections.abc import Sequence
from math import inf
from random import Random
from typing import NamedTuple

from cuminhatch.decisions.server_records import ServerRecord, decayed_failure_rate

# The speed of a machine that is shared with other programs changes about this
# often. The prediction assumes that a request runs from start to end at the
# speed that its machine has at the start.
SPEED_PERIOD_MS = 300.0
# Assumed slowdown of a machine without a load report: the mean over its normal
# and slow periods.
DEFAULT_SLOWDOWN = 1.75
# Requests take longer on a server with more than this share of its slots in
# use.
NEARLY_FULL_SHARE = 0.8
NEARLY_FULL_FACTOR = 1.7
COLD_FACTOR = 2.0
# An older load report says nothing about the present load.
REPORT_MAX_AGE_MS = SPEED_PERIOD_MS
# Share of the slots assumed to be in use on a server without a load report.
DEFAULT_BUSY_SHARE = 0.4
# Penalty of a certain failure, as a multiple of the target latency: it costs
# the caller about one target latency and a resend.
FAILURE_PENALTY = 2.0
# Requests that one instance lets wait at a backend server, per slot. Other
# instances send at the same moment, and a full server resets connections.
QUEUED_PER_SLOT_MAX = 1.0
# Share of the target latency that a request waits for a better server. A
# refusal after that costs the caller little, as there is time left to retry.
WAIT_SHARE = 1 / 8
# Share of the target latency that a request waits while the servers with free
# slots are on slow machines; their speed may change meanwhile.
SLOW_WAIT_SHARE = 0.4
# A request may take up to this multiple of its usual service time.
USUAL_TIME_MARGIN = 1.3
# Costs are raised at random by up to this share, so that none of several
# servers with about the same cost is preferred.
COST_JITTER = 0.02
# Share of the time to the deadline that the predicted response may use.
REMAINING_TIME_SHARE = 0.9
# Slots kept free for more urgent requests, as a multiple of their share of the
# demand. These requests use slots of their own besides, and half of their
# share is enough for them to find one at once.
RESERVE_FACTOR = 0.5
# Less urgent requests leave at most this share of a server's slots free.
RESERVE_SHARE_MAX = 0.5
# Reasons of a refusal for lack of a slot, the second one for the sake of more
# urgent requests.
SERVERS_FULL = "servers-full"
SLOTS_RESERVED = "slots-reserved"
# Minimum Retry-After: a slot is unlikely to be free earlier. Callers retry
# after at most a third of the time that they have left, even if Retry-After is
# longer.
RETRY_AFTER_MIN_MS = 60.0


class SlotReserve(NamedTuple):
    """
    Free slots that a request leaves at a server for more urgent ones.

    ``share`` is the share of recent demand that is more urgent, ``slots_max``
    the largest reserve of a server.
    """

    share: float
    slots_max: int


class RequestProfile(NamedTuple):
    """
    What is known about a request when it is placed.

    ``usual_ms`` is its service time at normal speed. ``waited_ms`` is how long
    it has waited already, and ``left_ms`` is the time to its deadline.
    ``far_charge_ms`` is the penalty for a response that crosses failure
    domains. ``is_resend`` tells that an earlier send has failed or is late.
    ``reserve`` is None if the request need not leave slots to others; one that
    has to never queues at a server.
    """

    usual_ms: float
    target_ms: float
    waited_ms: float
    left_ms: float
    far_charge_ms: float
    is_idempotent: bool
    is_resend: bool = False
    reserve: SlotReserve | None = None


class Placed(NamedTuple):
    """The request goes to this server; a response takes ``predicted_ms``."""

    record: ServerRecord
    predicted_ms: float


class Wait(NamedTuple):
    """
    Placement is retried after a short interval.

    By then a slot may be free or a machine may be faster.
    """

    reason: str


class NotPlaced(NamedTuple):
    """No server can take the request for about ``capacity_in_ms``."""

    reason: str
    capacity_in_ms: float


def predict_latency_ms(
    record: ServerRecord, work: RequestProfile, now_ms: float
) -> float:
    """
    Predict the time from sending one more request to its response.

    :param record: the backend server.
    :param work: the request.
    :param now_ms: current time.
    """
    slots = max(1, record.server.slots)
    outstanding = outstanding_requests(record, now_ms)
    run_ms = work.usual_ms * expected_slowdown(record, now_ms)
    if outstanding + 1 > slots * NEARLY_FULL_SHARE:
        run_ms *= NEARLY_FULL_FACTOR
    if now_ms < record.warm_at_ms:
        run_ms *= COLD_FACTOR
    queued = max(0.0, outstanding + 1 - slots)
    return run_ms + queued * run_ms / slots


def expected_slowdown(record: ServerRecord, now_ms: float) -> float:
    """
    Return the expected slowdown of a request that starts now.

    The older the report, the closer the result is to the default.

    :param record: the backend server.
    :param now_ms: current time.
    """
    load = record.load
    if load is None:
        return DEFAULT_SLOWDOWN
    age = min(1.0, (now_ms - load.observed_ms) / SPEED_PERIOD_MS)
    return load.slowdown + (DEFAULT_SLOWDOWN - load.slowdown) * age


def outstanding_requests(record: ServerRecord, now_ms: float) -> float:
    """
    Return how many requests run or wait at a server.

    :param record: the backend server.
    :param now_ms: current time.
    """
    load = record.load
    if load is None or now_ms - load.observed_ms > REPORT_MAX_AGE_MS:
        return max(record.server.slots * DEFAULT_BUSY_SHARE, record.in_flight)
    return load.running + load.waiting + record.sent_since_load


def has_spare_slots(record: ServerRecord, now_ms: float) -> bool:
    """
    Tell whether a server has slots left below ``NEARLY_FULL_SHARE``.

    :param record: the backend server.
    :param now_ms: current time.
    """
    limit = max(1, int(record.server.slots * NEARLY_FULL_SHARE))
    return outstanding_requests(record, now_ms) < limit


def is_full(record: ServerRecord, now_ms: float) -> bool:
    """
    Tell whether all slots of a server are in use.

    :param record: the backend server.
    :param now_ms: current time.
    """
    return outstanding_requests(record, now_ms) >= record.server.slots


def has_queue_space(record: ServerRecord, now_ms: float) -> bool:
    """
    Tell whether the limit on queued requests allows one more.

    Beyond this limit a server is likely to reset new connections.

    :param record: the backend server.
    :param now_ms: current time.
    """
    limit = max(1, record.server.slots) * (1.0 + QUEUED_PER_SLOT_MAX)
    return outstanding_requests(record, now_ms) < limit


def reserved_slots(record: ServerRecord, reserve: SlotReserve) -> int:
    """
    Return how many slots of a server stay free for more urgent requests.

    A reserve of part of a slot is kept by that part of the servers, the same
    ones for all instances. If it were kept by part of the requests, the others
    would fill all servers.

    :param record: the backend server.
    :param reserve: the reserve.
    """
    slots = record.server.slots
    share = min(RESERVE_FACTOR * reserve.share, RESERVE_SHARE_MAX)
    wanted = min(slots * share, reserve.slots_max)
    return min(slots - 1, int(wanted + record.reserve_fraction))


def leaves_reserve(record: ServerRecord, reserve: SlotReserve, now_ms: float) -> bool:
    """
    Tell whether a server has its reserve free after one more request.

    :param record: the backend server.
    :param reserve: the reserve.
    :param now_ms: current time.
    """
    free_slots = record.server.slots - outstanding_requests(record, now_ms)
    return free_slots >= 1 + reserved_slots(record, reserve)


def misses_target(chosen: Placed, work: RequestProfile) -> bool:
    """
    Tell whether a placed request is expected to miss its target latency.

    :param chosen: the placement.
    :param work: the request.
    """
    return work.waited_ms + chosen.predicted_ms > work.target_ms


def choose_server(
    records: Sequence[ServerRecord], work: RequestProfile, now_ms: float, rng: Random
) -> Placed | Wait | NotPlaced:
    """
    Choose the server with the lowest cost, if it can meet the deadline.

    The cost is the predicted latency plus penalties, with a small jitter.

    A near server at about normal speed is chosen even if a far one would be
    slightly faster: the difference is not worth traffic between failure
    domains.

    A request keeps the speed of its machine at the start, so it waits a
    moment for a server that is neither slow nor nearly full, and longer if
    that is the only way to meet the target latency. After that it is sent to
    a server where it will be late but need not queue. It is refused if it
    would be late because of a queue, since it would make the requests behind
    it late as well.

    :param records: candidates that may take requests.
    :param work: the request.
    :param now_ms: current time.
    :param rng: source of randomness, breaks ties between servers.
    """
    if not records:
        return NotPlaced("no-backend-server", RETRY_AFTER_MIN_MS)
    if work.reserve is not None:
        reserve = work.reserve
        records = [r for r in records if leaves_reserve(r, reserve, now_ms)]
        if not records:
            if work.waited_ms < max_wait_ms(work, False):
                return Wait(SLOTS_RESERVED)
            return NotPlaced(SLOTS_RESERVED, RETRY_AFTER_MIN_MS)
    near = find_near_server(records, work, now_ms, rng)
    if near is not None:
        return near
    best, predicted_ms = _find_best(records, work, now_ms, rng)
    is_best_full = is_full(best, now_ms)
    late_ms = predicted_ms - work.left_ms * REMAINING_TIME_SHARE
    if late_ms > 0.0:
        if not is_best_full and may_wait_for_faster_machine(work):
            return Wait("machines-slow")
        return NotPlaced("no-answer-in-time", max(RETRY_AFTER_MIN_MS, late_ms))
    is_late = work.waited_ms + predicted_ms > work.target_ms
    is_good = has_spare_slots(best, now_ms) and not is_late
    if is_good or (work.is_resend and may_queue(best, work, now_ms)):
        return Placed(best, predicted_ms)
    if work.waited_ms < max_wait_ms(work, is_late and not is_best_full):
        return Wait("no-server-in-time" if is_late else "servers-nearly-full")
    if is_late and is_best_full:
        return NotPlaced(SERVERS_FULL, max(RETRY_AFTER_MIN_MS, predicted_ms / 2.0))
    if may_queue(best, work, now_ms):
        return Placed(best, predicted_ms)
    return NotPlaced(SERVERS_FULL, max(RETRY_AFTER_MIN_MS, predicted_ms / 2.0))


def find_near_server(
    records: Sequence[ServerRecord], work: RequestProfile, now_ms: float, rng: Random
) -> Placed | None:
    """
    Return the best near server, None if a far one may be better.

    :param records: candidates that may take requests.
    :param work: the request.
    :param now_ms: current time.
    :param rng: source of randomness, breaks ties between servers.
    """
    near = [record for record in records if record.is_near]
    if not near:
        return None
    best, predicted_ms = _find_best(near, work, now_ms, rng)
    # On a slow machine the request would occupy a slot for longer than on a
    # far server.
    is_quick = predicted_ms <= work.usual_ms * USUAL_TIME_MARGIN
    is_in_time = predicted_ms <= min(
        work.target_ms - work.waited_ms, work.left_ms * REMAINING_TIME_SHARE
    )
    if is_quick and is_in_time and has_spare_slots(best, now_ms):
        return Placed(best, predicted_ms)
    return None


def max_wait_ms(work: RequestProfile, is_slow: bool) -> float:
    """
    Return how long a request may wait for a better server.

    :param work: the request.
    :param is_slow: whether servers have free slots but are too slow now.
    """
    wait_ms = work.target_ms * WAIT_SHARE
    if not is_slow:
        return wait_ms
    # Later than this, not even an idle server answers in time.
    latest_ms = work.target_ms - work.usual_ms * USUAL_TIME_MARGIN
    return max(wait_ms, min(latest_ms, work.target_ms * SLOW_WAIT_SHARE))


def may_wait_for_faster_machine(work: RequestProfile) -> bool:
    """
    Tell whether a request may wait until a slow machine is faster.

    :param work: the request.
    """
    is_in_time = work.usual_ms * USUAL_TIME_MARGIN < work.left_ms * REMAINING_TIME_SHARE
    return is_in_time and work.waited_ms < max_wait_ms(work, True)


def may_queue(record: ServerRecord, work: RequestProfile, now_ms: float) -> bool:
    """
    Tell whether a request may be sent to a server that may be full.

    An idempotent one may: if the server resets it, it can be sent again.

    :param record: the backend server.
    :param work: the request.
    :param now_ms: current time.
    """
    return work.is_idempotent or has_queue_space(record, now_ms)


def _find_best(
    records: Sequence[ServerRecord], work: RequestProfile, now_ms: float, rng: Random
) -> tuple[ServerRecord, float]:
    """Return the server with the lowest cost and its predicted latency."""
    best = records[0]
    best_cost = best_ms = inf
    for record in records:
        predicted_ms = predict_latency_ms(record, work, now_ms)
        cost = predicted_ms * (1.0 + COST_JITTER * rng.random())
        if not record.is_near:
            cost += work.far_charge_ms
        cost += decayed_failure_rate(record, now_ms) * work.target_ms * FAILURE_PENALTY
        if not has_queue_space(record, now_ms):
            cost += work.target_ms
        if cost < best_cost:
            best, best_cost, best_ms = record, cost, predicted_ms
    return best, best_ms
