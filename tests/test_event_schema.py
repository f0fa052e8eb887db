"""Test that the operators' page lists the log events of the code."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Modules of the gateway that write to the event log.
EVENT_SOURCES = (
    "gateway.py",
    "decisions/catalog.py",
    "decisions/quota",
    "services/catalog",
    "services/forwarding",
    "services/settings_reload.py",
    "services/supervisor.py",
)
# Event names are the first text passed to record() or record_event(), or the
# first item of a generated tuple.
RECORDED_EVENT = re.compile(
    r'(?:record(?:_event)?|yield|QuotaEvent)\(?\s*(?:kernel, |\()?"([a-z_]+)"'
)


def read_sources():
    for name in EVENT_SOURCES:
        path = ROOT / "src" / "cuminhatch" / name
        for file in sorted(path.rglob("*.py")) if path.is_dir() else (path,):
            yield file.read_text()


def test_every_event_is_listed_for_operators():
    """Guards against log events that are not documented."""
    recorded = {
        name for text in read_sources() for name in RECORDED_EVENT.findall(text)
    }
    assert {"received", "daemon_started", "store_lost", "drain_started"} <= recorded
    assert "quota_limited" in recorded
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    listed = set(re.findall(r"`([a-z_]+)`", page))
    assert recorded <= listed
