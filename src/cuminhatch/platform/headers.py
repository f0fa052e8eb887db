"""Read and write the platform's HTTP headers."""

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

# Identifies a request as sent by the client, not one of our attempts to
# forward it; a retry by the client has another id.
ATTEMPT_ID = b"attempt-id"
# Despite its name a timeout in milliseconds, not a point in time.
REQUEST_DEADLINE = b"request-deadline"
# Set by a backend server on responses that it generates itself.
RESPONSE_SEAL = b"response-seal"
# Both hold the registration id of a backend server. Despite their names they
# never refer to an instance, that is to a machine that runs the daemon.
EXPECTED_INSTANCE = b"expected-instance"
INSTANCE_ID = b"instance-id"
NOT_EXECUTED = b"not-executed"
BACKEND_LOAD = b"backend-load"

STATUS_MISDIRECTED = 421
STATUS_OK = 200
USUAL_DURATION_PERCENT = 100.0
# Longer numbers are treated as malformed.
MAX_DIGITS = 9

# Set anew for each attempt, or meant only for this hop.
_NOT_FORWARDED = frozenset({REQUEST_DEADLINE, EXPECTED_INSTANCE, b"expect"})
_NOT_RETURNED = frozenset({BACKEND_LOAD, INSTANCE_ID, NOT_EXECUTED})


def read_request(head: RequestHead) -> CallerFacts:
    """
    Read the metadata of a client's request.

    :param head: head of the request.
    """
    request_id = b""
    budget_ms = None
    host = b""
    forwarded = []
    for header in head.headers:
        name, value = header
        if name == ATTEMPT_ID:
            request_id = value.strip()
        elif name == REQUEST_DEADLINE:
            budget_ms = _parse_number(value)
        elif name == b"host":
            host = value.strip()
        if name not in _NOT_FORWARDED:
            forwarded.append(header)
    name = host.partition(b":")[0].decode("latin-1").lower()
    return CallerFacts(request_id, budget_ms, name, tuple(forwarded))


def forward_request(
    head: RequestHead, facts: CallerFacts, forwarding: Forwarding
) -> RequestHead:
    """
    Return the request head for a backend server.

    :param head: head as received from the client.
    :param facts: metadata read from the head.
    :param forwarding: metadata of this attempt.
    """
    added = (
        Header(REQUEST_DEADLINE, b"%d" % max(1, int(forwarding.left_ms))),
        Header(EXPECTED_INSTANCE, forwarding.server_id.encode()),
    )
    return RequestHead(head.method, head.target, facts.headers + added)


def read_answer(head: ResponseHead) -> AnswerFacts:
    """
    Read the metadata of a backend server's response.

    :param head: head of the response.
    """
    request_id = b""
    is_vouched = is_not_run = False
    load = None
    forwarded = []
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
            forwarded.append(header)
    is_other_server = head.status == STATUS_MISDIRECTED
    return AnswerFacts(
        request_id,
        is_vouched,
        is_not_run or is_other_server,
        is_other_server,
        load,
        tuple(forwarded),
    )


def read_health(status: int, headers: tuple[Header, ...]) -> HealthFacts:
    """
    Read the metadata of a health check response.

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
    return HealthFacts(server_id, status == STATUS_OK, load)


# Every response has a load header, with few distinct values.
@lru_cache(maxsize=4096)
def parse_load(value: bytes) -> ReportedLoad | None:
    """
    Parse a load header.

    :param value: running requests, waiting requests, slots and the current
        request duration in percent of the usual one, such as ``3,0,8,100``.
        The duration is optional and defaults to 100.
    :returns: the load, None if the value is malformed.
    """
    numbers = [_parse_number(part) for part in value.split(b",")]
    if len(numbers) < 3 or None in numbers:
        return None
    running, waiting, slots = (int(number) for number in numbers[:3])
    percent = numbers[3] if len(numbers) > 3 else USUAL_DURATION_PERCENT
    return ReportedLoad(running, waiting, slots, percent / USUAL_DURATION_PERCENT)


def _parse_number(value: bytes) -> float | None:
    text = value.strip()
    if not text or len(text) > MAX_DIGITS:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < 10**MAX_DIGITS else None


DIALECT = Dialect(read_request, forward_request, read_answer, read_health)
