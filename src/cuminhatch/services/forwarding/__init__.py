"""Forwards requests to registered backend servers."""

from cuminhatch.services.forwarding.service import Forwarding, ForwardingSettings

__all__ = ["Forwarding", "ForwardingSettings"]
