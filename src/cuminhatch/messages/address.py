"""Where a peer is reached."""

from cuminhatch.address import Address

__all__ = ["Address"]
