"""
Forwards requests to backend servers that register in the store.

``cuminhatch.gateway`` uses this service. ``cuminhatch.daemon`` uses
``dispatch`` instead, for servers that are listed in the configuration.
"""

from cuminhatch.services.forwarding.service import Forwarding, ForwardingSettings

__all__ = ["Forwarding", "ForwardingSettings"]
