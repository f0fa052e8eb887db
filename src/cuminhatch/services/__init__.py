"""
Services: tasks that own sockets and state and communicate by messages.

Modules are imported on first access: a process loads only the services that it
registers, which saves memory and startup time.
"""

from importlib import import_module
from typing import Any

_MODULES = {
    "BackendConnections": "cuminhatch.services.backends",
    "Claims": "cuminhatch.services.claims",
    "Dispatch": "cuminhatch.services.dispatch",
    "HttpClient": "cuminhatch.services.http_client",
    "HttpListener": "cuminhatch.services.http_listener",
    "Metrics": "cuminhatch.services.metrics",
    "NoteTransfer": "cuminhatch.services.note_transfer",
    "Notes": "cuminhatch.services.notes",
    "Operators": "cuminhatch.services.operators",
    "Peers": "cuminhatch.services.peers",
    "Permits": "cuminhatch.services.permits",
    "Platform": "cuminhatch.services.platform",
    "PlatformAddresses": "cuminhatch.services.platform",
    "PlatformTimeouts": "cuminhatch.services.platform",
    "Probes": "cuminhatch.services.probes",
    "Supervisor": "cuminhatch.services.supervisor",
    "Timeline": "cuminhatch.services.timeline",
}

__all__ = [
    "BackendConnections",
    "Claims",
    "Dispatch",
    "HttpClient",
    "HttpListener",
    "Metrics",
    "NoteTransfer",
    "Notes",
    "Operators",
    "Peers",
    "Permits",
    "Platform",
    "PlatformAddresses",
    "PlatformTimeouts",
    "Probes",
    "Supervisor",
    "Timeline",
]  # noqa: F822


def __getattr__(name: str) -> Any:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(module), name)
