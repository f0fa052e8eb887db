"""
Forwards requests to the backend servers listed in the configuration.

``cuminhatch.daemon`` uses this service. ``cuminhatch.gateway`` uses
``forwarding`` instead, for backend servers that register in the store.

A keyed request is one with an idempotency key. It is sent only once the
``claims`` service has granted it the claim on its key. If dispatch then does
not send it, it asks ``claims`` to cancel (void) the claim. Long requests are
those whose routing rule has the work class ``long``. They need a permit from
the ``permits`` service if that service is registered. A backend server sheds
a request when it refuses it because of overload, without running it.
"""

from cuminhatch.services.dispatch.service import Dispatch

__all__ = ["Dispatch"]
