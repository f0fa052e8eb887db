"""Table of the commands, and their selection by command line."""

from difflib import get_close_matches
from typing import NamedTuple

from cuminhatch.cli.config_check import plan_config_check
from cuminhatch.cli.explain import plan_explain
from cuminhatch.cli.losses import plan_losses
from cuminhatch.cli.plans import (
    CommandError,
    Options,
    Plan,
    PlanMaker,
    plan_drain,
    plan_note_check,
    plan_note_history,
    plan_note_show,
    plan_note_submit,
    plan_status,
    plan_timeline,
)


class Command(NamedTuple):
    """
    A command, and what its help says.

    ``arguments`` names its arguments, and ``flags`` those flags that only some
    commands use. ``example`` is a command line without the program name.
    """

    words: tuple[str, ...]
    arguments: str
    summary: str
    example: str
    flags: tuple[str, ...]
    make_plan: PlanMaker

    @property
    def name(self) -> str:
        """Return the words of the command, separated by spaces."""
        return " ".join(self.words)


COMMANDS = (
    Command(
        ("config", "check"),
        "FILE",
        "Check a configuration or a release note before it is sent.",
        "config check r8.json --in-force r7.json",
        ("in-force", "strict", "resend-ratio", "quota-window-s"),
        plan_config_check,
    ),
    Command(
        ("note", "check"),
        "FILE",
        "Check a release note without submitting it.",
        "note check examples/first-note.toml",
        (),
        plan_note_check,
    ),
    Command(
        ("note", "submit"),
        "FILE",
        "Submit a release note; the same note twice is one note.",
        "note submit examples/first-note.toml --daemon 127.0.0.1:8181",
        ("daemon",),
        plan_note_submit,
    ),
    Command(
        ("note", "show"),
        "",
        "Show the configuration in force on each daemon.",
        "note show --json",
        ("daemon",),
        plan_note_show,
    ),
    Command(
        ("note", "history"),
        "",
        "List the accepted notes, the latest last.",
        "note history --note 12 --limit 20",
        ("daemon", "note", "limit"),
        plan_note_history,
    ),
    Command(
        ("status",),
        "",
        "Show whether each daemon is ready, and what it waits for.",
        "status --daemon 127.0.0.1:8081 --daemon 127.0.0.1:8181",
        ("daemon",),
        plan_status,
    ),
    Command(
        ("timeline",),
        "",
        "Merge the events of all daemons, or those of one request or note.",
        "timeline --request 9c41d07be2a35f68",
        ("daemon", "request", "note", "limit"),
        plan_timeline,
    ),
    Command(
        ("drain",),
        "",
        "Stop the daemons gracefully.",
        "drain --daemon 127.0.0.1:8081",
        ("daemon",),
        plan_drain,
    ),
    Command(
        ("explain",),
        "REQUEST-ID FILE...",
        "Explain from log files what happened to a request.",
        "explain 9c41d07be2a35f68 front-1.log front-2.log",
        (),
        plan_explain,
    ),
    Command(
        ("losses",),
        "FILE...",
        "Count from log files why requests were late, refused or failed.",
        "losses --by team front-*.log",
        ("by",),
        plan_losses,
    ),
)


def find_command(arguments: list[str]) -> Command:
    """
    Return the command that a command line names.

    :param arguments: command line without program name and flags.
    :raises CommandError: the command is unknown.
    """
    for command in COMMANDS:
        if tuple(arguments[: len(command.words)]) == command.words:
            return command
    raise CommandError(describe_unknown_command(arguments))


def describe_unknown_command(arguments: list[str]) -> str:
    """
    Return an error message that names similar commands.

    :param arguments: command line without program name and flags.
    """
    given = " ".join(arguments) or "nothing"
    names = [command.name for command in COMMANDS]
    similar = [name for name in names if arguments and name.split()[0] == given]
    similar = similar or get_close_matches(" ".join(arguments[:2]), names)
    similar = similar or get_close_matches("".join(arguments[:1]), names)
    hint = f"did you mean: {', '.join(similar)}?" if similar else "see cuminhatch help"
    return f"unknown command: {given}; {hint}"


def make_plan(options: Options, arguments: list[str]) -> Plan:
    """
    Make the plan of the command on a command line.

    :param options: values of the flags.
    :param arguments: command line without program name and flags.
    :raises CommandError: the command is unknown or its arguments are
        invalid.
    """
    command = find_command(arguments)
    return command.make_plan(options, arguments[len(command.words) :])
