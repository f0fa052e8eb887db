"""A TCP peer over loopback that runs the kernel between its steps."""

import errno
import socket

from cuminhatch.codecs.http1 import Header, ResponseHead
from cuminhatch.kernel import Service
from cuminhatch.messages import (
    CallerDisconnected,
    CallerResumed,
    CallerStalled,
    PipeliningAllowed,
    PipeliningRequested,
    RequestBody,
    RequestReceived,
    ResponseStarted,
)

MAX_TICKS = 3000
TICK_S = 0.01


class Peer:
    """One end of a TCP connection; sending and waiting tick the kernel."""

    def __init__(self, kernel, sock):
        self.kernel = kernel
        self.sock = sock
        self.received = b""
        self.is_closed = False
        self.is_reset = False
        sock.setblocking(False)
        # Nagle's algorithm would delay bytes that are sent one by one.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read(self):
        while not self.is_closed:
            try:
                data = self.sock.recv(1 << 20)
            except BlockingIOError:
                return
            except ConnectionResetError:
                self.is_closed = self.is_reset = True
                return
            self.received += data
            self.is_closed = not data

    def send(self, data, step=0):
        for start in range(0, len(data), step or len(data) or 1):
            unsent = data[start : start + (step or len(data))]
            while unsent:
                try:
                    unsent = unsent[self.sock.send(unsent) :]
                except BlockingIOError:
                    pass
                except OSError as error:
                    assert error.errno in (errno.EPIPE, errno.ECONNRESET)
                    return
                self.kernel.tick(0)

    def run_until(self, condition):
        run_until(self.kernel, lambda: self.read() or condition())


def connect(kernel, address):
    return Peer(kernel, socket.create_connection(address))


def run_until(kernel, condition):
    """Tick until the condition holds, or fail after ``MAX_TICKS``."""
    for _ in range(MAX_TICKS):
        if condition():
            return
        kernel.tick(TICK_S)
    raise AssertionError("the condition was never met")


class EchoService(Service):
    """Records what a listener forwards; echoes each complete request."""

    name = "answers"
    is_echoing = True
    allows_pipelining = True

    def __init__(self, kernel):
        super().__init__(kernel)
        self.messages = []
        self.bodies = {}

    def message_handlers(self):
        return {
            RequestReceived: self.on_request,
            RequestBody: self.on_request,
            PipeliningRequested: self.on_pipelining_requested,
            CallerDisconnected: self.messages.append,
            CallerStalled: self.messages.append,
            CallerResumed: self.messages.append,
        }

    @property
    def heads(self):
        return [m.head for m in self.messages if type(m) is RequestReceived]

    def count(self, kind):
        return sum(type(message) is kind for message in self.messages)

    def on_pipelining_requested(self, message):
        self.messages.append(message)
        if self.allows_pipelining:
            self.send("callers", PipeliningAllowed(message.request_id))

    def on_request(self, message):
        self.messages.append(message)
        body = self.bodies.setdefault(message.request_id, bytearray())
        body += message.data
        if message.is_complete and self.is_echoing:
            self.respond(message.request_id, bytes(body))

    def respond(self, request_id, body, status=200, is_complete=True, length=-1):
        head = ResponseHead(status, b"OK", (Header(b"x-answer", b"%d" % request_id),))
        length = len(body) if length == -1 else length
        self.send(
            "callers", ResponseStarted(request_id, head, length, body, is_complete)
        )
