"""Help texts of the command-line tool."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from cuminhatch.arguments import HELP_FLAGS
from cuminhatch.cli.commands import COMMANDS, Command, find_command

COMMON_FLAGS = ("json",)
EXIT_CODES = (
    "exit codes: 0 success, 1 refused or failed, 2 usage error, 3 outcome unknown"
)
ENVIRONMENT = "CUMINHATCH_OPERATORS_KEY holds the operators' key."


class FlagHelp(NamedTuple):
    """What the help says of a flag."""

    summary: str
    default: str


def find_help(arguments: Sequence[str], flags: Mapping[str, FlagHelp]) -> str | None:
    """
    Return the help that a command line asks for, None if it asks for none.

    :param arguments: command line without program name.
    :param flags: the flags of the tool, by name.
    :raises CommandError: help is asked for an unknown command.
    """
    words = [word for word in arguments if not word.startswith("-")]
    is_help = bool(HELP_FLAGS.intersection(arguments))
    if words[:1] == ["help"]:
        is_help, words = True, words[1:]
    if not is_help and arguments:
        return None
    return format_command(find_command(words), flags) if words else format_overview()


def format_overview() -> str:
    """Return the help that lists all commands."""
    usages = [format_usage(command) for command in COMMANDS]
    width = max(len(usage) for usage in usages)
    lines = [
        "usage: cuminhatch COMMAND [ARGUMENTS] [FLAGS]",
        "",
        "Commands:",
        *(
            f"  {usage:<{width}}  {command.summary}"
            for usage, command in zip(usages, COMMANDS, strict=True)
        ),
        "",
        "'cuminhatch help COMMAND' shows the flags of a command and an example;",
        "'cuminhatch --version' shows the version.",
        ENVIRONMENT,
        EXIT_CODES,
    ]
    return "\n".join(lines)


def format_usage(command: Command) -> str:
    """Return the name and the arguments of a command."""
    return f"{command.name} {command.arguments}".rstrip()


def format_command(command: Command, flags: Mapping[str, FlagHelp]) -> str:
    """
    Return the help of one command.

    :param command: the command.
    :param flags: the flags of the tool, by name.
    """
    lines = [
        f"usage: cuminhatch {format_usage(command)} [FLAGS]",
        "",
        command.summary,
        "",
        "Flags:",
    ]
    for name in (*command.flags, *COMMON_FLAGS):
        flag = flags[name]
        lines.append(f"  --{name}  {flag.summary} Default: {flag.default}.")
    lines += ["", f"example: cuminhatch {command.example}", EXIT_CODES]
    return "\n".join(lines)
