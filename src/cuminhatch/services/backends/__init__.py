"""
Connections to backend servers, for requests and for load probes.

``service`` sends requests and reads responses; ``_pool`` keeps the connections
and ``_reports`` tells the requesting service what has become of its request.
"""

from cuminhatch.services.backends.service import IDLE_TIMEOUT_MS, BackendConnections

__all__ = ["IDLE_TIMEOUT_MS", "BackendConnections"]
