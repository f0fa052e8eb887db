"""Help and version of the programs that have flags but no commands."""

import sys
from importlib.metadata import PackageNotFoundError, version
from typing import Any, NamedTuple

from absl import flags

from cuminhatch.arguments import HELP_FLAGS

VERSION_FLAG = "--version"
DISTRIBUTION = "cuminhatch"


class ProgramHelp(NamedTuple):
    """
    What the help of a program says.

    ``flag_holders`` are the flags, ``environment`` names the variables that
    the program reads, if any.
    """

    command: str
    summary: str
    flag_holders: tuple[flags.FlagHolder, ...]
    example: str
    exit_codes: str
    environment: str = ""


def print_help(program: ProgramHelp, arguments: list[str]) -> bool:
    """
    Print the help or the version if the command line asks for it.

    :param program: what the help says.
    :param arguments: program name and command-line arguments.
    :returns: whether it does, so that the program ends.
    """
    if VERSION_FLAG in arguments:
        print(f"{program.command} {read_version()}")
        return True
    if HELP_FLAGS.isdisjoint(arguments):
        return False
    print(format_program(program))
    return True


def exit_with_help(program: ProgramHelp) -> None:
    """
    Print the help or the version and exit, if the command line asks for it.

    :param program: what the help says.
    :raises SystemExit: it asks for it.
    """
    if print_help(program, sys.argv):
        raise SystemExit(0)


def read_version() -> str:
    """Return the installed version; a copy of the sources has none."""
    try:
        return version(DISTRIBUTION)
    except PackageNotFoundError:
        return "(not installed)"


def format_program(program: ProgramHelp) -> str:
    """
    Return the help of a program.

    :param program: what the help says.
    """
    lines = [f"usage: {program.command} [FLAGS]", "", program.summary, "", "Flags:"]
    lines += [format_flag(holder) for holder in program.flag_holders]
    lines += [
        "  --help  Show this help.",
        "  --version  Show the version.",
        "",
        f"example: {program.example}",
    ]
    if program.environment:
        lines.append(program.environment)
    lines.append(f"exit codes: {program.exit_codes}")
    return "\n".join(lines)


def format_flag(holder: flags.FlagHolder) -> str:
    """Return the line of one flag."""
    text, _, _ = flags.FLAGS[holder.name].help.partition(";\n")
    return f"  --{holder.name}  {text} Default: {format_default(holder.default)}."


def format_default(value: Any) -> str:
    """Return the default value of a flag as help shows it."""
    if isinstance(value, list):
        return ", ".join(value)
    if value is False:
        return "off"
    return str(value or "none")
