"""Tests of message delivery, deadlines and failures."""

from threading import Thread
from typing import NamedTuple

import pytest
from circuits.core.components import BaseComponent
from circuits.core.events import Event
from circuits.core.handlers import handler

from cuminhatch import KernelError, ManualClock
from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel, Service
from tests.support import Recorder, settle


class Ping(NamedTuple):
    """Test message."""

    number: int


class Actor(Recorder):
    """Calls a function for each message, then keeps the message."""

    def __init__(self, kernel, name, act):
        super().__init__(kernel, name, Ping)
        self.act = act

    def message_handlers(self):
        return {Ping: self._on_ping}

    def _on_ping(self, message):
        self.act(self, message)
        self.received.append(message)


@pytest.fixture
def kernel():
    return Kernel(ManualClock())


@pytest.fixture
def recorder(kernel):
    return kernel.register(Recorder(kernel, "recorder", Ping))


def test_messages_arrive_in_order(kernel, recorder):
    """Guards against reordering, which would mix up the parts of a body."""
    for number in range(5):
        kernel.send("recorder", Ping(number))
    settle(kernel, 5)
    assert recorder.received == [Ping(number) for number in range(5)]


def test_failed_handler_is_reported_and_service_goes_on(kernel):
    """Guards against one bad message that ends a daemon."""
    actor = Actor(kernel, "actor", lambda _, ping: 1 / ping.number)
    kernel.register(actor)
    supervisor = kernel.register(Recorder(kernel, SUPERVISOR, HandlerFailed))
    kernel.send("actor", Ping(0))
    kernel.send("actor", Ping(1))
    settle(kernel, 5)
    assert actor.received == [Ping(1)]
    assert [failed.message for failed in supervisor.received] == [Ping(0)]


def test_deadlines_fire_in_order_unless_cancelled(kernel, recorder):
    """Guards against timers that fire early, late or after being cancelled."""
    kernel.call_at(20, "recorder", Ping(2))
    kernel.call_at(10, "recorder", Ping(1))
    token = kernel.call_at(15, "recorder", Ping(9))
    kernel.cancel(token)
    settle(kernel, 5)
    assert recorder.received == []
    kernel.clock.advance(10)
    settle(kernel, 5)
    assert recorder.received == [Ping(1)]
    kernel.clock.advance(10)
    settle(kernel, 5)
    assert recorder.received == [Ping(1), Ping(2)]


def test_second_service_of_a_name_is_refused(kernel, recorder):
    """Guards against two services that both answer to one name."""
    with pytest.raises(KernelError):
        kernel.register(Recorder(kernel, "recorder", Ping))


def test_service_that_overwrites_circuits_state_is_refused(kernel):
    """Guards against attributes that break event delivery silently."""
    service = Service(kernel)
    service._queue = []
    with pytest.raises(KernelError):
        kernel.register(service)


def test_endless_messages_leave_time_for_deadlines(kernel, recorder):
    """Guards against two services that talk and starve everything else."""
    kernel.register(
        Actor(kernel, "talker", lambda service, ping: service.send("talker", ping))
    )
    kernel.send("talker", Ping(1))
    kernel.call_at(0, "recorder", Ping(2))
    settle(kernel, 5)
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
    kernel.register(Actor(kernel, "recorder", lambda service, _: act(service)))
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
    kernel.register(Actor(kernel, "recorder", lambda service, _: kernel.stop()))
    kernel.send("recorder", Ping(1))
    # Outside the main thread the kernel leaves the signal handlers alone.
    thread = Thread(target=kernel.run, daemon=True)
    thread.start()
    thread.join(20)
    assert not thread.is_alive()
