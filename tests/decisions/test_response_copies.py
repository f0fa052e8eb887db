"""Tests of the search for another response in the body of a response."""

import pytest

from cuminhatch.decisions.response_copies import (
    HEADER_LINE_MAX_BYTES,
    STATUS_LINE_MAX_BYTES,
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
    found = [find_copy(part, False) for part in parts]
    return any(found) or find_copy(b"", True)


@pytest.mark.parametrize("step", [0, 1, 2, 7, 16])
@pytest.mark.parametrize(
    "body",
    [
        OWN_HEAD + b"body",
        b"body" + OWN_HEAD + b"body",
        b"HTTP/1." + OWN_HEAD,
        b"HTTP/1.1 200 " + OWN_HEAD,
        b"HHTTP/1.1 200\r\nId: 7",
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
