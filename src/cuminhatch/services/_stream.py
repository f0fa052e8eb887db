"""A non-blocking TCP socket with a write buffer."""

import struct
from collections.abc import Callable
from errno import ECONNREFUSED, EINPROGRESS, EINVAL
from socket import (
    IPPROTO_TCP,
    SHUT_WR,
    SO_KEEPALIVE,
    SO_LINGER,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
    socket,
)

from cuminhatch.address import Address
from cuminhatch.kernel import Service

READ_BYTES = 64 * 1024
KEEPALIVE_IDLE_S = 15
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
# Data that stays unacknowledged for this long means that the connection is
# dead, for example because a middlebox has dropped its state.
USER_TIMEOUT_MS = 20_000
CONNECTION_REFUSED = "connection refused"
CONNECTION_FAILED = "connection failed"
CONNECTION_CLOSED = "connection closed"
# Values of SO_LINGER: (on, 0 s) makes close() reset the connection, (off, 0 s)
# is the default.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_REGULARLY = struct.pack("ii", 0, 0)


def set_stream_options(sock: socket) -> None:
    """
    Make a TCP socket non-blocking, without Nagle delay, with keepalive.

    :param sock: a TCP socket.
    """
    sock.setblocking(False)
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def open_connection(address: Address) -> socket | str:
    """
    Start to connect a new socket.

    :param address: address of the server.
    :returns: the connecting socket, or one of the ``CONNECTION_`` constants.
    """
    try:
        sock = socket()
    except OSError:
        # The process is out of file descriptors.
        return CONNECTION_FAILED
    set_stream_options(sock)
    try:
        error = sock.connect_ex(address)
    except (OSError, OverflowError, TypeError, ValueError):
        # The host is neither an address nor a known name, or the port is too
        # large.
        error = EINVAL
    if error in (0, EINPROGRESS):
        return sock
    sock.close()
    return CONNECTION_REFUSED if error == ECONNREFUSED else CONNECTION_FAILED


class Stream:
    """
    A TCP connection of a service, with a write buffer.

    ``on_data(data)`` is called with bytes read, ``on_lost(reason)`` once when
    the peer has closed the connection or it has failed, and ``on_drained()``
    when the write buffer has become empty. The reason is ``CONNECTION_CLOSED``
    only if no write has failed before.
    """

    def __init__(
        self,
        service: Service,
        sock: socket,
        on_data: Callable[[bytes], None],
        on_lost: Callable[[str], None],
        on_drained: Callable[[], None],
    ) -> None:
        """
        Take ownership of a connected or connecting socket.

        :param service: owner of the socket.
        :param sock: socket with :func:`set_stream_options` applied.
        :param on_data: called with the bytes of each read.
        :param on_lost: called with one of the ``CONNECTION_`` constants.
        :param on_drained: called when the write buffer has become empty.
        """
        self._service = service
        self._sock = sock
        self._on_data = on_data
        self._on_lost = on_lost
        self._on_drained = on_drained
        self._buffer = bytearray()
        self._is_open = True
        self._is_reading = False
        self._sent_bytes = 0
        # Why the stream ends when no more data can be read. A failed write
        # takes the error off the socket, which then reads like one that the
        # peer has closed.
        self._end_reason = CONNECTION_CLOSED

    @property
    def sent_bytes(self) -> int:
        """Return how many bytes the operating system has accepted so far."""
        return self._sent_bytes

    @property
    def is_open(self) -> bool:
        """Tell whether the connection has not been closed."""
        return self._is_open

    @property
    def is_intact(self) -> bool:
        """Tell whether the connection is open and no write has failed."""
        return self._is_open and self._end_reason == CONNECTION_CLOSED

    @property
    def is_reading(self) -> bool:
        """Tell whether the socket is read whenever data arrives."""
        return self._is_reading

    @property
    def pending_bytes(self) -> int:
        """Return how many bytes are in the write buffer."""
        return len(self._buffer)

    def start_reading(self) -> None:
        """Read from the socket whenever data arrives."""
        if self._is_open and not self._is_reading:
            self._is_reading = True
            self._service.watch_read(self._sock, self.read)

    def stop_reading(self) -> None:
        """Stop reading; TCP flow control then slows the peer down."""
        if self._is_open and self._is_reading:
            self._is_reading = False
            self._service.unwatch_read(self._sock)

    def write(self, data: bytes) -> None:
        """
        Send bytes, and buffer what the socket does not accept yet.

        :param data: bytes to send.
        """
        if not self._is_open or not data:
            return
        sent = 0
        if not self._buffer:
            try:
                sent = self._sock.send(data)
            except BlockingIOError:
                pass
            except OSError as error:
                self._handle_write_error(error)
                return
            self._sent_bytes += sent
        if sent < len(data):
            if not self._buffer:
                self._service.watch_write(self._sock, self._flush)
            self._buffer += data[sent:] if sent else data

    def finish_writing(self) -> None:
        """Shut down the writing side; the peer may still be sending."""
        if self._is_open:
            try:
                self._sock.shutdown(SHUT_WR)
            except OSError as error:
                self._close_and_report(_reason_from_error(error))

    def close(self) -> None:
        """Close without a callback; unsent bytes are discarded."""
        if self._is_open:
            self._is_open = False
            self._service.close_socket(self._sock)
            self._buffer.clear()

    def abort(self) -> None:
        """Close with a reset, so that the peer sees an incomplete stream."""
        self.set_reset_on_close(True)
        self.close()

    def set_reset_on_close(self, is_on: bool) -> None:
        """
        Set how the connection ends if it is closed from now on.

        It is reset however it comes to its end, the death of the process
        included, if the peer would take a regular close for the end of a body.

        :param is_on: whether closing resets the connection.
        """
        if self._is_open:
            value = RESET_ON_CLOSE if is_on else CLOSE_REGULARLY
            self._sock.setsockopt(SOL_SOCKET, SO_LINGER, value)

    def read(self) -> None:
        """Read once, if data or the end of the stream has arrived."""
        if not self._is_open:
            return
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._close_and_report(_reason_from_error(error))
            return
        if data:
            self._on_data(data)
        else:
            self._close_and_report(self._end_reason)

    def _flush(self) -> None:
        try:
            sent = self._sock.send(self._buffer)
        except BlockingIOError:
            return
        except OSError as error:
            self._handle_write_error(error)
            return
        self._sent_bytes += sent
        del self._buffer[:sent]
        if not self._buffer:
            self._service.unwatch_write(self._sock)
            self._on_drained()

    def _handle_write_error(self, error: OSError) -> None:
        self._buffer.clear()
        self._end_reason = CONNECTION_FAILED
        if not self._is_reading or isinstance(error, ConnectionRefusedError):
            self._close_and_report(_reason_from_error(error))
            return
        # The peer may have sent a response before it closed; reading goes on
        # until the end of the stream or an error.
        self._service.unwatch_write(self._sock)

    def _close_and_report(self, reason: str) -> None:
        if self._is_open:
            self.close()
            self._on_lost(reason)


def _reason_from_error(error: OSError) -> str:
    if isinstance(error, ConnectionRefusedError):
        return CONNECTION_REFUSED
    return CONNECTION_FAILED
