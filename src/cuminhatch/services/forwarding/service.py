"""Forwards requests to backend servers and responses to callers."""

from functools import partial
from random import Random
from typing import TYPE_CHECKING

from cuminhatch.codecs.dialect import Dialect
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    AttemptFailed,
    AttemptResponse,
    AttemptResponseBody,
    CallerDisconnected,
    ConfigurationChanged,
    DrainLimitReached,
    GaugesRequested,
    PipeliningRequested,
    RequestBody,
    RequestFailed,
    RequestReceived,
    StopScheduled,
)
from cuminhatch.messages.catalog import InstanceCountChanged, InstancesChanged
from cuminhatch.messages.loads import (
    HealthCheckAnswered,
    HealthCheckConnectionClosed,
    HealthCheckFailed,
    LoadsMeasured,
)
from cuminhatch.services._flow_control import make_flow_control_handlers
from cuminhatch.services.forwarding._attempts import (
    find_request_id,
    find_streaming_attempt_id,
)
from cuminhatch.services.forwarding._completion import (
    on_drain_limit_reached,
    on_exchange_timed_out,
    on_request_failed,
    on_stop_scheduled,
)
from cuminhatch.services.forwarding._gauges import on_gauges_requested
from cuminhatch.services.forwarding._placement import (
    on_loads_measured,
    on_placement_retry_due,
)
from cuminhatch.services.forwarding._requests import (
    on_caller_disconnected,
    on_pipelining_requested,
    on_request_body,
    on_request_received,
)
from cuminhatch.services.forwarding._resending import on_hedge_due
from cuminhatch.services.forwarding._responses import (
    on_attempt_failed,
    on_attempt_response,
    on_attempt_response_body,
)
from cuminhatch.services.forwarding._sending import on_upload_slice_due
from cuminhatch.services.forwarding._servers import (
    on_configuration_changed,
    on_health_check_answered,
    on_health_check_connection_closed,
    on_health_check_failed,
    on_instance_count_changed,
    on_instances_changed,
)
from cuminhatch.services.forwarding._state import (
    NAME,
    ForwardingSettings,
    ForwardingState,
)
from cuminhatch.services.forwarding._timers import (
    ExchangeTimedOut,
    HedgeDue,
    PlacementRetryDue,
    UploadSliceDue,
)

if TYPE_CHECKING:
    # Not needed at run time where no quota is enforced.
    from cuminhatch.services.quota import QuotaGate


class Forwarding(Service):
    """
    Owns the state of each request and a record of each backend server.

    The message handlers are functions of this state in the other modules of
    the package.
    """

    name = NAME

    def __init__(
        self,
        kernel: Kernel,
        dialect: Dialect,
        settings: ForwardingSettings,
        rng: Random | None = None,
        quota: "QuotaGate | None" = None,
    ) -> None:
        """
        Start without a configuration; requests are refused until one arrives.

        :param kernel: kernel of the process.
        :param dialect: functions that read and write the headers of requests
            and responses.
        :param settings: settings of forwarding.
        :param rng: source of randomness.
        :param quota: decides on requests by the quota of their team; None if
            no quota is enforced.
        """
        super().__init__(kernel)
        self._state = ForwardingState(kernel, dialect, settings, rng or Random(), quota)

    def message_handlers(self) -> MessageTable:
        """Return the handler of each message that forwarding receives."""
        handlers = {
            ConfigurationChanged: on_configuration_changed,
            InstanceCountChanged: on_instance_count_changed,
            InstancesChanged: on_instances_changed,
            HealthCheckAnswered: on_health_check_answered,
            HealthCheckFailed: on_health_check_failed,
            HealthCheckConnectionClosed: on_health_check_connection_closed,
            LoadsMeasured: on_loads_measured,
            RequestFailed: on_request_failed,
            StopScheduled: on_stop_scheduled,
            DrainLimitReached: on_drain_limit_reached,
            GaugesRequested: on_gauges_requested,
            RequestReceived: on_request_received,
            RequestBody: on_request_body,
            PipeliningRequested: on_pipelining_requested,
            CallerDisconnected: on_caller_disconnected,
            ExchangeTimedOut: on_exchange_timed_out,
            HedgeDue: on_hedge_due,
            PlacementRetryDue: on_placement_retry_due,
            UploadSliceDue: on_upload_slice_due,
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
            partial(find_streaming_attempt_id, self._state),
        )
        return table | flow_control
