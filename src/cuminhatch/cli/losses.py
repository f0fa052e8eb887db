"""Command that counts late, refused and failed requests by cause."""

from collections.abc import Sequence

from cuminhatch.cli.explain import read_log_lines
from cuminhatch.cli.plans import (
    EXIT_SUCCESS,
    ApiFailed,
    ApiReply,
    CommandError,
    Options,
    Output,
    Plan,
)
from cuminhatch.cli.tables import format_table
from cuminhatch.decisions.losses import Losses, list_losses


def plan_losses(options: Options, arguments: list[str]) -> Plan:
    """
    Return the plan that counts late, refused and failed requests by cause.

    :param options: values of the flags; none is used.
    :param arguments: names of the log files, of one or more instances.
    :raises CommandError: no file is given or a file cannot be read.
    """
    if not arguments:
        raise CommandError("losses: expected one or more log files")
    lines = (line for name in arguments for line in read_log_lines(name))
    losses = list_losses(lines)

    def make_output(_: Sequence[ApiReply | ApiFailed]) -> Output:
        value = losses._asdict() | {
            "losses": [loss._asdict() for loss in losses.losses]
        }
        return Output(format_losses(losses), value, EXIT_SUCCESS)

    return Plan((), False, make_output)


def format_losses(losses: Losses) -> str:
    """
    Format the counts per cause as a table.

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
    return format_table(["outcome", "cause", "requests", "share"], rows)


def format_share(requests: int, losses: Losses) -> str:
    """Format a number of requests as a percentage of all requests."""
    return f"{requests / max(1, losses.requests):.2%}"
