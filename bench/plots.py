"""Draws useful responses over time as SVG, with one line per policy."""

from collections.abc import Mapping

from bench.load import BUCKET_MS
from cuminhatch.clock import MS_PER_SECOND

WIDTH, HEIGHT = 900, 360
LEFT, TOP, BOTTOM, RIGHT = 60, 30, 40, 200
COLOURS = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad")
# Window of the moving average, in buckets.
SMOOTHING = 5

Series = Mapping[str, Mapping[str, int]]


def _smooth(buckets: Mapping[str, int], length: int) -> list[float]:
    counts = [buckets.get(str(number), 0) for number in range(length)]
    per_second = MS_PER_SECOND / BUCKET_MS
    return [
        sum(counts[max(0, i - SMOOTHING + 1) : i + 1])
        / min(i + 1, SMOOTHING)
        * per_second
        for i in range(length)
    ]


def draw_series(title: str, series: Series, capacity: float) -> str:
    """
    Draw useful responses per second over time.

    :param title: heading of the plot.
    :param series: useful responses per bucket of 100 ms, by policy.
    :param capacity: maximum responses per second of the servers.
    :returns: an SVG document.
    """
    length = 1 + max(int(number) for buckets in series.values() for number in buckets)
    lines = {name: _smooth(buckets, length) for name, buckets in series.items()}
    top = 1.1 * max(capacity, *(max(line) for line in lines.values()))
    plot_width, plot_height = WIDTH - LEFT - RIGHT, HEIGHT - TOP - BOTTOM

    def x_of(number: int) -> float:
        return LEFT + plot_width * number / max(1, length - 1)

    def y_of(value: float) -> float:
        return TOP + plot_height * (1 - value / top)

    seconds = length * BUCKET_MS / MS_PER_SECOND
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="12">',
        f'<text x="{LEFT}" y="18">{title}: useful answers a second</text>',
        f'<rect x="{LEFT}" y="{TOP}" width="{plot_width}" height="{plot_height}" '
        'fill="none" stroke="#999"/>',
        f'<line x1="{LEFT}" x2="{LEFT + plot_width}" y1="{y_of(capacity):.1f}" '
        f'y2="{y_of(capacity):.1f}" stroke="#999" stroke-dasharray="4"/>',
        f'<text x="4" y="{y_of(capacity):.1f}">{capacity:.0f}</text>',
        f'<text x="{LEFT}" y="{HEIGHT - 14}">0 s</text>',
        f'<text x="{LEFT + plot_width - 30}" y="{HEIGHT - 14}">{seconds:.1f} s</text>',
    ]
    for index, (name, line) in enumerate(sorted(lines.items())):
        colour = COLOURS[index % len(COLOURS)]
        points = " ".join(f"{x_of(i):.1f},{y_of(v):.1f}" for i, v in enumerate(line))
        parts.append(f'<polyline points="{points}" fill="none" stroke="{colour}"/>')
        parts.append(
            f'<text x="{LEFT + plot_width + 10}" y="{TOP + 16 * (index + 1)}" '
            f'fill="{colour}">{name}</text>'
        )
    return "\n".join([*parts, "</svg>"]) + "\n"
