"""Holds the list of log events in the operators' page to the code."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
# The parts of a daemon that write the event log on the users' platform.
WRITERS = (
    "gateway.py",
    "decisions/catalog.py",
    "services/catalog",
    "services/forwarding",
    "services/settings_reload.py",
    "services/supervisor.py",
)
RECORDED = re.compile(r'(?:record|yield)\(?\s*(?:kernel, |\()?"([a-z_]+)"')


def read_sources():
    for name in WRITERS:
        path = ROOT / "src" / "cuminhatch" / name
        for file in sorted(path.rglob("*.py")) if path.is_dir() else (path,):
            yield file.read_text()


def test_every_event_is_listed_for_operators():
    """Guards against log lines that no page explains."""
    written = {name for text in read_sources() for name in RECORDED.findall(text)}
    assert {"received", "daemon_started", "store_lost", "drain_started"} <= written
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    listed = set(re.findall(r"`([a-z_]+)`", page))
    assert written <= listed
