"""
State of backend servers for the ``forwarding`` service and ``placement``.

A server is excluded, that is, gets no requests while others are available,
after failures, while it is unhealthy, or after it closed a new connection.
The ``dispatch`` service uses ``servers`` instead, which ejects failing servers
and tries them again by single requests.
"""

from collections.abc import Sequence
from math import inf
from typing import NamedTuple
from zlib import crc32

from cuminhatch.decisions.configuration import BackendServer

# Weight of one request in the failure rate: a server that fails half of its
# requests is detected after a few of them.
FAILURE_WEIGHT = 0.25
# A server with a high failure rate gets few requests that could lower the
# rate, so it also decays with time.
FAILURE_HALF_LIFE_MS = 3_000.0
# Failures in a row after which a server is excluded.
FAILURES_TO_EXCLUDE = 2
EXCLUSION_FIRST_MS = 500.0
EXCLUSION_MAX_MS = 4_000.0
# A server that has sent a response out of place may do so again. It may be
# faulty for several seconds, and few of its responses are out of place.
UNRELIABLE_MS = 30_000.0
# A full server that closed a new connection has capacity again about as soon
# as one of its requests ends.
FULL_EXCLUSION_MS = 150.0


class ServerLoad(NamedTuple):
    """
    Load reported by a backend server.

    ``slowdown`` is how many times longer than usual a request takes on its
    machine at that moment. ``observed_ms`` is a monotonic time of this
    process.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float
    observed_ms: float


class ServerRecord:
    """State of one backend server."""

    __slots__ = (
        "answer_asked_ms",
        "excluded_until_ms",
        "failure_rate",
        "failure_rate_at_ms",
        "failures",
        "in_flight",
        "is_evacuated",
        "is_near",
        "is_unhealthy",
        "load",
        "reserve_fraction",
        "sent_ms",
        "sent_since_load",
        "server",
        "unreliable_until_ms",
        "warm_at_ms",
    )

    def __init__(self, server: BackendServer, is_near: bool, now_ms: float) -> None:
        """
        Start without observations.

        :param server: the backend server.
        :param is_near: whether it is in this instance's failure domain.
        :param now_ms: current time.
        """
        self.server = server
        self.is_near = is_near
        # From 0 to 1 and the same at all instances, see placement.
        self.reserve_fraction = crc32(server.server_id.encode()) / 2**32
        # Its failure domain is evacuated, so it gets no new requests.
        self.is_evacuated = False
        self.warm_at_ms = now_ms + server.warmup_left_ms
        self.in_flight = 0
        self.load: ServerLoad | None = None
        # Requests of this instance that the last load report does not include.
        self.sent_since_load = 0
        self.is_unhealthy = False
        # When the health check was sent whose answer is the latest one, and
        # when the latest request was.
        self.answer_asked_ms = -inf
        self.sent_ms = -inf
        # Failures in a row.
        self.failures = 0
        # Moving average, as of failure_rate_at_ms.
        self.failure_rate = 0.0
        self.failure_rate_at_ms = 0.0
        self.excluded_until_ms = 0.0
        self.unreliable_until_ms = 0.0


def record_load(record: ServerRecord, load: ServerLoad) -> None:
    """
    Record a load report from a probe or a response.

    :param record: the backend server.
    :param load: the report; ignored if a newer one is known.
    """
    if record.load is None or load.observed_ms >= record.load.observed_ms:
        record.load = load
        record.sent_since_load = 0


def record_sent(record: ServerRecord, now_ms: float) -> None:
    """
    Count a request sent to a backend server.

    :param record: the backend server.
    :param now_ms: current time.
    """
    record.sent_ms = now_ms
    record.in_flight += 1
    record.sent_since_load += 1


def record_ended(record: ServerRecord) -> None:
    """
    Count the end of a request sent to a backend server.

    :param record: the backend server.
    """
    record.in_flight -= 1


def record_success(record: ServerRecord, now_ms: float) -> None:
    """
    Record a successful response; it ends an exclusion.

    :param record: the backend server.
    :param now_ms: current time.
    """
    rate = decayed_failure_rate(record, now_ms)
    record.failure_rate = rate * (1.0 - FAILURE_WEIGHT)
    record.failure_rate_at_ms = now_ms
    record.failures = 0
    record.excluded_until_ms = 0.0


def record_failure(record: ServerRecord, now_ms: float) -> None:
    """
    Record a failure of the server, and exclude it after several in a row.

    :param record: the backend server.
    :param now_ms: current time.
    """
    rate = decayed_failure_rate(record, now_ms)
    record.failure_rate = rate + (1.0 - rate) * FAILURE_WEIGHT
    record.failure_rate_at_ms = now_ms
    record.failures += 1
    excess = record.failures - FAILURES_TO_EXCLUDE
    if excess >= 0:
        duration_ms = min(EXCLUSION_FIRST_MS * 2.0**excess, EXCLUSION_MAX_MS)
        record.excluded_until_ms = now_ms + duration_ms


def record_unreachable(record: ServerRecord, now_ms: float) -> None:
    """
    Record a connection that could not be opened.

    A server that does not accept connections cannot run any request, so one
    such failure is enough to exclude it.

    :param record: the backend server.
    :param now_ms: current time.
    """
    record.failures = max(record.failures, FAILURES_TO_EXCLUDE - 1)
    record_failure(record, now_ms)


def record_rejected_connection(record: ServerRecord, now_ms: float) -> None:
    """
    Record a new connection that the server closed at once.

    The server is full, not broken. Many instances see this at the same
    moment; if each excluded the server as if it were broken, the remaining
    servers would be full next.

    :param record: the backend server.
    :param now_ms: current time.
    """
    until_ms = now_ms + FULL_EXCLUSION_MS
    record.excluded_until_ms = max(record.excluded_until_ms, until_ms)


def record_misplaced_response(record: ServerRecord, now_ms: float) -> None:
    """
    Record a response that does not belong to the request it follows.

    :param record: the backend server.
    :param now_ms: current time.
    """
    record.unreliable_until_ms = now_ms + UNRELIABLE_MS


def are_responses_reliable(record: ServerRecord, now_ms: float) -> bool:
    """
    Tell whether a server has sent no misplaced response lately.

    :param record: the backend server.
    :param now_ms: current time.
    """
    return now_ms >= record.unreliable_until_ms


def decayed_failure_rate(record: ServerRecord, now_ms: float) -> float:
    """
    Return the share of recent requests that failed.

    :param record: the backend server.
    :param now_ms: current time.
    :returns: a share from 0 to 1.
    """
    if record.failure_rate == 0.0:
        return 0.0
    age_ms = max(0.0, now_ms - record.failure_rate_at_ms)
    return record.failure_rate * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)


def prefer_listed(records: Sequence[ServerRecord]) -> list[ServerRecord]:
    """
    Return the servers that the store lists, or all if it lists none.

    :param records: servers of one service.
    """
    listed = [record for record in records if not record.server.is_unlisted]
    return listed or list(records)


def is_excluded(record: ServerRecord, now_ms: float) -> bool:
    """
    Tell whether a server gets no requests while others are available.

    :param record: the backend server.
    :param now_ms: current time.
    """
    return record.is_unhealthy or now_ms < record.excluded_until_ms
