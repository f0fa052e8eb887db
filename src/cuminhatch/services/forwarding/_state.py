"""The state that the functions of forwarding share."""

from collections.abc import Mapping, Set
from itertools import count
from math import inf
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from cuminhatch.codecs.dialect import Dialect
from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION, Configuration
from cuminhatch.decisions.hedging_share import HedgingState
from cuminhatch.decisions.request_estimates import RequestEstimates
from cuminhatch.decisions.resending import ResendBudget, ResendLimits
from cuminhatch.decisions.routing import make_router
from cuminhatch.decisions.server_records import ServerRecord
from cuminhatch.decisions.service_admission import ServiceAdmission
from cuminhatch.decisions.stopping import NO_STOP
from cuminhatch.decisions.traffic_split import weighted_round_robin
from cuminhatch.decisions.uploads import UploadMemory
from cuminhatch.decisions.warmup import Senders, WarmupLimit
from cuminhatch.kernel import Kernel
from cuminhatch.messages import CounterIncremented, EventRecorded, ValueObserved
from cuminhatch.services.forwarding._exchange import Exchange

if TYPE_CHECKING:
    # Not needed at run time where no quota is enforced.
    from cuminhatch.services.quota import QuotaGate

NAME = "forwarding"


class ForwardingSettings(NamedTuple):
    """
    Settings of forwarding.

    ``candidates`` is how many servers are asked for their load before each
    placement. ``far_charge_ms_per_kb`` is the extra latency that is accepted
    per kilobyte of response body to keep it within the failure domain.
    ``active_connection_ms`` is for how long after a response a connection may
    be used for a request that is not idempotent.
    ``warmup`` is None if requests to cold servers are not limited.
    ``hedging_share`` limits hedges to a share of the requests of a service.
    """

    instance_id: str
    failure_domain: str
    resends: ResendLimits
    candidates: int
    far_charge_ms_per_kb: float
    active_connection_ms: float = 0.0
    warmup: WarmupLimit | None = None
    hedging_share: float = inf


class ServicePool:
    """
    State of one service: its backend servers and its resend budget.

    A resend is a retry or a hedged attempt.
    """

    def __init__(self, budget: ResendBudget) -> None:
        """
        Start without servers.

        :param budget: this instance's share of the resend budget.
        """
        # By server id, in this instance's order of preference.
        self.records: dict[str, ServerRecord] = {}
        self.budget = budget
        # None while the configuration has no teams.
        self.admission: ServiceAdmission | None = None
        # How many instances may send to a cold server of the service, None if
        # requests to cold servers are not limited.
        self.cold_senders: int | None = None
        # None unless operators limit hedges to a share that is not 0.
        self.hedging: HedgingState | None = None

    @property
    def usable(self) -> list[ServerRecord]:
        """Return servers neither draining nor evacuated, healthy or not."""
        return [
            record
            for record in self.records.values()
            if not (record.server.is_draining or record.is_evacuated)
        ]

    def list_untried(self, tried: Set[str]) -> list[ServerRecord]:
        """
        Return the usable servers that have not received a request.

        :param tried: ids of the servers that may have received it.
        """
        return [r for r in self.usable if r.server.server_id not in tried]


class ForwardingState:
    """State of forwarding: its requests, attempts and backend servers."""

    def __init__(
        self,
        kernel: Kernel,
        dialect: Dialect,
        settings: ForwardingSettings,
        rng: Random,
        quota: "QuotaGate | None" = None,
    ) -> None:
        """
        Start without a configuration.

        :param kernel: kernel of the process.
        :param dialect: functions that read and write heads.
        :param settings: settings of forwarding.
        :param rng: source of randomness.
        :param quota: decides on requests by the quota of their team; None if
            no quota is enforced.
        """
        self.kernel = kernel
        self.clock = kernel.clock
        self.send = kernel.send
        self.dialect = dialect
        self.settings = settings
        self.rng = rng
        self.quota = quota
        self.instance_count = 1
        self.senders = Senders(settings.instance_id, kernel.clock.now_ms)
        self.stop = NO_STOP
        self.is_stop_limit_reached = False
        # Rules of which a response has been streamed.
        self.streamed_rule_ids: set[str] = set()
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.match_rule = make_router(EMPTY_CONFIGURATION)
        # Changes whenever access to services may have changed.
        self.access_version = 0
        self.pick_service = weighted_round_robin(rng)
        self.pools: dict[str, ServicePool] = {}
        self.request_estimates = RequestEstimates()
        self.uploads = UploadMemory()
        # Attempts whose request body is being sent in slices.
        self.sliced_attempt_ids: set[int] = set()
        self.exchanges: dict[int, Exchange] = {}
        self.exchanges_by_attempt: dict[int, Exchange] = {}
        self.exchanges_by_measurement: dict[int, Exchange] = {}
        # Ids of attempts and measurements.
        self.ids = count(1)

    @property
    def has_uploads(self) -> bool:
        """Tell whether the configuration has routes for uploads."""
        return any(rule.is_upload for rule in self.configuration.rules.values())

    @property
    def has_configuration(self) -> bool:
        """Tell whether a configuration is known."""
        return self.configuration is not EMPTY_CONFIGURATION

    def find_server(self, server_id: str) -> ServerRecord | None:
        """
        Return the record of a backend server, None if it is unknown.

        :param server_id: id of the backend server.
        """
        server = self.configuration.servers.get(server_id)
        if server is None:
            return None
        return self.pools[server.service_id].records.get(server_id)

    def call_at(self, at_ms: float, message: Any) -> int:
        """
        Schedule a message to forwarding itself.

        :param at_ms: monotonic time in milliseconds.
        :param message: message to deliver.
        :returns: a token for ``kernel.cancel``.
        """
        return self.kernel.call_at(at_ms, NAME, message)

    def increment(self, name: str, labels: dict[str, str]) -> None:
        """
        Increment a counter.

        :param name: name of the metric.
        :param labels: labels of the metric.
        """
        self.send("metrics", CounterIncremented(name, labels))

    def observe(self, name: str, labels: dict[str, str], value: float) -> None:
        """
        Add a sample to a histogram.

        :param name: name of the metric.
        :param labels: labels of the metric.
        :param value: the sample.
        """
        self.send("metrics", ValueObserved(name, labels, value))

    def observe_stage(self, exchange: Exchange, stage: str, duration_ms: float) -> None:
        """
        Add the duration of a stage of a request to the histogram of its rule.

        :param exchange: the request.
        :param stage: name of the stage.
        :param duration_ms: duration of the stage.
        """
        labels = {"rule": exchange.rule.rule_id, "stage": stage}
        self.observe("request_stage_ms", labels, duration_ms)

    def record(
        self, name: str, trace_id: str, details: Mapping[str, Any] | None = None
    ) -> None:
        """
        Write an event to the event log.

        :param name: name of the event.
        :param trace_id: request id that the caller has sent, empty for events
            that concern no request.
        :param details: values that explain the event.
        """
        values = dict(details or {})
        self.send("event_log", EventRecorded(NAME, name, trace_id, 0, values))
