"""The service that moves requests from callers to backend servers and back."""

from cuminhatch.services.dispatch.service import Dispatch

__all__ = ["Dispatch"]
