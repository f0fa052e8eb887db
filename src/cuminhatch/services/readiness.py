"""Readiness endpoint for the load balancer in front of cuminhatch."""

from cuminhatch.codecs.http1 import ResponseHead
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    CallerDisconnected,
    RequestBody,
    RequestReceived,
    ResponseStarted,
    StatusReported,
)

# Name of the listener whose requests this service answers.
PORT_NAME = "readiness_port"
READY = ResponseHead(200, b"OK", ())
NOT_READY = ResponseHead(503, b"Service Unavailable", ())


class Readiness(Service):
    """Answers health checks with the last state reported by ``supervisor``."""

    name = "readiness"

    def __init__(self, kernel: Kernel) -> None:
        """
        Create the service in the state not ready.

        :param kernel: kernel of the process.
        """
        super().__init__(kernel)
        self._is_ready = False

    def message_handlers(self) -> MessageTable:
        """Return the handlers for the supervisor and the readiness port."""
        return {
            StatusReported: self._on_status_reported,
            RequestReceived: self._on_request_received,
            RequestBody: self._ignore_message,
            CallerDisconnected: self._ignore_message,
        }

    def _on_status_reported(self, message: StatusReported) -> None:
        self._is_ready = message.values["ready"]

    def _on_request_received(self, message: RequestReceived) -> None:
        head = READY if self._is_ready else NOT_READY
        response = ResponseStarted(message.request_id, head, 0, b"", True)
        self.send(PORT_NAME, response)

    def _ignore_message(self, message: RequestBody | CallerDisconnected) -> None:
        """Ignore a message about a request that is already answered."""
