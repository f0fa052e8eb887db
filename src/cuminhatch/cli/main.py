"""
Command-line tool for operators.

``cuminhatch help`` lists the commands, see ``cuminhatch.cli.commands``.
"""

import os
import sys

import orjson
from absl import app, flags

from cuminhatch.cli.commands import make_plan
from cuminhatch.cli.help import FlagHelp, find_help
from cuminhatch.cli.plan_runner import PlanRunner
from cuminhatch.cli.plans import (
    EXIT_SUCCESS,
    EXIT_USAGE,
    LOSS_GROUPS,
    CommandError,
    Options,
    Output,
    Plan,
)
from cuminhatch.codecs.settings_toml import OPERATORS_KEY_VARIABLE, parse_address
from cuminhatch.kernel import Kernel
from cuminhatch.log import logger
from cuminhatch.program_help import format_default, read_version
from cuminhatch.services import HttpClient

DEFAULT_DAEMON = "127.0.0.1:8081"

DAEMON = flags.DEFINE_multi_string(
    "daemon",
    [DEFAULT_DAEMON],
    "Operators' port of a daemon, HOST:PORT. May be repeated.",
)
JSON = flags.DEFINE_bool("json", False, "Print JSON instead of text.")
REQUEST = flags.DEFINE_string("request", "", "Only events of this request id.")
NOTE = flags.DEFINE_integer(
    "note",
    0,
    "Only events of this note number, or only notes after it.",
    lower_bound=0,
)
LIMIT = flags.DEFINE_integer(
    "limit", 200, "Maximum number of events or notes to show.", lower_bound=1
)
BY = flags.DEFINE_enum(
    "by", LOSS_GROUPS[0], LOSS_GROUPS, "Count losses by cause, or by team and cause."
)
IN_FORCE = flags.DEFINE_string(
    "in-force", "", "Configuration in force, to show what the new one changes."
)
STRICT = flags.DEFINE_bool("strict", False, "Warnings fail the check as errors do.")
RESEND_RATIO = flags.DEFINE_float(
    "resend-ratio",
    0.1,
    "resends.ratio of the instances' settings.",
    lower_bound=0.0,
)
QUOTA_WINDOW_S = flags.DEFINE_float(
    "quota-window-s", 5.0, "Window of the quotas in seconds.", lower_bound=0.0
)


def read_options() -> Options:
    """
    Return the values of the flags.

    :raises CommandError: the address of a daemon is malformed.
    """
    try:
        daemons = tuple(parse_address(text) for text in DAEMON.value)
    except ValueError as error:
        raise CommandError(f"--daemon: {error}") from error
    return Options(
        daemons,
        REQUEST.value,
        NOTE.value,
        LIMIT.value,
        BY.value,
        IN_FORCE.value,
        STRICT.value,
        RESEND_RATIO.value,
        QUOTA_WINDOW_S.value,
    )


def run_plan(plan: Plan, operators_key: str) -> Output:
    """
    Send the requests of a plan, wait for the replies and format them.

    :param plan: plan of the command.
    :param operators_key: bearer token of the operators' API.
    """
    if not plan.requests:
        return plan.make_output(())
    kernel = Kernel()
    kernel.register(HttpClient(kernel))
    runner = PlanRunner(kernel, plan, operators_key)
    kernel.register(runner)
    kernel.open()
    kernel.run()
    return plan.make_output(runner.replies)


def run_command(arguments: list[str]) -> int:
    """
    Run one command.

    :param arguments: program name and command line without flags.
    :returns: exit status.
    """
    logger.silence()
    try:
        plan = make_plan(read_options(), arguments[1:])
    except CommandError as error:
        print(f"cuminhatch: {error}", file=sys.stderr)
        return EXIT_USAGE
    output = run_plan(plan, os.environ.get(OPERATORS_KEY_VARIABLE, ""))
    if JSON.value:
        print(orjson.dumps(output.value).decode())
    elif output.status:
        print(output.text, file=sys.stderr)
    else:
        print(output.text)
    return output.status


def describe_flags() -> dict[str, FlagHelp]:
    """Return what the help says of the flags of this tool, by name."""
    check_flags = (IN_FORCE, STRICT, RESEND_RATIO, QUOTA_WINDOW_S)
    return {
        holder.name: FlagHelp(
            flags.FLAGS[holder.name].help.partition(";\n")[0],
            format_default(holder.default),
        )
        for holder in (DAEMON, JSON, REQUEST, NOTE, LIMIT, BY, *check_flags)
    }


def run_help(arguments: list[str]) -> int | None:
    """
    Print help or the version if the command line asks for it.

    :param arguments: command line without program name.
    :returns: exit status, None if it asks for neither.
    """
    if arguments == ["--version"]:
        print(f"cuminhatch {read_version()}")
        return EXIT_SUCCESS
    try:
        text = find_help(arguments, describe_flags())
    except CommandError as error:
        print(f"cuminhatch: {error}", file=sys.stderr)
        return EXIT_USAGE
    if text is None:
        return None
    print(text)
    return EXIT_SUCCESS


def main() -> None:
    """Run the command-line tool as a program."""
    status = run_help(sys.argv[1:])
    if status is not None:
        sys.exit(status)
    app.run(run_command)
