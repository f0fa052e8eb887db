"""
Data types of the platform's services: tables, objects and instance list.

The platform is the environment that the instances run in. It provides the
table service, the object store and the instance list, among others.

Each row of the table service has a version, which only increases, also when
the row is deleted and inserted again. Version 0 means that the row is absent.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple


class Row(NamedTuple):
    """A row as read, with the version that writes can be conditional on."""

    key: str
    version: int
    value: dict[str, Any]


class RowAbsent(NamedTuple):
    """Result: no row has this key."""

    reason: str = "absent"


class RowCheck(NamedTuple):
    """A precondition of a transaction: the row has this version."""

    key: str
    version: int


class RowPut(NamedTuple):
    """A row that a transaction writes."""

    key: str
    value: dict[str, Any]


class TableTransaction(NamedTuple):
    """An atomic transaction: it writes nothing unless all checks hold."""

    transaction_id: str
    checks: tuple[RowCheck, ...]
    puts: tuple[RowPut, ...]
    deletes: tuple[str, ...] = ()


class Committed(NamedTuple):
    """Result: the transaction took effect; new ``versions`` by row key."""

    versions: Mapping[str, int]


class Mismatched(NamedTuple):
    """
    Result: a check failed and nothing was written.

    ``rows`` holds the current row of each key whose check failed, None if it
    is absent.
    """

    rows: Mapping[str, Row | None]
    reason: str = "version mismatch"


class TableUnavailable(NamedTuple):
    """
    Result: no reply from the table service.

    ``may_be_applied`` is False only if the request was never sent;
    otherwise it may have taken effect or may still do so.
    """

    reason: str
    may_be_applied: bool


class ObjectStored(NamedTuple):
    """Result: the object is stored."""


class ObjectFound(NamedTuple):
    """Result: the content of the object."""

    data: bytes


class ObjectAbsent(NamedTuple):
    """Result: no object has this name."""

    reason: str = "absent"


class ObjectUnavailable(NamedTuple):
    """Result: no reply from the object store."""

    reason: str


class ListedInstance(NamedTuple):
    """
    An entry of the platform's instance list.

    ``kind`` is ``entry`` for an instance of this load balancer and
    ``backend`` for a backend server; ``state`` is ``live`` or ``leaving``.
    """

    instance_id: str
    address: str
    kind: str
    state: str


class InstanceList(NamedTuple):
    """The instance list as read; it lags behind the actual state."""

    instances: tuple[ListedInstance, ...]


class ListUnavailable(NamedTuple):
    """Result: the instance list could not be read."""

    reason: str
