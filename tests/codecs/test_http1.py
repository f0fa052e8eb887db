"""Tests of the HTTP/1.1 parsers and encoders."""

import h11
import pytest

from cuminhatch.codecs.http1 import (
    LAST_CHUNK,
    Header,
    RequestHead,
    ResponseHead,
    encode_chunk,
    encode_request_head,
    encode_response_head,
)
from cuminhatch.codecs.http1_parsers import (
    BodyParsed,
    HeadParsed,
    InvalidStatusError,
    MessageParsed,
    RequestParser,
    ResponseParser,
)

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\n"
CHUNK_OF_TWO = b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
TWO = OK + b"Content-Length: 2\r\n\r\n"


def feed(parser, data, step):
    events = []
    for start in range(0, len(data), step or len(data)):
        events += parser.feed(data[start : start + (step or len(data))])
    return events


@pytest.mark.parametrize("step", [0, 1])
def test_connection_headers_and_trailers_are_dropped(step):
    """Guards against hop-by-hop headers and trailers that are forwarded."""
    parser = RequestParser()
    events = feed(
        parser,
        b"\r\nPOST /a HTTP/1.1\r\nHost: a\r\nKeep-Alive: 1\r\nTE: trailers\r\n"
        b"Connection: X-One, host\r\nConnection: x-two\r\nX-One: 1\r\nX-Two: 2\r\n"
        b"X-Three:  3 \r\nTrailer: x\r\nTransfer-Encoding: Chunked\r\n\r\n"
        b"1;a=b\r\nz\r\n0\r\nX: y\r\n\r\n",
        step,
    )
    head = RequestHead(b"POST", b"/a", ((b"host", b"a"), (b"x-three", b"3 ")))
    assert events[0] == HeadParsed(head, None, True, False, False)
    assert events[1:] == [BodyParsed(b"z"), MessageParsed()]
    assert parser.error is None
    assert parser.is_between_messages


@pytest.mark.parametrize("step", [0, 7, 4096])
def test_many_small_chunks_are_not_taken_for_extensions(step):
    """Guards against a framing limit that rejects bodies in small chunks."""
    parser = RequestParser()
    data = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    events = feed(parser, (data + encode_chunk(b"a") * 50_000 + LAST_CHUNK) * 2, step)
    assert parser.error is None
    assert sum(type(event) is BodyParsed for event in events) == 100_000
    assert type(events[-1]) is MessageParsed


@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize(
    ("data", "is_head_request", "body", "length", "is_keep_alive"),
    [
        (TWO + b"ab", False, b"ab", 2, True),
        (TWO, True, b"", 2, True),
        (CHUNKED, True, b"", None, True),
        (OK + b"Content-Length: 0\r\nConnection: close\r\n\r\n", False, b"", 0, False),
        (b"HTTP/1.1 204 No\r\n\r\n", False, b"", 0, True),
        (b"HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n", False, b"", 0, True),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", False, b"a", 1, False),
        (CHUNKED + b"2\r\nab\r\n0\r\nX: y\r\n\r\n", False, b"ab", None, True),
        (INTERIM + OK + b"Content-Length: 1\r\n\r\na", False, b"a", 1, True),
    ],
)
def test_response_is_parsed(data, is_head_request, body, length, is_keep_alive, step):
    """Guards against a wrong end of the response or wrong body data."""
    parser = ResponseParser(is_head_request)
    events = feed(parser, data, step)
    assert parser.error is None
    assert events[0].body_length == length
    assert events[0].is_keep_alive == is_keep_alive
    assert b"".join(event.data for event in events[1:-1]) == body
    assert events[-1] == MessageParsed()
    assert sum(type(event) is HeadParsed for event in events) == 1
    assert not parser.has_trailing_data


@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize(
    ("data", "is_head_request"),
    [
        (TWO + b"abcd", False),
        (TWO + b"ab" + OK, False),
        (TWO + b"ab" + OK + b"Content-Length: 0\r\n\r\n", False),
        (OK + b"Content-Length: 2\r\nConnection: close\r\n\r\nabcd", False),
        (TWO + b"ab", True),
        (CHUNKED + b"0\r\n\r\n", True),
        (b"HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\nab", False),
    ],
)
def test_response_with_trailing_data_is_still_valid(data, is_head_request, step):
    """Guards against a complete response that is discarded."""
    parser = ResponseParser(is_head_request)
    events = feed(parser, data, step)
    assert parser.error is None
    assert parser.has_trailing_data
    assert events[-1] == MessageParsed()
    assert sum(type(event) is MessageParsed for event in events) == 1


