"""The command that tells why requests were late, refused or failed."""

from collections.abc import Sequence

from cuminhatch.cli.explain import read_lines
from cuminhatch.cli.plans import (
    STATUS_DONE,
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
    Count the causes of losses in the log files of any instances.

    :param options: flags.
    :param arguments: names of the files.
    :raises CommandError: no file is named, or one cannot be read.
    """
    if not arguments:
        raise CommandError("losses: name one or more log files")
    lines = (line for name in arguments for line in read_lines(name))
    found = list_losses(lines)

    def show(_: Sequence[ApiReply | ApiFailed]) -> Output:
        value = found._asdict() | {"losses": [loss._asdict() for loss in found.losses]}
        return Output(describe(found), value, STATUS_DONE)

    return Plan((), False, show)


def describe(found: Losses) -> str:
    """
    Return a table of the causes.

    :param found: the causes.
    """
    rows = [
        (loss.outcome, loss.cause, str(loss.requests), share(loss.requests, found))
        for loss in found.losses
    ]
    rows.append(("in time", "", str(found.in_time), share(found.in_time, found)))
    return format_table(["outcome", "cause", "requests", "share"], rows)


def share(requests: int, found: Losses) -> str:
    """Return a number of requests as a part of all, in percent."""
    return f"{requests / max(1, found.requests):.2%}"
