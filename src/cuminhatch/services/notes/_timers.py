"""Messages that the notes service schedules to itself."""

from typing import NamedTuple


class PollDue(NamedTuple):
    """The poll interval has passed."""


class CallbackDue(NamedTuple):
    """The delay of a callback has passed."""

    token: int
