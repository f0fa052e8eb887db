"""
Encode claims on idempotency keys as JSON objects.

They are stored in rows of the table service.
"""

from base64 import b64decode, b64encode
from typing import Any

from cuminhatch.decisions.claims import (
    CLAIMED,
    RAN,
    UNREADABLE,
    VOID,
    ClaimRow,
    ResponseReference,
    StoredResponse,
)


def encode_claim_row(row: ClaimRow) -> dict[str, Any]:
    """
    Encode the row of a claim.

    :param row: row to encode.
    :returns: a JSON object.
    """
    value: dict[str, Any] = {
        "state": row.state,
        "claim_id": row.claim_id,
        "digest": row.digest,
    }
    if row.answer is not None:
        value["answer"] = _encode_response(row.answer)
    return value


def decode_claim_row(value: dict[str, Any]) -> ClaimRow:
    """
    Decode the row of a claim.

    :param value: JSON object.
    :returns: the row. A malformed value gives a row in state ``unreadable``,
        which blocks the key, because its request may have run.
    """
    try:
        state, response = value["state"], value.get("answer")
        if state not in (CLAIMED, RAN, VOID):
            return ClaimRow(UNREADABLE, "", "")
        return ClaimRow(
            state,
            value["claim_id"],
            value["digest"],
            None if response is None else _decode_response(response),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return ClaimRow(UNREADABLE, "", "")


def _encode_response(response: StoredResponse | ResponseReference) -> dict[str, Any]:
    value: dict[str, Any] = {
        "status": response.status,
        "headers": [
            [name.decode("latin-1"), content.decode("latin-1")]
            for name, content in response.headers
        ],
    }
    if isinstance(response, ResponseReference):
        value["object_name"] = response.object_name
        value["body_digest"] = response.body_digest
    else:
        value["body"] = b64encode(response.body).decode()
        value["is_body_kept"] = response.is_body_kept
    return value


def _decode_response(value: dict[str, Any]) -> StoredResponse | ResponseReference:
    headers = tuple(
        (name.encode("latin-1"), content.encode("latin-1"))
        for name, content in value["headers"]
    )
    if "object_name" in value:
        return ResponseReference(
            value["status"], headers, value["object_name"], value["body_digest"]
        )
    body = b64decode(value["body"], validate=True)
    return StoredResponse(value["status"], headers, body, value["is_body_kept"])
