"""A listener with a service that echoes requests, for its tests."""

import re

from cuminhatch import ManualClock
from cuminhatch.kernel import SUPERVISOR, Kernel
from cuminhatch.messages import Address, DrainFinished
from cuminhatch.services.http_listener import (
    SWEEP_INTERVAL_MS,
    HttpListener,
    ListenerLimits,
)
from tests.services._loopback import EchoService, connect, run_until
from tests.support import Recorder, run_ticks

HOST = b"Host: a\r\n"
GET = b"GET /%d HTTP/1.1\r\n" + HOST + b"\r\n"
POST = b"POST / HTTP/1.1\r\n" + HOST
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


class Harness:
    """A kernel with a listener and a service that echoes requests."""

    def __init__(self, **limits):
        self.kernel = Kernel(ManualClock())
        self.target = self.kernel.register(EchoService(self.kernel))
        address, limits = Address("127.0.0.1", 0), ListenerLimits(**limits)
        self.listener = HttpListener(self.kernel, address, "answers", limits=limits)
        self.kernel.register(self.listener)
        self.kernel.open()

    def connect(self, data=b""):
        peer = connect(self.kernel, self.listener.address)
        peer.send(data)
        return peer

    def begin(self, data):
        """Send a request that the test answers itself."""
        self.target.is_echoing = False
        peer = self.connect(data)
        run_until(self.kernel, lambda: self.target.messages)
        return peer

    def send(self, message):
        self.kernel.send("callers", message)

    def record_drain_reports(self):
        recorder = Recorder(self.kernel, SUPERVISOR, DrainFinished)
        return self.kernel.register(recorder).received

    def advance(self, ms):
        """Advance the clock in steps of the sweep interval."""
        for _ in range(int(ms // SWEEP_INTERVAL_MS) + 1):
            self.kernel.clock.advance(SWEEP_INTERVAL_MS)
            run_ticks(self.kernel, 4)


def response_ids_in(data):
    return [int(n) for n in re.findall(rb"x-answer: (\d+)", data)]
