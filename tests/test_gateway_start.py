"""Tests of what a daemon loads before it can serve."""

import subprocess
import sys

import pytest

PRINT_MODULES = "import sys, cuminhatch.gateway; print('\\n'.join(sys.modules))"


@pytest.fixture(scope="module")
def loaded():
    """Return the modules that a daemon loads at its start."""
    done = subprocess.run(
        [sys.executable, "-c", PRINT_MODULES],
        capture_output=True,
        text=True,
        check=True,
    )
    return set(done.stdout.split())


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
def test_start_does_not_wait_for_what_is_needed_later(loaded, module):
    """Guards against callers who wait for libraries after a restart."""
    assert "cuminhatch.services.forwarding" in loaded
    assert module not in loaded
