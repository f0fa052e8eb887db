"""HTTP client for small requests: connection pool, timeout, size limit."""

from collections import defaultdict, deque
from itertools import count
from typing import NamedTuple

from cuminhatch.codecs.http1 import (
    Header,
    RequestHead,
    ResponseHead,
    encode_request_head,
    find_header,
)
from cuminhatch.codecs.http1_parsers import (
    BodyParsed,
    HeadParsed,
    MessageParsed,
    ResponseParser,
    describe_response_error,
)
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import Address, HttpFailed, HttpReplied, HttpRequested
from cuminhatch.services._stream import Stream, open_connection

# More than an instance needs: at most several hundred writes a second to the
# platform, of a few milliseconds each.
MAX_CONNECTIONS_PER_ADDRESS = 16
MAX_WAITING_PER_ADDRESS = 256
# More than the few megabytes of the largest configuration snapshot that the
# system is designed for; a daemon may use 256 MB of memory in all.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Shorter than the usual idle timeout of servers, so that a request rarely
# reuses a connection that the server is about to close.
IDLE_TIMEOUT_MS = 10_000
SWEEP_INTERVAL_MS = 1000
# Methods that are safe to retry on a new connection.
RETRYABLE_METHODS = frozenset({b"GET", b"HEAD"})


class SweepTimerExpired(NamedTuple):
    """It is time to close connections that have been idle for too long."""


class ExchangeTimedOut(NamedTuple):
    """The timeout of an exchange has expired."""

    exchange_id: int


class ConnectionSlotFreed(NamedTuple):
    """
    A connection has been released, so that a waiting exchange may start.

    This is a message rather than a call because a connection can fail during
    a write; starting the next exchange from there would recurse once per
    waiting exchange.
    """

    address: Address


