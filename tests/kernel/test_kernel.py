"""Tests of message delivery, timers and failed handlers."""

from socket import socketpair
from threading import Thread
from typing import NamedTuple

import pytest
from circuits.core.components import BaseComponent
from circuits.core.events import Event
from circuits.core.handlers import handler

from cuminhatch import KernelError, ManualClock
from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel, Service
from tests.support import Recorder, run_ticks


class Ping(NamedTuple):
    """A numbered message, to tell the order of delivery."""

    number: int


class CallbackRecorder(Recorder):
    """Calls a function for each message, then records the message."""

    def __init__(self, kernel, name, callback):
        super().__init__(kernel, name, Ping)
        self.callback = callback

    def message_handlers(self):
        return {Ping: self._on_ping}

    def _on_ping(self, message):
        self.callback(self, message)
        self.received.append(message)


@pytest.fixture
def kernel():
    return Kernel(ManualClock())


@pytest.fixture
def recorder(kernel):
    return kernel.register(Recorder(kernel, "recorder", Ping))


def test_messages_arrive_in_order(kernel, recorder):
    """Guards against reordering, which would corrupt HTTP bodies."""
    for number in range(5):
        kernel.send("recorder", Ping(number))
    run_ticks(kernel, 5)
    assert recorder.received == [Ping(number) for number in range(5)]


def test_failed_handler_is_reported_and_service_continues(kernel):
    """Guards against a daemon ended by one failed handler."""
    service = CallbackRecorder(kernel, "failing", lambda _, ping: 1 / ping.number)
    kernel.register(service)
    supervisor = kernel.register(Recorder(kernel, SUPERVISOR, HandlerFailed))
    kernel.send("failing", Ping(0))
    kernel.send("failing", Ping(1))
    run_ticks(kernel, 5)
    assert service.received == [Ping(1)]
    assert [failed.message for failed in supervisor.received] == [Ping(0)]


def test_timers_expire_in_order_unless_cancelled(kernel, recorder):
    """Guards against timers that expire early, late or once cancelled."""
    kernel.call_at(20, "recorder", Ping(2))
    kernel.call_at(10, "recorder", Ping(1))
    token = kernel.call_at(15, "recorder", Ping(9))
    kernel.cancel(token)
    run_ticks(kernel, 5)
    assert recorder.received == []
    kernel.clock.advance(10)
    run_ticks(kernel, 5)
    assert recorder.received == [Ping(1)]
    kernel.clock.advance(10)
    run_ticks(kernel, 5)
    assert recorder.received == [Ping(1), Ping(2)]


class SocketReader(Recorder):
    """Sends itself a message when its socket is readable."""

    def __init__(self, kernel, name, sock, on_readable):
        super().__init__(kernel, name, Ping)
        self.sock = sock
        self.on_readable = on_readable

    def open(self):
        self.watch_read(self.sock, self._read)

    def _read(self):
        self.sock.recv(16)
        self.send(self.name, Ping(1))
        self.on_readable()


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_data_that_arrived_during_a_pause_comes_before_timers(kernel, is_cancelled):
    """Guards against a timeout while the response waits in the socket."""
    near, far = socketpair()
    with near, far:
        token = kernel.call_at(10, "reader", Ping(2))

        def on_readable():
            if is_cancelled:
                kernel.cancel(token)

        reader = kernel.register(SocketReader(kernel, "reader", near, on_readable))
        reader.open()
        run_ticks(kernel, 3)
        far.send(b"response")
        kernel.clock.advance(5_000)
        run_ticks(kernel, 5)
        kernel.poller.unwatch(near.fileno())
    expected = [Ping(1)] if is_cancelled else [Ping(1), Ping(2)]
    assert reader.received == expected


def test_duplicate_service_name_is_rejected(kernel, recorder):
    """Guards against two services registered under one name."""
    with pytest.raises(KernelError):
        kernel.register(Recorder(kernel, "recorder", Ping))


def test_service_that_overwrites_circuits_attribute_is_rejected(kernel):
    """Guards against attributes that silently break event delivery."""
    service = Service(kernel)
    service._queue = []
    with pytest.raises(KernelError):
        kernel.register(service)


def test_endless_messages_do_not_starve_timers(kernel, recorder):
    """Guards against services that send without pause and starve timers."""
    kernel.register(
        CallbackRecorder(
            kernel, "sender", lambda service, ping: service.send("sender", ping)
        )
    )
    kernel.send("sender", Ping(1))
    kernel.call_at(0, "recorder", Ping(2))
    run_ticks(kernel, 5)
    assert recorder.received == [Ping(2)]


class WaitRecorder(BaseComponent):
    """Records how long the poller may block, in place of the poller."""

    channel = "wait_recorder"
    has_event_arrived = False

    def __init__(self):
        super().__init__()
        self.waits_s = []

    @handler("generate_events", priority=-5)
    def _on_generate_events(self, event):
        self.waits_s.append(event.time_left)
        event.reduce_time_left(0)

    @handler("fired_by_service")
    def _on_fired_by_service(self):
        self.has_event_arrived = True


class fired_by_service(Event):  # noqa: N801
    """A ``circuits`` event, fired by a handler of a message."""


@pytest.mark.parametrize(
    ("callback", "wait_s"),
    [
        (lambda service: None, 5.0),
        (lambda service: service.fire(fired_by_service(), "wait_recorder"), 0),
        (lambda service: service.call_after(2000, Ping(1)), 2.0),
    ],
)
def test_poller_wait_respects_events_and_timers_of_handlers(kernel, callback, wait_s):
    """Guards against events and timers delayed until a socket is ready."""
    kernel.register(
        CallbackRecorder(kernel, "recorder", lambda service, _: callback(service))
    )
    recorder = WaitRecorder().register(kernel.root)
    kernel.tick()
    recorder.waits_s.clear()
    kernel.send("recorder", Ping(1))
    kernel.tick(5.0)
    assert recorder.waits_s[0] == wait_s
    kernel.tick()
    assert recorder.has_event_arrived == (wait_s == 0)


def test_handler_can_stop_the_kernel(kernel):
    """Guards against a daemon that has drained but keeps running."""
    kernel.register(
        CallbackRecorder(kernel, "recorder", lambda service, _: kernel.stop())
    )
    kernel.send("recorder", Ping(1))
    # Outside the main thread, the kernel installs no signal handlers.
    thread = Thread(target=kernel.run, daemon=True)
    thread.start()
    thread.join(20)
    assert not thread.is_alive()
