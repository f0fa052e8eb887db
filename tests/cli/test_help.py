"""Tests of the help of the command-line tool."""

import subprocess
import sys

import pytest

from cuminhatch.cli.commands import COMMANDS


def run(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "cuminhatch.cli", *arguments],
        capture_output=True,
        text=True,
    )


@pytest.mark.parametrize("arguments", [(), ("--help",), ("help",), ("-h",)])
def test_overview_lists_every_command(arguments, snapshot):
    """Guards against help that names no command."""
    completed = run(*arguments)
    assert completed.returncode == 0
    assert completed.stdout == snapshot
    for command in COMMANDS:
        assert command.name in completed.stdout


@pytest.mark.parametrize("command", COMMANDS, ids=lambda command: command.name)
def test_every_command_has_help(command, snapshot):
    """Guards against a command whose flags can be found in the code only."""
    completed = run("help", *command.words)
    assert completed.returncode == 0
    assert completed.stdout == snapshot
    assert run(*command.words, "--help").stdout == completed.stdout


@pytest.mark.parametrize(
    ("arguments", "hint"),
    [
        (("statsu",), "status"),
        (("note", "sumbit", "x.toml"), "note submit"),
        (("note",), "note check"),
        (("help", "timelin"), "timeline"),
        (("frobnicate",), "cuminhatch help"),
    ],
)
def test_unknown_command_is_answered_with_similar_ones(arguments, hint):
    """Guards against a typing error that is answered without a hint."""
    completed = run(*arguments)
    assert completed.returncode == 2
    assert hint in completed.stderr


def test_version_is_printed():
    """Guards against an operator who can't tell which version is installed."""
    completed = run("--version")
    assert completed.returncode == 0
    assert completed.stdout.startswith("cuminhatch 0.")
