"""A client for small HTTP exchanges: pool, deadline, bounded response."""

from collections import defaultdict, deque
from errno import EINPROGRESS
from itertools import count
from socket import socket
from typing import NamedTuple

from cuminhatch.codecs.http1 import (
    BodyParsed,
    Header,
    HeadParsed,
    MessageParsed,
    RequestHead,
    ResponseHead,
    ResponseParser,
    encode_request_head,
    find_header,
)
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import Address, HttpFailed, HttpReplied, HttpRequested
from cuminhatch.services._stream import Stream, set_stream_options

# Several hundred writes a second at a few milliseconds each, from one
# instance, need fewer than this.
MAX_CONNECTIONS_PER_ADDRESS = 16
MAX_WAITING_PER_ADDRESS = 256
# A snapshot of the configuration at design size is a few megabytes; the
# daemon's whole memory is 256 MB.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Shorter than the idle timeout that servers commonly have, so that a request
# rarely meets a connection that the server is just closing.
IDLE_AGE_MS = 10_000
SWEEP_INTERVAL_MS = 1000
# Repeating these on a new connection does no harm.
REPEATABLE_METHODS = frozenset({b"GET", b"HEAD"})


class SweepDue(NamedTuple):
    """Old idle connections are to be closed."""


class DeadlinePassed(NamedTuple):
    """An exchange has used up its time."""

    exchange_id: int


class SlotFreed(NamedTuple):
    """
    A waiting exchange may start.

    It is a message, because a connection can fail while it is being written
    to, and starting the next one from there would recurse once per exchange.
    """

    address: Address


