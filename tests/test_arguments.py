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


def test_settings_can_be_checked_without_a_start(tmp_path):
    """Guards against a mistake that shows only when a daemon is restarted."""
    settings = tmp_path / "entry.toml"
    demo = (
        "from cuminhatch_standins.demo import DAEMONS, daemon_settings;"
        "print(daemon_settings(DAEMONS[0], DAEMONS))"
    )
    environment = {"PYTHONPATH": f"{SOURCE}:{SOURCE.parent}", "PATH": "/usr/bin:/bin"}

    def run(*arguments):
        return subprocess.run(
            [sys.executable, *arguments],
            capture_output=True,
            text=True,
            timeout=30,
            env=environment,
        )

    settings.write_text(run("-c", demo).stdout)
    command = ("-m", "cuminhatch.daemon", "--settings", str(settings), "--check")
    done = run(*command)
    assert (done.returncode, done.stdout) == (0, f"{settings}: valid\n")
    settings.write_text(settings.read_text() + "\n[nonsense]\na = 1\n")
    done = run(*command)
    assert done.returncode == 2
    assert "nonsense" in done.stderr
