"""
Messages between a listener and the service that answers its requests.

``request_id`` names a request of a caller within this process.
"""

from typing import NamedTuple

from cuminhatch.codecs.http1 import RequestHead, ResponseHead
from cuminhatch.outcomes import Outcome

# From the listener of callers to the service that answers requests.


class RequestReceived(NamedTuple):
    """
    The head of a request has arrived, with the body so far.

    ``body_length`` is in bytes, None for a chunked body.
    """

    request_id: int
    head: RequestHead
    body_length: int | None
    data: bytes
    is_complete: bool
    received_ms: float


class RequestBody(NamedTuple):
    """More of a request's body has arrived."""

    request_id: int
    data: bytes
    is_complete: bool


class CallerLeft(NamedTuple):
    """The caller's connection is gone; nobody waits for the answer."""

    request_id: int


class CallerStalled(NamedTuple):
    """The caller reads too slowly; its write buffer is above the bound."""

    request_id: int


class CallerResumed(NamedTuple):
    """The caller's write buffer has drained."""

    request_id: int


# From the service that answers requests to the listener of callers.


class ResponseStarted(NamedTuple):
    """
    The head of an answer is known, with the body so far.

    ``body_length`` is in bytes, None where it is not known beforehand.
    """

    request_id: int
    head: ResponseHead
    body_length: int | None
    data: bytes
    is_complete: bool


class ResponseBody(NamedTuple):
    """More of an answer's body is there."""

    request_id: int
    data: bytes
    is_complete: bool


class ResponseAborted(NamedTuple):
    """
    An answer broke off after its head.

    The caller's connection is closed, so that it cannot take the part for
    the whole.
    """

    request_id: int


class RequestRefused(NamedTuple):
    """
    A request is answered by cuminhatch itself.

    ``trace_id`` is the value of ``X-Request-Id``, empty to leave it out.
    ``retry_after_ms`` is when the caller may come back, None to leave it out.
    """

    request_id: int
    status: int
    outcome: Outcome
    reason: str
    trace_id: bytes = b""
    retry_after_ms: float | None = None


class RequestReadPaused(NamedTuple):
    """The receiver of a request's body cannot take more for now."""

    request_id: int


class RequestReadResumed(NamedTuple):
    """The receiver of a request's body can take more again."""

    request_id: int
