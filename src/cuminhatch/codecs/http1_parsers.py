"""
HTTP/1.1 parsers, built on ``httptools``.

They turn bytes into typed events. On malformed or ambiguous framing a parser
emits no further events and sets ``error`` to a :class:`FramingError`, so that
nothing after the error is forwarded.
"""

from typing import Any, NamedTuple

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
    HttpResponseParser,
)

from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead
from cuminhatch.errors import CodecError

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
# Framing bytes per chunk that don't count as chunk extensions: a chunk size of
# up to 16 hexadecimal digits and two CRLFs.
CHUNK_FRAMING_BYTES = 20
# Bytes behind a response that are kept. Enough for a status line.
TRAILING_DATA_MAX_BYTES = 512
# Reasons for which a response counts as failed.
INVALID_STATUS = "invalid status"
MALFORMED_RESPONSE = "malformed response"
HEAD_END = b"\r\n\r\n"
# Statuses of RFC 9110, section 15.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
HTTP_VERSIONS = frozenset({"1.0", "1.1"})

# Headers that are not forwarded: the hop-by-hop headers of RFC 9110, section
# 7.6.1, the proxy authentication headers, and Trailer, because trailers are
# dropped.
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
    """
    A message is malformed or unsupported.

    ``status`` is the HTTP status to report.
    """

    def __init__(self, status: int, reason: str) -> None:
        """
        Create the error.

        :param status: HTTP status to report.
        :param reason: short description, used as the error message.
        """
        super().__init__(reason)
        self._status = status

    @property
    def status(self) -> int:
        """Return the HTTP status to report."""
        return self._status


class InvalidStatusError(FramingError):
    """A response has a status that HTTP does not define."""


class HeadParsed(NamedTuple):
    """
    The head of a message is complete.

    ``head`` is a :class:`RequestHead` or a :class:`ResponseHead`.
    ``body_length`` is in bytes, None if it is not known in advance. For a
    response to HEAD it is the Content-Length, although no body follows.
    """

    head: Any
    body_length: int | None
    is_keep_alive: bool
    is_continue_expected: bool
    is_http_1_0: bool


class BodyParsed(NamedTuple):
    """A part of the body has arrived."""

    data: bytes


class MessageParsed(NamedTuple):
    """The message is complete."""


ParserEvent = HeadParsed | BodyParsed | MessageParsed


class _MessageParser:
    """State shared by the parsers of requests and responses."""

    def __init__(self) -> None:
        self._events: list[ParserEvent] = []
        self._headers: list[Header] = []
        self._is_in_head = True
        self._is_between_messages = True
        self._has_head_ended = False
        self._has_message_ended = False
        self._head_bytes = 0
        # Bytes fed after the head, and how many of them are body data or
        # regular chunk framing.
        self._bytes_after_head = 0
        self._expected_bytes_after_head = 0
        self._error: FramingError | None = None

    @property
    def error(self) -> FramingError | None:
        """Return the error that stopped the parser, None if there is none."""
        return self._error

    @property
    def is_between_messages(self) -> bool:
        """Tell whether the parser is not inside a message."""
        return self._is_between_messages

    def on_message_begin(self) -> None:
        self._headers = []
        self._is_in_head = True
        self._is_between_messages = False

    def on_header(self, name: bytes, value: bytes) -> None:
        # Also called for trailers, which are dropped.
        if not self._is_in_head:
            return
        if len(self._headers) >= MAX_HEADERS:
            self._fail(431, "too many headers")
        self._headers.append(Header(name.lower(), value))

    def on_chunk_header(self) -> None:
        self._expected_bytes_after_head += CHUNK_FRAMING_BYTES

    def on_body(self, data: bytes) -> None:
        self._expected_bytes_after_head += len(data)
        self._events.append(BodyParsed(data))

    def on_message_complete(self) -> None:
        self._is_between_messages = self._has_message_ended = True
        self._head_bytes = 0
        self._bytes_after_head = self._expected_bytes_after_head = 0
        self._events.append(MessageParsed())

    def _end_head(self, start_line_bytes: int) -> None:
        self._is_in_head = False
        self._has_head_ended = True
        # The size is approximate: start_line_bytes leaves out the HTTP version
        # and separators. Each header has 4 more bytes: colon, space and CRLF.
        size = start_line_bytes + sum(
            len(header.name) + len(header.value) + 4 for header in self._headers
        )
        if size > MAX_HEAD_BYTES:
            self._fail(431, "head too large")

    def _fail(self, status: int, reason: str) -> None:
        # Raising from a callback makes the parser stop at this byte.
        self._error = FramingError(status, reason)
        raise self._error

    def _get_values(self, name: bytes) -> list[bytes]:
        return [header.value.strip() for header in self._headers if header.name == name]

    def _get_body_length(self) -> int | None:
        lengths = self._get_values(b"content-length")
        return int(lengths[0]) if lengths else None

    def _get_end_to_end_headers(self) -> tuple[Header, ...]:
        dropped = {
            token.strip().lower()
            for value in self._get_values(b"connection")
            for token in value.split(b",")
        }
        # Host is needed for routing, so Connection can't remove it.
        dropped.discard(b"host")
        dropped.add(b"content-length")
        return tuple(
            header
            for header in self._headers
            if header.name not in HOP_BY_HOP and header.name not in dropped
        )

    def _feed(self, parser: Any, data: bytes) -> list[ParserEvent]:
        self._events = []
        if self._error is not None:
            return self._events
        self._has_head_ended = self._has_message_ended = False
        try:
            parser.feed_data(data)
        except HttpParserUpgrade:
            pass
        except HttpParserError:
            self._error = self._error or FramingError(400, "malformed message")
        if self._error is None:
            self._limit_overhead(len(data))
        # Events parsed before an error are returned as well: they describe
        # complete messages, or the start of the malformed message.
        return self._events

    def _limit_overhead(self, size: int) -> None:
        """
        Limit the bytes that the sender may send besides the body.

        ``httptools`` buffers an incomplete header, and it accepts chunk
        extensions, trailers and empty lines of any length.
        """
        if self._is_in_head and not self._is_between_messages:
            if not self._has_message_ended:
                self._head_bytes += size
            if self._head_bytes > MAX_HEAD_BYTES:
                self._error = FramingError(431, "head too large")
        elif self._has_head_ended or self._has_message_ended:
            # The data also held bytes of the head or of the previous message,
            # so counting starts with the next call.
            self._bytes_after_head = self._expected_bytes_after_head = 0
        else:
            self._bytes_after_head += size
            if (
                self._bytes_after_head - self._expected_bytes_after_head
                > MAX_HEAD_BYTES
            ):
                self._error = FramingError(
                    431, "chunk extensions or trailers too large"
                )


