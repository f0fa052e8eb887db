"""
Which backend servers this instance probes, and when.

The budget of a backend server holds over all instances, because only the
holder of its probing permit probes it. A new holder waits for one interval
first, so that the last probe of the former holder is not followed too soon.
The interval counts from the end of a probe: probes that are sent in time can
still reach the backend server too close together if the first is delayed.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from cuminhatch.clock import MS_PER_SECOND
from cuminhatch.decisions.rendezvous import rank


class ProbePlan(NamedTuple):
    """
    Next probe of a backend server; times in milliseconds.

    No probe is due while one ``is_under_way``.
    """

    next_ms: float
    interval_ms: float
    is_under_way: bool = False


def prefer_servers(
    instance_id: str,
) -> Callable[[Collection[str], Collection[str]], tuple[str, ...]]:
    """
    Build a function that tells which backend servers to ask to probe.

    Rendezvous hashing spreads them evenly without messages. Instances whose
    views differ may ask for the same one; the permit decides.

    :param instance_id: id of this instance.
    :returns: a function of the ids of all backend servers and of the live
        instances. It remembers one instance that ranks ahead for each server
        and hashes only for servers and instances that are new or gone:
        hashing all of 20,000 servers every 5 s exceeds the 1.4% of a core
        that control may use.
    """
    # The instance found ahead of this one, None where this one is preferred.
    ahead: dict[str, str | None] = {}
    known_ids: frozenset[str] = frozenset()

    def find_ahead(server_id: str, others: Iterable[str]) -> str | None:
        own = rank(server_id, instance_id)
        return next((o for o in others if rank(server_id, o) >= own), None)

    def preferred(
        server_ids: Collection[str], live_ids: Collection[str]
    ) -> tuple[str, ...]:
        nonlocal known_ids
        others = frozenset(live_ids) - {instance_id}
        joined, left = others - known_ids, known_ids - others
        known_ids = others
        for server_id in ahead.keys() - server_ids:
            del ahead[server_id]
        for server_id in server_ids:
            if server_id not in ahead or ahead[server_id] in left:
                ahead[server_id] = find_ahead(server_id, others)
            elif joined and ahead[server_id] is None:
                ahead[server_id] = find_ahead(server_id, joined)
        return tuple(server_id for server_id in server_ids if ahead[server_id] is None)

    return preferred


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
