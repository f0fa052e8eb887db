"""
Encode and decode messages to and from the platform's services.

The services are the table service, the object store and the instance list.
The daemon encodes requests and decodes responses; the simulated services in
``cuminhatch_standins`` decode requests and encode responses.
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

# An "entry" is an instance of the load balancer, a "backend" a backend server.
INSTANCE_KINDS = frozenset({"entry", "backend"})
INSTANCE_STATES = frozenset({"live", "leaving"})


class PlatformMessageError(CodecError):
    """A message to or from the platform is malformed or cannot be encoded."""


def row_target(key: str) -> bytes:
    """
    Return the request target of a row.

    :param key: key of the row; slashes are percent-encoded.
    """
    return b"/rows/" + quote(key, safe="").encode()


def scan_target(after: str, before: str, limit: int) -> bytes:
    """
    Return the request target of a range of rows.

    :param after: exclusive lower bound of the keys.
    :param before: exclusive upper bound of the keys.
    :param limit: maximum number of rows.
    """
    query = urlencode({"after": after, "before": before, "limit": limit})
    return b"/rows?" + query.encode()


def object_target(object_name: str) -> bytes:
    """
    Return the request target of an object.

    :param object_name: name of the object; slashes are percent-encoded.
    """
    return b"/objects/" + quote(object_name, safe="").encode()


# Transactions


def encode_transaction(transaction: TableTransaction) -> bytes:
    """
    Encode the body of ``POST /transact``.

    :param transaction: checks and writes.
    :raises PlatformMessageError: a value cannot be represented in JSON.
    """
    return _dump_json(
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
    :raises PlatformMessageError: the body is malformed.
    """
    message = _load_json(body)
    return TableTransaction(
        _get_field(message, "id", str),
        tuple(
            RowCheck(_get_field(check, "key", str), _get_version(check))
            for check in _get_field(message, "checks", list)
        ),
        tuple(
            RowPut(_get_field(put, "key", str), _get_field(put, "value", dict))
            for put in _get_field(message, "puts", list)
        ),
        tuple(_check_type(key, str) for key in _get_field(message, "deletes", list)),
    )


def encode_transaction_response(result: Committed | Mismatched) -> tuple[int, bytes]:
    """
    Encode the response to a transaction.

    :param result: result of the transaction.
    :returns: HTTP status and body.
    """
    if isinstance(result, Committed):
        return 200, _dump_json({"versions": dict(result.versions)})
    mismatches = {
        key: {"version": 0, "value": None} if row is None else _encode_row_fields(row)
        for key, row in result.rows.items()
    }
    return 409, _dump_json({"mismatches": mismatches})


def decode_transaction_response(
    transaction: TableTransaction, status: int, body: bytes
) -> Committed | Mismatched:
    """
    Decode the response to a transaction.

    :param transaction: transaction that was sent.
    :param status: HTTP status.
    :param body: JSON.
    :raises PlatformMessageError: the status is not 200 or 409, the body is
        malformed, or its keys are not those of the transaction.
    """
    message = _load_json(body)
    if status == 200:
        versions = _get_field(message, "versions", dict)
        if set(versions) != {put.key for put in transaction.puts}:
            raise PlatformMessageError("versions have other keys than the puts")
        for version in versions.values():
            _check_row_version(version)
        return Committed(versions)
    if status != 409:
        raise PlatformMessageError(f"unexpected status {status}")
    mismatches = _get_field(message, "mismatches", dict)
    if not mismatches or not mismatches.keys() <= {c.key for c in transaction.checks}:
        raise PlatformMessageError("mismatches are empty or have unchecked keys")
    return Mismatched(
        {key: _decode_mismatch(key, row) for key, row in mismatches.items()}
    )


def _decode_mismatch(key: str, fields: Any) -> Row | None:
    return None if _get_version(fields) == 0 else _decode_row_fields(key, fields)


# Rows


