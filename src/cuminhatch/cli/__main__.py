"""Run the command-line tool with ``python -m cuminhatch.cli``."""

from cuminhatch.cli.main import main

main()
