"""State of an HTTP listener and its connections."""

from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple

from cuminhatch.clock import Clock
from cuminhatch.codecs.http1_parsers import HeadParsed, ParserEvent, RequestParser
from cuminhatch.messages import (
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.services._stream import Stream

# With 64 KB of unsent response each, these use 128 MB of the 256 MB that a
# daemon may use.
MAX_CONNECTIONS = 2000


class ListenerLimits(NamedTuple):
    """
    Limits on connections and timeouts.

    ``idle_timeout_ms`` applies between requests, ``head_timeout_ms`` from the
    first to the last byte of a head, and then to a body that is awaited before
    the head is forwarded, ``body_progress_timeout_ms`` between parts of a
    request body and ``response_progress_timeout_ms`` while the
    caller reads no more of a response.
    ``pipelined`` is how many safe requests of one connection are handled at
    the same time; the responses are sent in the order of the requests.
    ``linger_timeout_ms`` is how long the listener reads on after the last
    response; a close with unread bytes would reset the connection and could
    destroy that response.
    ``drain_first_request_timeout_ms`` is how long a drain waits for the first
    request on a connection accepted shortly before, ``drain_idle_timeout_ms``
    for the next one on any other: only a response can tell its caller that the
    connection closes.
    """

    max_connections: int = MAX_CONNECTIONS
    pipelined: int = 1
    idle_timeout_ms: float = 60_000
    head_timeout_ms: float = 10_000
    body_progress_timeout_ms: float = 10_000
    response_progress_timeout_ms: float = 30_000
    linger_timeout_ms: float = 2_000
    drain_first_request_timeout_ms: float = 1_000
    drain_idle_timeout_ms: float = 10_000


DEFAULT_LIMITS = ListenerLimits()

# Messages that are buffered while an earlier response is being sent.
ResponseMessage = ResponseStarted | ResponseBody | ResponseAborted | RequestRefused


class Exchange:
    """A request in progress and its response."""

    def __init__(self, request_id: int, parsed: HeadParsed) -> None:
        """
        Create an exchange whose request head has been parsed.

        :param request_id: id of the request within the process.
        :param parsed: head of the request.
        """
        self.request_id = request_id
        self.is_head_request = parsed.head.method == b"HEAD"
        self.is_http_1_0 = parsed.is_http_1_0
        self.is_keep_alive = parsed.is_keep_alive
        self.is_continue_pending = parsed.is_continue_expected
        self.is_request_complete = False
        self.is_response_started = False
        # Whether a request behind this one may be forwarded before the
        # response, which the target service is asked once.
        self.is_pipelining_requested = False
        self.is_pipelining_allowed = False
        self.is_chunked = False
        # Bytes of the response body that are still to be sent; None if it has
        # no length or no body.
        self.body_bytes_left: int | None = None
        self.is_read_paused = False
        self.is_body_requested = False
        self.forwarded_bytes = 0
        self.is_stalled = False
        # Messages to handle once the earlier responses are complete.
        self.buffered: list[ResponseMessage] = []
        self.buffered_bytes = 0

    @property
    def is_response_buffered(self) -> bool:
        """Tell whether the complete response is buffered."""
        if not self.buffered:
            return False
        last = self.buffered[-1]
        return isinstance(last, RequestRefused) or getattr(last, "is_complete", False)

    def take_body_bytes(self, size: int, is_complete: bool) -> bool:
        """
        Count a part of the response body.

        :param size: bytes of the part.
        :param is_complete: whether it is the last part.
        :returns: whether the body still agrees with its declared length.
        """
        if self.body_bytes_left is None:
            return True
        self.body_bytes_left -= size
        return self.body_bytes_left == 0 if is_complete else self.body_bytes_left >= 0

    def buffer(self, message: ResponseMessage) -> None:
        """
        Buffer a message until the earlier responses are complete.

        :param message: message of the target service.
        """
        self.buffered.append(message)
        if isinstance(message, ResponseStarted | ResponseBody):
            self.buffered_bytes += len(message.data)

    def take_buffered(self) -> list[ResponseMessage]:
        """Remove and return the buffered messages."""
        buffered, self.buffered = self.buffered, []
        self.buffered_bytes = 0
        return buffered


class Connection:
    """
    State of one connection.

    ``exchange`` is the current request, whose response is sent first;
    ``pipelined_exchanges`` are the requests behind it that have been forwarded
    already.
    """

    def __init__(self, now_ms: float) -> None:
        """
        Create the state of a new connection; the owner sets ``stream``.

        :param now_ms: current time.
        """
        self.stream: Stream
        self.parser = RequestParser()
        self.parsed_events: deque[ParserEvent] = deque()
        self.parsed_body_bytes = 0
        # How many requests end within the parsed events.
        self.message_end_count = 0
        self.exchange: Exchange | None = None
        self.pipelined_exchanges: deque[Exchange] = deque()
        self.request_count = 0
        # Since when the body of the next request is awaited before its head is
        # forwarded.
        self.buffering_since_ms: float | None = None
        self.is_closing = False
        self.last_progress_ms = now_ms
        self.sent_bytes = 0
        self.head_started_ms: float | None = None
        self.linger_started_ms: float | None = None

    @property
    def is_request_buffered(self) -> bool:
        """Tell whether the next request waits for more of its body."""
        return self.buffering_since_ms is not None

    @property
    def last_exchange(self) -> Exchange | None:
        """Return the last request forwarded, None if none is in progress."""
        return (
            self.pipelined_exchanges[-1] if self.pipelined_exchanges else self.exchange
        )

    def find_pipelined(self, request_id: int) -> Exchange | None:
        """
        Return a request that is behind the current one.

        :param request_id: id of the request within the process.
        """
        for exchange in self.pipelined_exchanges:
            if exchange.request_id == request_id:
                return exchange
        return None

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in progress."""
        return (
            self.exchange is None
            and self.head_started_ms is None
            and not self.is_request_buffered
            and not self.is_closing
        )


class ListenerState:
    """State of a listener that its handler functions share."""

    def __init__(
        self,
        clock: Clock,
        target: str,
        limits: ListenerLimits,
        send: Callable[[str, Any], None],
        deliver: Callable[[ResponseMessage], None],
        on_connection_closed: Callable[[], None],
    ) -> None:
        """
        Create the state without connections.

        :param clock: clock of the process.
        :param target: name of the service that handles the requests.
        :param limits: limits on connections and timeouts.
        :param send: queues a message for another service.
        :param deliver: handles a message that was buffered.
        :param on_connection_closed: called when a connection is removed.
        """
        self.clock = clock
        self.target = target
        self.limits = limits
        self.send = send
        self.deliver = deliver
        self.on_connection_closed = on_connection_closed
        self.connections: set[Connection] = set()
        self.connections_by_request: dict[int, Connection] = {}
        self.request_ids = count(1)
        # A stop has been announced, or has begun.
        self.is_stop_announced = False
        # Since when connections are being closed, None while they are not.
        self.drain_started_ms: float | None = None

    @property
    def is_draining(self) -> bool:
        """Tell whether responses close their connections."""
        return self.drain_started_ms is not None
