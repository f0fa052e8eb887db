"""Run soak tests by seed: ``python -m soak --seed 1 --count 50``."""

import sys

from absl import app, flags

from cuminhatch.arguments import refuse_arguments
from cuminhatch.program_help import ProgramHelp, exit_with_help
from soak.run import run_seed

SEED = flags.DEFINE_integer("seed", 1, "First seed.")
COUNT = flags.DEFINE_integer("count", 1, "Number of seeds.", lower_bound=1)
SECONDS = flags.DEFINE_float("seconds", 34.0, "Length of a run.", lower_bound=20.0)
BASE_PORT = flags.DEFINE_integer("base_port", 24_000, "First of 100 free ports.")

FAILED_STATUS = 1
HELP = ProgramHelp(
    "python -m soak",
    "Injects faults into running gateways by seed and checks the guarantees.",
    (SEED, COUNT, SECONDS, BASE_PORT),
    "python -m soak --seed 1 --count 50",
    "0 all guarantees kept, 1 some violated, 2 usage error",
)


def run_soak(arguments: list[str]) -> int:
    """
    Run the chosen seeds.

    :param arguments: program name and positional arguments.
    :returns: the exit status.
    """
    refuse_arguments("soak", arguments)
    failed = []
    for seed in range(SEED.value, SEED.value + COUNT.value):
        result = run_seed(seed, SECONDS.value, BASE_PORT.value)
        print(
            f"seed {seed}: {result.faults} faults, {result.succeeded} of "
            f"{result.requests} answered, {len(result.violations)} broken",
            flush=True,
        )
        for line in result.violations:
            print(f"  {line}", flush=True)
        if result.violations:
            failed.append(seed)
    if failed:
        print(f"violations with seeds {failed}", file=sys.stderr)
        return FAILED_STATUS
    return 0


if __name__ == "__main__":
    exit_with_help(HELP)
    app.run(run_soak)
