"""State of an HTTP port and its connections."""

from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple

from cuminhatch.clock import Clock
from cuminhatch.codecs.http1 import HeadParsed, ParserEvent, RequestParser
from cuminhatch.messages import (
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.services._stream import Stream

# With 64 KB of unsent answer each, 128 MB of the daemon's 256 MB.
MAX_CONNECTIONS = 2000


class ListenerLimits(NamedTuple):
    """
    Bounds on connections and on the time for a peer to make progress.

    ``idle_age_ms`` holds between requests, ``head_ms`` from the first byte
    to the end of a head, ``body_progress_ms`` between parts of a body and
    ``answer_progress_ms`` between parts of an answer that the peer takes.
    ``pipelined`` is how many reads of one connection are answered at the same
    time; their answers leave in the order of the requests.
    ``linger_ms`` is how long bytes are still read from a peer that has got
    its last answer; a close with unread bytes would destroy that answer.
    ``drain_first_request_ms`` is the time for the first request of a caller
    that connected just before the drain.
    """

    connections: int = MAX_CONNECTIONS
    pipelined: int = 1
    idle_age_ms: float = 60_000
    head_ms: float = 10_000
    body_progress_ms: float = 10_000
    answer_progress_ms: float = 30_000
    linger_ms: float = 2_000
    drain_first_request_ms: float = 1_000


DEFAULT_LIMITS = ListenerLimits()


# Answers that may wait for the answers of earlier requests.
Answer = ResponseStarted | ResponseBody | ResponseAborted | RequestRefused


class Exchange:
    """A request of a connection that is being answered."""

    def __init__(self, request_id: int, parsed: HeadParsed) -> None:
        """
        Start with nothing answered.

        :param request_id: id of the request within the process.
        :param parsed: its head.
        """
        self.request_id = request_id
        self.is_head_request = parsed.head.method == b"HEAD"
        self.is_http_1_0 = parsed.is_http_1_0
        self.is_keep_alive = parsed.is_keep_alive
        self.is_continue_due = parsed.is_continue_expected
        self.is_request_complete = False
        self.is_response_started = False
        self.is_chunked = False
        self.is_read_paused = False
        self.is_body_asked_for = False
        self.passed_bytes = 0
        self.is_stalled = False
        # What is to be sent once the earlier requests are answered.
        self.held: list[Answer] = []
        self.held_bytes = 0

    def hold(self, answer: Answer) -> None:
        """
        Keep a part of the answer.

        :param answer: message of the answering service.
        """
        self.held.append(answer)
        if isinstance(answer, ResponseStarted | ResponseBody):
            self.held_bytes += len(answer.data)

    def take_held(self) -> list[Answer]:
        """Return and forget the parts that were kept."""
        held, self.held = self.held, []
        self.held_bytes = 0
        return held


class Connection:
    """
    State of one connection.

    ``exchange`` is the request whose answer is sent next; those in ``ahead``
    are behind it and are answered already.
    """

    def __init__(self, now_ms: float) -> None:
        """
        Start before the first byte; ``stream`` is set by the owner.

        :param now_ms: current time.
        """
        self.stream: Stream
        self.parser = RequestParser()
        self.backlog: deque[ParserEvent] = deque()
        self.backlog_bytes = 0
        # Messages whose end is in the backlog.
        self.backlog_ends = 0
        self.exchange: Exchange | None = None
        self.ahead: deque[Exchange] = deque()
        self.exchange_count = 0
        self.is_held = False
        self.is_closing = False
        self.progress_ms = now_ms
        self.sent_bytes = 0
        self.head_begun_ms: float | None = None
        self.linger_begun_ms: float | None = None

    @property
    def latest(self) -> Exchange | None:
        """Return the request that was passed on last, if it is in progress."""
        return self.ahead[-1] if self.ahead else self.exchange

    def find_ahead(self, request_id: int) -> Exchange | None:
        """
        Return a request that waits for the answers of earlier ones.

        :param request_id: id of the request within the process.
        """
        for exchange in self.ahead:
            if exchange.request_id == request_id:
                return exchange
        return None

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return (
            self.exchange is None
            and self.head_begun_ms is None
            and not self.is_held
            and not self.is_closing
        )


class PortState:
    """State of a port that its functions share."""

    def __init__(
        self,
        clock: Clock,
        target: str,
        limits: ListenerLimits,
        send: Callable[[str, Any], None],
        deliver: Callable[[Answer], None],
        on_connection_closed: Callable[[], None],
    ) -> None:
        """
        Start without connections.

        :param clock: clock of the process.
        :param target: name of the service that answers the requests.
        :param limits: bounds on connections and times.
        :param send: queues a message for another service.
        :param deliver: handles an answer that has waited for its turn.
        :param on_connection_closed: called when a connection has ended.
        """
        self.clock = clock
        self.target = target
        self.limits = limits
        self.send = send
        self.deliver = deliver
        self.on_connection_closed = on_connection_closed
        self.connections: set[Connection] = set()
        self.by_request: dict[int, Connection] = {}
        self.request_ids = count(1)
        self.is_draining = False
