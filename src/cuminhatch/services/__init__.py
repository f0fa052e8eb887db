"""Services: tasks that own sockets and state and talk by messages."""

from cuminhatch.services.backends import BackendConnections
from cuminhatch.services.claims import Claims
from cuminhatch.services.dispatch import Dispatch
from cuminhatch.services.http_listener import HttpListener
from cuminhatch.services.permits import Permits

__all__ = ["BackendConnections", "Claims", "Dispatch", "HttpListener", "Permits"]
