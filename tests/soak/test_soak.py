"""A short run of the soak, and the seeds that once broke a promise."""

import os

from soak.run import run_seed

# Runs of the tests beside each other need different ports, below those that
# the kernel gives to connections.
BASE_PORT = 27_000 + os.getpid() % 50 * 100
SECONDS = 24.0


def test_short_run_keeps_all_promises():
    """Guards against promises that only hold while nothing fails."""
    result = run_seed(1, SECONDS, BASE_PORT)
    assert result.violations == []
    assert result.answered > 0
