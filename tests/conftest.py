"""Fixtures for all tests."""

from weakref import WeakSet

import pytest

from cuminhatch.kernel import Kernel


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
