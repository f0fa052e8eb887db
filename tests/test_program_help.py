"""Tests of the help of the programs that have no commands."""

import subprocess
import sys

import pytest

from tests.support import SOURCE

PROGRAMS = [
    "bench",
    "cuminhatch.daemon",
    "cuminhatch.gateway",
    "cuminhatch_standins.demo",
    "soak",
]


def run(module, *arguments):
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        cwd=SOURCE.parent,
        env={"PYTHONPATH": f"{SOURCE}:{SOURCE.parent}", "PATH": "/usr/bin:/bin"},
    )


@pytest.mark.parametrize("flag", ["--help", "-h"])
@pytest.mark.parametrize("module", PROGRAMS)
def test_help_says_what_a_program_does_and_takes(module, flag, snapshot):
    """Guards against help that names no flag of the program."""
    completed = run(module, flag)
    assert (completed.returncode, completed.stderr) == (0, "")
    assert completed.stdout == snapshot


@pytest.mark.parametrize("module", PROGRAMS)
def test_version_is_printed(module):
    """Guards against an operator who can't tell which version runs."""
    completed = run(module, "--version")
    assert completed.returncode == 0
    assert " 0." in completed.stdout


def test_unknown_flag_is_answered_with_the_nearest_one():
    """Guards against a typing error that is answered without a hint."""
    completed = run("cuminhatch.gateway", "--setings", "x")
    assert completed.returncode == 2
    assert "settings" in completed.stderr
