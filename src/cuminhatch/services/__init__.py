"""Services: tasks that own sockets and state and talk by messages."""

from cuminhatch.services.backends import BackendConnections
from cuminhatch.services.dispatch import Dispatch
from cuminhatch.services.http_listener import HttpListener
from cuminhatch.services.notes import Notes

__all__ = ["BackendConnections", "Dispatch", "HttpListener", "Notes"]
