"""Command that counts why requests were late, refused or failed."""

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
    Count the causes of lost and late requests in log files.

    :param options: values of the flags; none is used.
    :param arguments: names of the log files, of one or more instances.
    :raises CommandError: no file is given or a file cannot be read.
    """
    if not arguments:
        raise CommandError("losses: expected one or more log files")
    lines = (line for name in arguments for line in read_log_lines(name))
    found = list_losses(lines)

    def make_output(_: Sequence[ApiReply | ApiFailed]) -> Output:
        value = found._asdict() | {"losses": [loss._asdict() for loss in found.losses]}
        return Output(format_losses(found), value, EXIT_SUCCESS)

    return Plan((), False, make_output)


def format_losses(found: Losses) -> str:
    """
    Format the counts per cause as a table.

    :param found: counts of requests by outcome and cause.
    """
    rows = [
        (
            loss.outcome,
            loss.cause,
            str(loss.requests),
            format_share(loss.requests, found),
        )
        for loss in found.losses
    ]
    rows.append(("in time", "", str(found.in_time), format_share(found.in_time, found)))
    return format_table(["outcome", "cause", "requests", "share"], rows)


def format_share(requests: int, found: Losses) -> str:
    """Format a number of requests as a percentage of all requests."""
    return f"{requests / max(1, found.requests):.2%}"
