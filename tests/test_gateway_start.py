"""Tests of the modules that a gateway imports at startup."""

import os
import subprocess
import sys

import pytest

PRINT_MODULES = "import sys, cuminhatch.gateway; print('\\n'.join(sys.modules))"
USE_DEFERRED_PACKAGE = (
    "import cuminhatch.kernel; from circuits import Component; "
    "from circuits.core import BaseComponent, Worker; "
    "assert issubclass(Component, BaseComponent); print(Worker.__name__)"
)


def run_python(code, folder):
    """Run code in an environment that has ``pkg_resources``."""
    (folder / "pkg_resources.py").write_text("def declare_namespace(name): pass\n")
    path = os.pathsep.join((str(folder), *sys.path))
    completed = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env=os.environ | {"PYTHONPATH": path},
    )
    return completed.stdout.split()


@pytest.fixture(scope="module")
def imported_modules(tmp_path_factory):
    """Return the names of the modules that a gateway imports at startup."""
    return set(run_python(PRINT_MODULES, tmp_path_factory.mktemp("packages")))


@pytest.mark.parametrize(
    "module",
    [
        "absl",
        "aioprometheus",
        "asyncio",
        "loguru",
        "circuits.web",
        "multiprocessing.pool",
        "pkg_resources",
        "cuminhatch.decisions.notes",
        "cuminhatch.messages.claims",
        "cuminhatch.messages.permits",
    ],
)
def test_startup_does_not_import_what_is_needed_later(imported_modules, module):
    """Guards against callers that wait for slow imports after a restart."""
    assert "cuminhatch.services.forwarding" in imported_modules
    assert module not in imported_modules


def test_deferred_package_can_be_used_as_a_whole(tmp_path):
    """Guards against a daemon whose operators' port can't be imported."""
    assert run_python(USE_DEFERRED_PACKAGE, tmp_path) == ["Worker"]
