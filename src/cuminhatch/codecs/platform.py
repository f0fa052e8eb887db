"""
JSON of the platform's services, in both directions.

The daemon encodes requests and decodes replies; the stand-ins do the
opposite.
"""

from typing import Any
from urllib.parse import quote, urlencode

import orjson

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
from cuminhatch.errors import CodecError

INSTANCE_KINDS = frozenset({"entry", "backend"})
INSTANCE_STATES = frozenset({"live", "leaving"})


class PlatformMessageError(CodecError):
    """A message of the platform has not the agreed form."""


def row_target(key: str) -> bytes:
    """
    Return the request target of a row.

    :param key: key of the row; slashes are escaped.
    """
    return b"/rows/" + quote(key, safe="").encode()


def scan_target(after: str, before: str, limit: int) -> bytes:
    """
    Return the request target of a range of rows.

    :param after: rows start behind this key.
    :param before: rows end ahead of this key.
    :param limit: largest number of rows.
    """
    query = urlencode({"after": after, "before": before, "limit": limit})
    return b"/rows?" + query.encode()


def object_target(object_name: str) -> bytes:
    """
    Return the request target of an object.

    :param object_name: name of the object; slashes are escaped.
    """
    return b"/objects/" + quote(object_name, safe="").encode()


# Transactions


def encode_transaction(transaction: TableTransaction) -> bytes:
    """
    Encode the body of ``POST /transact``.

    :param transaction: checks and writes.
    :raises PlatformMessageError: a value cannot be expressed in JSON.
    """
    return _dump(
        {
            "id": transaction.transaction_id,
            "checks": [check._asdict() for check in transaction.checks],
            "puts": [put._asdict() for put in transaction.puts],
            "deletes": transaction.deletes,
        }
    )


def decode_transaction(body: bytes) -> TableTransaction:
    """
    Decode the body of ``POST /transact``.

    :param body: JSON.
    :raises PlatformMessageError: the body has another form.
    """
    message = _load(body)
    return TableTransaction(
        _field(message, "id", str),
        tuple(
            RowCheck(_field(check, "key", str), _version(check))
            for check in _field(message, "checks", list)
        ),
        tuple(
            RowPut(_field(put, "key", str), _field(put, "value", dict))
            for put in _field(message, "puts", list)
        ),
        tuple(_typed(key, str) for key in _field(message, "deletes", list)),
    )


def encode_transact_reply(result: Committed | Mismatched) -> tuple[int, bytes]:
    """
    Encode the reply to a transaction.

    :param result: what became of it.
    :returns: HTTP status and body.
    """
    if isinstance(result, Committed):
        return 200, _dump({"versions": dict(result.versions)})
    mismatches = {
        key: {"version": 0, "value": None} if row is None else _row_fields(row)
        for key, row in result.rows.items()
    }
    return 409, _dump({"mismatches": mismatches})


def decode_transact_reply(
    transaction: TableTransaction, status: int, body: bytes
) -> Committed | Mismatched:
    """
    Decode the reply to a transaction.

    :param transaction: the transaction sent.
    :param status: HTTP status, 200 or 409.
    :param body: JSON.
    :raises PlatformMessageError: the reply has another form, or does not
        belong to the transaction.
    """
    message = _load(body)
    if status == 200:
        versions = _field(message, "versions", dict)
        if set(versions) != {put.key for put in transaction.puts}:
            raise PlatformMessageError("versions are not those of the rows put")
        for version in versions.values():
            _positive(version)
        return Committed(versions)
    if status != 409:
        raise PlatformMessageError(f"unexpected status {status}")
    mismatches = _field(message, "mismatches", dict)
    if not mismatches or not mismatches.keys() <= {c.key for c in transaction.checks}:
        raise PlatformMessageError("mismatches are not those of the checks")
    return Mismatched({key: _mismatch(key, row) for key, row in mismatches.items()})


def _mismatch(key: str, fields: Any) -> Row | None:
    return None if _version(fields) == 0 else _row(key, fields)


