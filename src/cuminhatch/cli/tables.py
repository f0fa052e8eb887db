"""Text forms of what the commands show."""

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

from cuminhatch.clock import MS_PER_SECOND


def format_table(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """
    Align cells in columns.

    :param heads: names of the columns.
    :param rows: cells, as many a row as there are columns.
    """
    lines = [list(heads), *[list(row) for row in rows]]
    widths = [max(len(line[i]) for line in lines) for i in range(len(heads))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_events(events: Sequence[dict[str, Any]]) -> str:
    """
    Show events as lines, one an event.

    :param events: events as sent by the daemons, in order.
    """
    return "\n".join(_format_event(event) for event in events) or "no events"


def _format_event(event: dict[str, Any]) -> str:
    wall_ms, counter = event["stamp"]
    time = datetime.fromtimestamp(wall_ms / MS_PER_SECOND, UTC)
    stamp = f"{time:%Y-%m-%dT%H:%M:%S}.{wall_ms % 1000:03d}Z+{counter}"
    subject = []
    if event["request_id"]:
        subject.append(f"request={event['request_id']}")
    if event["note_sequence"]:
        subject.append(f"note={event['note_sequence']}")
    details = [f"{name}={value}" for name, value in event["details"].items()]
    words = [stamp, event["instance_id"], f"{event['part']}:", event["name"]]
    return " ".join(words + subject + details)


def format_notes(notes: Sequence[dict[str, Any]]) -> str:
    """
    Show accepted notes as a table.

    :param notes: notes as sent by a daemon, in order.
    """
    rows = [
        [
            str(accepted["sequence"]),
            accepted["note"]["id"],
            accepted["note"]["author"],
            str(len(accepted["note"]["items"])),
            accepted["note"]["summary"],
        ]
        for accepted in notes
    ]
    return format_table(["number", "id", "author", "items", "summary"], rows)
