"""Probes the load of backend servers within the probe budget of each."""

from itertools import count
from math import inf
from typing import NamedTuple

import orjson

from cuminhatch.address import Address
from cuminhatch.codecs.http1 import Header
from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION, Configuration
from cuminhatch.decisions.permits import Permit
from cuminhatch.decisions.probing import (
    ProbeSchedule,
    change_rate,
    end_probe,
    make_permit_selector,
    start_schedule,
    take_due,
)
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    ConfigurationChanged,
    CounterIncremented,
    HttpFailed,
    HttpReplied,
    HttpRequested,
    LoadObserved,
    MembershipChanged,
    PermitGranted,
    PermitRefused,
    PermitRequested,
    PermitReturned,
    ProbeFailed,
)
from cuminhatch.messages.http_client import PROBE_RESPONSE_MAX_BYTES

PROBE_KIND = "probe"
PROBE_TARGET = b"/load"
PROBE_TIMEOUT_MS = 500
MIN_CHECK_INTERVAL_MS = 50
# Longest wait between checks, so that changed schedules take effect in time.
MAX_CHECK_INTERVAL_MS = 250
# Interval at which missing permits are requested, and timeout of a request.
PERMIT_REQUEST_INTERVAL_MS = 5_000
PERMIT_REQUEST_TIMEOUT_MS = 2_000
DRAINING_STATE = b"draining"


class ProbesDue(NamedTuple):
    """Timer: send the probes that are due."""


class PermitRequestsDue(NamedTuple):
    """Timer: request the permits that are missing."""


class _PendingProbe(NamedTuple):
    """A probe in flight; the time is monotonic."""

    server_id: str
    sent_ms: float