class RequestParser(_MessageParser):
    """Parser of the requests of a connection, pipelined ones included."""

    def __init__(self) -> None:
        """Create a parser for a new connection."""
        super().__init__()
        self._parser = HttpRequestParser(self)
        self._target = b""
        self._has_trailing_cr = False

    def feed(self, data: bytes) -> list[ParserEvent]:
        """
        Parse the next bytes.

        :param data: bytes as read from the connection.
        :returns: events parsed from the bytes; check ``error`` as well.
        """
        if self._is_between_messages and data.startswith(b"\n"):
            # httptools accepts line feeds before a request line.
            if not self._has_trailing_cr:
                self._error = self._error or FramingError(400, "bare line feed")
        self._has_trailing_cr = data.endswith(b"\r")
        return self._feed(self._parser, data)

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in parts."""
        self._target += url

    def on_headers_complete(self) -> None:
        """Validate the head and emit it."""
        method = self._parser.get_method()
        version = self._parser.get_http_version()
        is_http_1_0 = version == "1.0"
        is_upgrade = self._parser.should_upgrade()
        target, self._target = self._target, b""
        self._end_head(len(method) + len(target))
        hosts = self._get_values(b"host")
        encodings = self._get_values(b"transfer-encoding")
        if version not in HTTP_VERSIONS:
            self._fail(400, "HTTP version is not supported")
        if len(hosts) > 1 or (not hosts and not is_http_1_0):
            self._fail(400, "exactly one Host header is required")
        if method == b"CONNECT":
            self._fail(400, "CONNECT is not supported")
        if encodings and (is_http_1_0 or _has_unsupported_encoding(encodings)):
            self._fail(400, "transfer encoding is not supported")
        body_length = None if encodings else self._get_body_length() or 0
        if is_upgrade and body_length != 0:
            # httptools would take the body for data of the new protocol.
            self._fail(400, "upgrade with a body is not supported")
        expects = [value.lower() for value in self._get_values(b"expect")]
        self._events.append(
            HeadParsed(
                RequestHead(method, target, self._get_end_to_end_headers()),
                body_length,
                # Persistent connections are optional in HTTP/1.0 and need
                # Connection: keep-alive in the response, which is never sent.
                self._parser.should_keep_alive() and not is_upgrade and not is_http_1_0,
                b"100-continue" in expects and not is_http_1_0,
                is_http_1_0,
            )
        )


class ResponseParser(_MessageParser):
    """Parser of one response; each response needs a new parser."""

    def __init__(self, is_head_request: bool) -> None:
        """
        Create a parser for one response.

        :param is_head_request: whether the request was HEAD, so that the
            response has no body regardless of its headers.
        """
        super().__init__()
        self._parser = HttpResponseParser(self)
        self._phrase = b""
        self._is_head_request = is_head_request
        self._is_close_delimited = False
        self._has_length = False
        self._is_complete = False
        self._has_trailing_data = False
        self._trailing_data = b""

    @property
    def is_close_delimited(self) -> bool:
        """Tell whether the body ends when the connection is closed."""
        return self._is_close_delimited

    @property
    def has_trailing_data(self) -> bool:
        """
        Tell whether bytes followed the response.

        The response is still valid, but the connection can't be reused.
        """
        return self._has_trailing_data

    @property
    def trailing_data(self) -> bytes:
        """
        Return the first bytes that followed a body with a length.

        Only bytes of the read that completed the body are known. Empty for
        other bodies, whose end is a part of their framing.
        """
        return self._trailing_data

    def feed(self, data: bytes) -> list[ParserEvent]:
        """
        Parse the next bytes.

        :param data: bytes as read from the connection.
        :returns: events parsed from the bytes; check ``error`` as well.
        """
        if self._is_complete:
            self._has_trailing_data = True
            return []
        events = self._feed(self._parser, data)
        if self._is_complete and self._error is not None:
            self._error = None
            self._has_trailing_data = True
        if self._has_trailing_data and self._has_length:
            self._trailing_data = _find_trailing_data(data, events)
        return events

    def on_message_begin(self) -> None:
        """Start a response; a second response counts as trailing data."""
        if self._is_complete:
            self._has_trailing_data = True
        super().on_message_begin()

    def on_status(self, phrase: bytes) -> None:
        """Append to the reason phrase, which may arrive in parts."""
        self._phrase += phrase

    def on_chunk_header(self) -> None:
        """Count a chunk; a chunk after the end of the response is trailing."""
        if self._is_complete:
            self._has_trailing_data = True
        super().on_chunk_header()

    def on_body(self, data: bytes) -> None:
        """Emit body data; data after the end of the response is trailing."""
        if self._is_complete:
            self._has_trailing_data = True
            return
        if self._is_in_head:
            self._fail(502, "interim response with a body")
        super().on_body(data)

    def on_message_complete(self) -> None:
        """End the response; the end of an interim response is ignored."""
        if not self._is_complete and not self._is_in_head:
            self._is_complete = True
            super().on_message_complete()

    def on_headers_complete(self) -> None:
        """Validate the head and emit it; skip interim responses."""
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        phrase, self._phrase = self._phrase, b""
        if self._is_complete:
            self._fail(502, "bytes after the end of the response")
        if not MIN_STATUS <= status <= MAX_STATUS:
            self._error = InvalidStatusError(502, f"invalid status {status:03d}")
            raise self._error
        if version not in HTTP_VERSIONS:
            self._fail(502, "HTTP version is not supported")
        if status == 101:
            self._fail(502, "unexpected protocol upgrade")
        if status < MIN_FINAL_STATUS:
            self._check_interim_framing()
            return
        self._end_head(len(phrase))
        encodings = self._get_values(b"transfer-encoding")
        has_body = not self._is_head_request and status not in (204, 304)
        length = self._get_body_length()
        if not has_body:
            # For HEAD the Content-Length is reported, so that it is forwarded.
            length = length if self._is_head_request else 0
        elif encodings:
            if _has_unsupported_encoding(encodings):
                # Transfer-Encoding isn't forwarded, so the client could not
                # decode the body.
                self._fail(502, "transfer encoding is not supported")
            length = None
        else:
            self._has_length = length is not None
            self._is_close_delimited = length is None
        self._events.append(
            HeadParsed(
                ResponseHead(status, phrase, self._get_end_to_end_headers()),
                length,
                self._parser.should_keep_alive()
                and not self._is_close_delimited
                and not (encodings and version == "1.0"),
                False,
                version == "1.0",
            )
        )
        if not has_body:
            self._is_complete = True
            self._events.append(MessageParsed())

    def _check_interim_framing(self) -> None:
        """Refuse a body, which an interim response never has."""
        if self._get_values(b"transfer-encoding") or self._get_body_length():
            self._fail(502, "interim response with a body")


def describe_response_error(error: FramingError) -> str:
    """
    Return the reason for which a response counts as failed.

    :param error: error that stopped its parser.
    """
    if isinstance(error, InvalidStatusError):
        return INVALID_STATUS
    return MALFORMED_RESPONSE


def _find_trailing_data(data: bytes, events: list[ParserEvent]) -> bytes:
    """
    Return the first bytes behind a body with a length that has ended.

    :param data: bytes of the read that completed the body.
    :param events: what they were parsed to.
    """
    body = b"".join(event.data for event in events if isinstance(event, BodyParsed))
    if any(isinstance(event, HeadParsed) for event in events):
        # The end of a head that began in an earlier read may be missing.
        start = data.find(body, max(0, data.find(HEAD_END)))
    else:
        start = 0
    end = start + len(body)
    return data[end : end + TRAILING_DATA_MAX_BYTES]


def _has_unsupported_encoding(encodings: list[bytes]) -> bool:
    return [encoding.lower() for encoding in encodings] != [b"chunked"]
