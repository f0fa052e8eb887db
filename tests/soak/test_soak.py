"""A short run of the soak."""

import os

from soak.run import run_seed

# Parallel test runs need different ports, below the ephemeral port range.
BASE_PORT = 27_000 + os.getpid() % 50 * 100
SECONDS = 28.0


def test_short_run_keeps_all_guarantees():
    """Guards against guarantees that only hold while nothing fails."""
    result = run_seed(1, SECONDS, BASE_PORT)
    assert result.violations == []
    assert result.succeeded > 0
