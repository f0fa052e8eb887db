"""HTTP/1.1 heads and chunks, and how they are encoded."""

from typing import NamedTuple


class Header(NamedTuple):
    """HTTP header; the name is in lower case."""

    name: bytes
    value: bytes


class RequestHead(NamedTuple):
    """Method, target and end-to-end headers of a request."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]


class ResponseHead(NamedTuple):
    """Status, reason phrase and end-to-end headers of a response."""

    status: int
    phrase: bytes
    headers: tuple[Header, ...]


def find_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """
    Return the value of the first header with the given name.

    :param headers: headers with names in lower case.
    :param name: name in lower case.
    :returns: the value, or None if there is no such header.
    """
    for header in headers:
        if header.name == name:
            return header.value
    return None


def _encode_headers(lines: list[bytes], headers: tuple[Header, ...]) -> None:
    for name, value in headers:
        lines.append(name + b": " + value)


def _encode_framing(lines: list[bytes], body_length: int | None) -> None:
    if body_length is None:
        lines.append(b"transfer-encoding: chunked")
    else:
        lines.append(b"content-length: %d" % body_length)


def encode_request_head(head: RequestHead, body_length: int | None) -> bytes:
    """
    Encode the head of a request.

    :param head: request line and end-to-end headers.
    :param body_length: body size in bytes, None to send it chunked.
    :returns: the head including the final empty line.
    """
    lines = [head.method + b" " + head.target + b" HTTP/1.1"]
    _encode_headers(lines, head.headers)
    if body_length != 0 or head.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        _encode_framing(lines, body_length)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def encode_response_head(
    head: ResponseHead,
    body_length: int | None,
    is_keep_alive: bool,
    is_chunked: bool,
) -> bytes:
    """
    Encode the head of a response.

    :param head: status line and end-to-end headers.
    :param body_length: body size in bytes, None if not known.
    :param is_keep_alive: False adds ``Connection: close``.
    :param is_chunked: whether a body of unknown length is sent chunked;
        otherwise it ends when the connection is closed.
    :returns: the head including the final empty line.
    """
    lines = [b"HTTP/1.1 %d %s" % (head.status, head.phrase)]
    _encode_headers(lines, head.headers)
    if head.status not in (204, 304) and (body_length is not None or is_chunked):
        _encode_framing(lines, body_length)
    if not is_keep_alive:
        lines.append(b"connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def encode_chunk(data: bytes) -> bytes:
    """
    Encode one chunk of a chunked body.

    :param data: content of the chunk.
    :returns: the chunk; empty for empty data, because an empty chunk would
        end the body.
    """
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"
