"""Tests of the memory for bodies that are received ahead."""

import pytest

from cuminhatch.decisions.uploads import (
    BODY_TOO_LONG,
    FIRST_SLICE_BYTES,
    MEMORY_IN_USE,
    SLICE_INTERVAL_MS,
    UPLOAD_LIMITS,
    UploadLimits,
    UploadMemory,
    min_send_rate,
    next_slice_bytes,
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


# Bytes that a link of 10 Mbit/s passes on in 1 ms.
LINK_BYTES_PER_MS = 1250.0
# A tenth of the target latency of the most urgent requests beside uploads.
QUEUE_MAX_MS = 58.7
LEFT_MS = 3_000.0


def send_bodies(count):
    """Send the longest bodies; return the longest queue and the time."""
    rest, queued, longest = [360 * 1024 - FIRST_SLICE_BYTES] * count, 0.0, 0.0
    min_rate = min_send_rate(rest[0], LEFT_MS)
    took_ms = 0.0
    while any(rest):
        active = sum(map(bool, rest))
        for index, size in enumerate(rest):
            part = next_slice_bytes(size, min_rate, active) if size else 0
            rest[index] -= part
            queued += part
        longest = max(longest, queued)
        queued = max(0.0, queued - LINK_BYTES_PER_MS * SLICE_INTERVAL_MS)
        took_ms += SLICE_INTERVAL_MS
    return longest / LINK_BYTES_PER_MS, took_ms


@pytest.mark.parametrize("count", [1, 2])
def test_short_requests_find_the_link_free(count):
    """Guards against short requests that wait behind long bodies."""
    assert FIRST_SLICE_BYTES / LINK_BYTES_PER_MS <= QUEUE_MAX_MS
    queue_ms, _ = send_bodies(count)
    assert queue_ms <= QUEUE_MAX_MS


@pytest.mark.parametrize("count", [1, 2, 5, 20])
def test_bodies_leave_time_for_the_work(count):
    """Guards against uploads that share the link until it is too late."""
    _, took_ms = send_bodies(count)
    assert took_ms <= LEFT_MS / 2


def test_body_is_sent_faster_if_little_time_is_left():
    """Guards against uploads that miss their deadline while they are sent."""
    assert next_slice_bytes(300_000, min_send_rate(300_000, 400.0), 1) == 60_000
    assert next_slice_bytes(300_000, min_send_rate(300_000, -5.0), 9) == 300_000
    assert next_slice_bytes(10, min_send_rate(10, 3_000.0), 1) == 10
