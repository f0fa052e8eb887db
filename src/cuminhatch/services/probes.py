"""Probes the load of backend servers, within the budget of each."""

from itertools import count
from typing import NamedTuple

import orjson

from cuminhatch.address import Address
from cuminhatch.codecs.http1 import Header
from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION, Configuration
from cuminhatch.decisions.permits import Permit
from cuminhatch.decisions.probing import (
    ProbePlan,
    prefer_servers,
    start_plan,
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

PROBE_KIND = "probe"
PROBE_TARGET = b"/load"
PROBE_TIMEOUT_MS = 500
TICK_MS = 50
# How often permits that others hold are asked for again, and for how long.
ASK_INTERVAL_MS = 5_000
ASK_LIMIT_MS = 2_000
LEAVING_STATE = b"draining"


class ProbesDue(NamedTuple):
    """Some backend servers may be due."""


class PermitsDue(NamedTuple):
    """Missing permits are to be asked for."""


class _Probe(NamedTuple):
    """A probe under way; the time is monotonic."""

    server_id: str
    sent_ms: float


class Probes(Service):
    """Owns the schedule of the backend servers that it may probe."""

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
        self._prefer = prefer_servers(instance_id)
        # None after a change of the configuration or of the membership.
        self._preferred: tuple[str, ...] | None = None
        self._permits: dict[str, Permit] = {}
        self._plans: dict[str, ProbePlan] = {}
        self._asked: dict[int, str] = {}
        self._probes: dict[int, _Probe] = {}
        self._tokens = count(1)

    def message_handlers(self) -> MessageTable:
        """Return the messages of notes, peers, permits and HTTP client."""
        return {
            ConfigurationChanged: self._on_configuration_changed,
            MembershipChanged: self._on_membership_changed,
            PermitGranted: self._on_permit_granted,
            PermitRefused: self._on_permit_refused,
            PermitsDue: self._on_permits_due,
            ProbesDue: self._on_probes_due,
            HttpReplied: self._on_http_replied,
            HttpFailed: self._on_http_failed,
        }

    def open(self) -> None:
        """Start the schedule."""
        self.call_after(TICK_MS, ProbesDue())
        self.call_after(ASK_INTERVAL_MS, PermitsDue())

    # Permits

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        if message.configuration.servers is not self._configuration.servers:
            self._preferred = None
        self._configuration = message.configuration
        for server_id in list(self._permits):
            if server_id not in message.configuration.servers:
                self._plans.pop(server_id, None)
                self.send("permits", PermitReturned(self._permits.pop(server_id)))

    def _on_membership_changed(self, message: MembershipChanged) -> None:
        live_ids = tuple(
            member.instance_id for member in message.members if member.state == "live"
        )
        if live_ids != self._live_ids:
            self._live_ids = live_ids
            self._preferred = None

    def _on_permits_due(self, message: PermitsDue) -> None:
        deadline_ms = self.kernel.clock.now_ms + ASK_LIMIT_MS
        asked = set(self._asked.values())
        if self._preferred is None:
            servers = self._configuration.servers
            self._preferred = self._prefer(servers.keys(), self._live_ids)
        for server_id in self._preferred:
            if server_id in self._permits or server_id in asked:
                continue
            token = next(self._tokens)
            self._asked[token] = server_id
            self.send(
                "permits",
                PermitRequested(
                    self.name, token, PROBE_KIND, (server_id,), deadline_ms
                ),
            )
        self.call_after(ASK_INTERVAL_MS, PermitsDue())

    def _on_permit_granted(self, message: PermitGranted) -> None:
        server_id = self._asked.pop(message.token, None)
        server = self._configuration.servers.get(message.permit.server_id)
        if server_id is None or server is None:
            self.send("permits", PermitReturned(message.permit))
            return
        rate = self._configuration.services[server.service_id].probe_rate
        self._permits[server_id] = message.permit
        self._plans[server_id] = start_plan(rate, self.kernel.clock.now_ms)

    def _on_permit_refused(self, message: PermitRefused) -> None:
        self._asked.pop(message.token, None)

    # Probes

    def _on_probes_due(self, message: ProbesDue) -> None:
        now_ms = self.kernel.clock.now_ms
        due, self._plans = take_due(self._plans, now_ms)
        for server_id in due:
            self._send_probe(server_id, now_ms)
        self.call_after(TICK_MS, ProbesDue())

    def _send_probe(self, server_id: str, now_ms: float) -> None:
        server = self._configuration.servers[server_id]
        token = next(self._tokens)
        self._probes[token] = _Probe(server_id, now_ms)
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
            ),
        )

    def _on_http_replied(self, message: HttpReplied) -> None:
        probe = self._probes.pop(message.token, None)
        if probe is None:
            return
        now_ms = self.kernel.clock.now_ms
        is_leaving = any(
            header.name == b"server-state" and header.value == LEAVING_STATE
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
        probe = self._probes.pop(message.token, None)
        if probe is not None:
            self._report_failure(probe, message.reason)

    def _report_failure(self, probe: _Probe, reason: str) -> None:
        self.send("metrics", CounterIncremented("probe_failures_total", {}))
        self.send("dispatch", ProbeFailed(probe.server_id, reason))
