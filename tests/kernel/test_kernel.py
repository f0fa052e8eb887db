"""Tests of message delivery, deadlines and failures."""

from threading import Thread
from typing import NamedTuple

import pytest
from circuits.core.components import BaseComponent
from circuits.core.events import Event
from circuits.core.handlers import handler

from cuminhatch import KernelError, ManualClock
from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel, Service


class Ping(NamedTuple):
    """Test message."""

    number: int


class Recorder(Service):
    """Keeps the messages it gets; number 13 fails."""

    name = "recorder"

    def __init__(self, kernel, name=None):
        super().__init__(kernel, name)
        self.received = []

    def message_handlers(self):
        return {Ping: self._on_ping, HandlerFailed: self.received.append}

    def _on_ping(self, message):
        if message.number == 13:
            raise ValueError("unlucky")
        self.received.append(message)


@pytest.fixture
def kernel():
    return Kernel(ManualClock())


def run_ticks(kernel, count=5):
    for _ in range(count):
        kernel.tick()


def test_messages_arrive_in_order(kernel):
    """Guards against reordering, which would mix up the parts of a body."""
    recorder = kernel.register(Recorder(kernel))
    for number in range(5):
        kernel.send("recorder", Ping(number))
    run_ticks(kernel)
    assert recorder.received == [Ping(number) for number in range(5)]


def test_failed_handler_is_reported_and_service_goes_on(kernel):
    """Guards against one bad message that ends a daemon."""
    recorder = kernel.register(Recorder(kernel))
    supervisor = kernel.register(Recorder(kernel, SUPERVISOR))
    kernel.send("recorder", Ping(13))
    kernel.send("recorder", Ping(1))
    run_ticks(kernel)
    assert recorder.received == [Ping(1)]
    assert [failed.message for failed in supervisor.received] == [Ping(13)]


def test_deadlines_fire_in_order_unless_cancelled(kernel):
    """Guards against timers that fire early, late or after being cancelled."""
    recorder = kernel.register(Recorder(kernel))
    kernel.call_at(20, "recorder", Ping(2))
    kernel.call_at(10, "recorder", Ping(1))
    token = kernel.call_at(15, "recorder", Ping(9))
    kernel.cancel(token)
    run_ticks(kernel)
    assert recorder.received == []
    kernel.clock.advance(10)
    run_ticks(kernel)
    assert recorder.received == [Ping(1)]
    kernel.clock.advance(10)
    run_ticks(kernel)
    assert recorder.received == [Ping(1), Ping(2)]


def test_second_service_of_a_name_is_refused(kernel):
    """Guards against two services that both answer to one name."""
    kernel.register(Recorder(kernel))
    with pytest.raises(KernelError):
        kernel.register(Recorder(kernel))


def test_service_that_overwrites_circuits_state_is_refused(kernel):
    """Guards against attributes that break event delivery silently."""
    service = Recorder(kernel)
    service._queue = []
    with pytest.raises(KernelError):
        kernel.register(service)


def test_endless_messages_leave_time_for_deadlines(kernel):
    """Guards against two services that talk and starve everything else."""

    class Talker(Recorder):
        def _on_ping(self, message):
            self.received.append(message)
            self.send("talker", message)

    kernel.register(Talker(kernel, "talker"))
    recorder = kernel.register(Recorder(kernel))
    kernel.send("talker", Ping(1))
    kernel.call_at(0, "recorder", Ping(2))
    run_ticks(kernel)
    assert recorder.received == [Ping(2)]


class WaitRecorder(BaseComponent):
    """Keeps how long the poller after it may wait."""

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
    """Test event."""


@pytest.mark.parametrize(
    ("act", "wait_s"),
    [
        (lambda service: None, 5.0),
        (lambda service: service.fire(fired_by_service(), "wait_recorder"), 0),
        (lambda service: service.call_after(2000, Ping(1)), 2.0),
    ],
)
def test_poller_does_not_wait_past_what_a_handler_started(kernel, act, wait_s):
    """Guards against events and deadlines that wait for the next socket."""

    class Actor(Recorder):
        def _on_ping(self, message):
            act(self)

    kernel.register(Actor(kernel))
    recorder = WaitRecorder().register(kernel.root)
    kernel.tick()
    recorder.waits_s.clear()
    kernel.send("recorder", Ping(1))
    kernel.tick(5.0)
    assert recorder.waits_s[0] == wait_s
    kernel.tick()
    assert recorder.has_event_arrived == (wait_s == 0)


def test_handler_can_stop_the_kernel(kernel):
    """Guards against a daemon that has drained and never ends."""

    class Stopper(Recorder):
        def _on_ping(self, message):
            self.kernel.stop()

    kernel.register(Stopper(kernel))
    kernel.send("recorder", Ping(1))
    # Outside the main thread the kernel leaves the signal handlers alone.
    thread = Thread(target=kernel.run, daemon=True)
    thread.start()
    thread.join(20)
    assert not thread.is_alive()
