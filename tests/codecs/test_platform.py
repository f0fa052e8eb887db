"""Tests of the JSON and the request targets of the platform's services."""

from urllib.parse import unquote

import pytest
from hypothesis import given, settings, strategies as st

from cuminhatch.codecs.platform import (
    PlatformMessageError,
    decode_instances,
    decode_row,
    decode_rows,
    decode_transaction,
    decode_transaction_response,
    encode_instances,
    encode_rows,
    encode_transaction,
    encode_transaction_response,
    row_target,
)
from cuminhatch.decisions.platform import (
    Committed,
    InstanceList,
    ListedInstance,
    Mismatched,
    Row,
    RowCheck,
    RowPut,
    TableTransaction,
)

KEYS = st.text(st.characters(codec="utf-8"), min_size=1, max_size=8)
VALUES = st.dictionaries(
    KEYS, st.integers(0, 2**53) | st.text("aé/", max_size=4), max_size=4
)
VERSIONS = st.integers(1, 2**53)
TRANSACTIONS = st.builds(
    TableTransaction,
    KEYS,
    st.lists(st.builds(RowCheck, KEYS, st.integers(0, 2**53)), max_size=4).map(tuple),
    st.lists(st.builds(RowPut, KEYS, VALUES), max_size=4).map(tuple),
    st.lists(KEYS, max_size=4).map(tuple),
)
ONE_PUT = TableTransaction("t", (RowCheck("a", 0),), (RowPut("a", {}),))


@settings(derandomize=True, database=None, deadline=None)
@given(TRANSACTIONS)
def test_transaction_round_trip(transaction):
    """Guards against a check or write that is lost in encoding."""
    assert decode_transaction(encode_transaction(transaction)) == transaction


@settings(derandomize=True, database=None, deadline=None)
@given(KEYS, VERSIONS, VALUES)
def test_reply_round_trip(key, version, value):
    """Guards against a wrong current row in the response to a conflict."""
    checks = (RowCheck(key, 0), RowCheck(key + "2", 4))
    transaction = TableTransaction("t", checks, (RowPut(key, value),))
    results = (
        Committed({key: version}),
        Mismatched({key: Row(key, version, value), key + "2": None}),
    )
    for result in results:
        reply = encode_transaction_response(result)
        assert decode_transaction_response(transaction, *reply) == result


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, b""),
        (200, b'{"versions": {"a": 1}'),
        (200, b'{"versions": {}}'),
        (200, b'{"versions": {"b": 1}}'),
        (200, b'{"versions": {"a": 0}}'),
        (200, b'{"versions": {"a": true}}'),
        (200, b'{"versions": {"a": "1"}}'),
        (200, b'{"versions": [1]}'),
        (200, b"[]"),
        (200, b'{"mismatches": {"a": {"version": 0, "value": null}}}'),
        (409, b'{"mismatches": {}}'),
        (409, b'{"mismatches": {"b": {"version": 0, "value": null}}}'),
        (409, b'{"mismatches": {"a": {"version": 3, "value": null}}}'),
        (409, b'{"mismatches": {"a": {"version": -1, "value": {}}}}'),
        (409, b'{"mismatches": {"a": null}}'),
        (409, b'{"versions": {"a": 1}}'),
        (302, b'{"versions": {"a": 1}}'),
    ],
)
def test_malformed_transact_reply_is_an_error(status, body):
    """Guards against a claim that is granted on a malformed response."""
    with pytest.raises(PlatformMessageError):
        decode_transaction_response(ONE_PUT, status, body)


@pytest.mark.parametrize("body", [b"\xff", b"{}", b'{"version": 0, "value": {}}'])
def test_malformed_row_is_an_error(body):
    """Guards against a row without the version that later writes check."""
    with pytest.raises(PlatformMessageError):
        decode_row("a", body)


def test_rows_must_be_in_key_order():
    """Guards against notes that are replayed out of order."""
    rows = (Row("a", 2, {"x": 1}), Row("b/c", 1, {}))
    assert decode_rows(encode_rows(rows)) == rows
    with pytest.raises(PlatformMessageError):
        decode_rows(encode_rows(rows[::-1]))


def test_unknown_instance_state_is_an_error():
    """Guards against a leaving backend server that is taken for live."""
    instances = InstanceList((ListedInstance("e1", "10.0.0.1:80", "entry", "live"),))
    body = encode_instances(instances)
    assert decode_instances(body) == instances
    with pytest.raises(PlatformMessageError):
        decode_instances(body.replace(b"live", b"gone"))


@settings(derandomize=True, database=None, deadline=None)
@given(KEYS)
def test_key_in_target_is_one_segment(key):
    """Guards against two keys that give the same target."""
    segments = row_target(key).decode().split("/")
    assert segments[:2] == ["", "rows"]
    assert [unquote(segment) for segment in segments[2:]] == [key]


def test_value_outside_json_is_an_error():
    """Guards against an unhandled error of the JSON encoder."""
    transaction = ONE_PUT._replace(puts=(RowPut("a", {"x": {1, 2}}),))
    with pytest.raises(PlatformMessageError):
        encode_transaction(transaction)
