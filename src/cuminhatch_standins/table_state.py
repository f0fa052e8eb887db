"""
Rows and transactions of the table service, apart from HTTP.

Tests use it as an in-memory table; the stand-in program serves it.
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

    Values are kept as given and must not be changed afterwards.
    """

    def __init__(self) -> None:
        """Start without rows."""
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        # One counter for all rows: a key that is deleted and inserted again
        # gets a version above all it had before.
        self._versions = count(1)

    def transact(self, transaction: TableTransaction) -> Committed | Mismatched:
        """
        Apply a transaction as a whole or not at all.

        A transaction id seen before has no special meaning. A key that is
        both put and deleted ends up deleted.

        :param transaction: checks and writes.
        :returns: the versions of the rows put, or the present rows of the
            keys whose check failed.
        """
        mismatches = {
            check.key: self._rows.get(check.key)
            for check in transaction.checks
            if not self._is_met(check)
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
        """Return all rows by key, to be read only."""
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

        :param after: rows start behind this key; empty starts at the first.
        :param before: rows end ahead of this key; empty reads to the last.
        :param limit: largest number of rows.
        """
        start = bisect_right(self._keys, after) if after else 0
        rows = (self._rows[key] for key in islice(self._keys, start, None))
        within = (row for row in rows if not before or row.key < before)
        return tuple(islice(within, max(limit, 0)))

    def _is_met(self, check: RowCheck) -> bool:
        row = self._rows.get(check.key)
        return check.version == (ABSENT_VERSION if row is None else row.version)
