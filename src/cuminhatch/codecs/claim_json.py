"""Claim rows as JSON values of the table service."""

from base64 import b64decode, b64encode
from typing import Any

from cuminhatch.decisions.idempotency import (
    CLAIMED,
    RAN,
    UNREADABLE,
    VOID,
    AnswerReference,
    ClaimRow,
    StoredAnswer,
)


def encode_claim_row(row: ClaimRow) -> dict[str, Any]:
    """
    Encode a claim row.

    :param row: row to write.
    :returns: a JSON object.
    """
    value: dict[str, Any] = {
        "state": row.state,
        "claim_id": row.claim_id,
        "digest": row.digest,
    }
    if row.answer is not None:
        value["answer"] = _encode_answer(row.answer)
    return value


def decode_claim_row(value: dict[str, Any]) -> ClaimRow:
    """
    Decode a claim row.

    :param value: a JSON object.
    :returns: the row; one of state ``unreadable`` where the value is not
        a claim row, since it may stand for a run.
    """
    try:
        state, answer = value["state"], value.get("answer")
        if state not in (CLAIMED, RAN, VOID):
            return ClaimRow(UNREADABLE, "", "")
        return ClaimRow(
            state,
            value["claim_id"],
            value["digest"],
            None if answer is None else _decode_answer(answer),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return ClaimRow(UNREADABLE, "", "")


def _encode_answer(answer: StoredAnswer | AnswerReference) -> dict[str, Any]:
    value: dict[str, Any] = {
        "status": answer.status,
        "headers": [
            [name.decode("latin-1"), content.decode("latin-1")]
            for name, content in answer.headers
        ],
    }
    if isinstance(answer, AnswerReference):
        value["object_name"] = answer.object_name
        value["body_digest"] = answer.body_digest
    else:
        value["body"] = b64encode(answer.body).decode()
        value["is_body_kept"] = answer.is_body_kept
    return value


def _decode_answer(value: dict[str, Any]) -> StoredAnswer | AnswerReference:
    headers = tuple(
        (name.encode("latin-1"), content.encode("latin-1"))
        for name, content in value["headers"]
    )
    if "object_name" in value:
        return AnswerReference(
            value["status"], headers, value["object_name"], value["body_digest"]
        )
    body = b64decode(value["body"], validate=True)
    return StoredAnswer(value["status"], headers, body, value["is_body_kept"])
