"""Builds the responses that are sent to callers."""

from cuminhatch.codecs.http1 import Header, ResponseHead
from cuminhatch.decisions.claims import StoredResponse
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


def build_server_response(
    record: RequestRecord,
    message: AttemptResponse,
    headers: tuple[Header, ...],
    is_length_valid: bool,
) -> ResponseStarted:
    """
    Build the start of the response to a request that has run.

    :param record: the request.
    :param message: the response of the backend server.
    :param headers: its headers that are to be forwarded.
    :param is_length_valid: whether the body agrees with its declared length;
        if not, it is left out.
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
    Build the response to a request that the backend server has shed.

    :param record: the request.
    :param message: the complete response of the backend server.
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
    record: RequestRecord, answer: StoredResponse
) -> ResponseStarted:
    """
    Build the response to a keyed request whose key was used by one that ran.

    :param record: the request.
    :param answer: the stored response to the earlier request, with its body.
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
