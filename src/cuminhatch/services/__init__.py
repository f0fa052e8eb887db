"""Services: tasks that own sockets and state and talk by messages."""

from cuminhatch.services.backends import BackendConnections
from cuminhatch.services.claims import Claims
from cuminhatch.services.dispatch import Dispatch
from cuminhatch.services.http_client import HttpClient
from cuminhatch.services.http_listener import HttpListener
from cuminhatch.services.metrics import Metrics
from cuminhatch.services.note_transfer import NoteTransfer
from cuminhatch.services.notes import Notes
from cuminhatch.services.operators import Operators
from cuminhatch.services.peers import Peers
from cuminhatch.services.permits import Permits
from cuminhatch.services.platform import Platform, PlatformAddresses, PlatformTimeouts
from cuminhatch.services.probes import Probes
from cuminhatch.services.supervisor import Supervisor
from cuminhatch.services.timeline import Timeline

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
]
