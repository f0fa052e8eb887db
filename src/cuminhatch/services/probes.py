"""Probes the load of backend servers, within the budget of each."""

from itertools import count
from math import inf
from typing import NamedTuple

import orjson

from cuminhatch.address import Address
from cuminhatch.codecs.http1 import Header
from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION, Configuration
from cuminhatch.decisions.permits import Permit
from cuminhatch.decisions.probing import (
    ProbePlan,
    change_rate,
    end_probe,
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
# Longest wait, after which plans that have changed meanwhile are seen.
IDLE_TICK_MS = 250
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
        now_ms = self.kernel.clock.now_ms
        for server_id, plan in list(self._plans.items()):
            if server_id in message.configuration.servers:
                rate = self._probe_rate(server_id)
                self._plans[server_id] = change_rate(plan, rate, now_ms)
            elif not plan.is_under_way:
                self._return_permit(server_id)

    def _probe_rate(self, server_id: str) -> float:
        server = self._configuration.servers[server_id]
        return self._configuration.services[server.service_id].probe_rate

    def _return_permit(self, server_id: str) -> None:
        del self._plans[server_id]
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
        if server_id is None or server_id not in self._configuration.servers:
            self.send("permits", PermitReturned(message.permit))
            return
        rate = self._probe_rate(server_id)
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
        # Sleeping until the next probe saves ticks in which none is due.
        plans = self._plans.values()
        next_ms = min((p.next_ms for p in plans if not p.is_under_way), default=inf)
        wait_ms = min(max(next_ms - now_ms, TICK_MS), IDLE_TICK_MS)
        self.call_after(wait_ms, ProbesDue())

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
                is_repeatable=False,
            ),
        )

    def _end_probe(self, token: int) -> _Probe | None:
        probe = self._probes.pop(token, None)
        if probe is not None:
            server_id = probe.server_id
            plan = end_probe(self._plans[server_id], self.kernel.clock.now_ms)
            self._plans[server_id] = plan
            # The permit of a withdrawn server is kept until here: a probe
            # under way may still leave while the next holder probes.
            if server_id not in self._configuration.servers:
                self._return_permit(server_id)
        return probe

    def _on_http_replied(self, message: HttpReplied) -> None:
        probe = self._end_probe(message.token)
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
        probe = self._end_probe(message.token)
        if probe is not None:
            self._report_failure(probe, message.reason)

    def _report_failure(self, probe: _Probe, reason: str) -> None:
        self.send("metrics", CounterIncremented("probe_failures_total", {}))
        self.send("dispatch", ProbeFailed(probe.server_id, reason))
