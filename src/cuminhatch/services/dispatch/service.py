"""Moves each request from its caller to a backend server and back."""

from functools import partial
from random import Random

from cuminhatch.decisions.choice import Choose, power_of_d
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    AttemptBody,
    AttemptFailed,
    AttemptResponse,
    AttemptResumed,
    AttemptStalled,
    CallerLeft,
    CallerResumed,
    CallerStalled,
    ClaimGranted,
    ClaimRefused,
    ClaimVoided,
    ConfigurationChanged,
    InstanceListChanged,
    LoadObserved,
    MembershipChanged,
    PermitGranted,
    PermitRefused,
    ProbeFailed,
    RequestBody,
    RequestFailed,
    RequestReceived,
)
from cuminhatch.services.dispatch._admission_queues import (
    ConnectionLimitExpired,
    on_connection_limit_expired,
    on_permit_granted,
    on_permit_refused,
)
from cuminhatch.services.dispatch._attempt_failures import on_attempt_failed
from cuminhatch.services.dispatch._attempt_responses import (
    on_attempt_body,
    on_attempt_response,
)
from cuminhatch.services.dispatch._attempts import (
    on_attempt_resumed,
    on_attempt_stalled,
    on_caller_resumed,
    on_caller_stalled,
)
from cuminhatch.services.dispatch._dispatch_state import (
    NAME,
    DispatchState,
    RequestTimerExpired,
)
from cuminhatch.services.dispatch._request_claims import (
    on_claim_granted,
    on_claim_refused,
    on_claim_voided,
)
from cuminhatch.services.dispatch._request_deadlines import (
    on_request_due,
    on_request_failed,
)
from cuminhatch.services.dispatch._request_intake import (
    on_caller_left,
    on_request_body,
    on_request_received,
)
from cuminhatch.services.dispatch._server_observations import (
    EjectionEnded,
    RefusedConnectionExpired,
    on_configuration_changed,
    on_ejection_ended,
    on_instance_list_changed,
    on_load_observed,
    on_membership_changed,
    on_probe_failed,
    on_refused_connection_expired,
)

# Two random choices already avoid most of the load of the fullest server;
# the third makes it likely that one is in the own failure domain.
COMPARED_SERVERS = 3


class Dispatch(Service):
    """
    Owns one record per request, and a view of each backend server.

    The handlers are functions of the state, in modules by their job.
    """

    name = NAME

    def __init__(
        self,
        kernel: Kernel,
        instance_id: str,
        failure_domain: str = "",
        rng: Random | None = None,
        choose: Choose | None = None,
    ) -> None:
        """
        Start without a configuration; requests are refused until one comes.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance, part of request ids.
        :param failure_domain: where this instance runs.
        :param rng: source of randomness for the choice of servers.
        :param choose: another choice than power-of-d, for comparisons.
        """
        super().__init__(kernel)
        choose = choose or power_of_d(COMPARED_SERVERS, rng or Random())
        self._state = DispatchState(kernel, instance_id, failure_domain, choose)

    def message_handlers(self) -> MessageTable:
        """Return the messages of all services that dispatch works with."""
        handlers = {
            ConfigurationChanged: on_configuration_changed,
            InstanceListChanged: on_instance_list_changed,
            MembershipChanged: on_membership_changed,
            LoadObserved: on_load_observed,
            ProbeFailed: on_probe_failed,
            EjectionEnded: on_ejection_ended,
            RefusedConnectionExpired: on_refused_connection_expired,
            ConnectionLimitExpired: on_connection_limit_expired,
            RequestFailed: on_request_failed,
            RequestReceived: on_request_received,
            RequestBody: on_request_body,
            RequestTimerExpired: on_request_due,
            CallerLeft: on_caller_left,
            CallerStalled: on_caller_stalled,
            CallerResumed: on_caller_resumed,
            ClaimGranted: on_claim_granted,
            ClaimRefused: on_claim_refused,
            ClaimVoided: on_claim_voided,
            PermitGranted: on_permit_granted,
            PermitRefused: on_permit_refused,
            AttemptResponse: on_attempt_response,
            AttemptBody: on_attempt_body,
            AttemptFailed: on_attempt_failed,
            AttemptStalled: on_attempt_stalled,
            AttemptResumed: on_attempt_resumed,
        }
        return {kind: partial(handle, self._state) for kind, handle in handlers.items()}

    @property
    def request_count(self) -> int:
        """Return how many requests are in progress."""
        return len(self._state.requests)

    def in_flight_of(self, server_id: str) -> int:
        """
        Return the own requests in flight to a backend server.

        :param server_id: id of the backend server.
        :returns: the count, 0 for a server that is not known.
        """
        found = self._state.table.find_server(server_id)
        return 0 if found is None else found[1].in_flight
