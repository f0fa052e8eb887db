"""A non-blocking TCP socket with a write buffer."""

import struct
from collections.abc import Callable
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

from cuminhatch.kernel import Service

READ_BYTES = 64 * 1024
KEEPALIVE_IDLE_S = 15
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
# Unacknowledged data for this long means that something between the two
# ends has lost track of the connection.
USER_TIMEOUT_MS = 20_000
CONNECTION_REFUSED = "connection refused"
CONNECTION_FAILED = "connection failed"
CONNECTION_CLOSED = "connection closed"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def set_stream_options(sock: socket) -> None:
    """
    Make a TCP socket non-blocking, prompt and able to notice a silent peer.

    :param sock: a TCP socket.
    """
    sock.setblocking(False)
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Stream:
    """
    One connection of a service.

    Callbacks: ``on_data(data)`` for bytes read, ``on_lost(reason)`` once when
    the connection has ended or failed, ``on_drained()`` when the write buffer
    has become empty.
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
        Take over a connected or connecting socket.

        :param service: owner of the socket.
        :param sock: socket with :func:`set_stream_options` applied.
        :param on_data: called with each part read.
        :param on_lost: called with a short reason code.
        :param on_drained: called when all written bytes have left.
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

    @property
    def sent_bytes(self) -> int:
        """Return how many bytes the kernel has taken since the start."""
        return self._sent_bytes

    @property
    def is_open(self) -> bool:
        """Tell whether the socket is still in use."""
        return self._is_open

    @property
    def is_reading(self) -> bool:
        """Tell whether bytes from the peer are read as they come."""
        return self._is_reading

    @property
    def pending_bytes(self) -> int:
        """Return how many written bytes have not left yet."""
        return len(self._buffer)

    def start_reading(self) -> None:
        """Read whenever there is something."""
        if self._is_open and not self._is_reading:
            self._is_reading = True
            self._service.watch_read(self._sock, self.read)

    def stop_reading(self) -> None:
        """Leave further bytes in the kernel, which holds the peer back."""
        if self._is_open and self._is_reading:
            self._is_reading = False
            self._service.unwatch_read(self._sock)

    def write(self, data: bytes) -> None:
        """
        Send bytes, or keep them until the socket takes them.

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
                self._fail_write(error)
                return
            self._sent_bytes += sent
        if sent < len(data):
            if not self._buffer:
                self._service.watch_write(self._sock, self._flush)
            self._buffer += data[sent:] if sent else data

    def finish_writing(self) -> None:
        """Tell the peer that nothing follows; it may still be sending."""
        if self._is_open:
            try:
                self._sock.shutdown(SHUT_WR)
            except OSError as error:
                self._lose(_reason_of(error))

    def close(self) -> None:
        """Close without calling back; unsent bytes are dropped."""
        if self._is_open:
            self._is_open = False
            self._service.close_socket(self._sock)
            self._buffer.clear()

    def abort(self) -> None:
        """Close so that the peer cannot take what it got for the whole."""
        if self._is_open:
            self._sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
            self.close()

    def read(self) -> None:
        """Read once; without data, the call has no effect."""
        if not self._is_open:
            return
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._lose(_reason_of(error))
            return
        if data:
            self._on_data(data)
        else:
            self._lose(CONNECTION_CLOSED)

    def _flush(self) -> None:
        try:
            sent = self._sock.send(self._buffer)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail_write(error)
            return
        self._sent_bytes += sent
        del self._buffer[:sent]
        if not self._buffer:
            self._service.unwatch_write(self._sock)
            self._on_drained()

    def _fail_write(self, error: OSError) -> None:
        self._buffer.clear()
        if not self._is_reading or isinstance(error, ConnectionRefusedError):
            self._lose(_reason_of(error))
            return
        # An answer that the peer sent before it closed is still to be read;
        # the end of the stream or an error follows it.
        self._service.unwatch_write(self._sock)

    def _lose(self, reason: str) -> None:
        if self._is_open:
            self.close()
            self._on_lost(reason)


def _reason_of(error: OSError) -> str:
    if isinstance(error, ConnectionRefusedError):
        return CONNECTION_REFUSED
    return CONNECTION_FAILED
