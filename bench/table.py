"""Rows of results, their targets, and the table of them."""

from typing import NamedTuple


class Row(NamedTuple):
    """
    One measured figure.

    ``ratio`` is the value divided by its baseline; ``is_met`` is None for a
    figure without a target.
    """

    measure: str
    deployment: str
    policy: str
    figure: str
    value: float
    unit: str
    ratio: float | None = None
    target: str = ""
    is_met: bool | None = None


def judge_at_most(row: Row, limit: float, value: float) -> Row:
    """
    Return a row with an upper limit as target.

    :param row: row without a target.
    :param limit: the target.
    :param value: compared with the target; the row's value or ratio.
    """
    return row._replace(target=f"<= {limit:g}", is_met=value <= limit)


def judge_at_least(row: Row, limit: float, value: float) -> Row:
    """
    Return a row with a lower limit as target.

    :param row: row without a target.
    :param limit: the target.
    :param value: compared with the target; the row's value or ratio.
    """
    return row._replace(target=f">= {limit:g}", is_met=value >= limit)


def format_table(rows: list[Row]) -> str:
    """
    Return the rows as a Markdown table.

    :param rows: rows in the order of the table.
    """
    titles = (
        *("measure", "deployment", "policy", "figure", "value"),
        *("ratio to baseline", "target", "verdict"),
    )
    cells = [titles, tuple("-" * len(title) for title in titles)]
    for row in rows:
        verdict = "" if row.is_met is None else "met" if row.is_met else "MISSED"
        ratio = "" if row.ratio is None else f"{row.ratio:.2f}"
        value = f"{row.value:.2f} {row.unit}".strip()
        cells.append((*row[:4], value, ratio, row.target, verdict))
    widths = [max(len(line[n]) for line in cells) for n in range(len(titles))]
    return "\n".join(
        f"| {' | '.join(c.ljust(w) for c, w in zip(line, widths, strict=True))} |"
        for line in cells
    )
