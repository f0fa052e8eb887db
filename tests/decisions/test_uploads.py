"""Tests of the memory for bodies that are received ahead."""

import pytest

from cuminhatch.decisions.uploads import (
    BODY_TOO_LONG,
    MEMORY_IN_USE,
    UPLOAD_LIMITS,
    UploadLimits,
    UploadMemory,
)

LIMITS = UploadLimits(100, 250)
# What the daemon uses without load, and the memory of an instance.
DAEMON_BYTES = 45 * 1024 * 1024
INSTANCE_BYTES = 200 * 1000 * 1000


def test_declared_lengths_stay_within_the_memory():
    """Guards against uploads that begin together and fill the memory."""
    memory = UploadMemory(LIMITS)
    assert [memory.reserve(n, 100) for n in range(4)] == ["", ""] + [MEMORY_IN_USE] * 2
    assert memory.reserve(9, 50) == ""
    assert memory.reserved_bytes == 250
    memory.release(0)
    assert memory.reserve(3, 100) == ""
    assert memory.reserve(4, 101) == BODY_TOO_LONG


def test_body_without_a_length_counts_as_it_arrives():
    """Guards against chunked uploads that no bound holds for."""
    memory = UploadMemory(LIMITS)
    sizes = [0, 40, 80, 100]
    assert [memory.reserve(1, size) for size in sizes] == [""] * 4
    assert memory.reserved_bytes == 100
    assert memory.reserve(1, 101) == BODY_TOO_LONG
    assert memory.reserved_bytes == 100, "the part that arrived is still held"


def test_memory_is_released_once():
    """Guards against a leak, and against a bound that grows."""
    memory = UploadMemory(LIMITS)
    memory.reserve(1, 80)
    for _ in range(2):
        memory.release(1)
    memory.release(2)
    assert memory.reserved_bytes == 0


@pytest.mark.parametrize("copies", [1, 2])
def test_limits_fit_an_instance(copies):
    """Guards against bounds that the bodies or the machines don't allow."""
    assert UPLOAD_LIMITS.body_bytes > 360 * 1024
    used = DAEMON_BYTES + copies * UPLOAD_LIMITS.held_bytes
    assert used <= INSTANCE_BYTES / 2
