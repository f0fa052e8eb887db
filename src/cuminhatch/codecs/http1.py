"""
HTTP/1.1 heads and bodies, parsed by ``httptools``.

The parsers turn bytes into typed events; the encoders turn heads into bytes.
Broken or ambiguous framing ends the events with a :class:`FramingError` in
``error``, so that nothing of it reaches the other side.
"""

from typing import Any, NamedTuple

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
    HttpResponseParser,
)

from cuminhatch.errors import CodecError

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100

# Headers that concern one connection only (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class FramingError(CodecError):
    """A message that must be refused, with the status that says why."""

    def __init__(self, status: int, reason: str) -> None:
        """
        Keep the status and the reason.

        :param status: HTTP status for the sender of the message.
        :param reason: short reason code.
        """
        super().__init__(reason)
        self._status = status

    @property
    def status(self) -> int:
        """Return the HTTP status for the sender."""
        return self._status


class Header(NamedTuple):
    """One header; the name is in lower case."""

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


class HeadParsed(NamedTuple):
    """
    The head of a message is complete.

    ``body_length`` is in bytes, None if it is not known beforehand.
    """

    head: Any
    body_length: int | None
    is_keep_alive: bool
    is_continue_expected: bool
    is_http_1_0: bool


class BodyParsed(NamedTuple):
    """A part of the body."""

    data: bytes


class MessageParsed(NamedTuple):
    """The message is complete."""


ParserEvent = HeadParsed | BodyParsed | MessageParsed


def find_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """
    Return the value of the first header of that name.

    :param headers: headers with names in lower case.
    :param name: name in lower case.
    :returns: the value, or None.
    """
    for header in headers:
        if header.name == name:
            return header.value
    return None


class _MessageParser:
    """State shared by the parsers of requests and responses."""

    def __init__(self) -> None:
        self._events: list[ParserEvent] = []
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._is_in_head = True
        self._error: FramingError | None = None

    def on_message_begin(self) -> None:
        self._headers = []
        self._is_in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers arrive here as well, after the head; they are dropped.
        if not self._is_in_head:
            return
        if len(self._headers) >= MAX_HEADERS:
            self._error = FramingError(431, "too many headers")
            return
        self._headers.append(Header(name.lower(), value))

    def on_body(self, data: bytes) -> None:
        self._events.append(BodyParsed(data))

    def on_message_complete(self) -> None:
        self._events.append(MessageParsed())
        self._head_bytes = 0

    def _body_length(self) -> int | None:
        length = find_header(tuple(self._headers), b"content-length")
        return int(length) if length is not None else None

    def _connection_tokens(self) -> set[bytes]:
        return {
            token.strip().lower()
            for header in self._headers
            if header.name == b"connection"
            for token in header.value.split(b",")
        }

    def _end_to_end_headers(self, tokens: set[bytes]) -> tuple[Header, ...]:
        return tuple(
            header
            for header in self._headers
            if header.name not in HOP_BY_HOP
            and header.name not in tokens
            and header.name != b"content-length"
        )

    @property
    def error(self) -> FramingError | None:
        """Return what was wrong with the bytes after the last event."""
        return self._error

    def _feed(self, parser: Any, data: bytes) -> list[ParserEvent]:
        self._events = []
        if self._error is not None:
            return self._events
        if self._is_in_head:
            # The parser keeps an unfinished header in memory, so the bytes
            # fed before the end of the head are bounded here.
            self._head_bytes += len(data)
        try:
            parser.feed_data(data)
        except HttpParserUpgrade:
            pass
        except HttpParserError:
            self._error = self._error or FramingError(400, "malformed message")
        if (
            self._error is None
            and self._is_in_head
            and self._head_bytes > MAX_HEAD_BYTES
        ):
            self._error = FramingError(431, "head too large")
        # Events before the fault belong to whole requests that were
        # pipelined; they are served.
        return self._events


