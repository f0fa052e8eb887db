"""
Rows and transactions of the table service, without HTTP.

Tests use it as an in-memory table; the table service stand-in serves it.
"""

from bisect import bisect_right, insort
from collections.abc import Mapping
from itertools import count, islice
from types import MappingProxyType

from cuminhatch.decisions.platform import (
    Committed,
    Mismatched,
    Row,
    RowAbsent,
    RowCheck,
    TableTransaction,
)

ABSENT_VERSION = 0


class TableState:
    """
    The rows of a table.

    Values are stored without a copy and must not be modified afterwards.
    """

    def __init__(self) -> None:
        """Create a table without rows."""
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        # One counter for all rows: a key that is deleted and inserted again
        # gets a version higher than all its earlier ones.
        self._versions = count(1)

    def transact(self, transaction: TableTransaction) -> Committed | Mismatched:
        """
        Apply a transaction atomically.

        Transaction ids are not checked for duplicates. A key that is both
        put and deleted is deleted.

        :param transaction: checks and writes.
        :returns: the versions of the rows put, or the current rows of the
            keys whose check failed.
        """
        mismatches = {
            check.key: self._rows.get(check.key)
            for check in transaction.checks
            if not self._is_check_met(check)
        }
        if mismatches:
            return Mismatched(mismatches)
        versions = {}
        for key, value in transaction.puts:
            version = next(self._versions)
            if key not in self._rows:
                insort(self._keys, key)
            self._rows[key] = Row(key, version, value)
            versions[key] = version
        for key in transaction.deletes:
            if self._rows.pop(key, None) is not None:
                del self._keys[bisect_right(self._keys, key) - 1]
        return Committed(versions)

    @property
    def rows(self) -> Mapping[str, Row]:
        """Return a read-only view of all rows by key."""
        return MappingProxyType(self._rows)

    def read(self, key: str) -> Row | RowAbsent:
        """
        Read one row.

        :param key: key of the row.
        """
        return self._rows.get(key, RowAbsent())

    def scan(self, after: str, before: str, limit: int) -> tuple[Row, ...]:
        """
        Read rows in key order.

        :param after: exclusive lower bound of the keys; empty for none.
        :param before: exclusive upper bound of the keys; empty for none.
        :param limit: maximum number of rows.
        """
        start = bisect_right(self._keys, after) if after else 0
        rows = (self._rows[key] for key in islice(self._keys, start, None))
        within = (row for row in rows if not before or row.key < before)
        return tuple(islice(within, max(limit, 0)))

    def _is_check_met(self, check: RowCheck) -> bool:
        row = self._rows.get(check.key)
        return check.version == (ABSENT_VERSION if row is None else row.version)
