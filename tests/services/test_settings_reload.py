"""Tests of reading the settings again."""

import os
import signal
from typing import NamedTuple

import pytest

from cuminhatch.clock import ManualClock
from cuminhatch.errors import SettingsError
from cuminhatch.kernel import Kernel
from cuminhatch.messages import EventRecorded, SettingsChanged
from cuminhatch.services.settings_reload import CHECK_INTERVAL_MS, SettingsReload
from tests.support import Recorder


class Settings(NamedTuple):
    """Settings of two keys."""

    probes: float
    name: str


def load(file_name):
    """Read the settings of the tests."""
    with open(file_name) as file:
        text = file.read()
    if "=" in text:
        raise SettingsError("malformed")
    probes, name = text.split()
    return Settings(float(probes), name)


@pytest.fixture
def world(tmp_path):
    before = signal.getsignal(signal.SIGHUP)
    made = World(tmp_path / "settings")
    yield made
    signal.signal(signal.SIGHUP, before)
    made.kernel.close()


class World:
    """The service, a consumer and the log."""

    def __init__(self, path):
        self.path = path
        path.write_text("60 a")
        self.clock = ManualClock(1_000.0)
        self.kernel = Kernel(self.clock)
        self.loads = self.kernel.register(
            Recorder(self.kernel, "loads", SettingsChanged)
        )
        self.log = self.kernel.register(
            Recorder(self.kernel, "event_log", EventRecorded)
        )
        service = SettingsReload(
            self.kernel, str(path), load(path), load, consumers=("loads",)
        )
        self.kernel.register(service).open()

    def wait(self):
        self.clock.advance(CHECK_INTERVAL_MS + 1.0)
        for _ in range(5):
            self.kernel.tick()


def test_signal_does_not_end_the_process(world):
    """Guards against a daemon that SIGHUP kills."""
    os.kill(os.getpid(), signal.SIGHUP)
    world.wait()
    (event,) = world.log.received
    assert (event.name, event.details) == ("settings_reloaded", {"changed": []})
    assert not world.loads.received


def test_changed_file_is_read_without_a_signal(world):
    """Guards against settings that change and never apply."""
    world.path.write_text("30.5 a")
    world.wait()
    assert world.loads.received == [SettingsChanged(Settings(30.5, "a"))]
    world.wait()
    assert len(world.loads.received) == 1


def test_malformed_file_leaves_the_former_settings(world):
    """Guards against a mistake in the file that stops a serving daemon."""
    world.path.write_text("probes = 1")
    world.wait()
    assert [event.name for event in world.log.received] == ["settings_refused"]
    assert not world.loads.received
    world.path.unlink()
    world.wait()
    world.path.write_text("20 bb")
    world.wait()
    assert world.loads.received[-1].settings.probes == 20.0
