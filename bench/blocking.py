"""Latency of short work while long work runs, and with uneven servers."""

import orjson

from bench.fleet import Fleet, fetch
from bench.load import BUCKET_MS, Phase, RequestStream
from bench.sizes import LONG_DEADLINE_MS, LONG_PATH, LONG_WORK_MS, DeploymentSpec
from bench.streams import make_short_stream, run_streams
from bench.table import Row, judge_at_most
from cuminhatch.clock import MS_PER_SECOND

BLOCKING_TARGET = 1.25
# Long work may use a third of the slots. At this load the rest suffices for
# short work, so the ratio shows blocking and not a lack of capacity.
SHORT_LOAD = 0.4
# Slightly more long work than fits into its share of the slots.
LONG_LOAD = 1.2
UNEVEN_LOAD = 0.6
STRAGGLER_FACTOR = 5


def measure_blocking(
    deployment: DeploymentSpec,
    fleet: Fleet,
    policy: str,
    caller_addresses: list[str],
    seconds: float,
    seed: int,
) -> list[Row]:
    """
    Compare short work without and with long work that uses its full share.

    :param deployment: deployment that is measured.
    :param fleet: the running processes.
    :param policy: choice policy of the daemons.
    :param caller_addresses: addresses of the daemons for callers.
    :param seconds: length of each of the two runs.
    :param seed: seed of the arrivals.
    """
    short_phases: list[Phase] = [
        {"seconds": seconds, "rate": deployment.capacity * SHORT_LOAD}
    ]
    short = make_short_stream(caller_addresses, short_phases)
    full_rate = deployment.long_slots * MS_PER_SECOND / LONG_WORK_MS
    long: RequestStream = {
        "name": "long",
        "targets": caller_addresses,
        "path": f"{LONG_PATH}?ms={LONG_WORK_MS:g}&bytes=1000",
        "method": "GET",
        "deadline_ms": LONG_DEADLINE_MS,
        "is_keyed": False,
        "phases": [{"seconds": seconds, "rate": full_rate * LONG_LOAD}],
    }
    without_long = run_streams(fleet, [short], seed)["short"]
    with_long = run_streams(fleet, [short, long], seed)
    ratio = with_long["short"]["p99_ms"] / without_long["p99_ms"]
    name = f"short p99 beside long work ({without_long['p99_ms']:.1f} ms alone)"
    row = Row(
        "blocking",
        deployment.name,
        policy,
        name,
        with_long["short"]["p99_ms"],
        "ms",
        ratio,
    )
    # The first long responses arrive after the time of one request.
    first = int(LONG_WORK_MS / BUCKET_MS)
    last = first + round(seconds * MS_PER_SECOND / BUCKET_MS)
    completed = sum(
        count
        for bucket, count in with_long["long"]["useful_per_bucket"].items()
        if first <= int(bucket) < last
    )
    rate = completed / seconds
    long_row = Row(
        "blocking",
        deployment.name,
        policy,
        "long answers (baseline: all long slots)",
        rate,
        "/s",
        rate / full_rate,
    )
    return [judge_at_most(row, BLOCKING_TARGET, ratio), long_row]


def measure_uneven(
    deployment: DeploymentSpec,
    fleet: Fleet,
    policy: str,
    caller_addresses: list[str],
    seconds: float,
    seed: int,
) -> list[Row]:
    """
    Run short work with one slow server and one that fails fast.

    :param deployment: deployment that is measured.
    :param fleet: the running processes.
    :param policy: choice policy of the daemons.
    :param caller_addresses: addresses of the daemons for callers.
    :param seconds: length of the run.
    :param seed: seed of the arrivals.
    """
    straggler, failing = fleet.backends[deployment.loaded_service.service_id][:2]
    phases: list[Phase] = [
        {"seconds": seconds, "rate": deployment.capacity * UNEVEN_LOAD}
    ]
    _set_faults(straggler, slow=STRAGGLER_FACTOR)
    _set_faults(failing, fail_fast=True)
    try:
        report = run_streams(
            fleet, [make_short_stream(caller_addresses, phases)], seed
        )["short"]
    finally:
        _set_faults(straggler, slow=1)
        _set_faults(failing, fail_fast=False)
    total = sum(report["outcomes"].values())
    not_useful = total - report["outcomes"].get("useful", 0)
    common = ("uneven", deployment.name, policy)
    return [
        Row(
            *common,
            "short p99, one straggler, one failing (baseline: work time)",
            report["p99_ms"],
            "ms",
            report["p99_ms"] / deployment.loaded_service.work_ms,
        ),
        Row(*common, "requests without a useful answer", not_useful * 100 / total, "%"),
    ]


def _set_faults(address: str, **faults: float) -> None:
    status, body = fetch(address, "POST", "/faults", orjson.dumps(faults))
    if status != 200:
        raise RuntimeError(f"a fault was rejected: {body.decode()}")
