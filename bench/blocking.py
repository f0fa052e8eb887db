"""Short work beside long work, and with uneven backend servers."""

import orjson

from bench.fleet import Fleet, fetch
from bench.load import BUCKET_MS, Phase, Stream
from bench.sizes import LONG_DEADLINE_MS, LONG_PATH, LONG_WORK_MS, Deployment
from bench.streams import run_streams, short_stream
from bench.table import Row, judge_at_most
from cuminhatch.clock import MS_PER_SECOND

BLOCKING_TARGET = 1.25
# With a third of the slots for long work, all servers together have slots
# left, so the ratio shows blocking and not a lack of servers.
SHORT_LOAD = 0.4
# Somewhat more long work than its share can run.
LONG_LOAD = 1.2
UNEVEN_LOAD = 0.6
STRAGGLER_FACTOR = 5


def measure_blocking(
    deployment: Deployment,
    fleet: Fleet,
    policy: str,
    callers: list[str],
    seconds: float,
    seed: int,
) -> list[Row]:
    """
    Compare short work without and with long work that fills its share.

    :param deployment: its sizes.
    :param fleet: the running processes.
    :param policy: choice of the daemons.
    :param callers: their ports.
    :param seconds: length of each of the two runs.
    :param seed: seed of the arrivals.
    """
    short_phases: list[Phase] = [
        {"seconds": seconds, "rate": deployment.capacity * SHORT_LOAD}
    ]
    short = short_stream(callers, short_phases)
    full_rate = deployment.long_slots * MS_PER_SECOND / LONG_WORK_MS
    long: Stream = {
        "name": "long",
        "targets": callers,
        "path": f"{LONG_PATH}?ms={LONG_WORK_MS:g}&bytes=1000",
        "method": "GET",
        "deadline_ms": LONG_DEADLINE_MS,
        "is_keyed": False,
        "phases": [{"seconds": seconds, "rate": full_rate * LONG_LOAD}],
    }
    alone = run_streams(fleet, [short], seed)["short"]
    both = run_streams(fleet, [short, long], seed)
    ratio = both["short"]["p99_ms"] / alone["p99_ms"]
    name = f"short p99 beside long work ({alone['p99_ms']:.1f} ms alone)"
    row = Row(
        "blocking",
        deployment.name,
        policy,
        name,
        both["short"]["p99_ms"],
        "ms",
        ratio,
    )
    # The first long answers come after the time of one.
    first = int(LONG_WORK_MS / BUCKET_MS)
    last = first + round(seconds * MS_PER_SECOND / BUCKET_MS)
    finished = sum(
        count
        for bucket, count in both["long"]["useful_per_bucket"].items()
        if first <= int(bucket) < last
    )
    rate = finished / seconds
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
    deployment: Deployment,
    fleet: Fleet,
    policy: str,
    callers: list[str],
    seconds: float,
    seed: int,
) -> list[Row]:
    """
    Run short work with one straggler and one server that fails fast.

    :param deployment: its sizes.
    :param fleet: the running processes.
    :param policy: choice of the daemons.
    :param callers: their ports.
    :param seconds: length of the run.
    :param seed: seed of the arrivals.
    """
    straggler, failing = fleet.backends[deployment.loaded.service_id][:2]
    phases: list[Phase] = [
        {"seconds": seconds, "rate": deployment.capacity * UNEVEN_LOAD}
    ]
    _set_faults(straggler, slow=STRAGGLER_FACTOR)
    _set_faults(failing, fail_fast=True)
    try:
        report = run_streams(fleet, [short_stream(callers, phases)], seed)["short"]
    finally:
        _set_faults(straggler, slow=1)
        _set_faults(failing, fail_fast=False)
    total = sum(report["outcomes"].values())
    bad = total - report["outcomes"].get("useful", 0)
    place = ("uneven", deployment.name, policy)
    return [
        Row(
            *place,
            "short p99, one straggler, one failing (baseline: work time)",
            report["p99_ms"],
            "ms",
            report["p99_ms"] / deployment.loaded.work_ms,
        ),
        Row(*place, "requests without a useful answer", bad * 100 / total, "%"),
    ]


def _set_faults(address: str, **faults: float) -> None:
    status, body = fetch(address, "POST", "/faults", orjson.dumps(faults))
    if status != 200:
        raise RuntimeError(f"a fault was refused: {body.decode()}")
