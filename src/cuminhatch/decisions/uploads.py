"""
Which request bodies are received before a backend server is chosen, and how
fast they are sent to it.

A caller with a slow link takes seconds to send a body, and would hold a slot
of a server for that time. The load that this handles: 35 uploads per second
over 103 instances, bursts of 2.5 times that and teams at eight times their
rate, with bodies of 60 KB on average and up to 360 KB, on instances that have
200 MB of memory, of which the daemon uses about 45 MB without load.
"""

from typing import NamedTuple


class UploadLimits(NamedTuple):
    """
    Bounds on the bodies that are received ahead.

    ``body_bytes`` is the longest one, ``held_bytes`` the limit of all together
    in this process.
    """

    body_bytes: int
    held_bytes: int


# The longest bodies have 360 KB. With the second copy that the write buffer of
# a connection holds while a body is sent, 24 MB take less than a third of the
# memory that is free on an instance of 200 MB. A link of 10 Mbit/s brings 4 MB
# within the deadline of an upload.
UPLOAD_LIMITS = UploadLimits(512 * 1024, 24 * 1024 * 1024)

# A body of the mean size and a head are sent at once: they occupy a link of
# 10 Mbit/s for 52 ms.
FIRST_SLICE_BYTES = 64 * 1024
# Four fifths of a link of 10 Mbit/s; all bodies that are sent share it.
SEND_BYTES_PER_MS = 1000.0
SLICE_INTERVAL_MS = 20.0
# Largest part of the time left that a body may take to be sent.
SEND_TIME_SHARE = 0.25

# Why a body is not received ahead.
BODY_TOO_LONG = "body-too-long"
MEMORY_IN_USE = "memory-in-use"


class UploadMemory:
    """State: the memory reserved for the body of each upload."""

    __slots__ = ("_limits", "_reserved", "_total")

    def __init__(self, limits: UploadLimits = UPLOAD_LIMITS) -> None:
        """
        Start without uploads.

        :param limits: bounds on the bodies.
        """
        self._limits = limits
        self._reserved: dict[int, int] = {}
        self._total = 0

    @property
    def reserved_bytes(self) -> int:
        """Return the memory reserved for all bodies."""
        return self._total

    def reserve(self, request_id: int, size: int) -> str:
        """
        Reserve memory for the body of a request.

        The whole declared length is reserved at once: uploads that begin
        together would otherwise exceed the bound together. A body without a
        declared length reserves what has arrived, again with each part.

        :param request_id: id of the request.
        :param size: bytes of its body; replaces an earlier size.
        :returns: why it is not received ahead, or an empty string. An earlier
            reservation stays if there is a reason.
        """
        if size > self._limits.body_bytes:
            return BODY_TOO_LONG
        total = self._total - self._reserved.get(request_id, 0) + size
        if total > self._limits.held_bytes:
            return MEMORY_IN_USE
        self._reserved[request_id] = size
        self._total = total
        return ""

    def release(self, request_id: int) -> None:
        """
        Release the memory of a request, if it has any.

        :param request_id: id of the request.
        """
        self._total -= self._reserved.pop(request_id, 0)


def min_send_rate(rest_bytes: int, left_ms: float) -> float:
    """
    Return the rate that leaves enough time for the work, in bytes per ms.

    :param rest_bytes: what is left of the body when the first slice is sent.
    :param left_ms: time to the deadline of the request.
    """
    return rest_bytes / max(SLICE_INTERVAL_MS, left_ms * SEND_TIME_SHARE)


def next_slice_bytes(rest_bytes: int, min_rate: float, sends: int) -> int:
    """
    Return how much of a body to send now, and again after the slice interval.

    Short requests share the link to the servers with uploads. A body that is
    written at once fills the queue of the link, and they wait behind it.

    :param rest_bytes: what is left of the body.
    :param min_rate: result of :func:`min_send_rate` for the body.
    :param sends: bodies that are being sent in slices, this one included.
    """
    rate = max(min_rate, SEND_BYTES_PER_MS / max(1, sends))
    return min(rest_bytes, max(1, round(rate * SLICE_INTERVAL_MS)))
