"""
Messages between a listener and the service that handles its requests.

``request_id`` identifies a request at its listener within this process.
"""

from typing import NamedTuple

from cuminhatch.codecs.http1 import RequestHead, ResponseHead
from cuminhatch.outcomes import Outcome

# From the listener to the service that handles requests.


class RequestReceived(NamedTuple):
    """
    A request head has arrived, with the body received so far.

    ``body_length`` is in bytes, None for a chunked body.
    """

    request_id: int
    head: RequestHead
    body_length: int | None
    data: bytes
    is_complete: bool
    received_ms: float


class RequestBody(NamedTuple):
    """Another part of the request body has arrived."""

    request_id: int
    data: bytes
    is_complete: bool


class CallerDisconnected(NamedTuple):
    """The caller's connection is closed; no response is needed."""

    request_id: int


class CallerStalled(NamedTuple):
    """The caller reads too slowly; its write buffer is above the limit."""

    request_id: int


class CallerResumed(NamedTuple):
    """The caller's write buffer has drained."""

    request_id: int


class PipeliningRequested(NamedTuple):
    """
    The caller has sent another request behind this one.

    It waits for :class:`PipeliningAllowed` or the end of the response.
    """

    request_id: int


# From the service that handles requests to the listener.


class PipeliningAllowed(NamedTuple):
    """
    The next request of the connection may be forwarded before the response.

    Not sent if the response may be streamed. The responses behind it would
    have to wait for its end, for longer than a planned stop takes.
    """

    request_id: int


class ResponseStarted(NamedTuple):
    """
    A response starts, with the body available so far.

    ``body_length`` is in bytes, None if it is not known in advance.
    """

    request_id: int
    head: ResponseHead
    body_length: int | None
    data: bytes
    is_complete: bool


class ResponseBody(NamedTuple):
    """Another part of the response body is available."""

    request_id: int
    data: bytes
    is_complete: bool


class ResponseAborted(NamedTuple):
    """
    A response failed after its head was sent.

    The caller's connection is closed, so that it cannot mistake the partial
    response for a complete one.
    """

    request_id: int


class RequestRefused(NamedTuple):
    """
    cuminhatch itself responds to a request, with an error status.

    ``trace_id`` is the value of ``X-Request-Id``, empty to omit the header;
    ``request_id`` is the number of the request at its listener.
    ``retry_after_ms`` is the delay for ``Retry-After``, None to omit it.
    """

    request_id: int
    status: int
    outcome: Outcome
    reason: str
    trace_id: bytes = b""
    retry_after_ms: float | None = None


class RequestReadPaused(NamedTuple):
    """Reading the request body is to be paused; its receiver is too slow."""

    request_id: int


class RequestReadResumed(NamedTuple):
    """Reading the request body is to be resumed."""

    request_id: int
