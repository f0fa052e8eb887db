"""Builds the answers that callers get from the answers of servers."""

from cuminhatch.codecs.http1 import Header, ResponseHead
from cuminhatch.decisions.idempotency import StoredAnswer
from cuminhatch.messages import AttemptResponse, ResponseStarted
from cuminhatch.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    Outcome,
)
from cuminhatch.services.dispatch._request import RequestRecord

_OUTCOME_RAN = Header(OUTCOME_HEADER, Outcome.RAN.encode())
_OUTCOME_NOT_RUN = Header(OUTCOME_HEADER, Outcome.NOT_RUN.encode())
_REASON_SHED = Header(REASON_HEADER, b"shed")


def build_ran_response(
    record: RequestRecord,
    message: AttemptResponse,
    headers: tuple[Header, ...],
    is_length_valid: bool,
) -> ResponseStarted:
    """
    Return the start of the answer of a request that has run.

    :param record: the request.
    :param message: the response of the backend server.
    :param headers: its headers that are to be forwarded.
    :param is_length_valid: False holds back a body of the wrong length.
    """
    head = message.head
    added = (_OUTCOME_RAN, Header(REQUEST_ID_HEADER, record.trace_id))
    return ResponseStarted(
        record.request_id,
        ResponseHead(head.status, head.phrase, headers + added),
        message.body_length,
        message.data if is_length_valid else b"",
        message.is_complete and is_length_valid,
    )


def build_shed_response(
    record: RequestRecord, message: AttemptResponse, headers: tuple[Header, ...]
) -> ResponseStarted:
    """
    Return the answer of a backend server that did not run the request.

    :param record: the request.
    :param message: the whole response of the backend server.
    :param headers: its headers that are to be forwarded.
    """
    head = message.head
    added = (_OUTCOME_NOT_RUN, _REASON_SHED, Header(REQUEST_ID_HEADER, record.trace_id))
    return ResponseStarted(
        record.request_id,
        ResponseHead(head.status, head.phrase, headers + added),
        message.body_length,
        message.data,
        True,
    )


def build_replayed_response(
    record: RequestRecord, answer: StoredAnswer
) -> ResponseStarted:
    """
    Return the answer of an earlier request of the same key.

    :param record: the request.
    :param answer: the answer as stored, with its body.
    """
    headers = tuple(Header(*pair) for pair in answer.headers)
    added = (_OUTCOME_RAN, Header(REQUEST_ID_HEADER, record.trace_id))
    return ResponseStarted(
        record.request_id,
        ResponseHead(answer.status, b"", headers + added),
        len(answer.body),
        answer.body,
        True,
    )
