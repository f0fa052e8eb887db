"""The command that explains a request from log files."""

from collections.abc import Iterator, Sequence
from pathlib import Path

import orjson

from cuminhatch.cli.plans import (
    STATUS_DONE,
    STATUS_FAILED,
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
    Explain a request from the log files of any instances.

    :param options: flags.
    :param arguments: id of the request and names of the files.
    :raises CommandError: no file is named, or one cannot be read.
    """
    if len(arguments) < 2:
        raise CommandError("explain: name a request id and one or more log files")
    request_id, *file_names = arguments
    lines = [line for name in file_names for line in read_lines(name)]

    def show(_: Sequence[ApiReply | ApiFailed]) -> Output:
        found = explain_request(request_id, lines)
        if isinstance(found, NotFound):
            error = {"error": found.reason}
            return Output(f"error: {found.reason}", error, STATUS_FAILED)
        text = "\n".join(
            "\n".join((f"{request_id} on {one.instance}", *one.sentences))
            for one in found
        )
        return Output(text, [one._asdict() for one in found], STATUS_DONE)

    return Plan((), False, show)


def read_lines(file_name: str) -> Iterator[Line]:
    """
    Read the JSON lines of a log file.

    Other lines, and what a collector put before the JSON, are passed over.

    :param file_name: name of the file.
    :raises CommandError: it cannot be read.
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
                    # The last line of a killed process may be cut.
                    continue
    except OSError as error:
        raise CommandError(f"{file_name}: {error.strerror}") from error
