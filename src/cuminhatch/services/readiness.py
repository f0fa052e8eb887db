"""Tells the platform's balancer whether this instance is ready."""

from cuminhatch.codecs.http1 import ResponseHead
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    CallerLeft,
    RequestBody,
    RequestReceived,
    ResponseStarted,
    StatusReported,
)

PORT_NAME = "readiness_port"
READY = ResponseHead(200, b"OK", ())
NOT_READY = ResponseHead(503, b"Service Unavailable", ())


class Readiness(Service):
    """Answers health checks by what ``supervisor`` has reported last."""

    name = "readiness"

    def __init__(self, kernel: Kernel) -> None:
        """
        Start not ready.

        :param kernel: kernel of the process.
        """
        super().__init__(kernel)
        self._is_ready = False

    def message_handlers(self) -> MessageTable:
        """Return the messages of the supervisor and the port."""
        return {
            StatusReported: self._on_status_reported,
            RequestReceived: self._on_request_received,
            RequestBody: self._on_nothing_due,
            CallerLeft: self._on_nothing_due,
        }

    def _on_status_reported(self, message: StatusReported) -> None:
        self._is_ready = message.values["ready"]

    def _on_request_received(self, message: RequestReceived) -> None:
        head = READY if self._is_ready else NOT_READY
        answer = ResponseStarted(message.request_id, head, 0, b"", True)
        self.send(PORT_NAME, answer)

    def _on_nothing_due(self, message: RequestBody | CallerLeft) -> None:
        """Ignore what follows a request that is answered at once."""
