"""
What the platform's services offer, as plain data.

The table service has rows with versions. A version only rises, also over
delete and insert; version 0 stands for an absent row.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple


class Row(NamedTuple):
    """A row as read, with the version to make writes conditional on."""

    key: str
    version: int
    value: dict[str, Any]


class RowAbsent(NamedTuple):
    """Sentinel: there is no row of this key."""

    reason: str = "absent"


class RowCheck(NamedTuple):
    """A condition of a transaction: the row has this version."""

    key: str
    version: int


class RowPut(NamedTuple):
    """A write of a transaction."""

    key: str
    value: dict[str, Any]


class TableTransaction(NamedTuple):
    """Checks and writes that take effect together or not at all."""

    transaction_id: str
    checks: tuple[RowCheck, ...]
    puts: tuple[RowPut, ...]
    deletes: tuple[str, ...] = ()


class Committed(NamedTuple):
    """The transaction took effect; ``versions`` are those of the rows put."""

    versions: Mapping[str, int]


class Mismatched(NamedTuple):
    """
    Sentinel: a check failed and nothing was written.

    ``rows`` gives the present row of each key whose check failed, None where
    it is absent.
    """

    rows: Mapping[str, Row | None]
    reason: str = "version mismatch"


class TableUnavailable(NamedTuple):
    """
    Sentinel: no reply from the table service.

    ``is_maybe_applied`` is False only if the request was never sent; else it
    may have taken effect, or may still take effect later.
    """

    reason: str
    is_maybe_applied: bool


class ObjectStored(NamedTuple):
    """The object is stored."""


class ObjectFound(NamedTuple):
    """The object as stored."""

    data: bytes


class ObjectAbsent(NamedTuple):
    """Sentinel: there is no object of this name."""

    reason: str = "absent"


class ObjectUnavailable(NamedTuple):
    """Sentinel: no reply from the object store."""

    reason: str


class ListedInstance(NamedTuple):
    """
    One entry of the platform's list.

    ``kind`` is ``entry`` or ``backend``, ``state`` is ``live`` or
    ``leaving``.
    """

    instance_id: str
    address: str
    kind: str
    state: str


class InstanceList(NamedTuple):
    """The list as read; it lags behind the truth."""

    instances: tuple[ListedInstance, ...]


class ListUnavailable(NamedTuple):
    """Sentinel: the list could not be read."""

    reason: str
