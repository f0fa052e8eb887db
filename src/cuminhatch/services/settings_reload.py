"""Reads the settings file again when it has changed."""

import os
import signal
from collections.abc import Callable
from typing import Any, NamedTuple

from cuminhatch.errors import SettingsError
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import EventRecorded, SettingsChanged

# The file may change without a signal.
CHECK_INTERVAL_MS = 2_000.0


class CheckDue(NamedTuple):
    """The file is to be looked at."""


class SettingsReload(Service):
    """
    Owns the signal and the time stamp of the settings file.

    Settings that a running process can take are sent to the services that
    use them; the others are named in the log and hold from the next start.
    """

    name = "settings"

    def __init__(
        self,
        kernel: Kernel,
        file_name: str,
        settings: NamedTuple,
        load: Callable[[str], NamedTuple],
        consumers: tuple[str, ...],
    ) -> None:
        """
        Start with the settings in use.

        :param kernel: kernel of the process.
        :param file_name: the settings file.
        :param settings: settings in use.
        :param load: reads the file.
        :param consumers: services that take changed settings.
        """
        super().__init__(kernel)
        self._file_name = file_name
        self._settings = settings
        self._load = load
        self._consumers = consumers
        self._stamp = self._read_stamp()
        self._is_signalled = False

    def message_handlers(self) -> MessageTable:
        """Return the own timer."""
        return {CheckDue: self._on_check_due}

    def open(self) -> None:
        """Take SIGHUP, which would end the process otherwise."""
        signal.signal(signal.SIGHUP, self._on_signal)
        self.call_after(CHECK_INTERVAL_MS, CheckDue())

    def _on_signal(self, number: int, frame: Any) -> None:
        # Everything else happens in the thread that polls.
        self._is_signalled = True

    def _on_check_due(self, message: CheckDue) -> None:
        self.call_after(CHECK_INTERVAL_MS, message)
        stamp = self._read_stamp()
        if self._is_signalled or stamp != self._stamp:
            self._is_signalled = False
            self._stamp = stamp
            self._reload()

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            status = os.stat(self._file_name)
        except OSError:
            # It may be replaced just now; the next look finds it.
            return None
        return status.st_mtime_ns, status.st_size

    def _reload(self) -> None:
        try:
            settings = self._load(self._file_name)
        except SettingsError as error:
            logger.warning("settings: File refused, the former hold: {}.", error)
            self._record("settings_refused", {"reason": str(error)})
            return
        before, self._settings = self._settings, settings
        changed = [
            name
            for name, old, new in zip(settings._fields, before, settings, strict=True)
            if old != new
        ]
        logger.info("settings: Read again; changed: {}.", ", ".join(changed) or "none")
        self._record("settings_reloaded", {"changed": changed})
        if changed:
            for name in self._consumers:
                self.send(name, SettingsChanged(settings))

    def _record(self, name: str, details: dict[str, Any]) -> None:
        self.send("event_log", EventRecorded(self.name, name, "", 0, details))
