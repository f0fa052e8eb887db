"""
Messages between any service and ``platform``.

``reply_to`` is the name of the service that gets the reply; ``token`` is
returned in the reply.
"""

from typing import NamedTuple

from cuminhatch.decisions.platform import (
    Committed,
    InstanceList,
    ListUnavailable,
    Mismatched,
    ObjectAbsent,
    ObjectFound,
    ObjectStored,
    ObjectUnavailable,
    Row,
    RowAbsent,
    TableTransaction,
    TableUnavailable,
)


class TableTransactRequested(NamedTuple):
    """A transaction is to be sent to the table service."""

    reply_to: str
    token: int
    transaction: TableTransaction


class TableTransactReplied(NamedTuple):
    """The outcome of a transaction, as far as it is known."""

    token: int
    result: Committed | Mismatched | TableUnavailable


class TableReadRequested(NamedTuple):
    """One row is to be read."""

    reply_to: str
    token: int
    key: str


class TableReadReplied(NamedTuple):
    """One row was read, is absent or could not be read."""

    token: int
    result: Row | RowAbsent | TableUnavailable


class TableScanRequested(NamedTuple):
    """Rows with ``after < key < before`` are to be read in key order."""

    reply_to: str
    token: int
    after: str
    before: str
    limit: int


class TableScanReplied(NamedTuple):
    """Rows were read, or could not be read."""

    token: int
    result: tuple[Row, ...] | TableUnavailable


class ObjectPutRequested(NamedTuple):
    """An object is to be stored."""

    reply_to: str
    token: int
    object_name: str
    data: bytes


class ObjectPutReplied(NamedTuple):
    """An object was stored, or could not be stored."""

    token: int
    result: ObjectStored | ObjectUnavailable


class ObjectGetRequested(NamedTuple):
    """An object is to be fetched."""

    reply_to: str
    token: int
    object_name: str


class ObjectGetReplied(NamedTuple):
    """An object was fetched, is absent or could not be fetched."""

    token: int
    result: ObjectFound | ObjectAbsent | ObjectUnavailable


class InstanceListRequested(NamedTuple):
    """The platform's list of instances is to be read."""

    reply_to: str
    token: int


class InstanceListReplied(NamedTuple):
    """The list of instances was read, or could not be read."""

    token: int
    result: InstanceList | ListUnavailable
