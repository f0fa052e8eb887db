"""Network address, as used in messages."""

from cuminhatch.address import Address

__all__ = ["Address"]
