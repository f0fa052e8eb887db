"""Fixtures for all tests."""

from weakref import WeakSet

import pytest
from hypothesis.internal.conjecture import providers

from cuminhatch.kernel import Kernel

# Hypothesis mixes constants of all loaded modules of this repository into its
# examples, so a derandomized search would depend on which test files are run
# and on any constant in the code. Without them the verdict is the same.
NO_CONSTANTS = providers.Constants(
    integers=providers.SortedSet(),
    floats=providers.SortedSet(key=providers.float_to_int),
    bytes=providers.SortedSet(),
    strings=providers.SortedSet(),
)
providers._get_local_constants = lambda: NO_CONSTANTS


@pytest.fixture(autouse=True)
def closed_kernels(monkeypatch):
    """Close the kernels of a test, each of which holds three descriptors."""
    kernels = WeakSet()
    create = Kernel.__init__

    def create_and_keep(self, *arguments, **keywords):
        create(self, *arguments, **keywords)
        kernels.add(self)

    monkeypatch.setattr(Kernel, "__init__", create_and_keep)
    yield
    for kernel in kernels:
        kernel.close()
