"""What one instance believes of each backend server, and how it learns it."""

from typing import NamedTuple

from cuminhatch.decisions.configuration import BackendServer

# Weight of one request in the share of failed requests. A server that fails
# half of its requests shows after a few of them.
FAILURE_WEIGHT = 0.25
# A distrusted server gets few requests that could prove it sound, so the
# share also falls with time.
FAILURE_HALF_LIFE_MS = 3_000.0
# Failures in a row after which a server is left out.
FAILURES_TO_LEAVE_OUT = 2
LEFT_OUT_FIRST_MS = 500.0
LEFT_OUT_MAX_MS = 4_000.0
# A server that has turned a connection away has room again about as soon as
# one of its requests ends.
TURNED_AWAY_MS = 150.0


class ServerLoad(NamedTuple):
    """
    Load of a backend server as it tells it.

    ``slowdown`` is how many times as long as usual work takes on its machine
    at that moment. ``observed_ms`` is monotonic time of this process.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float
    observed_ms: float


class ServerRecord:
    """State of one backend server."""

    __slots__ = (
        "failed_ms",
        "failed_share",
        "failures",
        "in_flight",
        "is_near",
        "is_unhealthy",
        "left_out_until_ms",
        "load",
        "sent_since_load",
        "server",
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
        self.warm_at_ms = now_ms + server.warmup_left_ms
        self.in_flight = 0
        self.load: ServerLoad | None = None
        # Own sends that the last report cannot contain.
        self.sent_since_load = 0
        self.is_unhealthy = False
        self.failures = 0
        self.failed_share = 0.0
        self.failed_ms = 0.0
        self.left_out_until_ms = 0.0


def note_load(record: ServerRecord, load: ServerLoad) -> None:
    """
    Take a report of a probe or of an answer.

    :param record: the backend server.
    :param load: the report; one older than the known one is ignored.
    """
    if record.load is None or load.observed_ms >= record.load.observed_ms:
        record.load = load
        record.sent_since_load = 0


def note_sent(record: ServerRecord) -> None:
    """
    Count a request sent to a backend server.

    :param record: the backend server.
    """
    record.in_flight += 1
    record.sent_since_load += 1


def note_ended(record: ServerRecord) -> None:
    """
    Count the end of a request sent to a backend server.

    :param record: the backend server.
    """
    record.in_flight -= 1


def note_success(record: ServerRecord, now_ms: float) -> None:
    """
    Take an answer that shows the server sound.

    :param record: the backend server.
    :param now_ms: current time.
    """
    share = failed_share(record, now_ms)
    record.failed_share = share * (1.0 - FAILURE_WEIGHT)
    record.failed_ms = now_ms
    record.failures = 0
    record.left_out_until_ms = 0.0


def note_failure(record: ServerRecord, now_ms: float) -> None:
    """
    Take a request that failed by the server's fault.

    :param record: the backend server.
    :param now_ms: current time.
    """
    share = failed_share(record, now_ms)
    record.failed_share = share + (1.0 - share) * FAILURE_WEIGHT
    record.failed_ms = now_ms
    record.failures += 1
    beyond = record.failures - FAILURES_TO_LEAVE_OUT
    if beyond >= 0:
        duration_ms = min(LEFT_OUT_FIRST_MS * 2.0**beyond, LEFT_OUT_MAX_MS)
        record.left_out_until_ms = now_ms + duration_ms


def note_unreachable(record: ServerRecord, now_ms: float) -> None:
    """
    Take a connection that could not be opened.

    A server that does not accept connections can run nothing, so one such
    failure is enough to leave it out.

    :param record: the backend server.
    :param now_ms: current time.
    """
    record.failures = max(record.failures, FAILURES_TO_LEAVE_OUT - 1)
    note_failure(record, now_ms)


def note_turned_away(record: ServerRecord, now_ms: float) -> None:
    """
    Take a connection that the server has ended at once.

    It is full rather than broken. Many instances see that at the same moment;
    if each left it out as broken, the others would be full next.

    :param record: the backend server.
    :param now_ms: current time.
    """
    until_ms = now_ms + TURNED_AWAY_MS
    record.left_out_until_ms = max(record.left_out_until_ms, until_ms)


def failed_share(record: ServerRecord, now_ms: float) -> float:
    """
    Return the share of recent requests that failed.

    :param record: the backend server.
    :param now_ms: current time.
    :returns: from 0 to 1.
    """
    if record.failed_share == 0.0:
        return 0.0
    age_ms = max(0.0, now_ms - record.failed_ms)
    return record.failed_share * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)


def is_left_out(record: ServerRecord, now_ms: float) -> bool:
    """
    Tell whether a server gets no requests as long as others are there.

    :param record: the backend server.
    :param now_ms: current time.
    """
    return record.is_unhealthy or now_ms < record.left_out_until_ms
