"""Useful answers at three times the capacity."""

from typing import Any

from bench.fleet import Fleet
from bench.load import BUCKET_MS, Phase
from bench.sizes import Deployment
from bench.streams import run_streams, short_stream
from bench.table import Row, judge_at_least, judge_at_most
from cuminhatch.clock import MS_PER_SECOND

GOODPUT_TARGET = 0.9
USUAL_LOAD = 0.6
CREST_LOAD = 3.0
# Enough to keep all slots busy without filling the queues.
DIRECT_LOAD = 1.2
# About 300 requests arrive in a step, with a standard deviation of 6%.
RECOVERY_STEP_S = 0.5
RECOVERED_MARGIN = 0.15
BUCKETS_PER_SECOND = MS_PER_SECOND / BUCKET_MS


def measure_capacity(
    deployment: Deployment, fleet: Fleet, seconds: float, seed: int
) -> float:
    """
    Measure the answers per second of the backend servers called directly.

    :param deployment: its sizes.
    :param fleet: the running processes.
    :param seconds: how long.
    :param seed: seed of the arrivals.
    """
    targets = fleet.backends[deployment.loaded.service_id]
    phases: list[Phase] = [
        {"seconds": seconds, "rate": deployment.capacity * DIRECT_LOAD}
    ]
    report = run_streams(fleet, [short_stream(targets, phases)], seed)["short"]
    # The first half fills the slots.
    return _useful_rate(report, seconds / 2, seconds)


def measure_crest(
    deployment: Deployment,
    fleet: Fleet,
    policy: str,
    callers: list[str],
    seconds: float,
    seed: int,
    series: dict[str, dict[str, int]],
) -> list[Row]:
    """
    Raise the load to three times the capacity and lower it again.

    :param deployment: its sizes.
    :param fleet: the running processes.
    :param policy: choice of the daemons.
    :param callers: their ports.
    :param seconds: length of each of the three phases.
    :param seed: seed of the arrivals.
    :param series: gets the useful answers per bucket of this policy.
    """
    loads = (USUAL_LOAD, CREST_LOAD, USUAL_LOAD)
    phases: list[Phase] = [
        {"seconds": seconds, "rate": deployment.capacity * load} for load in loads
    ]
    report = run_streams(fleet, [short_stream(callers, phases)], seed)["short"]
    series[policy] = report["useful_per_bucket"]
    rows = []
    for number, name in enumerate(("before", "during", "after")):
        rate = _useful_rate(report, seconds * number, seconds * (number + 1))
        row = Row(
            "crest",
            deployment.name,
            policy,
            f"useful answers {name}",
            rate,
            "/s",
            rate / deployment.capacity,
        )
        if name == "during":
            row = judge_at_least(row, GOODPUT_TARGET, rate / deployment.capacity)
        rows.append(row)
    late = report["late_refusals"]
    other = {k: v for k, v in report["outcomes"].items() if k != "useful"}
    text = ", ".join(f"{name}: {count}" for name, count in sorted(other.items()))
    row = Row(
        "crest",
        deployment.name,
        policy,
        f"late refusals (not useful: {text})",
        late,
        "",
    )
    rows.append(judge_at_most(row, 0, late))
    recovery = _recovery_ms(report, seconds * 2, seconds * 3)
    rows.append(Row("crest", deployment.name, policy, "recovery", recovery, "ms"))
    return rows


def _useful_rate(report: dict[str, Any], start_s: float, end_s: float) -> float:
    return _count(report["useful_per_bucket"], start_s, end_s) / (end_s - start_s)


def _count(buckets: dict[str, int], start_s: float, end_s: float) -> int:
    first, last = (round(s * BUCKETS_PER_SECOND) for s in (start_s, end_s))
    return sum(buckets.get(str(number), 0) for number in range(first, last))


def _recovery_ms(report: dict[str, Any], start_s: float, end_s: float) -> float:
    """
    Return the time until useful answers are as many as the arrivals.

    Fewer means that requests are still refused, more that the queue of the
    crest is still being worked off.
    """
    start = start_s
    while start + RECOVERY_STEP_S <= end_s:
        sent = _count(report["sent_per_bucket"], start, start + RECOVERY_STEP_S)
        useful = _count(report["useful_per_bucket"], start, start + RECOVERY_STEP_S)
        if abs(useful - sent) <= sent * RECOVERED_MARGIN:
            break
        start += 1 / BUCKETS_PER_SECOND
    return (start - start_s) * MS_PER_SECOND
