"""
Diagnostic log of a program.

Messages are full sentences, written for operators.

loguru accounts for a quarter of the import time of a daemon, and callers wait
while a daemon restarts, so it is imported only when the first line is written.
"""

import sys
from typing import Any

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
DEBUG, INFO, WARNING, ERROR = LEVELS
TIME_AND_LEVEL = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level}"


class Log:
    """Log of one program; loguru is imported with the first line written."""

    def __init__(self) -> None:
        """Log to standard error, from level INFO."""
        self._format = TIME_AND_LEVEL + " {message}"
        self._level = INFO
        self._is_silenced = False
        self._loguru_logger: Any = None

    def configure(self, instance_id: str, level: str) -> None:
        """
        Set the instance id shown in each line, and the minimum level.

        :param instance_id: id of the instance.
        :param level: minimum level that is written, one of :data:`LEVELS`.
        """
        escaped_id = instance_id.replace("{", "{{").replace("}", "}}")
        self._format = f"{TIME_AND_LEVEL} {escaped_id} {{message}}"
        self._level = level
        self._loguru_logger = None

    def silence(self) -> None:
        """Disable all output."""
        self._is_silenced = True

    def debug(self, text: str, *values: Any) -> None:
        """
        Log a detail for developers.

        :param text: message with a ``{}`` placeholder for each value.
        :param values: values of the placeholders.
        """
        self._write(DEBUG, text, values)

    def info(self, text: str, *values: Any) -> None:
        """
        Log a normal event.

        :param text: message with a ``{}`` placeholder for each value.
        :param values: values of the placeholders.
        """
        self._write(INFO, text, values)

    def warning(self, text: str, *values: Any) -> None:
        """
        Log a condition that may need an operator's attention.

        :param text: message with a ``{}`` placeholder for each value.
        :param values: values of the placeholders.
        """
        self._write(WARNING, text, values)

    def error(self, text: str, *values: Any, cause: Exception | None = None) -> None:
        """
        Log a failure.

        :param text: message with a ``{}`` placeholder for each value.
        :param values: values of the placeholders.
        :param cause: exception whose traceback is logged as well.
        """
        self._write(ERROR, text, values, cause)

    def _write(
        self,
        level: str,
        text: str,
        values: tuple[Any, ...],
        cause: Exception | None = None,
    ) -> None:
        if self._is_silenced or LEVELS.index(level) < LEVELS.index(self._level):
            return
        if self._loguru_logger is None:
            self._loguru_logger = self._configure_loguru()
        self._loguru_logger.opt(exception=cause).log(level, text, *values)

    def _configure_loguru(self) -> Any:
        from loguru import logger as loguru_logger

        loguru_logger.remove()
        # With diagnose, tracebacks show the values of variables, such as keys.
        loguru_logger.add(
            sys.stderr, format=self._format, level=self._level, diagnose=False
        )
        return loguru_logger


logger = Log()
