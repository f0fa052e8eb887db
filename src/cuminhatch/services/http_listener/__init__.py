"""
HTTP/1.1 listener: owns connections and turns requests into messages.

All listeners are instances of :class:`HttpListener`: those for callers,
metrics, readiness and the catalog, and those of the simulated servers in
``cuminhatch_standins``. They differ in the target service that handles the
requests.
"""

from cuminhatch.services.http_listener._connections import (
    MAX_UNREQUESTED_BODY_BYTES,
    WRITE_HIGH_WATER_BYTES,
)
from cuminhatch.services.http_listener._state import DEFAULT_LIMITS, ListenerLimits
from cuminhatch.services.http_listener.service import (
    SWEEP_INTERVAL_MS,
    HttpListener,
)

__all__ = [
    "DEFAULT_LIMITS",
    "MAX_UNREQUESTED_BODY_BYTES",
    "SWEEP_INTERVAL_MS",
    "WRITE_HIGH_WATER_BYTES",
    "HttpListener",
    "ListenerLimits",
]
