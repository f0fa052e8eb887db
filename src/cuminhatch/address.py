"""Network addresses."""

from typing import NamedTuple


class Address(NamedTuple):
    """IP address and port."""

    host: str
    port: int
