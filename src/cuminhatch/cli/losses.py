"""Command that counts late, refused and failed requests by cause."""

from collections.abc import Mapping
from typing import Any

from cuminhatch.cli.explain import read_log_lines
from cuminhatch.cli.plans import (
    EXIT_SUCCESS,
    CommandError,
    Options,
    Output,
    Plan,
)
from cuminhatch.cli.tables import format_table
from cuminhatch.decisions.losses import Losses, list_losses, list_losses_by_team

COLUMNS = ("outcome", "cause", "requests", "share")
# Shown for requests that belong to no team.
NO_TEAM = "-"


def plan_losses(options: Options, arguments: list[str]) -> Plan:
    """
    Return the plan that counts late, refused and failed requests.

    :param options: values of the flags: whether to count by team as well.
    :param arguments: names of the log files, of one or more instances.
    :raises CommandError: no file is given or a file cannot be read.
    """
    if not arguments:
        raise CommandError("losses: expected one or more log files")
    lines = (line for name in arguments for line in read_log_lines(name))
    if options.loss_group == "team":
        output = make_team_output(list_losses_by_team(lines))
    else:
        losses = list_losses(lines)
        text = format_table(COLUMNS, list_rows(losses))
        output = Output(text, make_value(losses), EXIT_SUCCESS)
    return Plan((), False, lambda _: output)


def make_team_output(by_team: Mapping[str, Losses]) -> Output:
    """
    Return the output of counts by team and cause.

    The shares are those of the requests of the team.

    :param by_team: counts by team.
    """
    rows = [
        (team_id or NO_TEAM, *row)
        for team_id, losses in by_team.items()
        for row in list_rows(losses)
    ]
    value = [
        {"team": team_id or None, **make_value(losses)}
        for team_id, losses in by_team.items()
    ]
    return Output(format_table(["team", *COLUMNS], rows), value, EXIT_SUCCESS)


def make_value(losses: Losses) -> dict[str, Any]:
    """
    Return the counts as a value for JSON.

    :param losses: counts of requests by outcome and cause.
    """
    return losses._asdict() | {"losses": [loss._asdict() for loss in losses.losses]}


def list_rows(losses: Losses) -> list[tuple[str, ...]]:
    """
    Return the counts per cause as rows of a table.

    :param losses: counts of requests by outcome and cause.
    """
    rows = [
        (
            loss.outcome,
            loss.cause,
            str(loss.requests),
            format_share(loss.requests, losses),
        )
        for loss in losses.losses
    ]
    rows.append(
        ("in time", "", str(losses.in_time), format_share(losses.in_time, losses))
    )
    return rows


def format_share(requests: int, losses: Losses) -> str:
    """Format a number of requests as a percentage of all requests."""
    return f"{requests / max(1, losses.requests):.2%}"
