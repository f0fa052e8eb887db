"""Registers the message handlers of the dispatch service."""

from functools import partial
from random import Random

from cuminhatch.decisions.choice import Choose, power_of_d
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    AttemptFailed,
    AttemptResponse,
    AttemptResponseBody,
    CallerDisconnected,
    ClaimGranted,
    ClaimRefused,
    ClaimVoided,
    ConfigurationChanged,
    DrainLimitReached,
    LeavingServersChanged,
    LoadObserved,
    MembershipChanged,
    PermitGranted,
    PermitRefused,
    ProbeFailed,
    RequestBody,
    RequestFailed,
    RequestReceived,
    StopScheduled,
)
from cuminhatch.services._flow_control import make_flow_control_handlers
from cuminhatch.services.dispatch._admission_queues import (
    ConnectionLimitPauseEnded,
    on_connection_limit_pause_ended,
    on_permit_granted,
    on_permit_refused,
)
from cuminhatch.services.dispatch._attempt_failures import on_attempt_failed
from cuminhatch.services.dispatch._attempt_responses import (
    on_attempt_response,
    on_attempt_response_body,
)
from cuminhatch.services.dispatch._attempts import (
    find_attempt_id,
    find_request_id,
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
    on_drain_limit_reached,
    on_request_failed,
    on_request_timer_expired,
    on_stop_scheduled,
)
from cuminhatch.services.dispatch._request_intake import (
    on_caller_disconnected,
    on_request_body,
    on_request_received,
)
from cuminhatch.services.dispatch._server_observations import (
    EjectionTrialDue,
    RefusedConnectionExpired,
    on_configuration_changed,
    on_ejection_trial_due,
    on_leaving_servers_changed,
    on_load_observed,
    on_membership_changed,
    on_probe_failed,
    on_refused_connection_expired,
)

# Two random servers already avoid most of the load imbalance; a third makes
# it likely that one of them is in this instance's failure domain.
COMPARED_SERVERS = 3


class Dispatch(Service):
    """
    Forwards requests from callers to backend servers.

    Owns one record per request and a view of each backend server. The
    message handlers are functions of the shared state, grouped by module.
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
        Start without a configuration; requests are refused until one arrives.

        :param kernel: kernel that runs the service.
        :param instance_id: id of this instance, prefix of generated trace
            ids.
        :param failure_domain: failure domain of this instance.
        :param rng: random source for choosing backend servers.
        :param choose: load balancing policy, power of d choices if None.
            Other policies serve only for comparison.
        """
        super().__init__(kernel)
        choose = choose or power_of_d(COMPARED_SERVERS, rng or Random())
        self._state = DispatchState(kernel, instance_id, failure_domain, choose)

    def message_handlers(self) -> MessageTable:
        """Return the handler of each message type that dispatch receives."""
        handlers = {
            ConfigurationChanged: on_configuration_changed,
            LeavingServersChanged: on_leaving_servers_changed,
            MembershipChanged: on_membership_changed,
            LoadObserved: on_load_observed,
            ProbeFailed: on_probe_failed,
            EjectionTrialDue: on_ejection_trial_due,
            RefusedConnectionExpired: on_refused_connection_expired,
            ConnectionLimitPauseEnded: on_connection_limit_pause_ended,
            RequestFailed: on_request_failed,
            StopScheduled: on_stop_scheduled,
            DrainLimitReached: on_drain_limit_reached,
            RequestReceived: on_request_received,
            RequestBody: on_request_body,
            RequestTimerExpired: on_request_timer_expired,
            CallerDisconnected: on_caller_disconnected,
            ClaimGranted: on_claim_granted,
            ClaimRefused: on_claim_refused,
            ClaimVoided: on_claim_voided,
            PermitGranted: on_permit_granted,
            PermitRefused: on_permit_refused,
            AttemptResponse: on_attempt_response,
            AttemptResponseBody: on_attempt_response_body,
            AttemptFailed: on_attempt_failed,
        }
        table = {
            kind: partial(handle, self._state) for kind, handle in handlers.items()
        }
        flow_control = make_flow_control_handlers(
            self.send,
            partial(find_request_id, self._state),
            partial(find_attempt_id, self._state),
        )
        return table | flow_control

    @property
    def request_count(self) -> int:
        """Return the number of requests in progress."""
        return len(self._state.requests)

    def count_in_flight(self, server_id: str) -> int:
        """
        Return this instance's requests in flight to a backend server.

        :param server_id: id of the backend server.
        :returns: the count, 0 for an unknown server.
        """
        found = self._state.table.find_server(server_id)
        return 0 if found is None else found[1].in_flight
