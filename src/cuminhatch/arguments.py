"""Refuses what a program's command line does not know."""

import sys

USAGE_STATUS = 2


def refuse_arguments(program: str, arguments: list[str]) -> None:
    """
    End the program if its command line has words besides its flags.

    :param program: name of the program, for the message.
    :param arguments: name of the program and what is no flag.
    :raises SystemExit: there is such a word.
    """
    if len(arguments) > 1:
        text = f"{program}: unknown argument {arguments[1]}; --help lists what is known"
        print(text, file=sys.stderr)
        raise SystemExit(USAGE_STATUS)
