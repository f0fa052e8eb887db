"""What the headers of a response tell about the backend server."""

from functools import lru_cache
from typing import NamedTuple

from cuminhatch.codecs.http1 import Header, ResponseHead
from cuminhatch.outcomes import OUTCOME_HEADER, REASON_HEADER, REQUEST_ID_HEADER

# Set by this hop; values of a further hop would contradict them.
_OWN_HEADERS = frozenset({OUTCOME_HEADER, REASON_HEADER, REQUEST_ID_HEADER})
# Longest number taken from a load report, in digits.
_COUNT_DIGITS_MAX = 9


class ParsedResponseHeaders(NamedTuple):
    """
    What a response tells besides its answer.

    ``load`` is ``(in_flight, queued, slots)``, None if there is no report or
    a malformed one. ``headers`` are those to forward.
    """

    is_shed: bool
    is_draining: bool
    load: tuple[int, int, int] | None
    headers: tuple[Header, ...]


def parse_response_headers(head: ResponseHead) -> ParsedResponseHeaders:
    """
    Read the headers that concern the gateway, in one pass.

    :param head: head of a response.
    """
    is_shed = is_draining = False
    load = None
    kept = []
    for header in head.headers:
        name = header.name
        if name in _OWN_HEADERS:
            continue
        kept.append(header)
        if name == b"load-report":
            load = parse_load_report(header.value)
        elif name == b"server-state":
            is_draining = header.value.strip().lower() == b"draining"
        elif name == b"request-outcome":
            # Only together with 503 does the answer say that nothing ran.
            is_shed = head.status == 503 and header.value.strip() == b"not-run"
    return ParsedResponseHeaders(is_shed, is_draining, load, tuple(kept))


# Reports repeat; small counts make up nearly all of them.
@lru_cache(maxsize=4096)
def parse_load_report(value: bytes) -> tuple[int, int, int] | None:
    """
    Parse ``in_flight=2, queued=1, slots=3``.

    :param value: value of the header.
    :returns: the three counts, None if one is missing or no number.
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
