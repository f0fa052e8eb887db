"""
Runs a module as a program that ends with its parent, however that ends.

``python -m cuminhatch_standins.bound_child PARENT_PID MODULE ARGUMENT...``
"""

import ctypes
import os
import runpy
import signal
import sys

# From linux/prctl.h: the signal that a process gets when its parent ends.
PR_SET_PDEATHSIG = 1


def end_with_parent(parent_pid: int) -> None:
    """
    Ask the kernel to kill this process when its parent ends.

    :param parent_pid: the parent as it was when it started this process.
    :raises SystemExit: the parent has ended already.
    """
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent_pid:
        raise SystemExit(f"the parent {parent_pid} has ended")


def bound_command(module: str, *arguments: str) -> list[str]:
    """
    Return the command that runs a module until this process ends.

    :param module: module to run.
    :param arguments: its command line.
    """
    launcher = [sys.executable, "-m", "cuminhatch_standins.bound_child"]
    return [*launcher, str(os.getpid()), module, *arguments]


def main() -> None:
    """Run the module that the command line names."""
    parent_pid, module, *arguments = sys.argv[1:]
    end_with_parent(int(parent_pid))
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
