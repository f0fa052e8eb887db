"""Messages that forwarding schedules to itself."""

from typing import NamedTuple


class ExchangeTimedOut(NamedTuple):
    """The deadline of a request has passed; its caller needs a response."""

    request_id: int


class HedgeDue(NamedTuple):
    """A response is so late that a hedged attempt may be faster."""

    request_id: int


class UploadSliceDue(NamedTuple):
    """The next slice of the body of an upload is to be sent."""

    attempt_id: int


class PlacementRetryDue(NamedTuple):
    """A request that waits for free capacity is to be placed again."""

    request_id: int
