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

from cuminhatch.decisions.server_records import (
    ServerRecord,
    failed_share,
    is_left_out,
)

# Shared machines change their speed about this often, so a slow one is
# expected to stay slow for half of it.
SLOW_REST_MS = 150.0
# Work on a server that is nearly full takes longer.
NEARLY_FULL_SHARE = 0.8
NEARLY_FULL_FACTOR = 1.7
COLD_FACTOR = 2.0
# A report older than this says nothing of the load now.
REPORT_MAX_AGE_MS = 250.0
# Without a report a server is taken to have this part of its slots in use.
UNKNOWN_BUSY_SHARE = 0.5
# A failed request costs its caller about one target latency and a second
# send.
FAILURE_CHARGE = 2.0
# Places in a backend server's queue that one instance fills at most per slot,
# since others send at the same moment. A full server resets connections.
QUEUED_PER_SLOT = 1.0
# Part of the target latency that a request is held for a better server. A
# refusal after that is cheap for its caller, who still has time to return.
HOLD_SHARE = 1 / 8
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
    load = record.load
    slots = max(1, record.server.slots)
    busy = busy_places(record, now_ms)
    is_known = load is not None and now_ms - load.observed_ms <= REPORT_MAX_AGE_MS
    slowdown = load.slowdown if is_known else 1.0
    run_ms = work.usual_ms
    if busy + 1 > slots * NEARLY_FULL_SHARE:
        run_ms *= NEARLY_FULL_FACTOR
    if now_ms < record.warm_at_ms:
        run_ms *= COLD_FACTOR
    queued = max(0.0, busy + 1 - slots)
    wait_ms = queued * run_ms / slots
    return wait_ms + run_ms + _slow_extra_ms(run_ms + wait_ms, slowdown)


def _slow_extra_ms(run_ms: float, slowdown: float) -> float:
    """Return how much longer work takes on a machine that is slow now."""
    if slowdown <= 1.0:
        return 0.0
    return min(run_ms * (slowdown - 1.0), SLOW_REST_MS * (1.0 - 1.0 / slowdown))


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

    A server that is nearly full works more slowly for all its requests, so a
    request waits a moment for one that is not. After that moment it is sent
    if its answer is expected within the target latency, and refused
    otherwise: its late answer would make others late as well.

    :param records: candidates that may take requests.
    :param work: the request.
    :param now_ms: current time.
    :param rng: source of randomness, breaks ties between servers.
    """
    if not records:
        return NotPlaced("no-backend-server", RETRY_AFTER_MIN_MS)
    best, predicted_ms = _find_best(records, work, now_ms, rng)
    late_ms = predicted_ms - work.left_ms * LEFT_SHARE
    if late_ms > 0.0:
        return NotPlaced("no-answer-in-time", max(RETRY_AFTER_MIN_MS, late_ms))
    if is_comfortable(best, now_ms):
        return Placed(best, predicted_ms)
    if not work.is_resend and work.waited_ms < work.target_ms * HOLD_SHARE:
        return Wait("servers-nearly-full")
    is_late = work.waited_ms + predicted_ms > work.target_ms
    if (is_late and not work.is_resend) or not (
        work.is_idempotent or has_room(best, now_ms)
    ):
        return NotPlaced("servers-full", max(RETRY_AFTER_MIN_MS, predicted_ms / 2.0))
    return Placed(best, predicted_ms)


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


def pick_candidates(
    records: Sequence[ServerRecord],
    tried: frozenset[str],
    wanted: int,
    now_ms: float,
    rng: Random,
) -> list[ServerRecord]:
    """
    Return the servers to look at for a request, near ones first.

    One in the list is always far, so that a near failure domain that is slow
    as a whole is noticed.

    :param records: all servers of the service that may take requests.
    :param tried: servers that have received the request already.
    :param wanted: number of candidates.
    :param now_ms: current time.
    :param rng: source of randomness.
    """
    sound = [r for r in records if not is_left_out(r, now_ms)]
    fresh = [r for r in records if r.server.server_id not in tried]
    pool = [r for r in fresh if r in sound] or fresh or sound or list(records)
    near = [record for record in pool if record.is_near]
    far = [record for record in pool if not record.is_near]
    rng.shuffle(near)
    rng.shuffle(far)
    from_near = near[: max(0, wanted - 1)]
    return from_near + (far + near[len(from_near) :])[: wanted - len(from_near)]
