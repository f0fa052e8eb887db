"""Command that explains what happened to a request, from log files."""

from collections.abc import Iterator, Sequence
from pathlib import Path

import orjson

from cuminhatch.cli.plans import (
    EXIT_FAILED,
    EXIT_SUCCESS,
    ApiFailed,
    ApiReply,
    CommandError,
    Options,
    Output,
    Plan,
)
from cuminhatch.decisions.explanation import Line, NotFound, explain_request


def plan_explain(options: Options, arguments: list[str]) -> Plan:
    """
    Return the plan that explains a request from log files of instances.

    :param options: values of the flags; none is used.
    :param arguments: request id and names of the log files.
    :raises CommandError: no file is given or a file cannot be read.
    """
    if len(arguments) < 2:
        raise CommandError("explain: expected a request id and one or more log files")
    request_id, *file_names = arguments
    lines = [line for name in file_names for line in read_log_lines(name)]

    def make_output(_: Sequence[ApiReply | ApiFailed]) -> Output:
        result = explain_request(request_id, lines)
        if isinstance(result, NotFound):
            error = {"error": result.reason}
            return Output(f"error: {result.reason}", error, EXIT_FAILED)
        text = "\n".join(
            "\n".join(
                (f"{request_id} on {explanation.instance}", *explanation.sentences)
            )
            for explanation in result
        )
        return Output(
            text, [explanation._asdict() for explanation in result], EXIT_SUCCESS
        )

    return Plan((), False, make_output)


def read_log_lines(file_name: str) -> Iterator[Line]:
    """
    Read the JSON lines of a log file.

    Lines without an event (a JSON object that starts with ``wall_ms``) are
    skipped, and so is any prefix that a log collector has put before it.

    :param file_name: name of the log file.
    :raises CommandError: the file cannot be read.
    """
    try:
        with Path(file_name).open("rb") as file:
            for data in file:
                start = data.find(b'{"wall_ms"')
                if start < 0:
                    continue
                try:
                    yield orjson.loads(data[start:])
                except orjson.JSONDecodeError:
                    # The last line of a killed process may be truncated.
                    continue
    except OSError as error:
        raise CommandError(f"{file_name}: {error.strerror}") from error
