"""Reports what has become of a request or a load probe to its sender."""

from collections.abc import Callable
from typing import Any, NamedTuple

from cuminhatch.codecs.http1 import ResponseHead
from cuminhatch.codecs.http1_parsers import HeadParsed
from cuminhatch.messages import (
    AttemptFailed,
    AttemptResponse,
    AttemptResponseBody,
    HttpFailed,
    HttpReplied,
)
from cuminhatch.messages.http_client import PROBE_RESPONSE_MAX_BYTES
from cuminhatch.messages.loads import ProbeRequested

Send = Callable[[str, Any], None]


class ResponsePart(NamedTuple):
    """
    What one read has brought of a response.

    ``parsed`` is the head if it has just arrived. ``is_reused``,
    ``has_trailing_data``, ``is_close_delimited`` and ``trailing_data`` are
    those of :class:`AttemptResponse`.
    """

    parsed: HeadParsed | None
    data: bytes
    is_complete: bool
    is_reused: bool
    has_trailing_data: bool
    is_close_delimited: bool
    trailing_data: bytes


class Reports(NamedTuple):
    """
    How the sender of a request hears of its response.

    ``on_part`` returns why the response is not acceptable, or an empty
    string. ``on_failed`` takes the arguments of :class:`AttemptFailed`
    without the id.
    """

    on_part: Callable[[ResponsePart], str]
    on_failed: Callable[[str, bool, bool], None]


def make_attempt_reports(send: Send, target: str, attempt_id: int) -> Reports:
    """
    Return reports that forward a response as it arrives.

    :param send: sends a message to a service.
    :param target: service that has requested the attempt.
    :param attempt_id: id of the attempt.
    """

    def on_part(part: ResponsePart) -> str:
        if part.parsed is not None:
            response = AttemptResponse(
                attempt_id,
                part.parsed.head,
                part.parsed.body_length,
                part.data,
                part.is_complete,
                part.is_reused,
                part.has_trailing_data,
                part.is_close_delimited,
                part.trailing_data,
            )
            send(target, response)
        elif part.data or part.is_complete:
            body = AttemptResponseBody(
                attempt_id,
                part.data,
                part.is_complete,
                part.has_trailing_data,
                part.trailing_data,
            )
            send(target, body)
        return ""

    def on_failed(reason: str, is_sent: bool, is_reused: bool) -> None:
        send(target, AttemptFailed(attempt_id, reason, is_sent, is_reused))

    return Reports(on_part, on_failed)


def make_probe_reports(send: Send, request: ProbeRequested) -> Reports:
    """
    Return reports that reply once the response to a load probe is complete.

    :param send: sends a message to a service.
    :param request: the request for the probe.
    """
    head: ResponseHead | None = None
    body_bytes = 0

    def on_part(part: ResponsePart) -> str:
        nonlocal head, body_bytes
        if part.parsed is not None:
            head = part.parsed.head
        body_bytes += len(part.data)
        if body_bytes > PROBE_RESPONSE_MAX_BYTES:
            return "response too large"
        if part.is_complete:
            reply = HttpReplied(request.token, head.status, head.headers, b"")
            send(request.reply_to, reply)
        return ""

    def on_failed(reason: str, is_sent: bool, is_reused: bool) -> None:
        send(request.reply_to, HttpFailed(request.token, reason, is_sent))

    return Reports(on_part, on_failed)