@pytest.mark.parametrize("is_head_request", [True, False])
@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize("interim", [b"", INTERIM])
@pytest.mark.parametrize("status", [b"000", b"007", b"099", b"600", b"999"])
def test_response_with_an_invalid_status_is_refused(
    status, interim, step, is_head_request
):
    """Guards against a body whose first bytes are not its own (MIXED)."""
    parser = ResponseParser(is_head_request)
    invalid = TWO.replace(b"200", status) + b"ab"
    assert feed(parser, interim + invalid + TWO + b"cd", step) == []
    assert isinstance(parser.error, InvalidStatusError)


@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize("framing", [b"Content-Length: 2\r\n\r\nab", CHUNK_OF_TWO])
@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"150", b"199"])
def test_interim_response_with_a_body_is_refused(status, framing, step):
    """Guards against a body that begins with that of another response."""
    parser = ResponseParser(is_head_request=False)
    interim = OK.replace(b"200", status) + framing
    assert feed(parser, interim + TWO + b"cd", step) == []
    assert parser.error is not None


@pytest.mark.parametrize("cut", range(len(TWO) + 2))
def test_bytes_behind_a_body_are_kept(cut):
    """Guards against bytes of a body among those behind it."""
    parser = ResponseParser(is_head_request=False)
    data = TWO + b"ab" + OK
    parser.feed(data[:cut])
    parser.feed(data[cut:])
    assert parser.trailing_data == OK


@pytest.mark.parametrize("first_line", [CHUNKED + b"0\r\n\r\n", OK + b"\r\nab"])
def test_bytes_behind_other_bodies_are_not_known(first_line):
    """Guards against chunk framing that counts as bytes behind a body."""
    parser = ResponseParser(is_head_request=False)
    parser.feed(first_line + OK)
    assert parser.trailing_data == b""


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        OK + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        OK + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        OK + b"Content-Length: -1\r\n\r\n",
        OK + b"Transfer-Encoding: gzip\r\n\r\nab",
        OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
        b"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 2000 OK\r\n\r\n",
        b"SSH-2.0-x\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 10_000,
        OK + b"X: " + b"a" * 100_000,
        CHUNKED + b"0\r\n" + b"X: y\r\n" * 100_000,
    ],
)
@pytest.mark.parametrize("step", [0, 1000])
def test_broken_response_is_refused(data, step):
    """Guards against response smuggling by ambiguous or broken framing."""
    parser = ResponseParser(False)
    if step == 0 and len(data) > 200_000:
        step = 64 * 1024
    events = feed(parser, data, step)
    assert parser.error is not None
    assert MessageParsed() not in events


@pytest.mark.parametrize("body", [b"", b"abc"])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_encoded_messages_are_understood_by_another_parser(body, is_chunked):
    """Guards against output that only the parsers of this module accept."""
    length = None if is_chunked else len(body)
    sent = encode_chunk(body) + LAST_CHUNK if is_chunked else body
    client, server = h11.Connection(h11.CLIENT), h11.Connection(h11.SERVER)
    head = RequestHead(b"POST", b"/a", (Header(b"host", b"a"),))
    server.receive_data(encode_request_head(head, length) + sent)
    assert bytes(server.next_event().target) == b"/a"
    assert read_body(server) == body
    client.send(h11.Request(method="POST", target="/a", headers=[("Host", "a")]))
    client.send(h11.EndOfMessage())
    head = ResponseHead(200, b"OK", (Header(b"x", b"y"),))
    client.receive_data(encode_response_head(head, length, True, is_chunked) + sent)
    assert client.next_event().status_code == 200
    assert read_body(client) == body


def read_body(connection):
    body = b""
    while type(event := connection.next_event()) is not h11.EndOfMessage:
        body += event.data
    return body
