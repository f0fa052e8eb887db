"""Permits: exclusive rights of an instance towards one backend server."""

from typing import NamedTuple


class Permit(NamedTuple):
    """
    A right that a row of the table service names an instance for.

    ``kind`` is ``long`` or ``probe``; ``number`` counts from 0 per backend
    server and kind.
    """

    kind: str
    server_id: str
    number: int
