"""The platform's HTTP headers."""

from functools import lru_cache

from cuminhatch.codecs.dialect import (
    AnswerFacts,
    CallerFacts,
    Dialect,
    Forwarding,
    HealthFacts,
    ReportedLoad,
)
from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead

# Names one attempt of a client, which repeats with another one.
ATTEMPT_ID = b"attempt-id"
# Milliseconds that the sender will wait, not a point in time.
REQUEST_DEADLINE = b"request-deadline"
RESPONSE_SEAL = b"response-seal"
# The backend server's registration id; instances of the product never appear
# on the wire.
EXPECTED_INSTANCE = b"expected-instance"
INSTANCE_ID = b"instance-id"
NOT_EXECUTED = b"not-executed"
BACKEND_LOAD = b"backend-load"

MISDIRECTED = 421
HEALTHY = 200
USUAL_PERCENT = 100.0
DIGITS_MAX = 9

# Written anew for each send, or meant for this hop.
_NOT_FORWARDED = frozenset({REQUEST_DEADLINE, EXPECTED_INSTANCE, b"expect"})
_NOT_RETURNED = frozenset({BACKEND_LOAD, INSTANCE_ID, NOT_EXECUTED})


def read_request(head: RequestHead) -> CallerFacts:
    """
    Read the headers of a client's request.

    :param head: head of the request.
    """
    request_id = b""
    budget_ms = None
    host = b""
    kept = []
    for header in head.headers:
        name, value = header
        if name == ATTEMPT_ID:
            request_id = value.strip()
        elif name == REQUEST_DEADLINE:
            budget_ms = _number(value)
        elif name == b"host":
            host = value.strip()
        if name not in _NOT_FORWARDED:
            kept.append(header)
    name = host.partition(b":")[0].decode("latin-1").lower()
    return CallerFacts(request_id, budget_ms, name, tuple(kept))


def forward_request(
    head: RequestHead, facts: CallerFacts, forwarding: Forwarding
) -> RequestHead:
    """
    Return the head for a backend server.

    :param head: head as the client sent it.
    :param facts: what was read from it.
    :param forwarding: what this send adds.
    """
    added = (
        Header(REQUEST_DEADLINE, b"%d" % max(1, int(forwarding.left_ms))),
        Header(EXPECTED_INSTANCE, forwarding.server_id.encode()),
    )
    return RequestHead(head.method, head.target, facts.headers + added)


def read_answer(head: ResponseHead) -> AnswerFacts:
    """
    Read the headers of a backend server's response.

    :param head: head of the response.
    """
    request_id = b""
    is_vouched = is_not_run = False
    load = None
    kept = []
    for header in head.headers:
        name, value = header
        if name == ATTEMPT_ID:
            request_id = value.strip()
        elif name == RESPONSE_SEAL:
            is_vouched = True
        elif name == NOT_EXECUTED:
            is_not_run = True
        elif name == BACKEND_LOAD:
            load = parse_load(value)
        if name not in _NOT_RETURNED:
            kept.append(header)
    is_other_server = head.status == MISDIRECTED
    return AnswerFacts(
        request_id,
        is_vouched,
        is_not_run or is_other_server,
        is_other_server,
        load,
        tuple(kept),
    )


def read_health(status: int, headers: tuple[Header, ...]) -> HealthFacts:
    """
    Read the answer of a health check.

    :param status: HTTP status.
    :param headers: headers of the response.
    """
    server_id = ""
    load = None
    for name, value in headers:
        if name == INSTANCE_ID:
            server_id = value.strip().decode("latin-1")
        elif name == BACKEND_LOAD:
            load = parse_load(value)
    return HealthFacts(server_id, status == HEALTHY, load)


# Few combinations of counts occur, and every answer has one.
@lru_cache(maxsize=4096)
def parse_load(value: bytes) -> ReportedLoad | None:
    """
    Parse running, waiting, slots and the machine's present work time.

    :param value: value of the header, such as ``3,0,8,100``.
    :returns: None if it is malformed. Without a fourth figure work is taken
        to last as usual.
    """
    figures = [_number(part) for part in value.split(b",")]
    if len(figures) < 3 or None in figures:
        return None
    running, waiting, slots = (int(figure) for figure in figures[:3])
    percent = figures[3] if len(figures) > 3 else USUAL_PERCENT
    return ReportedLoad(running, waiting, slots, percent / USUAL_PERCENT)


def _number(value: bytes) -> float | None:
    text = value.strip()
    if not text or len(text) > DIGITS_MAX:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < 10**DIGITS_MAX else None


DIALECT = Dialect(read_request, forward_request, read_answer, read_health)
