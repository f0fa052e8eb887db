"""Messages that forwarding sends itself at a time."""

from typing import NamedTuple


class ExchangeDue(NamedTuple):
    """The caller must get a final answer now."""

    request_id: int


class HedgeDue(NamedTuple):
    """An answer is so late that a second send may be quicker."""

    request_id: int


class PlacementDue(NamedTuple):
    """A request that waits for room looks for a server again."""

    request_id: int