# Rows


def encode_row(row: Row) -> bytes:
    """
    Encode the body of ``GET /rows/{key}``.

    :param row: row as stored.
    """
    return _dump(_row_fields(row))


def decode_row(key: str, body: bytes) -> Row:
    """
    Decode the body of ``GET /rows/{key}``.

    :param key: key asked for.
    :param body: JSON.
    :raises PlatformMessageError: the body has another form.
    """
    return _row(key, _load(body))


def encode_rows(rows: tuple[Row, ...]) -> bytes:
    """
    Encode the body of ``GET /rows``.

    :param rows: rows in key order.
    """
    return _dump({"rows": [row._asdict() for row in rows]})


def decode_rows(body: bytes) -> tuple[Row, ...]:
    """
    Decode the body of ``GET /rows``.

    :param body: JSON.
    :returns: rows in key order.
    :raises PlatformMessageError: the body has another form, or the rows are
        out of order.
    """
    rows = tuple(
        _row(_field(fields, "key", str), fields)
        for fields in _field(_load(body), "rows", list)
    )
    if any(a.key >= b.key for a, b in zip(rows, rows[1:], strict=False)):
        raise PlatformMessageError("rows are out of order")
    return rows


def _row_fields(row: Row) -> dict[str, Any]:
    return {"version": row.version, "value": row.value}


def _row(key: str, fields: Any) -> Row:
    version = _positive(_field(fields, "version", int))
    return Row(key, version, _field(fields, "value", dict))


# List of instances


def encode_instances(instances: InstanceList) -> bytes:
    """
    Encode the body of ``GET /instances``.

    :param instances: the list.
    """
    return _dump(
        {
            "instances": [
                {
                    "id": instance.instance_id,
                    "address": instance.address,
                    "kind": instance.kind,
                    "state": instance.state,
                }
                for instance in instances.instances
            ]
        }
    )


def decode_instances(body: bytes) -> InstanceList:
    """
    Decode the body of ``GET /instances``.

    :param body: JSON.
    :raises PlatformMessageError: the body has another form.
    """
    return InstanceList(
        tuple(
            _instance(_field(fields, "id", str), fields)
            for fields in _field(_load(body), "instances", list)
        )
    )


def decode_instance(instance_id: str, body: bytes) -> ListedInstance:
    """
    Decode the body of ``PUT /instances/{id}``.

    :param instance_id: id of the instance.
    :param body: JSON with address, kind and state.
    :raises PlatformMessageError: the body has another form.
    """
    return _instance(instance_id, _load(body))


def _instance(instance_id: str, fields: Any) -> ListedInstance:
    kind = _field(fields, "kind", str)
    state = _field(fields, "state", str)
    if kind not in INSTANCE_KINDS or state not in INSTANCE_STATES:
        raise PlatformMessageError(f"unknown kind {kind!r} or state {state!r}")
    return ListedInstance(instance_id, _field(fields, "address", str), kind, state)


# Values


def _dump(value: Any) -> bytes:
    try:
        return orjson.dumps(value)
    except orjson.JSONEncodeError as error:
        raise PlatformMessageError(f"not expressible in JSON: {error}") from error


def _load(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise PlatformMessageError(f"not JSON: {error}") from error


def _typed(value: Any, kind: type) -> Any:
    # A bool is an int in Python, but not in JSON.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise PlatformMessageError(f"{value!r:.40} is not of type {kind.__name__}")
    return value


def _field(message: Any, name: str, kind: type) -> Any:
    fields = _typed(message, dict)
    if name not in fields:
        raise PlatformMessageError(f"{name} is missing")
    return _typed(fields[name], kind)


def _version(fields: Any) -> int:
    version = _field(fields, "version", int)
    return version if version == 0 else _positive(version)


def _positive(version: Any) -> int:
    if _typed(version, int) < 1:
        raise PlatformMessageError(f"{version} is not the version of a row")
    return version
