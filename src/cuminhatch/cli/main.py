"""
Command-line tool for operators.

Commands: note check FILE, note submit FILE, note show, note history, status,
timeline, drain, explain REQUEST-ID FILE..., losses FILE... The operators' key
is read from CUMINHATCH_OPERATORS_KEY.

Exit status: 0 success, 1 refused or failed, 2 usage error, 3 outcome unknown.
"""

import os
import sys

import orjson
from absl import app, flags

from cuminhatch.cli.commands import make_plan
from cuminhatch.cli.plan_runner import PlanRunner
from cuminhatch.cli.plans import (
    EXIT_USAGE,
    CommandError,
    Options,
    Output,
    Plan,
)
from cuminhatch.codecs.settings_toml import OPERATORS_KEY_VARIABLE, parse_address
from cuminhatch.kernel import Kernel
from cuminhatch.log import logger
from cuminhatch.services import HttpClient

DEFAULT_DAEMON = "127.0.0.1:8081"

DAEMON = flags.DEFINE_multi_string(
    "daemon", [DEFAULT_DAEMON], "Address of a daemon's operators' port; repeatable."
)
JSON = flags.DEFINE_bool("json", False, "Print JSON instead of text.")
REQUEST = flags.DEFINE_string(
    "request", "", "timeline: only events of this request id."
)
NOTE = flags.DEFINE_integer(
    "note",
    0,
    "timeline: only events of this note number; note history: only later notes.",
    lower_bound=0,
)
LIMIT = flags.DEFINE_integer(
    "limit", 200, "Maximum number of events or notes to show.", lower_bound=1
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
    return Options(daemons, REQUEST.value, NOTE.value, LIMIT.value)


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


def main() -> None:
    """Run the command-line tool as a program."""
    app.run(run_command)
