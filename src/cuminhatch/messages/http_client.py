"""
Messages between any service and ``http_client``.

``reply_to`` is the name of the service that gets the reply; ``token`` is
returned in the reply.
"""

from typing import NamedTuple

from cuminhatch.codecs.http1 import Header
from cuminhatch.messages.address import Address


class HttpRequested(NamedTuple):
    """
    A request is to be sent; its response is small enough to be buffered.

    ``timeout_ms`` limits the time until the response is complete.
    ``is_retryable`` allows a GET or HEAD to be resent when a reused
    connection breaks; the server may then receive it twice.
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
