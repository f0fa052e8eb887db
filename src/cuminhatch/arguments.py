"""What all programs have in common on the command line."""

import sys

EXIT_USAGE = 2
HELP_FLAGS = frozenset({"--help", "-help", "-h"})


def refuse_arguments(program: str, arguments: list[str]) -> None:
    """
    Exit with a usage error if there are positional arguments.

    :param program: name of the program, for the error message.
    :param arguments: program name and positional arguments.
    :raises SystemExit: there is a positional argument.
    """
    if len(arguments) > 1:
        text = f"{program}: unknown argument {arguments[1]}; see --help"
        print(text, file=sys.stderr)
        raise SystemExit(EXIT_USAGE)
