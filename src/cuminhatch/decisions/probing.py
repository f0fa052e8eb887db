"""
Schedule of the periodic probes of backend servers.

Only the holder of a backend server's probing permit probes it, so its probe
budget holds over all instances. A new holder waits for at least one interval
before its first probe, so that it does not follow the former holder's last
probe too closely. The interval starts at the end of a probe: if a probe is
delayed on its way, one sent an interval later could otherwise reach the
server right after it.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from cuminhatch.clock import MS_PER_SECOND
from cuminhatch.decisions.rendezvous import rank


class ProbeSchedule(NamedTuple):
    """
    Schedule of the probes of a backend server; times in milliseconds.

    No probe is due while one ``is_under_way``.
    """

    next_ms: float
    interval_ms: float
    is_under_way: bool = False


def make_permit_selector(
    instance_id: str,
) -> Callable[[Collection[str], Collection[str]], tuple[str, ...]]:
    """
    Build a function that selects the servers whose permits to request.

    Rendezvous hashing spreads the servers evenly over the instances without
    any messages. Instances that see different members may request the permit
    of the same server; only one of them gets it.

    :param instance_id: id of this instance.
    :returns: a function of the ids of all backend servers and of the live
        instances. For each server it remembers one instance that ranks higher
        than this one, and hashes only for servers and instances that are new
        or gone. With 20,000 servers, hashing all of them every 5 s would take
        more than the 1.4% of a core that an instance may use for control work.
    """
    # For each server an instance that ranks higher than this one, None if
    # there is none, which makes this instance the preferred one.
    higher: dict[str, str | None] = {}
    known_ids: frozenset[str] = frozenset()

    def find_higher(server_id: str, others: Iterable[str]) -> str | None:
        own = rank(server_id, instance_id)
        return next((o for o in others if rank(server_id, o) >= own), None)

    def preferred(
        server_ids: Collection[str], live_ids: Collection[str]
    ) -> tuple[str, ...]:
        nonlocal known_ids
        others = frozenset(live_ids) - {instance_id}
        joined, left = others - known_ids, known_ids - others
        known_ids = others
        for server_id in higher.keys() - server_ids:
            del higher[server_id]
        for server_id in server_ids:
            if server_id not in higher or higher[server_id] in left:
                higher[server_id] = find_higher(server_id, others)
            elif joined and higher[server_id] is None:
                higher[server_id] = find_higher(server_id, joined)
        return tuple(server_id for server_id in server_ids if higher[server_id] is None)

    return preferred


def start_schedule(rate: float, now_ms: float) -> ProbeSchedule:
    """
    Return the schedule for a server whose permit has just been granted.

    :param rate: probe budget per second.
    :param now_ms: monotonic time in milliseconds.
    """
    interval_ms = MS_PER_SECOND / rate
    # At least one second: the former holder may have used the whole budget of
    # the previous second.
    return ProbeSchedule(now_ms + max(interval_ms, MS_PER_SECOND), interval_ms)


def change_rate(schedule: ProbeSchedule, rate: float, now_ms: float) -> ProbeSchedule:
    """
    Return the schedule after a release note has set the budget.

    :param schedule: present schedule; it is kept if the budget is the same.
    :param rate: probe budget per second.
    :param now_ms: monotonic time in milliseconds.
    """
    interval_ms = MS_PER_SECOND / rate
    if interval_ms == schedule.interval_ms:
        return schedule
    return schedule._replace(next_ms=now_ms + interval_ms, interval_ms=interval_ms)


def take_due(
    schedules: Mapping[str, ProbeSchedule], now_ms: float
) -> tuple[tuple[str, ...], dict[str, ProbeSchedule]]:
    """
    Return the backend servers to probe now and the updated schedules.

    :param schedules: schedules by server id.
    :param now_ms: monotonic time in milliseconds.
    :returns: ids of the servers that are due, and all schedules, with the
        probes of these servers under way.
    """
    due = tuple(
        server_id
        for server_id, schedule in schedules.items()
        if not schedule.is_under_way and schedule.next_ms <= now_ms
    )
    updated = dict(schedules)
    for server_id in due:
        updated[server_id] = schedules[server_id]._replace(is_under_way=True)
    return due, updated


def end_probe(schedule: ProbeSchedule, now_ms: float) -> ProbeSchedule:
    """
    Return the schedule after a probe was answered or failed.

    The next interval starts now. A frozen process or a slow connection may
    have delayed the probe until just now; if the interval started with the
    probe, two probes could arrive together. Missed probes are not made up.

    :param schedule: present schedule of the backend server.
    :param now_ms: monotonic time in milliseconds.
    """
    return schedule._replace(next_ms=now_ms + schedule.interval_ms, is_under_way=False)
