"""
Messages between any service and ``http_client``.

``reply_to`` names the service that gets the reply; ``token`` is its own and
comes back in the reply.
"""

from typing import NamedTuple

from cuminhatch.codecs.http1 import Header
from cuminhatch.messages.address import Address


class HttpRequested(NamedTuple):
    """
    A request with a small response is to be sent.

    ``timeout_ms`` bounds the time from now to the end of the response.
    ``is_repeatable`` lets a GET or HEAD be sent again when a reused connection
    breaks; the server may then see it twice.
    """

    reply_to: str
    token: int
    address: Address
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    timeout_ms: float
    is_repeatable: bool = True


class HttpReplied(NamedTuple):
    """A whole response has arrived."""

    token: int
    status: int
    headers: tuple[Header, ...]
    body: bytes


class HttpFailed(NamedTuple):
    """
    No whole response will come.

    ``is_sent`` is False only if no byte of the request has left.
    """

    token: int
    reason: str
    is_sent: bool
