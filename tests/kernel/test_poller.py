"""Tests of the callbacks for ready sockets."""

import signal
import subprocess
import sys
import time
from socket import socketpair

import pytest
from circuits.core.components import BaseComponent
from circuits.core.handlers import handler

from cuminhatch import ManualClock
from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel, Service
from tests.support import Recorder, run_ticks

RUN_IDLE_KERNEL = """
from cuminhatch.kernel import Kernel
kernel = Kernel()
print("started", flush=True)
kernel.run()
"""


class CircuitsReader(BaseComponent):
    """Gets its socket events from ``circuits``, as ``circuits.web`` does."""

    channel = "circuits_reader"
    received = b""

    @handler("_read")
    def _on_read(self, sock):
        self.received += sock.recv(10)


@pytest.fixture
def kernel():
    return Kernel(ManualClock())


@pytest.fixture
def pair():
    sockets = socketpair()
    for sock in sockets:
        sock.setblocking(False)
    yield sockets
    for sock in sockets:
        sock.close()


def test_only_watched_readiness_is_reported(kernel, pair):
    """Guards against reads from a connection under backpressure."""
    service = kernel.register(Service(kernel))
    calls = []
    service.watch_read(pair[0], lambda: calls.append(pair[0].recv(10)))
    service.watch_write(pair[0], lambda: calls.append("writable"))
    pair[1].send(b"a")
    kernel.tick()
    service.unwatch_write(pair[0])
    pair[1].send(b"b")
    kernel.tick()
    service.unwatch_read(pair[0])
    pair[1].send(b"c")
    kernel.tick()
    assert calls == [b"a", "writable", b"b"]


def test_socket_closed_by_its_own_callback_is_not_called_again(kernel, pair):
    """Guards against a write to a socket closed earlier in the same poll."""
    service = kernel.register(Service(kernel))
    calls = []
    service.watch_read(pair[0], lambda: service.close_socket(pair[0]))
    service.watch_write(pair[0], lambda: calls.append("writable"))
    pair[1].send(b"a")
    kernel.tick()
    kernel.tick()
    assert calls == []


def test_failed_callback_is_reported_and_others_still_run(kernel, pair):
    """Guards against a daemon ended by one failed callback."""
    supervisor = kernel.register(Recorder(kernel, SUPERVISOR, HandlerFailed))
    service = kernel.register(Service(kernel))
    calls = []
    service.watch_write(pair[0], lambda: [][0])
    service.watch_write(pair[1], lambda: calls.append("writable"))
    kernel.tick()
    kernel.tick()
    assert calls
    assert type(supervisor.received[0].error) is IndexError


def test_circuits_components_still_get_their_events(kernel, pair):
    """Guards against an operators' port that never responds."""
    component = CircuitsReader().register(kernel.root)
    kernel.poller.addReader(component, pair[0])
    pair[1].send(b"abc")
    run_ticks(kernel, 3)
    assert component.received == b"abc"


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signal_ends_an_idle_kernel(number):
    """Guards against an idle daemon that ignores a termination signal."""
    command = [sys.executable, "-c", RUN_IDLE_KERNEL]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        assert process.stdout.readline() == b"started\n"
        time.sleep(0.3)
        process.send_signal(number)
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.stdout.close()
