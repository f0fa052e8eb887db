"""Goodput (rate of useful responses) at three times the capacity."""

from typing import Any

from bench.fleet import Fleet
from bench.load import BUCKET_MS, Phase
from bench.sizes import DeploymentSpec
from bench.streams import make_short_stream, run_streams
from bench.table import Row, judge_at_least, judge_at_most
from cuminhatch.clock import MS_PER_SECOND

# Goodput and loads are shares of the capacity.
GOODPUT_TARGET = 0.9
NORMAL_LOAD = 0.6
PEAK_LOAD = 3.0
# Enough to keep all slots busy without filling the queues.
DIRECT_LOAD = 1.2
# About 300 requests arrive in a window, with a standard deviation of 6%, so
# the tolerance is about 2.5 standard deviations.
RECOVERY_WINDOW_S = 0.5
RECOVERY_TOLERANCE = 0.15
BUCKETS_PER_SECOND = MS_PER_SECOND / BUCKET_MS


def measure_capacity(
    deployment: DeploymentSpec, fleet: Fleet, seconds: float, seed: int
) -> float:
    """
    Measure the responses per second of backend servers called directly.

    :param deployment: deployment that is measured.
    :param fleet: the running processes.
    :param seconds: length of the measurement.
    :param seed: seed of the arrivals.
    """
    targets = fleet.backends[deployment.loaded_service.service_id]
    phases: list[Phase] = [
        {"seconds": seconds, "rate": deployment.capacity * DIRECT_LOAD}
    ]
    report = run_streams(fleet, [make_short_stream(targets, phases)], seed)["short"]
    # The slots fill up during the first half, which isn't counted.
    return _compute_goodput(report, seconds / 2, seconds)


def measure_peak_load(
    deployment: DeploymentSpec,
    fleet: Fleet,
    policy: str,
    caller_addresses: list[str],
    seconds: float,
    seed: int,
    series: dict[str, dict[str, int]],
) -> list[Row]:
    """
    Raise the load to three times the capacity and lower it again.

    :param deployment: deployment that is measured.
    :param fleet: the running processes.
    :param policy: choice policy of the daemons.
    :param caller_addresses: addresses of the daemons for callers.
    :param seconds: length of each of the three phases.
    :param seed: seed of the arrivals.
    :param series: receives this policy's useful responses per bucket.
    """
    loads = (NORMAL_LOAD, PEAK_LOAD, NORMAL_LOAD)
    phases: list[Phase] = [
        {"seconds": seconds, "rate": deployment.capacity * load} for load in loads
    ]
    report = run_streams(fleet, [make_short_stream(caller_addresses, phases)], seed)[
        "short"
    ]
    series[policy] = report["useful_per_bucket"]
    rows = []
    for number, name in enumerate(("before", "during", "after")):
        rate = _compute_goodput(report, seconds * number, seconds * (number + 1))
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
    recovery = _compute_recovery_ms(report, seconds * 2, seconds * 3)
    rows.append(Row("crest", deployment.name, policy, "recovery", recovery, "ms"))
    return rows


def _compute_goodput(report: dict[str, Any], start_s: float, end_s: float) -> float:
    return _count_between(report["useful_per_bucket"], start_s, end_s) / (
        end_s - start_s
    )


def _count_between(buckets: dict[str, int], start_s: float, end_s: float) -> int:
    first, last = (round(s * BUCKETS_PER_SECOND) for s in (start_s, end_s))
    return sum(buckets.get(str(number), 0) for number in range(first, last))


def _compute_recovery_ms(report: dict[str, Any], start_s: float, end_s: float) -> float:
    """
    Return the time until useful responses are about as many as the arrivals.

    They may differ by ``RECOVERY_TOLERANCE``; if they differ by more in every
    window, the result is nearly the length of the phase. Fewer responses than
    arrivals mean that requests are still refused; more mean that requests
    queued during the peak are still being completed.
    """
    start = start_s
    while start + RECOVERY_WINDOW_S <= end_s:
        sent = _count_between(
            report["sent_per_bucket"], start, start + RECOVERY_WINDOW_S
        )
        useful = _count_between(
            report["useful_per_bucket"], start, start + RECOVERY_WINDOW_S
        )
        if abs(useful - sent) <= sent * RECOVERY_TOLERANCE:
            break
        start += 1 / BUCKETS_PER_SECOND
    return (start - start_s) * MS_PER_SECOND
