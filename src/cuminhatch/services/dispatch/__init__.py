"""
The service that forwards requests to backend servers.

A keyed request is one with an idempotency key. It is sent only once the
``claims`` service has granted it the claim on its key; a claim that is given
up is voided. Long requests need a permit from the ``permits`` service if
that service is registered. A backend server sheds a request when it refuses
it because of overload, without running it.
"""

from cuminhatch.services.dispatch.service import Dispatch

__all__ = ["Dispatch"]
