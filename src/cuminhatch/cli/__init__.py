"""The operators' command-line tool ``cuminhatch``."""

from cuminhatch.cli.main import main

__all__ = ["main"]