class _Connection:
    """State of one connection."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.stream: Stream
        self.exchange: _Exchange | None = None
        self.is_reused = False
        self.idle_since_ms = 0.0


class _Exchange:
    """State of one request and its response."""

    def __init__(
        self, exchange_id: int, request: HttpRequested, deadline_ms: float
    ) -> None:
        self.exchange_id = exchange_id
        self.request = request
        self.deadline_ms = deadline_ms
        self.connection: _Connection | None = None
        self.timer: int | None = None
        self.sent_before = 0
        self.has_left = False
        self.is_repeated = False
        self.parser = ResponseParser(request.method == b"HEAD")
        self.head: ResponseHead | None = None
        self.is_keep_alive = False
        self.body = bytearray()


class _Pool:
    """Connections and waiting exchanges of one address."""

    def __init__(self) -> None:
        self.idle: list[_Connection] = []
        self.busy_count = 0
        self.waiting: deque[_Exchange] = deque()


class HttpClient(Service):
    """Sends requests and replies with whole responses."""

    name = "http_client"

    def __init__(
        self,
        kernel: Kernel,
        name: str | None = None,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """
        Create the client without connections.

        :param kernel: kernel of the process.
        :param name: name of this service.
        :param max_response_bytes: longest response body, in bytes.
        """
        super().__init__(kernel, name)
        self._max_response_bytes = max_response_bytes
        self._pools: dict[Address, _Pool] = defaultdict(_Pool)
        self._exchanges: dict[int, _Exchange] = {}
        self._exchange_ids = count(1)

    def message_handlers(self) -> MessageTable:
        """Return the requests of other services and the own timers."""
        return {
            HttpRequested: self._on_http_requested,
            SlotFreed: self._on_slot_freed,
            DeadlinePassed: self._on_deadline_passed,
            SweepDue: self._on_sweep_due,
        }

    def open(self) -> None:
        """Start to close idle connections of a certain age."""
        self.call_after(SWEEP_INTERVAL_MS, SweepDue())

    def connection_count(self, address: Address) -> int:
        """
        Return the open connections to an address.

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
            deadline_ms, self.name, DeadlinePassed(exchange_id)
        )
        pool.waiting.append(exchange)
        self._start_waiting(pool)

    def _on_slot_freed(self, message: SlotFreed) -> None:
        self._start_waiting(self._pools[message.address])

    def _start_waiting(self, pool: _Pool) -> None:
        now_ms = self.kernel.clock.now_ms
        while pool.waiting and pool.busy_count < MAX_CONNECTIONS_PER_ADDRESS:
            exchange = pool.waiting.popleft()
            if exchange.deadline_ms <= now_ms:
                # Not sent any more, so that it is known not to have run.
                self._fail(exchange, "timeout")
                continue
            # The newest idle connection is the least likely to be closed.
            connection = (
                pool.idle.pop()
                if pool.idle
                else self._connect(exchange.request.address)
            )
            if connection is None:
                self._fail(exchange, "no connection")
            else:
                self._start(pool, connection, exchange)

    def _connect(self, address: Address) -> _Connection | None:
        try:
            sock = socket()
        except OSError:
            # The process has no file descriptor left.
            return None
        set_stream_options(sock)
        if sock.connect_ex(address) not in (0, EINPROGRESS):
            sock.close()
            return None
        connection = _Connection(address)
        connection.stream = Stream(
            self,
            sock,
            on_data=lambda data: self._on_data(connection, data),
            on_lost=lambda reason: self._on_lost(connection, reason),
            on_drained=lambda: None,
        )
        connection.stream.start_reading()
        return connection

    def _start(self, pool: _Pool, connection: _Connection, exchange: _Exchange) -> None:
        pool.busy_count += 1
        connection.exchange = exchange
        exchange.connection = connection
        exchange.sent_before = connection.stream.sent_bytes
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
            # Bytes that no request asked for: the connection is unusable.
            self._drop_idle(connection)
            return
        events = exchange.parser.feed(data)
        if exchange.parser.error is not None:
            self._fail(exchange, "malformed response")
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
        if len(exchange.body) > self._max_response_bytes:
            self._fail(exchange, "response too large")
        elif is_complete:
            self._finish(exchange)

    def _finish(self, exchange: _Exchange) -> None:
        connection = self._release(exchange)
        stream = connection.stream
        if exchange.is_keep_alive and stream.is_open and not stream.pending_bytes:
            connection.is_reused = True
            connection.idle_since_ms = self.kernel.clock.now_ms
            self._pools[connection.address].idle.append(connection)
        else:
            stream.close()
        self._end(exchange)
        request, head = exchange.request, exchange.head
        self.send(
            request.reply_to,
            HttpReplied(request.token, head.status, head.headers, bytes(exchange.body)),
        )

    def _release(self, exchange: _Exchange) -> _Connection:
        """Take an exchange off its connection and note whether it was sent."""
        connection = exchange.connection
        connection.exchange = None
        exchange.connection = None
        if connection.stream.sent_bytes > exchange.sent_before:
            exchange.has_left = True
        pool = self._pools[connection.address]
        pool.busy_count -= 1
        if pool.waiting:
            self.send(self.name, SlotFreed(connection.address))
        return connection

    def _end(self, exchange: _Exchange) -> None:
        self.kernel.cancel(exchange.timer)
        del self._exchanges[exchange.exchange_id]

    # Failures

    def _on_lost(self, connection: _Connection, reason: str) -> None:
        exchange = connection.exchange
        if exchange is None:
            self._drop_idle(connection)
        elif exchange.parser.is_until_close and reason == "connection closed":
            exchange.is_keep_alive = False
            self._finish(exchange)
        elif self._is_repeatable(exchange):
            # The server closed an idle connection just as it was reused.
            self._repeat(exchange)
        else:
            self._fail(exchange, reason)

    def _is_repeatable(self, exchange: _Exchange) -> bool:
        return (
            exchange.connection.is_reused
            and exchange.head is None
            and not exchange.is_repeated
            and exchange.request.is_repeatable
            and exchange.request.method in REPEATABLE_METHODS
        )

    def _repeat(self, exchange: _Exchange) -> None:
        connection = self._release(exchange)
        connection.stream.close()
        exchange.is_repeated = True
        exchange.parser = ResponseParser(exchange.request.method == b"HEAD")
        pool = self._pools[connection.address]
        self._drop_all_idle(pool)
        pool.waiting.appendleft(exchange)
        self.send(self.name, SlotFreed(connection.address))

    def _fail(self, exchange: _Exchange, reason: str) -> None:
        if exchange.connection is not None:
            self._release(exchange).stream.close()
        self._end(exchange)
        request = exchange.request
        self.send(
            request.reply_to, HttpFailed(request.token, reason, exchange.has_left)
        )

    def _on_deadline_passed(self, message: DeadlinePassed) -> None:
        exchange = self._exchanges.get(message.exchange_id)
        if exchange is None:
            return
        pool = self._pools[exchange.request.address]
        if exchange.connection is None:
            pool.waiting.remove(exchange)
        elif exchange.connection.is_reused:
            # The connection may have gone silent, and the idle ones with it.
            self._drop_all_idle(pool)
        self._fail(exchange, "timeout")

    def _drop_idle(self, connection: _Connection) -> None:
        connection.stream.close()
        idle = self._pools[connection.address].idle
        if connection in idle:
            idle.remove(connection)

    def _drop_all_idle(self, pool: _Pool) -> None:
        for connection in pool.idle:
            connection.stream.close()
        pool.idle.clear()

    def _on_sweep_due(self, message: SweepDue) -> None:
        oldest_ms = self.kernel.clock.now_ms - IDLE_AGE_MS
        for address, pool in list(self._pools.items()):
            for connection in [c for c in pool.idle if c.idle_since_ms < oldest_ms]:
                self._drop_idle(connection)
            if not (pool.idle or pool.waiting or pool.busy_count):
                del self._pools[address]
        self.call_after(SWEEP_INTERVAL_MS, SweepDue())
