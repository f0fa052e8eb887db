"""
Whether the body of a response holds another response of its server.

A faulty server may write a response twice. If the first one has no length and
its connection stays open, or stops before its length is reached, the second
one arrives as a part of its body. Used by the services ``dispatch`` and
``forwarding``.
"""

from collections.abc import Callable
from re import compile as compile_pattern

LINE_END = b"\r\n"
# Start of a status line, wherever in the body it stands: the first response
# may have stopped in the middle of a line.
STATUS_LINE_START = b"HTTP/1."
STATUS_LINE = compile_pattern(rb"HTTP/1\.[01] [1-5][0-9][0-9](?: [\t\x20-\xff]*)?")
HEADER_LINE = compile_pattern(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\xff]*)")
# Longer lines count as body. Bounds what is kept between two parts.
STATUS_LINE_MAX_BYTES = 256
HEADER_LINE_MAX_BYTES = 4096

# Takes the next part of a body and whether it is the last one, and returns
# whether the body holds another response.
CopyFinder = Callable[[bytes, bool], bool]


def make_copy_finder(
    expected_id: bytes,
    is_end_uncertain: bool,
    read_ids: Callable[[bytes, bytes], tuple[bytes, ...]],
) -> CopyFinder:
    """
    Return a function that finds another response in the body of a response.

    A status line counts only together with a header, of the lines directly
    behind it, that carries the id of the request itself: bodies may be about
    responses. If the end of the body proves nothing, the id of any request
    counts, and a head that is cut off by the end.

    :param expected_id: id that was sent with the request, may be empty.
    :param is_end_uncertain: whether the body has no length and ends with the
        connection, or more bytes have arrived behind its end.
    :param read_ids: returns the ids of requests in a header, which is given
        as its name in lower case and its value.
    """
    # The start of a line that is not complete.
    rest = b""
    is_in_head = False

    def names_request(line: bytes) -> bool | None:
        """Tell whether a header names the request, None for no header."""
        header = HEADER_LINE.fullmatch(line)
        if header is None:
            return None
        ids = read_ids(header[1].lower(), header[2].strip())
        if is_end_uncertain:
            return any(ids)
        return bool(expected_id) and expected_id in ids

    def find_copy(data: bytes, is_complete: bool) -> bool:
        nonlocal rest, is_in_head
        text = rest + data if rest else data
        start = 0
        while True:
            if not is_in_head:
                start = text.find(STATUS_LINE_START, start)
                if start < 0:
                    rest = find_cut_start(text)
                    return False
            limit = HEADER_LINE_MAX_BYTES if is_in_head else STATUS_LINE_MAX_BYTES
            end = text.find(LINE_END, start, start + limit)
            if end < 0 and len(text) - start < limit:
                rest = text[start:]
                break
            line = text[start:end] if end >= 0 else b""
            if not is_in_head:
                is_in_head = STATUS_LINE.fullmatch(line) is not None
                start = end + len(LINE_END) if is_in_head else start + 1
            elif end == start:
                # The end of a head that names no request that counts.
                is_in_head = False
            else:
                names = names_request(line)
                if names:
                    return True
                # A line that is no header may hold the start of a head.
                is_in_head = names is not None
                start = end + len(LINE_END) if is_in_head else start
        if not is_complete or not is_in_head:
            return False
        return is_end_uncertain or bool(names_request(rest))

    return find_copy


def find_cut_start(text: bytes) -> bytes:
    """
    Return the end of a text that may be the beginning of a status line.

    :param text: text without a whole ``STATUS_LINE_START``.
    """
    start = text.rfind(STATUS_LINE_START[:1], -len(STATUS_LINE_START) + 1)
    if start >= 0 and STATUS_LINE_START.startswith(text[start:]):
        return text[start:]
    return b""
