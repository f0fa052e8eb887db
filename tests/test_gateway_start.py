"""Tests of the modules that a gateway imports at startup."""

import subprocess
import sys

import pytest

PRINT_MODULES = "import sys, cuminhatch.gateway; print('\\n'.join(sys.modules))"


@pytest.fixture(scope="module")
def imported_modules():
    """Return the names of the modules that a gateway imports at startup."""
    completed = subprocess.run(
        [sys.executable, "-c", PRINT_MODULES],
        capture_output=True,
        text=True,
        check=True,
    )
    return set(completed.stdout.split())


@pytest.mark.parametrize(
    "module",
    [
        "absl",
        "aioprometheus",
        "asyncio",
        "loguru",
        "cuminhatch.decisions.notes",
        "cuminhatch.messages.claims",
        "cuminhatch.messages.permits",
    ],
)
def test_startup_does_not_import_what_is_needed_later(imported_modules, module):
    """Guards against callers that wait for slow imports after a restart."""
    assert "cuminhatch.services.forwarding" in imported_modules
    assert module not in imported_modules
