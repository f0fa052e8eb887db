"""
Whether the body of a response holds another response of its server.

A faulty server may write a response twice, or one of an earlier request behind
the one that is due. If the first one has no length and its connection stays
open, or stops before its length is reached, the second one arrives as a part
of its body. Used by the services ``dispatch`` and ``forwarding``.
"""

from collections.abc import Callable
from re import compile as compile_pattern
from typing import NamedTuple

LINE_END = b"\r\n"
# Start of a status line, wherever in the body it stands: the first response
# may have stopped in the middle of a line.
STATUS_LINE_START = b"HTTP/1."
STATUS_LINE = compile_pattern(rb"HTTP/1\.[01] [0-9][0-9][0-9](?: [\t\x20-\xff]*)?")
HEADER_LINE = compile_pattern(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\xff]*)")
# Longer lines count as body. Bounds what is kept between two parts.
STATUS_LINE_MAX_BYTES = 256
HEADER_LINE_MAX_BYTES = 4096

CONTENT_LENGTH = b"content-length"


class BodyPart(NamedTuple):
    """
    The next part of a body.

    ``has_trailing_data`` tells that more bytes have arrived behind the end of
    the body; ``trailing_data`` are the first of them, empty if unknown.
    """

    data: bytes
    is_complete: bool
    has_trailing_data: bool = False
    trailing_data: bytes = b""


# Takes the next part of a body and returns whether the body holds another
# response.
CopyFinder = Callable[[BodyPart], bool]


def make_copy_finder(
    expected_id: bytes,
    is_end_uncertain: bool,
    read_ids: Callable[[bytes, bytes], tuple[bytes, ...]],
    body_length: int | None = None,
) -> CopyFinder:
    """
    Return a function that finds another response in the body of a response.

    A status line counts only together with a header, of the lines directly
    behind it, that carries the id of the request itself: bodies may be about
    responses. If the end of the body proves nothing, the id of any request
    counts, and a head that is cut off by the end. The id of any request also
    counts if that response would end behind the body.

    :param expected_id: id that was sent with the request, may be empty.
    :param is_end_uncertain: whether the body has no length and ends with the
        connection, or more bytes have arrived behind its end.
    :param read_ids: returns the ids of requests in a header, which is given
        as its name in lower case and its value.
    :param body_length: declared length of the body in bytes, None for none.
    """
    # The start of a line that is not complete.
    rest = b""
    is_in_head = False
    # Bytes of the body before ``rest``.
    searched_bytes = 0
    # Whether a head in the body carries the id of any request.
    has_any_id = False
    # Of the head that is searched: that it carries the id of any request, and
    # the length of its body in bytes.
    is_head_with_id = False
    head_length = 0

    def names_request(line: bytes) -> bool | None:
        """Tell whether a header names the request, None for no header."""
        nonlocal has_any_id, is_head_with_id, head_length
        header = HEADER_LINE.fullmatch(line)
        if header is None:
            return None
        name, value = header[1].lower(), header[2].strip()
        if name == CONTENT_LENGTH and value.isdigit():
            head_length = int(value)
        ids = read_ids(name, value)
        if any(ids):
            has_any_id = is_head_with_id = True
        if is_end_uncertain:
            return any(ids)
        return bool(expected_id) and expected_id in ids

    def ends_behind_body(head_end: int) -> bool:
        """Tell whether the response whose head has ended is longer."""
        if body_length is None or not is_head_with_id:
            return False
        return searched_bytes + head_end + head_length > body_length

    def search(text: bytes) -> bool:
        """Search the body from ``rest`` on, and set ``rest`` anew."""
        nonlocal rest, is_in_head, is_head_with_id, head_length
        start = 0
        while True:
            if not is_in_head:
                start = text.find(STATUS_LINE_START, start)
                if start < 0:
                    rest = find_cut_start(text)
                    return False
                is_head_with_id, head_length = False, 0
            limit = HEADER_LINE_MAX_BYTES if is_in_head else STATUS_LINE_MAX_BYTES
            end = text.find(LINE_END, start, start + limit)
            if end < 0 and len(text) - start < limit:
                rest = text[start:]
                return False
            line = text[start:end] if end >= 0 else b""
            if not is_in_head:
                is_in_head = STATUS_LINE.fullmatch(line) is not None
                start = end + len(LINE_END) if is_in_head else start + 1
            elif end == start:
                # The end of a head that names no request that counts.
                if ends_behind_body(end + len(LINE_END)):
                    return True
                is_in_head = False
            else:
                names = names_request(line)
                if names:
                    return True
                # A line that is no header may hold the start of a head.
                is_in_head = names is not None
                start = end + len(LINE_END) if is_in_head else start

    def find_copy(part: BodyPart) -> bool:
        nonlocal is_end_uncertain, searched_bytes
        text = rest + part.data if rest else part.data
        is_end_uncertain = is_end_uncertain or part.has_trailing_data
        if search(text) or (is_end_uncertain and has_any_id):
            return True
        searched_bytes += len(text) - len(rest)
        if not part.is_complete:
            return False
        if is_in_head:
            return is_end_uncertain or bool(names_request(rest))
        return goes_on_behind_body(rest, part.trailing_data)

    return find_copy


def goes_on_behind_body(rest: bytes, trailing_data: bytes) -> bool:
    """
    Tell whether a status line begins in a body and goes on behind its end.

    :param rest: end of the body, which may be the beginning of a status line.
    :param trailing_data: bytes behind the body, empty if there are none.
    """
    if not trailing_data:
        return False
    text = rest + trailing_data
    for start in range(len(rest)):
        line, line_end, _ = text[start:].partition(LINE_END)
        if STATUS_LINE.fullmatch(line):
            return True
        if not line_end and STATUS_LINE_START.startswith(line):
            # Too little has arrived to tell.
            return True
    return False


def find_cut_start(text: bytes) -> bytes:
    """
    Return the end of a text that may be the beginning of a status line.

    :param text: text without a whole ``STATUS_LINE_START``.
    """
    start = text.rfind(STATUS_LINE_START[:1], -len(STATUS_LINE_START) + 1)
    if start >= 0 and STATUS_LINE_START.startswith(text[start:]):
        return text[start:]
    return b""
