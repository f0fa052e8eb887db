"""Tests of processes that exit with their parent."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from tests.support import SOURCE, wait_until

PARENT = """
import subprocess, sys, time
from cuminhatch_standins.bound_child import build_child_command
child = subprocess.Popen(build_child_command("http.server", "0", "--bind", "127.0.0.1"))
print(child.pid, flush=True)
time.sleep(60)
"""


def is_running(pid):
    """Tell whether a process runs; a zombie process does not."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state != "Z"


def test_child_exits_when_its_parent_is_killed():
    """
    Guards against stand-ins that keep running after the terminal is closed.

    They made the next demo fail with "Address already in use".
    """
    parent = subprocess.Popen(
        [sys.executable, "-c", PARENT],
        env={**os.environ, "PYTHONPATH": str(SOURCE)},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        child = int(parent.stdout.readline())
        assert is_running(child)
    finally:
        parent.send_signal(signal.SIGKILL)
        parent.wait()
        parent.stdout.close()
    wait_until(lambda: not is_running(child), "the end of the child")
