"""Where a process is reached."""

from typing import NamedTuple


class Address(NamedTuple):
    """IP address and port of a peer."""

    host: str
    port: int
