"""Fixture of the tests with real processes."""

import pytest

from tests.system.deployment import running_deployment


@pytest.fixture
def deployment():
    """Run two daemons whose first note is in force."""
    with running_deployment() as deployment:
        yield deployment
