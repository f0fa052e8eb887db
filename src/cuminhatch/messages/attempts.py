"""
Messages between dispatch and the service of backend connections.

``attempt_id`` names one send of a request to one backend server.
"""

from typing import NamedTuple

from cuminhatch.codecs.http1 import RequestHead, ResponseHead
from cuminhatch.messages.address import Address

# Reason of an attempt that was not sent because this instance's share of
# connections to the backend server is in use.
CONNECTION_LIMIT = "connection limit"

# From dispatch to the service of backend connections.


class AttemptRequested(NamedTuple):
    """
    A request is to be sent to a backend server.

    ``timeout_ms`` bounds the wait for the response head and for each part
    of the body after it.
    """

    attempt_id: int
    server_id: str
    address: Address
    head: RequestHead
    body_length: int | None
    data: bytes
    is_complete: bool
    timeout_ms: float
    is_fresh_wanted: bool


class AttemptBodySent(NamedTuple):
    """More of the request's body is there to be sent."""

    attempt_id: int
    data: bytes
    is_complete: bool


class AttemptCancelled(NamedTuple):
    """Nobody waits for the response; its connection is to be closed."""

    attempt_id: int


class AttemptReadPaused(NamedTuple):
    """The response is read too fast for the caller."""

    attempt_id: int


class AttemptReadResumed(NamedTuple):
    """The caller can take more of the response."""

    attempt_id: int


# From the service of backend connections to dispatch.


class AttemptResponse(NamedTuple):
    """The head of a response has arrived, with the body so far."""

    attempt_id: int
    head: ResponseHead
    body_length: int | None
    data: bytes
    is_complete: bool


class AttemptBody(NamedTuple):
    """More of a response's body has arrived."""

    attempt_id: int
    data: bytes
    is_complete: bool


class AttemptFailed(NamedTuple):
    """
    A response will not come, or not to its end.

    ``is_sent`` is False only if no byte of the request has left; with the
    reason ``CONNECTION_LIMIT`` the request may wait or go to another server.
    ``is_reused`` tells that the connection had served other requests.
    """

    attempt_id: int
    reason: str
    is_sent: bool
    is_reused: bool


class AttemptStalled(NamedTuple):
    """The backend server reads the request's body too slowly."""

    attempt_id: int


class AttemptResumed(NamedTuple):
    """The write buffer towards the backend server has drained."""

    attempt_id: int
