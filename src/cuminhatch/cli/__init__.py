"""Command-line tool ``cuminhatch`` for operators."""

from cuminhatch.cli.main import main

__all__ = ["main"]
