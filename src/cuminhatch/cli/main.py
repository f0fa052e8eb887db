"""
Operators' tool of cuminhatch.

Commands: note check FILE, note submit FILE, note show, note history, status,
timeline, drain, explain REQUEST-ID FILE..., losses FILE... The operators' key
is read from CUMINHATCH_OPERATORS_KEY.
Exit status: 0 done, 1 refused or failed, 2 usage error, 3 outcome unknown.
"""

import os
import sys

import orjson
from absl import app, flags

from cuminhatch.cli.command import Command
from cuminhatch.cli.commands import make_plan
from cuminhatch.cli.plans import (
    STATUS_USAGE,
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
    "daemon", [DEFAULT_DAEMON], "Operators' address of a daemon; repeatable."
)
JSON = flags.DEFINE_bool("json", False, "Print JSON instead of text.")
REQUEST = flags.DEFINE_string("request", "", "timeline: only this request id.")
NOTE = flags.DEFINE_integer(
    "note",
    0,
    "timeline: only this note number; note history: only later ones.",
    lower_bound=0,
)
LIMIT = flags.DEFINE_integer(
    "limit", 200, "Most events or notes to show.", lower_bound=1
)


def read_options() -> Options:
    """
    Read the flags.

    :raises CommandError: a daemon's address is malformed.
    """
    try:
        daemons = tuple(parse_address(text) for text in DAEMON.value)
    except ValueError as error:
        raise CommandError(f"--daemon: {error}") from error
    return Options(daemons, REQUEST.value, NOTE.value, LIMIT.value)


def carry_out(plan: Plan, key: str) -> Output:
    """
    Send the requests of a plan and wait for the replies.

    :param plan: what to do.
    :param key: operators' key.
    """
    if not plan.requests:
        return plan.show(())
    kernel = Kernel()
    kernel.register(HttpClient(kernel))
    command = Command(kernel, plan, key)
    kernel.register(command)
    kernel.open()
    kernel.run()
    return plan.show(command.replies)


def run_tool(arguments: list[str]) -> int:
    """
    Run one command.

    :param arguments: command line without flags.
    :returns: the exit status.
    """
    logger.silence()
    try:
        plan = make_plan(read_options(), arguments[1:])
    except CommandError as error:
        print(f"cuminhatch: {error}", file=sys.stderr)
        return STATUS_USAGE
    output = carry_out(plan, os.environ.get(OPERATORS_KEY_VARIABLE, ""))
    if JSON.value:
        print(orjson.dumps(output.value).decode())
    elif output.status:
        print(output.text, file=sys.stderr)
    else:
        print(output.text)
    return output.status


def main() -> None:
    """Run the program."""
    app.run(run_tool)
