"""
Which backend server takes a request, or that none can take it in time.

Load shifts within milliseconds, so a placement looks at reports that are a
few milliseconds old. Each candidate gets a predicted time to the answer: the
wait for a slot, the work at the machine's present speed, and a charge for
what the prediction leaves out (bytes that cross failure domains, the share of
requests that the server fails).
"""

from collections.abc import Sequence
from math import inf
from random import Random
from typing import NamedTuple

from cuminhatch.decisions.server_records import ServerRecord, failed_share

# Shared machines change their speed about this often. Work keeps the speed of
# the moment at which it starts.
SPEED_PERIOD_MS = 300.0
# Without a report a machine is taken to be slow by this factor, the mean over
# usual and slow times.
UNKNOWN_SLOWDOWN = 1.75
# Work on a server that is nearly full takes longer.
NEARLY_FULL_SHARE = 0.8
NEARLY_FULL_FACTOR = 1.7
COLD_FACTOR = 2.0
# A report older than this says nothing of the load now.
REPORT_MAX_AGE_MS = SPEED_PERIOD_MS
# Without a report a server is taken to have this part of its slots in use.
UNKNOWN_BUSY_SHARE = 0.4
# A failed request costs its caller about one target latency and a second
# send.
FAILURE_CHARGE = 2.0
# Places in a backend server's queue that one instance fills at most per slot,
# since others send at the same moment. A full server resets connections.
QUEUED_PER_SLOT = 1.0
# Part of the target latency that a request is held for a better server. A
# refusal after that is cheap for its caller, who still has time to return.
HOLD_SHARE = 1 / 8
# Part of the target latency that a request is held while machines with room
# are slow; they change their speed meanwhile.
LONGEST_HOLD_SHARE = 0.4
# Work takes up to this many times as long as usual without being unusual.
USUAL_RESERVE = 1.3
# Servers whose cost differs by less than this are as good as each other.
TIE_SHARE = 0.02
# Part of the time left that a predicted answer may use.
LEFT_SHARE = 0.9
# A refused caller finds no room earlier than this, and returns within a third
# of its time.
RETRY_AFTER_MIN_MS = 60.0


class Work(NamedTuple):
    """
    What is known of a request before it is placed.

    ``usual_ms`` is how long its work takes at usual speed. ``far_charge_ms``
    is what its answer's way through another failure domain is taken to cost.
    ``waited_ms`` is how long it has been held already. ``is_resend`` tells
    that an earlier send has failed or is late.
    """

    usual_ms: float
    target_ms: float
    waited_ms: float
    left_ms: float
    far_charge_ms: float
    is_idempotent: bool
    is_resend: bool = False


class Placed(NamedTuple):
    """The request goes to this server; the answer is expected by then."""

    record: ServerRecord
    predicted_ms: float


class Wait(NamedTuple):
    """Sentinel: room is expected in a moment; the request looks again."""

    reason: str


class NotPlaced(NamedTuple):
    """Sentinel: no server can take the request; room is expected later."""

    reason: str
    room_in_ms: float


def predict_ms(record: ServerRecord, work: Work, now_ms: float) -> float:
    """
    Return the expected time to the answer of one more request.

    :param record: the backend server.
    :param work: the request.
    :param now_ms: current time.
    """
    slots = max(1, record.server.slots)
    busy = busy_places(record, now_ms)
    run_ms = work.usual_ms * expected_slowdown(record, now_ms)
    if busy + 1 > slots * NEARLY_FULL_SHARE:
        run_ms *= NEARLY_FULL_FACTOR
    if now_ms < record.warm_at_ms:
        run_ms *= COLD_FACTOR
    queued = max(0.0, busy + 1 - slots)
    return run_ms + queued * run_ms / slots


def expected_slowdown(record: ServerRecord, now_ms: float) -> float:
    """
    Return how many times as long as usual work takes that starts now.

    :param record: the backend server.
    :param now_ms: current time.
    """
    load = record.load
    if load is None:
        return UNKNOWN_SLOWDOWN
    age = min(1.0, (now_ms - load.observed_ms) / SPEED_PERIOD_MS)
    return load.slowdown + (UNKNOWN_SLOWDOWN - load.slowdown) * age


def busy_places(record: ServerRecord, now_ms: float) -> float:
    """
    Return the requests that a server has, running and waiting.

    :param record: the backend server.
    :param now_ms: current time.
    """
    load = record.load
    if load is None or now_ms - load.observed_ms > REPORT_MAX_AGE_MS:
        return max(record.server.slots * UNKNOWN_BUSY_SHARE, record.in_flight)
    return load.running + load.waiting + record.sent_since_load


def is_comfortable(record: ServerRecord, now_ms: float) -> bool:
    """
    Tell whether one more request leaves a server below the nearly full.

    :param record: the backend server.
    :param now_ms: current time.
    """
    limit = max(1, int(record.server.slots * NEARLY_FULL_SHARE))
    return busy_places(record, now_ms) < limit


def is_full(record: ServerRecord, now_ms: float) -> bool:
    """
    Tell whether all slots of a server are taken.

    :param record: the backend server.
    :param now_ms: current time.
    """
    return busy_places(record, now_ms) >= record.server.slots


