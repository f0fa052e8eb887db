"""Text formatting of tables, events and notes."""

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

from cuminhatch.clock import MS_PER_SECOND


def format_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """
    Format rows of cells as aligned columns.

    :param columns: titles of the columns.
    :param rows: cells of each row, one per column.
    """
    lines = [list(columns), *[list(row) for row in rows]]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_events(events: Sequence[dict[str, Any]]) -> str:
    """
    Format events as text, one line per event.

    :param events: events as returned by the daemons, in the order of their
        timestamps.
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
    fields = [stamp, event["instance_id"], f"{event['part']}:", event["name"]]
    return " ".join(fields + subject + details)


def format_notes(notes: Sequence[dict[str, Any]]) -> str:
    """
    Format accepted notes as a table.

    :param notes: accepted notes in the order of their sequence numbers.
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
