"""Tests of command lines that programs do not know."""

import subprocess
import sys

import pytest

from tests.support import SOURCE


@pytest.mark.parametrize(
    "module",
    [
        "bench",
        "bench.slopes",
        "cuminhatch.daemon",
        "cuminhatch.gateway",
        "cuminhatch_standins.demo",
        "cuminhatch_standins.table_service",
    ],
)
def test_word_that_a_program_does_not_know_is_refused(module):
    """Guards against ``python -m bench added``, which ran everything."""
    done = subprocess.run(
        [sys.executable, "-m", module, "added"],
        capture_output=True,
        text=True,
        timeout=30,
        cwd=SOURCE.parent,
        env={"PYTHONPATH": f"{SOURCE}:{SOURCE.parent}", "PATH": "/usr/bin:/bin"},
    )
    assert done.returncode == 2
    assert "added" in done.stderr
