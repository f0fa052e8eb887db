"""
An HTTP/1.1 port: owns its connections and passes requests on as messages.

The daemon's port for callers and the ports of the stand-ins are of this
class; they differ in the service that answers.
"""

from cuminhatch.services.http_listener._connections import (
    MAX_UNASKED_BYTES,
    WRITE_HIGH_BYTES,
)
from cuminhatch.services.http_listener._state import DEFAULT_LIMITS, ListenerLimits
from cuminhatch.services.http_listener.service import (
    SWEEP_INTERVAL_MS,
    HttpListener,
)

__all__ = [
    "DEFAULT_LIMITS",
    "MAX_UNASKED_BYTES",
    "SWEEP_INTERVAL_MS",
    "WRITE_HIGH_BYTES",
    "HttpListener",
    "ListenerLimits",
]
