"""Run the benchmarks and print their results: ``python -m bench``."""

import sys
import time
from pathlib import Path

import orjson
from absl import app, flags

from bench.added_latency import measure_added_latency
from bench.blocking import measure_blocking, measure_uneven
from bench.control import measure_idle_daemons, measure_probe_rate
from bench.fleet import HOST, Fleet, open_fleet
from bench.peak import measure_capacity, measure_peak_load
from bench.plots import draw_series
from bench.sizes import DEPLOYMENTS, SINGLE_SERVER, DeploymentSpec, format_note
from bench.table import Row, format_table
from cuminhatch.arguments import EXIT_USAGE, refuse_arguments
from cuminhatch.decisions.choice import BASELINES, POWER_OF_D
from cuminhatch.messages import Address
from cuminhatch.program_help import ProgramHelp, exit_with_help
from cuminhatch_standins.ports import describe_ports_in_use

BASE_PORTS = {"blue-mahoe": 21000, "macaulay": 22000}
POLICIES = (POWER_OF_D, *BASELINES)
# Instances appear in the list of instances with a delay. Only after that do
# daemons acquire the permits for probes and for long work.
SETTLE_S = 4.0

DEPLOYMENT = flags.DEFINE_enum(
    "deployment", "both", [*DEPLOYMENTS, "both"], "Deployment to measure."
)
MEASURE = flags.DEFINE_enum(
    "measure",
    "all",
    ["added", "probes", "crest", "blocking", "all"],
    "What to measure.",
)
POLICY = flags.DEFINE_enum(
    "policy", "all", [*POLICIES, "all"], "Choice policy, for crest and blocking."
)
SECONDS = flags.DEFINE_float("seconds", 2.0, "Length of each phase.", lower_bound=0.5)
SEED = flags.DEFINE_integer("seed", 1, "Seed of the arrivals.")
PLOTS = flags.DEFINE_string(
    "plots", None, "Directory for SVG plots of the peak load (crest)."
)
JSON = flags.DEFINE_string("json", None, "File for the results as JSON.")


def measure_deployment(
    deployment: DeploymentSpec, measures: set[str], seconds: float, seed: int
) -> list[Row]:
    """
    Start a deployment and run benchmarks on it.

    :param deployment: deployment to start.
    :param measures: names of the benchmarks.
    :param seconds: length of each phase.
    :param seed: seed of the arrivals.
    """
    rows: list[Row] = []
    series: dict[str, dict[str, int]] = {}
    with open_fleet(BASE_PORTS[deployment.name]) as fleet:
        caller_addresses = _start_deployment(deployment, fleet)
        time.sleep(SETTLE_S)
        if "probes" in measures:
            _print_progress(f"{deployment.name}: control")
            rows += measure_idle_daemons(deployment, fleet, seconds * 2)
        if "added" in measures:
            _print_progress(f"{deployment.name}: added")
            rows += measure_added_latency(
                deployment, fleet, caller_addresses[POWER_OF_D][0], seconds
            )
        if "crest" in measures:
            rate = measure_capacity(deployment, fleet, seconds, seed)
            name = f"answers called directly ({deployment.daemons} daemons a policy)"
            ratio = rate / deployment.capacity
            rows.append(
                Row("crest", deployment.name, "direct", name, rate, "/s", ratio)
            )
        # The speed of the machine may change during a run, so the seed decides
        # which policy is measured first.
        offset = seed % len(POLICIES)
        for policy in POLICIES[offset:] + POLICIES[:offset]:
            if POLICY.value not in (policy, "all"):
                continue
            common = (deployment, fleet, policy, caller_addresses[policy])
            if "crest" in measures:
                _print_progress(f"{deployment.name}: crest, {policy}")
                rows += measure_peak_load(*common, seconds, seed, series)
            if "blocking" in measures:
                _print_progress(f"{deployment.name}: blocking, {policy}")
                rows += measure_blocking(*common, seconds, seed)
                rows += measure_uneven(*common, seconds, seed)
        if "probes" in measures:
            rows += measure_probe_rate(deployment, fleet)
    if PLOTS.value and series:
        directory = Path(PLOTS.value)
        directory.mkdir(parents=True, exist_ok=True)
        svg = draw_series(deployment.name, series, deployment.capacity)
        (directory / f"crest-{deployment.name}.svg").write_text(svg)
    return rows


def _start_deployment(deployment: DeploymentSpec, fleet: Fleet) -> dict[str, list[str]]:
    """
    Start all processes; return the daemons' caller addresses by policy.

    The daemons of all policies run at the same time, so that they are
    measured under the same conditions and share the probes like the instances
    of a real deployment.
    """
    fleet.start_platform()
    fleet.start_backends((*deployment.services, SINGLE_SERVER))
    extras = [
        f'[choice]\npolicy = "{policy}"\n[log]\nlevel = "ERROR"\n'
        for policy in POLICIES
        for _ in range(deployment.daemons)
    ]
    fleet.start_daemons(deployment.domains, extras)
    fleet.submit_note(format_note(deployment, fleet))
    return {
        policy: fleet.caller_addresses[
            n * deployment.daemons : (n + 1) * deployment.daemons
        ]
        for n, policy in enumerate(POLICIES)
    }


def refuse_second_bench() -> None:
    """
    Exit if another bench is running, since both would use the same ports.

    :raises SystemExit: a base port is in use.
    """
    taken = describe_ports_in_use(
        {name: Address(HOST, port) for name, port in BASE_PORTS.items()}
    )
    if taken:
        _print_progress("another bench seems to be running: " + "; ".join(taken))
        raise SystemExit(EXIT_USAGE)


def _print_progress(text: str) -> None:
    print(f"bench: {text}", file=sys.stderr, flush=True)


HELP = ProgramHelp(
    "python -m bench",
    "Measures daemons before stand-ins and prints the results.",
    (DEPLOYMENT, MEASURE, POLICY, SECONDS, SEED, PLOTS, JSON),
    "python -m bench --measure=added --seed=1",
    "0 measured, 2 usage error or a bench is running already",
)


def run_bench(arguments: list[str]) -> None:
    """Run the chosen benchmarks and print the table of results."""
    refuse_arguments("bench", arguments)
    refuse_second_bench()
    chosen = {"added", "probes", "crest", "blocking"}
    measures = chosen if MEASURE.value == "all" else {MEASURE.value}
    deployment_names = (
        list(DEPLOYMENTS) if DEPLOYMENT.value == "both" else [DEPLOYMENT.value]
    )
    rows: list[Row] = []
    for name in deployment_names:
        rows += measure_deployment(
            DEPLOYMENTS[name], measures, SECONDS.value, SEED.value
        )
    rows.sort(key=lambda row: row.measure)
    print(format_table(rows))
    if JSON.value:
        values = [row._asdict() for row in rows]
        Path(JSON.value).write_bytes(orjson.dumps(values, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    exit_with_help(HELP)
    app.run(run_bench)
