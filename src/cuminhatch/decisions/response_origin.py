"""
Which request a response belongs to, and whether a refusal in it is true.

A faulty backend server may repeat an earlier response on a connection that is
in use again, at the point where the next response is expected. Used by the
services ``dispatch`` and ``forwarding``.
"""

from math import inf
from typing import NamedTuple


class ResponseEvidence(NamedTuple):
    """
    What is known about a response when its head has arrived.

    ``expected_id`` was sent with the request, ``response_ids`` are the
    distinct ids that the response carries. ``is_reused`` tells that the
    connection had served other requests. ``has_trailing_data`` tells that more
    bytes arrived behind the complete response.
    """

    expected_id: bytes
    response_ids: tuple[bytes, ...]
    is_reused: bool
    has_trailing_data: bool


def is_own_response(evidence: ResponseEvidence) -> bool:
    """
    Tell whether a response belongs to the request that waits for it.

    A response without an id counts only on a new connection, where it can't
    be the repetition of an earlier one.

    :param evidence: what is known about the response.
    """
    if evidence.response_ids:
        return evidence.response_ids == (evidence.expected_id,)
    return not evidence.is_reused


def is_refusal_proven(evidence: ResponseEvidence) -> bool:
    """
    Tell whether a refusal proves that the request was not run.

    A server that sends more bytes behind its refusal contradicts it: they may
    be the response to the same request.

    :param evidence: what is known about the response that refuses the request.
    """
    return is_own_response(evidence) and not evidence.has_trailing_data


def idle_limit_ms(
    request_id: bytes, is_idempotent: bool, is_server_attempted: bool, active_ms: float
) -> float:
    """
    Return how long a connection may have been idle to be used for a request.

    The server may be closing an idle connection at this moment, and a request
    that is lost on it may have run. On the connection of an earlier attempt a
    repeated response carries the id of the request.

    :param request_id: id that the server repeats in its response, may be
        empty.
    :param is_idempotent: whether the request may run more than once.
    :param is_server_attempted: whether the request was sent to this server
        before.
    :param active_ms: time for which a connection counts as in use after its
        latest response; 0 if the server's responses are not reliable.
    :returns: milliseconds, 0 if a new connection is required, ``inf`` for no
        limit.
    """
    if not request_id or is_server_attempted:
        return 0.0
    return inf if is_idempotent else active_ms
