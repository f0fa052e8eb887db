"""Reloads the settings file when it changes or on SIGHUP."""

import os
import signal
from collections.abc import Callable
from typing import Any, NamedTuple

from cuminhatch.errors import SettingsError
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import EventRecorded, SettingsChanged

# Picks up changes made without a signal.
CHECK_INTERVAL_MS = 2_000.0


class CheckTimerExpired(NamedTuple):
    """The settings file is to be checked for changes."""


class SettingsReload(Service):
    """
    Handles SIGHUP and watches the settings file.

    Changed settings are sent to the services that can apply them at run time;
    the log names all changes. The other settings take effect at the next
    start.
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
        Create the service without watching the file.

        :param kernel: kernel of the process.
        :param file_name: name of the settings file.
        :param settings: settings in use.
        :param load: reads and parses the settings file.
        :param consumers: services that apply changed settings.
        """
        super().__init__(kernel)
        self._file_name = file_name
        self._settings = settings
        self._load = load
        self._consumers = consumers
        self._file_version = self._read_file_version()
        self._is_reload_requested = False

    def message_handlers(self) -> MessageTable:
        """Return the handler of the check timer."""
        return {CheckTimerExpired: self._on_check_timer_expired}

    def open(self) -> None:
        """Handle SIGHUP, which would otherwise end the process."""
        signal.signal(signal.SIGHUP, self._on_signal)
        self.call_after(CHECK_INTERVAL_MS, CheckTimerExpired())

    def _on_signal(self, number: int, frame: Any) -> None:
        # The reload itself runs in the polling thread, from the timer.
        self._is_reload_requested = True

    def _on_check_timer_expired(self, message: CheckTimerExpired) -> None:
        self.call_after(CHECK_INTERVAL_MS, message)
        file_version = self._read_file_version()
        if self._is_reload_requested or file_version != self._file_version:
            self._is_reload_requested = False
            self._file_version = file_version
            self._reload()

    def _read_file_version(self) -> tuple[int, int] | None:
        """Return modification time and size; None if there is no file."""
        try:
            status = os.stat(self._file_name)
        except OSError:
            # For example while the file is being replaced. The next check that
            # finds a file reloads it.
            return None
        return status.st_mtime_ns, status.st_size

    def _reload(self) -> None:
        try:
            settings = self._load(self._file_name)
        except SettingsError as error:
            logger.warning(
                "settings: File refused, keeping current settings: {}.", error
            )
            self._record_event("settings_refused", {"reason": str(error)})
            return
        previous, self._settings = self._settings, settings
        changed = [
            name
            for name, old, new in zip(settings._fields, previous, settings, strict=True)
            if old != new
        ]
        logger.info("settings: Reloaded; changed: {}.", ", ".join(changed) or "none")
        self._record_event("settings_reloaded", {"changed": changed})
        if changed:
            for name in self._consumers:
                self.send(name, SettingsChanged(settings))

    def _record_event(self, name: str, details: dict[str, Any]) -> None:
        self.send("event_log", EventRecorded(self.name, name, "", 0, details))