def has_room(record: ServerRecord, now_ms: float) -> bool:
    """
    Tell whether a server is sure enough not to reset one more request.

    :param record: the backend server.
    :param now_ms: current time.
    """
    limit = max(1, record.server.slots) * (1.0 + QUEUED_PER_SLOT)
    return busy_places(record, now_ms) < limit


def choose_server(
    records: Sequence[ServerRecord], work: Work, now_ms: float, rng: Random
) -> Placed | Wait | NotPlaced:
    """
    Choose the server with the earliest expected answer.

    A near server that is about as quick as usual is taken, though a far one
    may be a little quicker: nobody gains by bytes between failure domains.

    Work keeps the speed at which it starts, so a request waits a moment for a
    machine that is neither slow nor nearly full, and longer if that is the
    only way to an answer within the target latency. After that it is sent
    where it is late but does not queue; a late answer from a queue would make
    others late as well, so such a request is refused.

    :param records: candidates that may take requests.
    :param work: the request.
    :param now_ms: current time.
    :param rng: source of randomness, breaks ties between servers.
    """
    if not records:
        return NotPlaced("no-backend-server", RETRY_AFTER_MIN_MS)
    near = find_near(records, work, now_ms, rng)
    if near is not None:
        return near
    best, predicted_ms = _find_best(records, work, now_ms, rng)
    is_best_full = is_full(best, now_ms)
    late_ms = predicted_ms - work.left_ms * LEFT_SHARE
    if late_ms > 0.0:
        if not is_best_full and may_wait_for_speed(work):
            return Wait("machines-slow")
        return NotPlaced("no-answer-in-time", max(RETRY_AFTER_MIN_MS, late_ms))
    is_late = work.waited_ms + predicted_ms > work.target_ms
    is_good = is_comfortable(best, now_ms) and not is_late
    if is_good or (work.is_resend and may_queue(best, work, now_ms)):
        return Placed(best, predicted_ms)
    if work.waited_ms < longest_wait_ms(work, is_late and not is_best_full):
        return Wait("no-server-in-time" if is_late else "servers-nearly-full")
    if is_late and is_best_full:
        return NotPlaced("servers-full", max(RETRY_AFTER_MIN_MS, predicted_ms / 2.0))
    if may_queue(best, work, now_ms):
        return Placed(best, predicted_ms)
    return NotPlaced("servers-full", max(RETRY_AFTER_MIN_MS, predicted_ms / 2.0))


def find_near(
    records: Sequence[ServerRecord], work: Work, now_ms: float, rng: Random
) -> Placed | None:
    """
    Return the best near server, None if a far one may be needed.

    :param records: candidates that may take requests.
    :param work: the request.
    :param now_ms: current time.
    :param rng: source of randomness, breaks ties between servers.
    """
    near = [record for record in records if record.is_near]
    if not near:
        return None
    best, predicted_ms = _find_best(near, work, now_ms, rng)
    # A slow machine would keep one of its slots for longer than a far one.
    is_quick = predicted_ms <= work.usual_ms * USUAL_RESERVE
    is_in_time = predicted_ms <= min(
        work.target_ms - work.waited_ms, work.left_ms * LEFT_SHARE
    )
    if is_quick and is_in_time and is_comfortable(best, now_ms):
        return Placed(best, predicted_ms)
    return None


def longest_wait_ms(work: Work, is_slow: bool) -> float:
    """
    Return how long a request is held for a better server.

    :param work: the request.
    :param is_slow: servers have room, but are too slow now.
    """
    hold_ms = work.target_ms * HOLD_SHARE
    if not is_slow:
        return hold_ms
    # Later than this, not even a free server answers in time.
    latest_ms = work.target_ms - work.usual_ms * USUAL_RESERVE
    return max(hold_ms, min(latest_ms, work.target_ms * LONGEST_HOLD_SHARE))


def may_wait_for_speed(work: Work) -> bool:
    """
    Tell whether a request is held that only a faster machine can answer.

    :param work: the request.
    """
    is_in_time = work.usual_ms * USUAL_RESERVE < work.left_ms * LEFT_SHARE
    return is_in_time and work.waited_ms < longest_wait_ms(work, True)


def may_queue(record: ServerRecord, work: Work, now_ms: float) -> bool:
    """
    Tell whether a request may take one more place of a server.

    :param record: the backend server.
    :param work: the request.
    :param now_ms: current time.
    """
    return work.is_idempotent or has_room(record, now_ms)


def _find_best(
    records: Sequence[ServerRecord], work: Work, now_ms: float, rng: Random
) -> tuple[ServerRecord, float]:
    """Return the server of the lowest cost, and its expected time."""
    best = records[0]
    best_cost = best_ms = inf
    for record in records:
        expected_ms = predict_ms(record, work, now_ms)
        cost = expected_ms * (1.0 + TIE_SHARE * rng.random())
        if not record.is_near:
            cost += work.far_charge_ms
        cost += failed_share(record, now_ms) * work.target_ms * FAILURE_CHARGE
        if not has_room(record, now_ms):
            cost += work.target_ms
        if cost < best_cost:
            best, best_cost, best_ms = record, cost, expected_ms
    return best, best_ms
