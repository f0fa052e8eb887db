"""
Which backend servers this instance probes, and when.

The budget of a backend server holds over all instances, because only the
holder of its probing permit probes it. A new holder waits for one interval
first, so that the last probe of the former holder is not followed too soon.
The interval counts from the end of a probe: probes that are sent in time can
still reach the backend server too close together if the first is delayed.
"""

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import NamedTuple

from cuminhatch.clock import MS_PER_SECOND


class ProbePlan(NamedTuple):
    """
    Next probe of a backend server; times in milliseconds.

    No probe is due while one ``is_under_way``.
    """

    next_ms: float
    interval_ms: float
    is_under_way: bool = False


def _weight(server_id: str, instance_id: str) -> bytes:
    return blake2b(f"{server_id}\0{instance_id}".encode(), digest_size=8).digest()


def preferred_servers(
    server_ids: Iterable[str], instance_id: str, live_ids: Iterable[str]
) -> tuple[str, ...]:
    """
    Return the backend servers that this instance should ask to probe.

    Rendezvous hashing spreads them evenly without messages. Instances whose
    views differ may ask for the same one; the permit decides.

    :param server_ids: all backend servers.
    :param instance_id: id of this instance.
    :param live_ids: ids of the other live instances.
    """
    others = tuple(other for other in live_ids if other != instance_id)
    return tuple(
        server_id
        for server_id in server_ids
        if all(
            _weight(server_id, instance_id) > _weight(server_id, other)
            for other in others
        )
    )


def start_plan(rate: float, now_ms: float) -> ProbePlan:
    """
    Return the plan of a backend server whose permit has just been granted.

    :param rate: budget in probes a second.
    :param now_ms: monotonic time in milliseconds.
    """
    interval_ms = MS_PER_SECOND / rate
    # At least a second: the former holder may have used the whole budget of
    # the second before.
    return ProbePlan(now_ms + max(interval_ms, MS_PER_SECOND), interval_ms)


def change_rate(plan: ProbePlan, rate: float, now_ms: float) -> ProbePlan:
    """
    Return the plan after a note has set the budget.

    :param plan: plan so far; it is kept if the budget is the same.
    :param rate: budget in probes a second.
    :param now_ms: monotonic time in milliseconds.
    """
    interval_ms = MS_PER_SECOND / rate
    if interval_ms == plan.interval_ms:
        return plan
    return plan._replace(next_ms=now_ms + interval_ms, interval_ms=interval_ms)


def take_due(
    plans: Mapping[str, ProbePlan], now_ms: float
) -> tuple[tuple[str, ...], dict[str, ProbePlan]]:
    """
    Return the backend servers to probe now and the plans that follow.

    :param plans: plans by server id.
    :param now_ms: monotonic time in milliseconds.
    :returns: ids of servers due, and all plans, those due being under way.
    """
    due = tuple(
        server_id
        for server_id, plan in plans.items()
        if not plan.is_under_way and plan.next_ms <= now_ms
    )
    following = dict(plans)
    for server_id in due:
        following[server_id] = plans[server_id]._replace(is_under_way=True)
    return due, following


def end_probe(plan: ProbePlan, now_ms: float) -> ProbePlan:
    """
    Return the plan after the answer or the failure of a probe.

    The next probe counts from now. The probe may have been delayed until
    just before, by a freeze or by a slow connection, and counting from its
    start would let two probes arrive together. Missed probes are not made
    up for.

    :param plan: plan of the backend server.
    :param now_ms: monotonic time in milliseconds.
    """
    return plan._replace(next_ms=now_ms + plan.interval_ms, is_under_way=False)
