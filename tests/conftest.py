"""Fixtures for all tests."""

from weakref import WeakSet

import pytest
from hypothesis.internal.conjecture import providers

from cuminhatch.kernel import Kernel

# Hypothesis adds constants of all imported modules of this repository to its
# examples, so a derandomized test would depend on the selection of test files
# and on every constant in the code. Without these constants its result depends
# on neither.
NO_CONSTANTS = providers.Constants(
    integers=providers.SortedSet(),
    floats=providers.SortedSet(key=providers.float_to_int),
    bytes=providers.SortedSet(),
    strings=providers.SortedSet(),
)
providers._get_local_constants = lambda: NO_CONSTANTS


@pytest.fixture(autouse=True)
def closed_kernels(monkeypatch):
    """Close the kernels of a test; each holds three file descriptors."""
    kernels = WeakSet()
    init = Kernel.__init__

    def init_and_track(self, *args, **kwargs):
        init(self, *args, **kwargs)
        kernels.add(self)

    monkeypatch.setattr(Kernel, "__init__", init_and_track)
    yield
    for kernel in kernels:
        kernel.close()
