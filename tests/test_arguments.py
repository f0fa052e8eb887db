"""Tests of the command lines of programs."""

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
def test_unknown_argument_is_refused(module):
    """Guards against an ignored argument: ``bench added`` ran all benches."""
    completed = subprocess.run(
        [sys.executable, "-m", module, "added"],
        capture_output=True,
        text=True,
        timeout=30,
        cwd=SOURCE.parent,
        env={"PYTHONPATH": f"{SOURCE}:{SOURCE.parent}", "PATH": "/usr/bin:/bin"},
    )
    assert completed.returncode == 2
    assert "added" in completed.stderr


def test_check_validates_settings_without_starting(tmp_path):
    """Guards against invalid settings that are found only at a restart."""
    settings = tmp_path / "entry.toml"
    print_demo_settings = (
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

    settings.write_text(run("-c", print_demo_settings).stdout)
    command = ("-m", "cuminhatch.daemon", "--settings", str(settings), "--check")
    completed = run(*command)
    assert (completed.returncode, completed.stdout) == (0, f"{settings}: valid\n")
    settings.write_text(settings.read_text() + "\n[nonsense]\na = 1\n")
    completed = run(*command)
    assert completed.returncode == 2
    assert "nonsense" in completed.stderr
