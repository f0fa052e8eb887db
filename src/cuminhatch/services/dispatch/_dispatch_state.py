"""State that the message handlers of dispatch share."""

from itertools import count
from typing import Any, NamedTuple

from cuminhatch.decisions.choice import Choose
from cuminhatch.decisions.stopping import NO_STOP
from cuminhatch.kernel import Kernel
from cuminhatch.services.dispatch._request import RequestRecord
from cuminhatch.services.dispatch._server_table import ServerTable
from cuminhatch.services.dispatch._telemetry import Telemetry

NAME = "dispatch"
# ``claims`` gets this long after a deadline to report its result, and at least
# this long to void a claim.
CLAIM_GRACE_MS = 5.0


class RequestTimerExpired(NamedTuple):
    """The timer of a request has expired; its phase decides what follows."""

    request_id: int


class DispatchState:
    """State of dispatch: its requests, attempts and backend servers."""

    def __init__(
        self, kernel: Kernel, instance_id: str, failure_domain: str, choose: Choose
    ) -> None:
        """
        Start without a configuration.

        :param kernel: kernel that runs the service.
        :param instance_id: id of this instance, prefix of generated trace
            ids.
        :param failure_domain: failure domain of this instance.
        :param choose: load balancing policy.
        """
        self.kernel = kernel
        self.clock = kernel.clock
        self.send = kernel.send
        self.instance_id = instance_id
        self.choose = choose
        self.table = ServerTable(failure_domain)
        self.requests: dict[int, RequestRecord] = {}
        self.stop = NO_STOP
        self.by_attempt: dict[int, RequestRecord] = {}
        # Ids of requests that ended before ``claims`` replied. A claim that
        # is granted to one of them is voided.
        self.orphaned_claim_requests: set[int] = set()
        self.attempt_ids = count(1)
        self.telemetry = Telemetry(kernel)

    def call_at(self, at_ms: float, message: Any) -> int:
        """
        Schedule a message from dispatch to itself.

        :param at_ms: monotonic time in milliseconds.
        :param message: message to deliver.
        :returns: a token for ``kernel.cancel``.
        """
        return self.kernel.call_at(at_ms, NAME, message)

    def arm_timer(self, record: RequestRecord, at_ms: float) -> None:
        """
        Set the timer of a request, in place of an earlier one.

        :param record: the request.
        :param at_ms: monotonic time in milliseconds.
        """
        self.kernel.cancel(record.timer)
        record.timer = self.call_at(at_ms, RequestTimerExpired(record.request_id))

    def disarm_timer(self, record: RequestRecord) -> None:
        """
        Cancel the timer of a request.

        :param record: the request.
        """
        self.kernel.cancel(record.timer)
        record.timer = None
