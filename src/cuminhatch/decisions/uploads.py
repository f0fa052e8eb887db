"""
Which request bodies are received before a backend server is chosen.

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
