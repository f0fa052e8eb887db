"""
The log of a program: short sentences for operators.

Its library takes a quarter of the time in which a daemon loads, and callers
wait for a daemon that starts again. So it is loaded with the first line.
"""

import sys
from typing import Any

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
DEBUG, INFO, WARNING, ERROR = LEVELS
TIME_AND_LEVEL = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level}"


class Log:
    """State of the log of one program."""

    def __init__(self) -> None:
        """Start with lines to standard error."""
        self._format = TIME_AND_LEVEL + " {message}"
        self._level = INFO
        self._is_silent = False
        self._library: Any = None

    def configure(self, name: str, level: str) -> None:
        """
        Name the program in each line, and choose the lines.

        :param name: name of the instance.
        :param level: least level that is written.
        """
        escaped = name.replace("{", "{{").replace("}", "}}")
        self._format = f"{TIME_AND_LEVEL} {escaped} {{message}}"
        self._level = level
        self._library = None

    def silence(self) -> None:
        """Write nothing."""
        self._is_silent = True

    def debug(self, text: str, *values: Any) -> None:
        """
        Write a line that only developers need.

        :param text: sentence with a place for each value.
        :param values: values for the places.
        """
        self._write(DEBUG, text, values)

    def info(self, text: str, *values: Any) -> None:
        """
        Write a line about something usual.

        :param text: sentence with a place for each value.
        :param values: values for the places.
        """
        self._write(INFO, text, values)

    def warning(self, text: str, *values: Any) -> None:
        """
        Write a line about something that an operator may have to look at.

        :param text: sentence with a place for each value.
        :param values: values for the places.
        """
        self._write(WARNING, text, values)

    def error(self, text: str, *values: Any, cause: Exception | None = None) -> None:
        """
        Write a line about something that has failed.

        :param text: sentence with a place for each value.
        :param values: values for the places.
        :param cause: exception whose trace is written as well.
        """
        self._write(ERROR, text, values, cause)

    def _write(
        self,
        level: str,
        text: str,
        values: tuple[Any, ...],
        cause: Exception | None = None,
    ) -> None:
        if self._is_silent or LEVELS.index(level) < LEVELS.index(self._level):
            return
        if self._library is None:
            self._library = self._open()
        self._library.opt(exception=cause).log(level, text, *values)

    def _open(self) -> Any:
        from loguru import logger as library

        library.remove()
        # Diagnosis prints the values of variables, among them keys.
        library.add(sys.stderr, format=self._format, level=self._level, diagnose=False)
        return library


logger = Log()