class Probes(Service):
    """Owns the probe schedule of the servers whose permits it holds."""

    name = "probes"

    def __init__(self, kernel: Kernel, instance_id: str) -> None:
        """
        Start without permits.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance.
        """
        super().__init__(kernel)
        self._configuration: Configuration = EMPTY_CONFIGURATION
        self._live_ids: tuple[str, ...] = ()
        self._prefer_servers = make_permit_selector(instance_id)
        # None until it is computed again, after a change of the servers or of
        # the live instances.
        self._preferred_ids: tuple[str, ...] | None = None
        self._permits: dict[str, Permit] = {}
        self._schedules: dict[str, ProbeSchedule] = {}
        self._permit_requests: dict[int, str] = {}
        self._pending_probes: dict[int, _PendingProbe] = {}
        self._tokens = count(1)

    def message_handlers(self) -> MessageTable:
        """Return the handlers of timers and of messages of other services."""
        return {
            ConfigurationChanged: self._on_configuration_changed,
            MembershipChanged: self._on_membership_changed,
            PermitGranted: self._on_permit_granted,
            PermitRefused: self._on_permit_refused,
            PermitRequestsDue: self._on_permit_requests_due,
            ProbesDue: self._on_probes_due,
            HttpReplied: self._on_http_replied,
            HttpFailed: self._on_http_failed,
        }

    def open(self) -> None:
        """Start the timers."""
        self.call_after(MIN_CHECK_INTERVAL_MS, ProbesDue())
        self.call_after(PERMIT_REQUEST_INTERVAL_MS, PermitRequestsDue())

    # Permits

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        if message.configuration.servers is not self._configuration.servers:
            self._preferred_ids = None
        self._configuration = message.configuration
        now_ms = self.kernel.clock.now_ms
        for server_id, schedule in list(self._schedules.items()):
            if server_id in message.configuration.servers:
                rate = self._probe_rate(server_id)
                self._schedules[server_id] = change_rate(schedule, rate, now_ms)
            elif not schedule.is_under_way:
                self._return_permit(server_id)

    def _probe_rate(self, server_id: str) -> float:
        server = self._configuration.servers[server_id]
        return self._configuration.services[server.service_id].probe_rate

    def _return_permit(self, server_id: str) -> None:
        del self._schedules[server_id]
        self.send("permits", PermitReturned(self._permits.pop(server_id)))

    def _on_membership_changed(self, message: MembershipChanged) -> None:
        live_ids = tuple(
            member.instance_id for member in message.members if member.state == "live"
        )
        if live_ids != self._live_ids:
            self._live_ids = live_ids
            self._preferred_ids = None

    def _on_permit_requests_due(self, message: PermitRequestsDue) -> None:
        deadline_ms = self.kernel.clock.now_ms + PERMIT_REQUEST_TIMEOUT_MS
        requested = set(self._permit_requests.values())
        if self._preferred_ids is None:
            servers = self._configuration.servers
            self._preferred_ids = self._prefer_servers(servers.keys(), self._live_ids)
        for server_id in self._preferred_ids:
            if server_id in self._permits or server_id in requested:
                continue
            token = next(self._tokens)
            self._permit_requests[token] = server_id
            self.send(
                "permits",
                PermitRequested(
                    self.name, token, PROBE_KIND, (server_id,), deadline_ms
                ),
            )
        self.call_after(PERMIT_REQUEST_INTERVAL_MS, PermitRequestsDue())

    def _on_permit_granted(self, message: PermitGranted) -> None:
        server_id = self._permit_requests.pop(message.token, None)
        if server_id is None or server_id not in self._configuration.servers:
            self.send("permits", PermitReturned(message.permit))
            return
        rate = self._probe_rate(server_id)
        self._permits[server_id] = message.permit
        self._schedules[server_id] = start_schedule(rate, self.kernel.clock.now_ms)

    def _on_permit_refused(self, message: PermitRefused) -> None:
        self._permit_requests.pop(message.token, None)

    # Probes

    def _on_probes_due(self, message: ProbesDue) -> None:
        now_ms = self.kernel.clock.now_ms
        due, self._schedules = take_due(self._schedules, now_ms)
        for server_id in due:
            self._send_probe(server_id, now_ms)
        # Waiting until the next probe saves checks at which none is due.
        schedules = self._schedules.values()
        next_ms = min((p.next_ms for p in schedules if not p.is_under_way), default=inf)
        wait_ms = min(
            max(next_ms - now_ms, MIN_CHECK_INTERVAL_MS), MAX_CHECK_INTERVAL_MS
        )
        self.call_after(wait_ms, ProbesDue())

    def _send_probe(self, server_id: str, now_ms: float) -> None:
        server = self._configuration.servers[server_id]
        token = next(self._tokens)
        self._pending_probes[token] = _PendingProbe(server_id, now_ms)
        self.send("metrics", CounterIncremented("probes_total", {}))
        self.send(
            "http_client",
            HttpRequested(
                self.name,
                token,
                Address(server.host, server.port),
                b"GET",
                PROBE_TARGET,
                (Header(b"host", f"{server.host}:{server.port}".encode()),),
                b"",
                PROBE_TIMEOUT_MS,
                is_retryable=False,
                response_max_bytes=PROBE_RESPONSE_MAX_BYTES,
            ),
        )

    def _finish_probe(self, token: int) -> _PendingProbe | None:
        probe = self._pending_probes.pop(token, None)
        if probe is not None:
            server_id = probe.server_id
            schedule = end_probe(self._schedules[server_id], self.kernel.clock.now_ms)
            self._schedules[server_id] = schedule
            # The permit of a withdrawn server is returned only now. The HTTP
            # client may have sent this probe late, and if the permit had been
            # returned earlier, the next holder could have probed at the same
            # time.
            if server_id not in self._configuration.servers:
                self._return_permit(server_id)
        return probe

    def _on_http_replied(self, message: HttpReplied) -> None:
        probe = self._finish_probe(message.token)
        if probe is None:
            return
        now_ms = self.kernel.clock.now_ms
        is_leaving = any(
            header.name == b"server-state" and header.value == DRAINING_STATE
            for header in message.headers
        )
        try:
            report = orjson.loads(message.body)
            observed = LoadObserved(
                probe.server_id,
                int(report["in_flight"]),
                int(report["queued"]),
                int(report["slots"]),
                now_ms - probe.sent_ms,
                is_leaving,
                now_ms,
                "probe",
            )
        except (ValueError, KeyError, TypeError):
            self._report_failure(probe, "malformed load report")
            return
        self.send("dispatch", observed)
        self.send("peers", observed)

    def _on_http_failed(self, message: HttpFailed) -> None:
        probe = self._finish_probe(message.token)
        if probe is not None:
            self._report_failure(probe, message.reason)

    def _report_failure(self, probe: _PendingProbe, reason: str) -> None:
        self.send("metrics", CounterIncremented("probe_failures_total", {}))
        self.send("dispatch", ProbeFailed(probe.server_id, reason))
