"""Tests of the in-memory table."""

from cuminhatch.decisions.platform import (
    Committed,
    Mismatched,
    Row,
    RowAbsent,
    RowCheck,
    RowPut,
    TableTransaction,
)
from cuminhatch_standins.table_state import TableState


def put(table, *keys, checks=()):
    puts = tuple(RowPut(key, {"key": key}) for key in keys)
    return table.transact(TableTransaction("t", checks, puts))


def test_failed_check_writes_nothing():
    """Guards against a transaction that is applied in part."""
    table = TableState()
    version = put(table, "a").versions["a"]
    checks = (RowCheck("a", version), RowCheck("b", 7), RowCheck("c", 0))
    assert put(table, "a", "c", checks=checks) == Mismatched({"b": None})
    assert table.read("c") == RowAbsent()
    assert table.read("a") == Row("a", version, {"key": "a"})


def test_mismatch_contains_the_current_row():
    """Guards against a failed writer that cannot see the row that won."""
    table = TableState()
    put(table, "a")
    result = put(table, "a", checks=(RowCheck("a", 0),))
    assert result == Mismatched({"a": table.read("a")})


def test_version_rises_across_delete_and_insert():
    """Guards against a late write that matches a row inserted again."""
    table = TableState()
    first = put(table, "a").versions["a"]
    deleted = table.transact(TableTransaction("d", (), (), ("a",)))
    assert deleted == Committed({})
    assert table.read("a") == RowAbsent()
    assert put(table, "a", checks=(RowCheck("a", 0),)).versions["a"] > first
    late = put(table, "a", checks=(RowCheck("a", first),))
    assert isinstance(late, Mismatched)


def test_scan_is_ordered_and_bounds_are_exclusive():
    """Guards against notes that are read out of order or twice."""
    table = TableState()
    put(table, "n/3", "n/1", "m", "n/2", "o")
    table.transact(TableTransaction("d", (), (), ("n/2", "absent")))
    put(table, "n/4")
    keys = [row.key for row in table.scan("n/1", "n0", 10)]
    assert keys == ["n/3", "n/4"]
    assert [row.key for row in table.scan("", "", 2)] == ["m", "n/1"]
    assert table.scan("n/4", "n0", 10) == ()
