"""
Runs a module as a process that is killed when its parent exits.

This also covers a parent that is killed and cannot stop its children.

``python -m cuminhatch_standins.bound_child PARENT_PID MODULE ARGUMENT...``
"""

import ctypes
import os
import runpy
import signal
import sys

# From linux/prctl.h: sets the signal sent to a process when its parent exits.
PR_SET_PDEATHSIG = 1


def exit_with_parent(parent_pid: int) -> None:
    """
    Ask the operating system to kill this process when its parent exits.

    :param parent_pid: id of the process that started this one.
    :raises SystemExit: the parent has exited already.
    """
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent_pid:
        raise SystemExit(f"the parent process {parent_pid} has exited")


def build_child_command(module: str, *arguments: str) -> list[str]:
    """
    Return a command that runs a module and is killed when this process exits.

    :param module: module to run.
    :param arguments: command line arguments of the module.
    """
    launcher = [sys.executable, "-m", "cuminhatch_standins.bound_child"]
    return [*launcher, str(os.getpid()), module, *arguments]


def main() -> None:
    """Run the module named on the command line."""
    parent_pid, module, *arguments = sys.argv[1:]
    exit_with_parent(int(parent_pid))
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
