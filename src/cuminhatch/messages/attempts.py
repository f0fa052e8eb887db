"""
Messages between the service that handles requests and ``backends``.

The service that handles requests is ``dispatch`` in a daemon and
``forwarding`` in a gateway; ``backends`` owns the connections to backend
servers. ``attempt_id`` identifies one attempt: a request sent once to one
backend server.
"""

from math import inf
from typing import NamedTuple

from cuminhatch.codecs.http1 import RequestHead, ResponseHead
from cuminhatch.decisions.response_copies import BodyPart
from cuminhatch.messages.address import Address

# Failure reason of an attempt that was not sent because this instance's share
# of connections to the backend server is in use.
CONNECTION_LIMIT = "connection limit"
# Failure reason of an attempt that was withdrawn before a byte was sent.
ATTEMPT_WITHDRAWN = "withdrawn"

# Failure reason of an attempt that was not sent because the failure domain of
# its server has been evacuated since.
SERVER_EVACUATED = "server evacuated"

# To ``backends``.


class AttemptRequested(NamedTuple):
    """
    A request is to be sent to a backend server.

    ``body_length`` is in bytes, None for a chunked body; ``data`` is the body
    received so far. ``timeout_ms`` limits the wait for the response head and
    for each further part of its body. ``is_new_connection_required`` requires
    a new connection; ``idle_max_ms`` is how long another one may have been
    idle.
    """

    attempt_id: int
    server_id: str
    address: Address
    head: RequestHead
    body_length: int | None
    data: bytes
    is_complete: bool
    timeout_ms: float
    is_new_connection_required: bool
    idle_max_ms: float = inf


class AttemptRequestBody(NamedTuple):
    """Another part of the request body is to be sent."""

    attempt_id: int
    data: bytes
    is_complete: bool


class AttemptCancelled(NamedTuple):
    """
    The response is no longer needed; its connection is to be closed.

    That holds for a complete response, too, as long as no other attempt uses
    the connection.
    """

    attempt_id: int


class UnsentAttemptWithdrawn(NamedTuple):
    """
    The request may no longer be sent.

    The attempt fails if no byte was sent, as its connection is still being
    opened; otherwise it goes on.
    """

    attempt_id: int


class AttemptReadPaused(NamedTuple):
    """The caller is too slow; reading the response is to be paused."""

    attempt_id: int


class AttemptReadResumed(NamedTuple):
    """The caller has caught up; reading the response is to be resumed."""

    attempt_id: int


# From ``backends``.


class AttemptResponse(NamedTuple):
    """
    The response head has arrived, with the body received so far.

    ``is_reused`` is True if the connection had served other requests, so that
    the response may be a repetition of an earlier one. ``has_trailing_data``
    is True if more bytes arrived behind the complete response.
    ``is_close_delimited`` is True if the body has no length and ends with the
    connection. ``trailing_data`` are the first bytes behind a body with a
    length, as far as they are known.
    """

    attempt_id: int
    head: ResponseHead
    body_length: int | None
    data: bytes
    is_complete: bool
    is_reused: bool
    has_trailing_data: bool
    is_close_delimited: bool = False
    trailing_data: bytes = b""


class AttemptResponseBody(NamedTuple):
    """
    Another part of the response body has arrived.

    ``has_trailing_data`` and ``trailing_data`` are those of
    :class:`AttemptResponse`.
    """

    attempt_id: int
    data: bytes
    is_complete: bool
    has_trailing_data: bool = False
    trailing_data: bytes = b""


def get_body_part(message: AttemptResponse | AttemptResponseBody) -> BodyPart:
    """Return the part of a response body that a message brings."""
    return BodyPart(
        message.data,
        message.is_complete,
        message.has_trailing_data,
        message.trailing_data,
    )


class AttemptFailed(NamedTuple):
    """
    There will be no response, or no complete one.

    ``is_sent`` is False only if no byte of the request was sent. With the
    reason ``CONNECTION_LIMIT`` the request may wait or go to another server.
    ``is_reused`` is True if the connection had served other requests.
    """

    attempt_id: int
    reason: str
    is_sent: bool
    is_reused: bool


class AttemptWriteStalled(NamedTuple):
    """The write buffer towards the backend server is above its limit."""

    attempt_id: int


class AttemptWriteResumed(NamedTuple):
    """The write buffer towards the backend server has drained."""

    attempt_id: int
