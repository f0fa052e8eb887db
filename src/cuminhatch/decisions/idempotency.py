"""Claims of keyed requests: at most one run per key."""

from typing import NamedTuple


class StoredAnswer(NamedTuple):
    """
    The answer of a request that has run.

    ``headers`` are name and value pairs in order. ``is_body_kept`` is False
    where the body was too large to keep.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    is_body_kept: bool = True
