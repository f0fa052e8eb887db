"""The record of a script: what was sent, answered and run."""

import threading
import time


class Record:
    """Writes lines with the time since the start to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def write(self, who, text):
        """Write one line."""
        with self._lock:
            elapsed = time.monotonic() - self._started
            self._file.write(f"{elapsed:9.3f} {who:<10} {text}\n")
            self._file.flush()