class _Connection:
    """One connection and the exchange that uses it."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.stream: Stream
        self.exchange: _Exchange | None = None
        self.is_reused = False
        self.idle_since_ms = 0.0


class _Exchange:
    """One request and its response."""

    def __init__(
        self, exchange_id: int, request: HttpRequested, deadline_ms: float
    ) -> None:
        self.exchange_id = exchange_id
        self.request = request
        self.deadline_ms = deadline_ms
        self.connection: _Connection | None = None
        self.timer: int | None = None
        self.sent_bytes_at_start = 0
        self.is_sent = False
        self.is_retried = False
        self.parser = ResponseParser(request.method == b"HEAD")
        self.head: ResponseHead | None = None
        self.is_keep_alive = False
        self.body = bytearray()


class _Pool:
    """Connections and waiting exchanges of one server address."""

    def __init__(self) -> None:
        self.idle: list[_Connection] = []
        self.busy_count = 0
        self.waiting: deque[_Exchange] = deque()


class HttpClient(Service):
    """Sends requests and replies with complete responses."""

    name = "http_client"

    def __init__(
        self,
        kernel: Kernel,
        name: str | None = None,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """
        Create the client with empty connection pools.

        :param kernel: kernel of the process.
        :param name: name of this service.
        :param max_response_bytes: size limit of a response body.
        """
        super().__init__(kernel, name)
        self._max_response_bytes = max_response_bytes
        self._pools: dict[Address, _Pool] = defaultdict(_Pool)
        self._exchanges: dict[int, _Exchange] = {}
        self._exchange_ids = count(1)

    def message_handlers(self) -> MessageTable:
        """Return the handlers of requests and timers."""
        return {
            HttpRequested: self._on_http_requested,
            ConnectionSlotFreed: self._on_connection_slot_freed,
            ExchangeTimedOut: self._on_exchange_timed_out,
            SweepTimerExpired: self._on_sweep_timer_expired,
        }

    def open(self) -> None:
        """Start the timer that closes idle connections."""
        self.call_after(SWEEP_INTERVAL_MS, SweepTimerExpired())

    def connection_count(self, address: Address) -> int:
        """
        Return the number of open connections to an address.

        :param address: address of the server.
        """
        pool = self._pools.get(address)
        return 0 if pool is None else pool.busy_count + len(pool.idle)

    # Requests

    def _on_http_requested(self, message: HttpRequested) -> None:
        pool = self._pools[message.address]
        if len(pool.waiting) >= MAX_WAITING_PER_ADDRESS:
            failed = HttpFailed(message.token, "too many requests waiting", False)
            self.send(message.reply_to, failed)
            return
        exchange_id = next(self._exchange_ids)
        deadline_ms = self.kernel.clock.now_ms + message.timeout_ms
        exchange = _Exchange(exchange_id, message, deadline_ms)
        self._exchanges[exchange_id] = exchange
        exchange.timer = self.kernel.call_at(
            deadline_ms, self.name, ExchangeTimedOut(exchange_id)
        )
        pool.waiting.append(exchange)
        self._start_waiting_exchanges(pool)

    def _on_connection_slot_freed(self, message: ConnectionSlotFreed) -> None:
        self._start_waiting_exchanges(self._pools[message.address])

    def _start_waiting_exchanges(self, pool: _Pool) -> None:
        now_ms = self.kernel.clock.now_ms
        while pool.waiting and pool.busy_count < MAX_CONNECTIONS_PER_ADDRESS:
            exchange = pool.waiting.popleft()
            if exchange.deadline_ms <= now_ms:
                # Not sent, so the request is known not to have run.
                self._fail_exchange(exchange, "timeout")
                continue
            # The connection used last is the least likely to have been closed
            # by the server.
            connection = self._take_idle(pool) or self._connect(
                exchange.request.address
            )
            if connection is None:
                self._fail_exchange(exchange, "no connection")
            else:
                self._start_exchange(pool, connection, exchange)

    def _take_idle(self, pool: _Pool) -> _Connection | None:
        while pool.idle:
            connection = pool.idle[-1]
            # Bytes that arrived while it was idle, such as a second copy of
            # the last response, or its end, close the connection.
            connection.stream.read()
            if connection.stream.is_open:
                return pool.idle.pop()
        return None

    def _connect(self, address: Address) -> _Connection | None:
        sock = open_connection(address)
        if isinstance(sock, str):
            return None
        connection = _Connection(address)
        connection.stream = Stream(
            self,
            sock,
            on_data=lambda data: self._on_data(connection, data),
            on_lost=lambda reason: self._on_connection_lost(connection, reason),
            on_drained=lambda: None,
        )
        connection.stream.start_reading()
        return connection

    def _start_exchange(
        self, pool: _Pool, connection: _Connection, exchange: _Exchange
    ) -> None:
        pool.busy_count += 1
        connection.exchange = exchange
        exchange.connection = connection
        exchange.sent_bytes_at_start = connection.stream.sent_bytes
        request = exchange.request
        headers = request.headers
        if find_header(headers, b"host") is None:
            host = f"{request.address.host}:{request.address.port}"
            headers = (Header(b"host", host.encode()), *headers)
        head = RequestHead(request.method, request.target, headers)
        connection.stream.write(
            encode_request_head(head, len(request.body)) + request.body
        )

    # Responses

    def _on_data(self, connection: _Connection, data: bytes) -> None:
        exchange = connection.exchange
        if exchange is None:
            # Unsolicited bytes make the connection unusable.
            self._close_idle(connection)
            return
        if connection.stream.sent_bytes == exchange.sent_bytes_at_start:
            # Nothing of the request has been sent, so this can't answer it.
            self._fail_exchange(exchange, "unsolicited data")
            return
        events = exchange.parser.feed(data)
        if exchange.parser.error is not None:
            reason = describe_response_error(exchange.parser.error)
            self._fail_exchange(exchange, reason)
            return
        is_complete = False
        for event in events:
            if isinstance(event, HeadParsed):
                exchange.head = event.head
                exchange.is_keep_alive = event.is_keep_alive
            elif isinstance(event, BodyParsed):
                exchange.body += event.data
            elif isinstance(event, MessageParsed):
                is_complete = True
        max_bytes = exchange.request.response_max_bytes or self._max_response_bytes
        if len(exchange.body) > max_bytes:
            self._fail_exchange(exchange, "response too large")
        elif is_complete:
            self._complete_exchange(exchange)

    def _complete_exchange(self, exchange: _Exchange) -> None:
        connection = self._release_connection(exchange)
        stream = connection.stream
        if (
            exchange.is_keep_alive
            and not exchange.parser.has_trailing_data
            and stream.is_intact
            and not stream.pending_bytes
        ):
            connection.is_reused = True
            connection.idle_since_ms = self.kernel.clock.now_ms
            self._pools[connection.address].idle.append(connection)
        else:
            stream.close()
        self._remove_exchange(exchange)
        request, head = exchange.request, exchange.head
        self.send(
            request.reply_to,
            HttpReplied(request.token, head.status, head.headers, bytes(exchange.body)),
        )

    def _release_connection(self, exchange: _Exchange) -> _Connection:
        """Detach an exchange from its connection and update ``is_sent``."""
        connection = exchange.connection
        connection.exchange = None
        exchange.connection = None
        if connection.stream.sent_bytes > exchange.sent_bytes_at_start:
            exchange.is_sent = True
        pool = self._pools[connection.address]
        pool.busy_count -= 1
        if pool.waiting:
            self.send(self.name, ConnectionSlotFreed(connection.address))
        return connection

    def _remove_exchange(self, exchange: _Exchange) -> None:
        self.kernel.cancel(exchange.timer)
        del self._exchanges[exchange.exchange_id]

    # Failures

    def _on_connection_lost(self, connection: _Connection, reason: str) -> None:
        exchange = connection.exchange
        if exchange is None:
            self._close_idle(connection)
        elif exchange.parser.is_close_delimited and reason == "connection closed":
            exchange.is_keep_alive = False
            self._complete_exchange(exchange)
        elif self._may_retry(exchange):
            # The server closed the idle connection just as it was reused.
            self._retry(exchange)
        else:
            self._fail_exchange(exchange, reason)

    def _may_retry(self, exchange: _Exchange) -> bool:
        return (
            exchange.connection.is_reused
            and exchange.head is None
            and not exchange.is_retried
            and exchange.request.is_retryable
            and exchange.request.method in RETRYABLE_METHODS
        )

    def _retry(self, exchange: _Exchange) -> None:
        connection = self._release_connection(exchange)
        connection.stream.close()
        exchange.is_retried = True
        exchange.parser = ResponseParser(exchange.request.method == b"HEAD")
        pool = self._pools[connection.address]
        self._close_all_idle(pool)
        pool.waiting.appendleft(exchange)
        self.send(self.name, ConnectionSlotFreed(connection.address))

    def _fail_exchange(self, exchange: _Exchange, reason: str) -> None:
        if exchange.connection is not None:
            self._release_connection(exchange).stream.close()
        self._remove_exchange(exchange)
        request = exchange.request
        self.send(request.reply_to, HttpFailed(request.token, reason, exchange.is_sent))

    def _on_exchange_timed_out(self, message: ExchangeTimedOut) -> None:
        exchange = self._exchanges.get(message.exchange_id)
        if exchange is None:
            return
        pool = self._pools[exchange.request.address]
        if exchange.connection is None:
            pool.waiting.remove(exchange)
        elif exchange.connection.is_reused:
            # A reused connection may be dead without a reset; the other idle
            # ones may be, too.
            self._close_all_idle(pool)
        self._fail_exchange(exchange, "timeout")

    def _close_idle(self, connection: _Connection) -> None:
        connection.stream.close()
        idle = self._pools[connection.address].idle
        if connection in idle:
            idle.remove(connection)

    def _close_all_idle(self, pool: _Pool) -> None:
        for connection in pool.idle:
            connection.stream.close()
        pool.idle.clear()

    def _on_sweep_timer_expired(self, message: SweepTimerExpired) -> None:
        idle_before_ms = self.kernel.clock.now_ms - IDLE_TIMEOUT_MS
        for address, pool in list(self._pools.items()):
            for connection in [
                c for c in pool.idle if c.idle_since_ms < idle_before_ms
            ]:
                self._close_idle(connection)
            if not (pool.idle or pool.waiting or pool.busy_count):
                del self._pools[address]
        self.call_after(SWEEP_INTERVAL_MS, SweepTimerExpired())
