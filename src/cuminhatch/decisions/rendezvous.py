"""Rendezvous hashing: an order all instances agree on without messages."""

from hashlib import blake2b

DIGEST_BYTES = 8


def rank(*keys: str) -> bytes:
    """
    Return the hash that an item is sorted by; the lowest comes first.

    :param keys: names that together identify the item.
    """
    return blake2b("\0".join(keys).encode(), digest_size=DIGEST_BYTES).digest()
