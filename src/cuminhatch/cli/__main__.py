"""Run the tool with ``python -m cuminhatch.cli``."""

from cuminhatch.cli.main import main

main()
