"""Whole requests as the stand-ins see them, and their answers."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote

import orjson

from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead
from cuminhatch.messages import ResponseStarted

JSON_TYPE = Header(b"content-type", b"application/json")


class WholeRequest(NamedTuple):
    """
    A request whose body has arrived to its end.

    ``path`` is without the query and still has its escapes; ``body`` is
    empty where the stand-in does not need it.
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
    Return the path, with its escapes, and the query of a request.

    :param head: head of the request.
    """
    path, _, query = head.target.decode("latin-1").partition("?")
    return path, dict(parse_qsl(query, keep_blank_values=True))


def name_in_path(request: WholeRequest, prefix: str) -> str | None:
    """
    Return the unescaped rest of a path.

    :param request: request.
    :param prefix: start of the path, with the last slash.
    :returns: the rest, None if the path has another start or no rest.
    """
    if not request.path.startswith(prefix):
        return None
    return unquote(request.path.removeprefix(prefix)) or None


def json_answer(
    request: WholeRequest,
    status: int,
    value: Any,
    headers: tuple[Header, ...] = (),
) -> ResponseStarted:
    """
    Build a complete answer with a JSON body.

    :param request: request to answer.
    :param status: HTTP status.
    :param value: JSON-serializable value.
    :param headers: further headers.
    """
    body = orjson.dumps(value)
    return bytes_answer(request, status, body, (JSON_TYPE, *headers))


def bytes_answer(
    request: WholeRequest,
    status: int,
    body: bytes,
    headers: tuple[Header, ...] = (),
) -> ResponseStarted:
    """
    Build a complete answer.

    :param request: request to answer.
    :param status: HTTP status.
    :param body: body of the answer.
    :param headers: further headers.
    """
    head = response_head(status, headers)
    return ResponseStarted(request.request_id, head, len(body), body, True)


def response_head(status: int, headers: tuple[Header, ...] = ()) -> ResponseHead:
    """
    Build the head of an answer.

    :param status: HTTP status.
    :param headers: its headers.
    """
    return ResponseHead(status, HTTPStatus(status).phrase.encode(), headers)
