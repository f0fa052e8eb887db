"""Tests of the search for another response in the body of a response."""

import pytest

from cuminhatch.decisions.response_copies import (
    HEADER_LINE_MAX_BYTES,
    STATUS_LINE_MAX_BYTES,
    BodyPart,
    make_copy_finder,
)

OWN_HEAD = b"HTTP/1.1 200 OK\r\nX: y\r\nId: 7\r\nSeal: s\r\n\r\n"
OTHER_HEAD = OWN_HEAD.replace(b"7", b"6")


def read_ids(name, value):
    return (value,) if name == b"id" else ()


def has_copy(body, expected_id=b"7", is_end_uncertain=False, step=0):
    find_copy = make_copy_finder(expected_id, is_end_uncertain, read_ids)
    step = step or len(body) or 1
    parts = [body[at : at + step] for at in range(0, len(body), step)]
    found = [find_copy(BodyPart(part, False)) for part in parts]
    return any(found) or find_copy(BodyPart(b"", True))


@pytest.mark.parametrize("step", [0, 1, 2, 7, 16])
@pytest.mark.parametrize(
    "body",
    [
        OWN_HEAD + b"body",
        b"body" + OWN_HEAD + b"body",
        b"HTTP/1." + OWN_HEAD,
        b"HTTP/1.1 200 " + OWN_HEAD,
        b"HHTTP/1.1 200\r\nId: 7",
        b"HTTP/1.1 000 X\r\nId: 7",
        b"H" * 10 + OWN_HEAD[: OWN_HEAD.index(b"7") + 1],
        OTHER_HEAD + b"body" + OWN_HEAD,
        OTHER_HEAD[:-2] + OWN_HEAD,
        OTHER_HEAD[:-2] + b"cut" + OWN_HEAD,
        b"x" * 300_000 + OWN_HEAD,
    ],
)
def test_copy_that_names_the_request_is_found(body, step):
    """Guards against a body that holds a second response (MIXED)."""
    assert has_copy(body, step=step if len(body) < 10_000 else step * 1000)
    assert has_copy(body, is_end_uncertain=True)


@pytest.mark.parametrize("step", [0, 1, 7])
@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n\r\nId: 7\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nId: 7\r\n\r\n",
        b"HTTP/1.1 200 OK\nId: 7\n\n",
        b"see HTTP/1.1 200 OK, Id: 7",
        b"HTTP/1.1 2000 OK\r\nId: 7\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno header\r\nId: 7\r\n\r\n",
        b'{"id": "Id: 7"}',
        bytes(range(256)) * 20,
        b"HTTP/1." * 1000,
        b"\r\n" * 1000,
        b"HTTP/1.1 200 " + b"x" * STATUS_LINE_MAX_BYTES + b"\r\nId: 7\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: "
        + b"x" * HEADER_LINE_MAX_BYTES
        + b"\r\nno header\r\nId: 7\r\n\r\n",
    ],
)
def test_ordinary_bodies_are_no_copies(body, step):
    """Guards against whole responses that are rejected."""
    assert not has_copy(body, step=step)
    assert not has_copy(body, is_end_uncertain=True, step=step)


@pytest.mark.parametrize("body", [OTHER_HEAD, b"x" + OTHER_HEAD + b"y"])
def test_response_of_another_request_counts_only_behind_an_uncertain_end(body):
    """Guards against rejected bodies about responses, and missed copies."""
    assert not has_copy(body)
    assert has_copy(body, is_end_uncertain=True)


def test_copy_that_is_cut_off_counts_only_behind_an_uncertain_end():
    """Guards against a cut head at the end of a body."""
    first_line_end = OTHER_HEAD.index(b"\r\n") + 2
    for size in range(first_line_end, len(OTHER_HEAD) - 2):
        assert not has_copy(b"x" + OTHER_HEAD[:size])
        assert has_copy(b"x" + OTHER_HEAD[:size], is_end_uncertain=True)


def test_empty_id_names_no_request():
    """Guards against rejected responses to requests without an id."""
    assert not has_copy(OWN_HEAD.replace(b"7", b""), expected_id=b"")


def find_in_parts(finder, *parts):
    return [finder(part) for part in parts]


def make_other_response(size):
    """Return a response to another request with a body of this size."""
    length = b"Content-Length: %d\r\n" % size
    return OTHER_HEAD[:-2] + length + b"\r\n" + b"y" * size


@pytest.mark.parametrize("step", [0, 1, 7])
@pytest.mark.parametrize("missing_bytes", [1, 20])
def test_response_of_another_request_that_ends_behind_the_body(missing_bytes, step):
    """Guards against a body filled up with another caller's (MIXED)."""
    body = b"begin " + make_other_response(size=20)[:-missing_bytes]
    finder = make_copy_finder(b"7", False, read_ids, len(body))
    step = step or len(body)
    parts = [BodyPart(body[at : at + step], False) for at in range(0, len(body), step)]
    assert any(find_in_parts(finder, *parts))


@pytest.mark.parametrize("step", [0, 1, 7])
def test_response_of_another_request_that_ends_with_the_body(step):
    """Guards against rejected bodies about responses."""
    body = b"begin " + make_other_response(size=20)
    finder = make_copy_finder(b"7", False, read_ids, len(body))
    step = step or len(body)
    parts = [BodyPart(body[at : at + step], False) for at in range(0, len(body), step)]
    assert not any(find_in_parts(finder, *parts, BodyPart(b"", True)))


def test_response_of_another_request_counts_once_bytes_follow_the_body():
    """Guards against an end that proves nothing in a later part (MIXED)."""
    finder = make_copy_finder(b"7", False, read_ids)
    first, last = BodyPart(b"x" + OTHER_HEAD, False), BodyPart(b"y", True, True)
    assert find_in_parts(finder, first, last) == [False, True]


@pytest.mark.parametrize("size", range(1, len(b"HTTP/1.1 200 OK\r\n")))
def test_status_line_that_goes_on_behind_the_body(size):
    """Guards against the begin of a status line in a body (MIXED)."""
    body, behind = b"x" + OTHER_HEAD[:size], OTHER_HEAD[size:]
    finder = make_copy_finder(b"7", False, read_ids, len(body))
    assert finder(BodyPart(body, True, True, behind))


@pytest.mark.parametrize("body", [b"x", b"xH", b"x HTTP/1.", b"HTTP/1.1 2"])
def test_status_line_behind_the_body(body):
    """Guards against a whole body that is rejected for what follows it."""
    finder = make_copy_finder(b"7", False, read_ids, len(body))
    assert not finder(BodyPart(body, True, True, OTHER_HEAD))
