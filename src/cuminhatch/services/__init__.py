"""Services: tasks that own sockets and state and talk by messages."""

from cuminhatch.services.backends import BackendConnections
from cuminhatch.services.dispatch import Dispatch
from cuminhatch.services.http_client import HttpClient
from cuminhatch.services.http_listener import HttpListener
from cuminhatch.services.platform import (
    Platform,
    PlatformAddresses,
    PlatformTimeouts,
)

__all__ = [
    "BackendConnections",
    "Dispatch",
    "HttpClient",
    "HttpListener",
    "Platform",
    "PlatformAddresses",
    "PlatformTimeouts",
]
