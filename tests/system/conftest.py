"""Fixtures of the tests with real processes."""

import pytest

from tests.system.deployment import running_deployment


@pytest.fixture
def deployment():
    """Run a deployment of two daemons that have applied its first note."""
    with running_deployment() as deployment:
        yield deployment
