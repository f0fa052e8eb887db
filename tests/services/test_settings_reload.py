"""Tests of reloading the settings."""

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
    """Settings with two keys."""

    probes: float
    name: str


def load(file_name):
    """Load settings in the format of these tests."""
    with open(file_name) as file:
        text = file.read()
    if "=" in text:
        raise SettingsError("malformed")
    probes, name = text.split()
    return Settings(float(probes), name)


@pytest.fixture
def world(tmp_path):
    old_handler = signal.getsignal(signal.SIGHUP)
    reload_world = World(tmp_path / "settings")
    yield reload_world
    signal.signal(signal.SIGHUP, old_handler)
    reload_world.kernel.close()


class World:
    """The service, a consumer of settings and a fake event log."""

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

    def run_check(self):
        self.clock.advance(CHECK_INTERVAL_MS + 1.0)
        for _ in range(5):
            self.kernel.tick()


def test_signal_does_not_end_the_process(world):
    """Guards against a daemon ended by SIGHUP."""
    os.kill(os.getpid(), signal.SIGHUP)
    world.run_check()
    (event,) = world.log.received
    assert (event.name, event.details) == ("settings_reloaded", {"changed": []})
    assert not world.loads.received


def test_changed_file_is_reloaded_without_a_signal(world):
    """Guards against changed settings that never take effect."""
    world.path.write_text("30.5 a")
    world.run_check()
    assert world.loads.received == [SettingsChanged(Settings(30.5, "a"))]
    world.run_check()
    assert len(world.loads.received) == 1


def test_malformed_file_keeps_the_current_settings(world):
    """Guards against an invalid settings file that stops a daemon."""
    world.path.write_text("probes = 1")
    world.run_check()
    assert [event.name for event in world.log.received] == ["settings_refused"]
    assert not world.loads.received
    world.path.unlink()
    world.run_check()
    world.path.write_text("20 bb")
    world.run_check()
    assert world.loads.received[-1].settings.probes == 20.0