def encode_row(row: Row) -> bytes:
    """
    Encode the response body of ``GET /rows/{key}``.

    :param row: row as stored.
    """
    return _dump_json(_encode_row_fields(row))


def decode_row(key: str, body: bytes) -> Row:
    """
    Decode the response body of ``GET /rows/{key}``.

    :param key: requested key.
    :param body: JSON.
    :raises PlatformMessageError: the body is malformed.
    """
    return _decode_row_fields(key, _load_json(body))


def encode_rows(rows: tuple[Row, ...]) -> bytes:
    """
    Encode the response body of ``GET /rows``.

    :param rows: rows in key order.
    """
    return _dump_json({"rows": [row._asdict() for row in rows]})


def decode_rows(body: bytes) -> tuple[Row, ...]:
    """
    Decode the response body of ``GET /rows``.

    :param body: JSON.
    :returns: rows in key order.
    :raises PlatformMessageError: the body is malformed, or the rows are not
        in key order.
    """
    rows = tuple(
        _decode_row_fields(_get_field(fields, "key", str), fields)
        for fields in _get_field(_load_json(body), "rows", list)
    )
    if any(a.key >= b.key for a, b in zip(rows, rows[1:], strict=False)):
        raise PlatformMessageError("rows are not in key order")
    return rows


def _encode_row_fields(row: Row) -> dict[str, Any]:
    return {"version": row.version, "value": row.value}


def _decode_row_fields(key: str, fields: Any) -> Row:
    version = _check_row_version(_get_field(fields, "version", int))
    return Row(key, version, _get_field(fields, "value", dict))


# Instance list


def encode_instances(instances: InstanceList) -> bytes:
    """
    Encode the response body of ``GET /instances``.

    :param instances: instance list.
    """
    return _dump_json(
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
    Decode the response body of ``GET /instances``.

    :param body: JSON.
    :raises PlatformMessageError: the body is malformed.
    """
    return InstanceList(
        tuple(
            _decode_instance_fields(_get_field(fields, "id", str), fields)
            for fields in _get_field(_load_json(body), "instances", list)
        )
    )


def decode_instance(instance_id: str, body: bytes) -> ListedInstance:
    """
    Decode the body of ``PUT /instances/{id}``.

    :param instance_id: id of the instance.
    :param body: JSON with address, kind and state.
    :raises PlatformMessageError: the body is malformed.
    """
    return _decode_instance_fields(instance_id, _load_json(body))


def _decode_instance_fields(instance_id: str, fields: Any) -> ListedInstance:
    kind = _get_field(fields, "kind", str)
    state = _get_field(fields, "state", str)
    if kind not in INSTANCE_KINDS or state not in INSTANCE_STATES:
        raise PlatformMessageError(f"unknown kind {kind!r} or state {state!r}")
    return ListedInstance(instance_id, _get_field(fields, "address", str), kind, state)


# JSON


def _dump_json(value: Any) -> bytes:
    try:
        return orjson.dumps(value)
    except orjson.JSONEncodeError as error:
        raise PlatformMessageError(f"cannot be encoded as JSON: {error}") from error


def _load_json(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise PlatformMessageError(f"invalid JSON: {error}") from error


def _check_type(value: Any, expected_type: type) -> Any:
    # In Python, bool is a subclass of int; in JSON, true is not a number.
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise PlatformMessageError(
            f"{value!r:.40} is not of type {expected_type.__name__}"
        )
    return value


def _get_field(message: Any, name: str, expected_type: type) -> Any:
    fields = _check_type(message, dict)
    if name not in fields:
        raise PlatformMessageError(f"{name} is missing")
    return _check_type(fields[name], expected_type)


def _get_version(fields: Any) -> int:
    # Version 0 means that the row doesn't exist.
    version = _get_field(fields, "version", int)
    return version if version == 0 else _check_row_version(version)


def _check_row_version(version: Any) -> int:
    if _check_type(version, int) < 1:
        raise PlatformMessageError(
            f"{version} is not a row version; expected 1 or more"
        )
    return version
