"""Prints the table of the four measures: ``python -m bench``."""

import sys
import time
from pathlib import Path

import orjson
from absl import app, flags

from bench.added import measure_added
from bench.blocking import measure_blocking, measure_uneven
from bench.control import count_probes, measure_control
from bench.crest import measure_capacity, measure_crest
from bench.fleet import HOST, Fleet, open_fleet
from bench.plots import draw_series
from bench.sizes import DEPLOYMENTS, SINGLE, Deployment, write_note
from bench.table import Row, format_table
from cuminhatch.arguments import USAGE_STATUS, refuse_arguments
from cuminhatch.decisions.choice import BASELINES, POWER_OF_D
from cuminhatch.messages import Address
from cuminhatch_standins.ports import describe_taken

BASE_PORTS = {"blue-mahoe": 21000, "macaulay": 22000}
POLICIES = (POWER_OF_D, *BASELINES)
# The list of instances lags; permits for probes and long work come after it.
SETTLE_S = 4.0

DEPLOYMENT = flags.DEFINE_enum(
    "deployment", "both", [*DEPLOYMENTS, "both"], "Sizes to measure with."
)
MEASURE = flags.DEFINE_enum(
    "measure",
    "all",
    ["added", "probes", "crest", "blocking", "all"],
    "What to measure.",
)
POLICY = flags.DEFINE_enum(
    "policy", "all", [*POLICIES, "all"], "Choice policy of crest and blocking."
)
SECONDS = flags.DEFINE_float("seconds", 2.0, "Length of each phase.", lower_bound=0.5)
SEED = flags.DEFINE_integer("seed", 1, "Seed of the arrivals.")
PLOTS = flags.DEFINE_string("plots", None, "Directory for plots of the crest as SVG.")
JSON = flags.DEFINE_string("json", None, "File for the rows as JSON.")


def measure_deployment(
    deployment: Deployment, measures: set[str], seconds: float, seed: int
) -> list[Row]:
    """
    Start a deployment and take the measures.

    :param deployment: its sizes.
    :param measures: names of the measures.
    :param seconds: length of each phase.
    :param seed: seed of the arrivals.
    """
    rows: list[Row] = []
    series: dict[str, dict[str, int]] = {}
    with open_fleet(BASE_PORTS[deployment.name]) as fleet:
        callers = _start(deployment, fleet)
        time.sleep(SETTLE_S)
        if "probes" in measures:
            _report(f"{deployment.name}: control")
            rows += measure_control(deployment, fleet, seconds * 2)
        if "added" in measures:
            _report(f"{deployment.name}: added")
            rows += measure_added(deployment, fleet, callers[POWER_OF_D][0], seconds)
        if "crest" in measures:
            rate = measure_capacity(deployment, fleet, seconds, seed)
            name = f"answers called directly ({deployment.daemons} daemons a policy)"
            ratio = rate / deployment.capacity
            rows.append(
                Row("crest", deployment.name, "direct", name, rate, "/s", ratio)
            )
        # The machine may warm up or get busy during a run; other seeds give
        # each policy another turn.
        turn = seed % len(POLICIES)
        for policy in POLICIES[turn:] + POLICIES[:turn]:
            if POLICY.value not in (policy, "all"):
                continue
            place = (deployment, fleet, policy, callers[policy])
            if "crest" in measures:
                _report(f"{deployment.name}: crest, {policy}")
                rows += measure_crest(*place, seconds, seed, series)
            if "blocking" in measures:
                _report(f"{deployment.name}: blocking, {policy}")
                rows += measure_blocking(*place, seconds, seed)
                rows += measure_uneven(*place, seconds, seed)
        if "probes" in measures:
            rows += count_probes(deployment, fleet)
    if PLOTS.value and series:
        directory = Path(PLOTS.value)
        directory.mkdir(parents=True, exist_ok=True)
        svg = draw_series(deployment.name, series, deployment.capacity)
        (directory / f"crest-{deployment.name}.svg").write_text(svg)
    return rows


def _start(deployment: Deployment, fleet: Fleet) -> dict[str, list[str]]:
    """
    Start all processes; return the callers' ports by policy.

    The daemons of all policies run side by side, so that all of them see the
    same machine, and share the probes as the entry instances do.
    """
    fleet.start_platform()
    fleet.start_backends((*deployment.services, SINGLE))
    extras = [
        f'[choice]\npolicy = "{policy}"\n[log]\nlevel = "ERROR"\n'
        for policy in POLICIES
        for _ in range(deployment.daemons)
    ]
    fleet.start_daemons(deployment.domains, extras)
    fleet.submit_note(write_note(deployment, fleet))
    return {
        policy: fleet.callers[n * deployment.daemons : (n + 1) * deployment.daemons]
        for n, policy in enumerate(POLICIES)
    }


def refuse_second_bench() -> None:
    """
    End the program if another bench runs, whose ports it would share.

    :raises SystemExit: one of the first ports is taken.
    """
    taken = describe_taken(
        {name: Address(HOST, port) for name, port in BASE_PORTS.items()}
    )
    if taken:
        _report("another bench seems to run: " + "; ".join(taken))
        raise SystemExit(USAGE_STATUS)


def _report(text: str) -> None:
    print(f"bench: {text}", file=sys.stderr, flush=True)


def run_bench(arguments: list[str]) -> None:
    """Take the chosen measures and print the table."""
    refuse_arguments("bench", arguments)
    refuse_second_bench()
    chosen = {"added", "probes", "crest", "blocking"}
    measures = chosen if MEASURE.value == "all" else {MEASURE.value}
    names = list(DEPLOYMENTS) if DEPLOYMENT.value == "both" else [DEPLOYMENT.value]
    rows: list[Row] = []
    for name in names:
        rows += measure_deployment(
            DEPLOYMENTS[name], measures, SECONDS.value, SEED.value
        )
    rows.sort(key=lambda row: row.measure)
    print(format_table(rows))
    if JSON.value:
        values = [row._asdict() for row in rows]
        Path(JSON.value).write_bytes(orjson.dumps(values, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    app.run(run_bench)
