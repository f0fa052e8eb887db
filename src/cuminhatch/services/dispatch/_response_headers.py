"""Parsing of the response headers that dispatch acts on."""

from functools import lru_cache
from typing import NamedTuple

from cuminhatch.codecs.http1 import Header, ResponseHead
from cuminhatch.outcomes import (
    ATTEMPT_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
)

# Set by this instance; values from the backend server are dropped.
_OWN_HEADERS = frozenset({OUTCOME_HEADER, REASON_HEADER, REQUEST_ID_HEADER})
# Longest count accepted in a load report, in digits.
_COUNT_DIGITS_MAX = 9


class ParsedResponseHeaders(NamedTuple):
    """
    Values of the response headers that dispatch acts on.

    ``attempt_ids`` are the distinct ids of the attempts that the response
    claims to belong to: one, unless the server is faulty or repeats none.
    ``load`` is ``(in_flight, queued, slots)``, None if the report is missing
    or malformed. ``headers`` are those to forward to the caller.
    """

    attempt_ids: tuple[bytes, ...]
    is_shed: bool
    is_draining: bool
    load: tuple[int, int, int] | None
    headers: tuple[Header, ...]


def parse_response_headers(head: ResponseHead) -> ParsedResponseHeaders:
    """
    Parse the headers that dispatch acts on, in one pass.

    :param head: head of a response.
    """
    is_shed = is_draining = False
    load = None
    attempt_ids: dict[bytes, None] = {}
    kept = []
    for header in head.headers:
        name = header.name
        if name in _OWN_HEADERS:
            continue
        if name == ATTEMPT_HEADER:
            attempt_ids[header.value.strip()] = None
            continue
        kept.append(header)
        if name == b"load-report":
            load = parse_load_report(header.value)
        elif name == b"server-state":
            is_draining = header.value.strip().lower() == b"draining"
        elif name == b"request-outcome":
            # Only with status 503 does the header state that nothing ran.
            is_shed = head.status == 503 and header.value.strip() == b"not-run"
    return ParsedResponseHeaders(
        tuple(attempt_ids), is_shed, is_draining, load, tuple(kept)
    )


def read_attempt_ids(name: bytes, value: bytes) -> tuple[bytes, ...]:
    """
    Return the ids of attempts in a header of a response.

    :param name: name of the header in lower case.
    :param value: its value.
    """
    return (value.strip(),) if name == ATTEMPT_HEADER else ()


# Few distinct values occur, because the counts are small.
@lru_cache(maxsize=4096)
def parse_load_report(value: bytes) -> tuple[int, int, int] | None:
    """
    Parse a load report such as ``in_flight=2, queued=1, slots=3``.

    :param value: value of the header.
    :returns: the three counts, None if one is missing or not a number.
    """
    counts = {}
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if text.isdigit() and len(text) <= _COUNT_DIGITS_MAX:
            counts[name] = int(text)
    try:
        return counts[b"in_flight"], counts[b"queued"], counts[b"slots"]
    except KeyError:
        return None
