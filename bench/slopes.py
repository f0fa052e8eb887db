"""
Measures how memory, CPU time and messages grow with each size.

``docs/CAPACITY.md`` derives the design size from these slopes. Run with
``python -m bench.slopes [--json FILE] [--only GROUP]``; it takes less than two
minutes. CPU time is that of the measured process only, so other processes on
the machine affect it only through caches and the clock rate.
"""

import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import orjson
from absl import app, flags

from bench._slopes_fleet import measure_fleet
from bench._slopes_local import (
    Series,
    measure_instances,
    measure_notes,
    measure_servers,
    measure_services,
    measure_spread,
    measure_timeline,
)
from cuminhatch.arguments import refuse_arguments

GROUPS = {
    "servers": measure_servers,
    "services": measure_services,
    "instances": measure_instances,
    "notes": measure_notes,
    "timeline": measure_timeline,
    "fleet": measure_fleet,
    "spread": measure_spread,
}
# The spread takes long (about 30 s), so it is measured only on demand.
DEFAULT_GROUPS = [group for group in GROUPS if group != "spread"]
JSON_FILE = flags.DEFINE_string(
    "json", None, "File for the points and fitted lines, as JSON."
)
ONLY = flags.DEFINE_multi_enum("only", DEFAULT_GROUPS, list(GROUPS), "What to measure.")


class Line(NamedTuple):
    """A fitted line; ``deviation`` is the largest deviation of any point."""

    slope: float
    intercept: float
    deviation: float


def fit_line(points: tuple[tuple[float, float], ...]) -> Line:
    """
    Fit a line by least squares.

    :param points: pairs of size and value; one point gives a constant.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    product = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = product / spread if spread else 0.0
    intercept = mean_y - slope * mean_x
    deviation = max(abs(y - intercept - slope * x) for x, y in points)
    return Line(slope, intercept, deviation)


def measure_all(groups: Iterable[str]) -> Iterable[Series]:
    """
    Measure all series of the given groups.

    :param groups: names in ``GROUPS``.
    """
    for group in groups:
        yield from GROUPS[group]()


def main(arguments: list[str]) -> None:
    """Measure the chosen groups and print a line for each series."""
    refuse_arguments("bench.slopes", arguments)
    started_s = time.monotonic()
    results: list[dict[str, Any]] = []
    print(f"{'series':34}{'unit':24}{'slope':>12}{'intercept':>12}{'deviation':>12}")
    for series in measure_all(ONLY.value):
        line = fit_line(series.points)
        unit = f"{series.value_unit} per {series.size_unit}".removesuffix(" per ")
        figures = "".join(f"{figure:12.4g}" for figure in line)
        print(f"{series.name:34}{unit:24}{figures}", flush=True)
        results.append({**series._asdict(), **line._asdict()})
    print(f"took {time.monotonic() - started_s:.0f} s")
    if JSON_FILE.value:
        Path(JSON_FILE.value).write_bytes(
            orjson.dumps(results, option=orjson.OPT_INDENT_2)
        )


if __name__ == "__main__":
    app.run(main)
