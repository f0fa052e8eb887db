"""
Messages between any service and ``http_client``.

``reply_to`` is the name of the service that gets the reply; ``token`` is
returned in the reply.
"""

from typing import NamedTuple

from cuminhatch.codecs.http1 import Header
from cuminhatch.messages.address import Address

# Response limit of health checks and load probes: they hold some headers and
# counts, and many of them are in flight at a time.
PROBE_RESPONSE_MAX_BYTES = 64 * 1024


class HttpRequested(NamedTuple):
    """
    A request is to be sent; its response is small enough to be buffered.

    ``timeout_ms`` limits the time until the response is complete.
    ``is_retryable`` allows a GET or HEAD to be resent when a reused
    connection breaks; the server may then receive it twice.
    ``response_max_bytes`` limits the response body, None for the limit of the
    client.
    """

    reply_to: str
    token: int
    address: Address
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    timeout_ms: float
    is_retryable: bool = True
    response_max_bytes: int | None = None


class HttpReplied(NamedTuple):
    """A complete response has arrived."""

    token: int
    status: int
    headers: tuple[Header, ...]
    body: bytes


class HttpFailed(NamedTuple):
    """
    There will be no complete response.

    ``is_sent`` is False only if no byte of the request was sent.
    """

    token: int
    reason: str
    is_sent: bool
