"""Complete requests as the stand-ins handle them, and their responses."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote

import orjson

from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead
from cuminhatch.messages import ResponseStarted

JSON_TYPE = Header(b"content-type", b"application/json")


class CompleteRequest(NamedTuple):
    """
    A request whose body has been received completely.

    ``path`` excludes the query and is still percent-encoded. ``body`` is
    empty if the stand-in does not need the body for this path.
    """

    request_id: int
    method: str
    path: str
    query: Mapping[str, str]
    headers: tuple[Header, ...]
    body: bytes
    received_ms: float


def split_target(head: RequestHead) -> tuple[str, dict[str, str]]:
    """
    Return the percent-encoded path and the decoded query of a request.

    :param head: head of the request.
    """
    path, _, query = head.target.decode("latin-1").partition("?")
    return path, dict(parse_qsl(query, keep_blank_values=True))


def decode_path_suffix(request: CompleteRequest, prefix: str) -> str | None:
    """
    Return the percent-decoded part of a path after a prefix.

    :param request: request.
    :param prefix: prefix of the path, including its final slash.
    :returns: the suffix, or None if the prefix differs or nothing follows.
    """
    if not request.path.startswith(prefix):
        return None
    return unquote(request.path.removeprefix(prefix)) or None


def make_json_response(
    request: CompleteRequest,
    status: int,
    value: Any,
    headers: tuple[Header, ...] = (),
) -> ResponseStarted:
    """
    Build a complete response with a JSON body.

    :param request: request to respond to.
    :param status: HTTP status.
    :param value: JSON-serializable value.
    :param headers: additional headers.
    """
    body = orjson.dumps(value)
    return make_response(request, status, body, (JSON_TYPE, *headers))


def make_response(
    request: CompleteRequest,
    status: int,
    body: bytes,
    headers: tuple[Header, ...] = (),
) -> ResponseStarted:
    """
    Build a complete response.

    :param request: request to respond to.
    :param status: HTTP status.
    :param body: response body.
    :param headers: additional headers.
    """
    head = make_response_head(status, headers)
    return ResponseStarted(request.request_id, head, len(body), body, True)


def make_response_head(status: int, headers: tuple[Header, ...] = ()) -> ResponseHead:
    """
    Build a response head.

    :param status: HTTP status.
    :param headers: response headers.
    """
    return ResponseHead(status, HTTPStatus(status).phrase.encode(), headers)