class RequestParser(_MessageParser):
    """Parses the requests of one connection, pipelined ones included."""

    def __init__(self) -> None:
        """Start before the first request."""
        super().__init__()
        self._parser = HttpRequestParser(self)
        self._target = b""

    def feed(self, data: bytes) -> list[ParserEvent]:
        """
        Parse the next bytes.

        :param data: bytes as read from the connection.
        :returns: what they completed, in order; see ``error`` as well.
        """
        return self._feed(self._parser, data)

    def on_url(self, url: bytes) -> None:
        """Keep the target; it may come in parts."""
        self._target += url

    def on_headers_complete(self) -> None:
        """Check the head and pass it on."""
        method = self._parser.get_method()
        is_http_1_0 = self._parser.get_http_version() == "1.0"
        target, self._target = self._target, b""
        self._is_in_head = False
        if len(target) + sum(len(h.name) + len(h.value) for h in self._headers) > (
            MAX_HEAD_BYTES
        ):
            self._fail(431, "head too large")
            return
        tokens = self._connection_tokens()
        hosts = sum(1 for header in self._headers if header.name == b"host")
        encoding = find_header(tuple(self._headers), b"transfer-encoding")
        if hosts > 1 or (hosts == 0 and not is_http_1_0):
            self._fail(400, "exactly one Host header is needed")
        elif method == b"CONNECT":
            self._fail(400, "CONNECT is not served")
        elif encoding is not None and (
            is_http_1_0 or encoding.strip().lower() != b"chunked"
        ):
            self._fail(400, "transfer encoding is not supported")
        else:
            body_length = None if encoding is not None else self._body_length() or 0
            expect = find_header(tuple(self._headers), b"expect")
            self._events.append(
                HeadParsed(
                    RequestHead(method, target, self._end_to_end_headers(tokens)),
                    body_length,
                    self._parser.should_keep_alive()
                    and not self._parser.should_upgrade(),
                    expect is not None and expect.lower() == b"100-continue",
                    is_http_1_0,
                )
            )

    def _fail(self, status: int, reason: str) -> None:
        self._error = FramingError(status, reason)
        raise self._error


class ResponseParser(_MessageParser):
    """Parses one response; a new parser serves the next."""

    def __init__(self, is_head_request: bool) -> None:
        """
        Start before the response.

        :param is_head_request: the response has no body, whatever its
            headers say.
        """
        super().__init__()
        self._parser = HttpResponseParser(self)
        self._phrase = b""
        self._is_head_request = is_head_request
        self._is_until_close = False
        self._is_done = False

    @property
    def is_until_close(self) -> bool:
        """Tell whether the end of the connection ends the body."""
        return self._is_until_close

    def feed(self, data: bytes) -> list[ParserEvent]:
        """
        Parse the next bytes.

        :param data: bytes as read from the connection.
        :returns: what they completed, in order; see ``error`` as well.
        """
        if self._is_done:
            self._error = FramingError(502, "bytes after the end of the response")
        return self._feed(self._parser, data)

    def on_status(self, phrase: bytes) -> None:
        """Keep the reason phrase; it may come in parts."""
        self._phrase += phrase

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if self._is_done:
            self._error = FramingError(502, "bytes after the end of the response")
        else:
            super().on_body(data)

    def on_message_complete(self) -> None:
        """Note the end of the response; interim responses are dropped."""
        if not self._is_done and not self._is_in_head:
            self._is_done = True
            super().on_message_complete()

    def on_headers_complete(self) -> None:
        """Pass the head on, unless it belongs to an interim response."""
        status = self._parser.get_status_code()
        phrase, self._phrase = self._phrase, b""
        if self._is_done:
            self._error = FramingError(502, "bytes after the end of the response")
            raise self._error
        if status == 101:
            self._error = FramingError(502, "the connection was not to be upgraded")
            raise self._error
        if status < 200:
            return
        self._is_in_head = False
        tokens = self._connection_tokens()
        headers = tuple(self._headers)
        is_chunked = find_header(headers, b"transfer-encoding") is not None
        has_body = not self._is_head_request and status not in (204, 304)
        length = self._body_length()
        if not has_body:
            length = length if self._is_head_request else 0
        elif is_chunked:
            length = None
        elif length is None:
            self._is_until_close = True
        self._events.append(
            HeadParsed(
                ResponseHead(status, phrase, self._end_to_end_headers(tokens)),
                length,
                self._parser.should_keep_alive() and not self._is_until_close,
                False,
                self._parser.get_http_version() == "1.0",
            )
        )
        if not has_body and not self._is_done:
            self._is_done = True
            self._events.append(MessageParsed())


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

    :param head: end-to-end part of the head.
    :param body_length: bytes of the body, None to send it chunked.
    :returns: the head with its empty line.
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

    :param head: end-to-end part of the head.
    :param body_length: bytes of the body, None if not known.
    :param is_keep_alive: False adds ``Connection: close``.
    :param is_chunked: whether a body of unknown length is sent chunked;
        otherwise the end of the connection ends it.
    :returns: the head with its empty line.
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

    :param data: bytes of the chunk; none gives none, since an empty chunk
        would end the body.
    """
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"
