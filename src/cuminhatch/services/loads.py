"""Asks backend servers for their load before a request is placed."""

from itertools import chain, count
from typing import NamedTuple

from cuminhatch.codecs.dialect import Dialect
from cuminhatch.decisions.probe_allowance import ProbeAllowance, share_probe_budget
from cuminhatch.decisions.server_records import ServerLoad
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    CounterIncremented,
    HttpFailed,
    HttpReplied,
    SettingsChanged,
)
from cuminhatch.messages.attempts import CONNECTION_LIMIT, SERVER_EVACUATED
from cuminhatch.messages.catalog import InstanceCountChanged
from cuminhatch.messages.loads import (
    MISPLACED_RESPONSE,
    HealthCheckAnswered,
    HealthCheckConnectionClosed,
    HealthCheckFailed,
    LoadsMeasured,
    LoadsRequested,
    LoadTarget,
    ProbeRequested,
    ProbeResponseRejected,
)
from cuminhatch.services._stream import CONNECTION_CLOSED, CONNECTION_FAILED

Observation = HealthCheckAnswered | HealthCheckFailed | HealthCheckConnectionClosed

# Longer than a measurement, so that late responses are still used. A server
# that takes longer than this is treated as failed.
PROBE_TIMEOUT_MS = 400.0
SWEEP_INTERVAL_MS = 30_000.0


class MeasurementTimedOut(NamedTuple):
    """The time limit of a measurement has passed."""

    measurement_id: int


class SweepTimerExpired(NamedTuple):
    """Timer: remove the rate limits of servers not probed lately."""


class _Measurement:
    """State of one request for the load of some servers."""

    def __init__(self, request: LoadsRequested, timer: int) -> None:
        self.request = request
        self.pending_probes = 0
        self.timer = timer


class _Probe(NamedTuple):
    """A probe (health check) in progress."""

    server_id: str
    measurement_id: int
    sent_ms: float


class _Limit(NamedTuple):
    """Rate limit of the probes to one server, and whether it is near."""

    allowance: ProbeAllowance
    is_near: bool


class Loads(Service):
    """Owns the probes in progress and their rate limit for each server."""

    name = "loads"

    def __init__(self, kernel: Kernel, dialect: Dialect, probes_per_s: float) -> None:
        """
        Start without measurements.

        :param kernel: kernel of the process.
        :param dialect: functions that read responses to probes.
        :param probes_per_s: limit of probes per second and backend server,
            over all instances.
        """
        super().__init__(kernel)
        self._dialect = dialect
        self._probes_per_s = probes_per_s
        self._instance_count = 1
        self._near_instance_count = 1
        # By server id.
        self._limits: dict[str, _Limit] = {}
        self._measurements: dict[int, _Measurement] = {}
        self._probes: dict[int, _Probe] = {}
        self._ids = count(1)

    def message_handlers(self) -> MessageTable:
        """Return the handler of each message that this service receives."""
        return {
            LoadsRequested: self._on_loads_requested,
            InstanceCountChanged: self._on_instance_count_changed,
            SettingsChanged: self._on_settings_changed,
            HttpReplied: self._on_http_replied,
            HttpFailed: self._on_http_failed,
            MeasurementTimedOut: self._on_measurement_timed_out,
            SweepTimerExpired: self._on_sweep_timer_expired,
        }

    def open(self) -> None:
        """Schedule the removal of unused rate limits."""
        self.call_after(SWEEP_INTERVAL_MS, SweepTimerExpired())

    def _on_instance_count_changed(self, message: InstanceCountChanged) -> None:
        self._instance_count = message.instances
        self._near_instance_count = message.near_instances
        self._update_limits()

    def _on_settings_changed(self, message: SettingsChanged) -> None:
        self._probes_per_s = message.settings.placement.probes_per_s
        self._update_limits()

    def _update_limits(self) -> None:
        # Tokens in use are kept: many instances may join one after the other.
        now_ms = self.kernel.clock.now_ms
        for limit in self._limits.values():
            limit.allowance.set_rate(self._get_share(limit.is_near), now_ms)

    def _get_share(self, is_near: bool) -> float:
        return share_probe_budget(
            self._probes_per_s, self._instance_count, self._near_instance_count, is_near
        )

    def _on_loads_requested(self, message: LoadsRequested) -> None:
        now_ms = self.kernel.clock.now_ms
        measurement_id = next(self._ids)
        timer = self.call_after(message.wait_ms, MeasurementTimedOut(measurement_id))
        measurement = _Measurement(message, timer)
        self._measurements[measurement_id] = measurement
        for target in self._take_allowed_targets(message, now_ms):
            measurement.pending_probes += 1
            self._send_probe(target, measurement_id)
        if measurement.pending_probes == 0:
            self._finish(measurement_id)

    def _take_allowed_targets(
        self, message: LoadsRequested, now_ms: float
    ) -> list[LoadTarget]:
        """Return the servers to probe now, and charge their allowances."""
        wanted = len(message.targets)
        allowed: list[LoadTarget] = []
        for target in chain(message.targets, message.spare_targets):
            if len(allowed) == wanted:
                break
            if self._get_allowance(target, now_ms).take(now_ms):
                allowed.append(target)
        return allowed

    def _get_allowance(self, target: LoadTarget, now_ms: float) -> ProbeAllowance:
        limit = self._limits.get(target.server_id)
        if limit is None:
            share = self._get_share(target.is_near)
            limit = _Limit(ProbeAllowance(share, now_ms), target.is_near)
            self._limits[target.server_id] = limit
        return limit.allowance

    def _send_probe(self, target: LoadTarget, measurement_id: int) -> None:
        token = next(self._ids)
        now_ms = self.kernel.clock.now_ms
        self._probes[token] = _Probe(target.server_id, measurement_id, now_ms)
        self.send("metrics", CounterIncremented("probes_total", {}))
        request = ProbeRequested(
            self.name,
            token,
            target.server_id,
            target.address,
            target.path,
            PROBE_TIMEOUT_MS,
        )
        self.send("backends", request)

    def _on_http_replied(self, message: HttpReplied) -> None:
        probe = self._probes.pop(message.token)
        facts = self._dialect.read_health(message.status, message.headers)
        if facts.has_request_id:
            self.send("backends", ProbeResponseRejected(self.name, message.token))
            failed = HealthCheckFailed(probe.server_id, False, MISPLACED_RESPONSE)
            self._report(probe, failed)
            return
        if facts.server_id and facts.server_id != probe.server_id:
            silent = HealthCheckFailed(probe.server_id, True, "another server answers")
            self._report(probe, silent)
            return
        load = None
        if facts.load is not None:
            load = ServerLoad(*facts.load, self.kernel.clock.now_ms)
        answered = HealthCheckAnswered(
            probe.server_id,
            facts.is_healthy,
            load,
            facts.warmup_left_ms,
            probe.sent_ms,
        )
        self._report(probe, answered)

    def _on_http_failed(self, message: HttpFailed) -> None:
        probe = self._probes.pop(message.token)
        self.send("metrics", CounterIncremented("probe_failures_total", {}))
        reason = message.reason
        if reason in (CONNECTION_LIMIT, SERVER_EVACUATED):
            # This says nothing about the server.
            self._end_probe(probe)
            return
        if reason in (CONNECTION_FAILED, CONNECTION_CLOSED):
            self._report(probe, HealthCheckConnectionClosed(probe.server_id, reason))
            return
        is_unreachable = not message.is_sent and reason != "timeout"
        self._report(probe, HealthCheckFailed(probe.server_id, is_unreachable, reason))

    def _report(self, probe: _Probe, observation: Observation) -> None:
        # Observations are also used after the end of their measurement.
        self.send("forwarding", observation)
        self._end_probe(probe)

    def _end_probe(self, probe: _Probe) -> None:
        measurement = self._measurements.get(probe.measurement_id)
        if measurement is not None:
            measurement.pending_probes -= 1
            if measurement.pending_probes == 0:
                self._finish(probe.measurement_id)

    def _finish(self, measurement_id: int) -> None:
        measurement = self._measurements.pop(measurement_id)
        self.kernel.cancel(measurement.timer)
        request = measurement.request
        self.send(request.reply_to, LoadsMeasured(request.token))

    def _on_measurement_timed_out(self, message: MeasurementTimedOut) -> None:
        if message.measurement_id in self._measurements:
            self._finish(message.measurement_id)

    def _on_sweep_timer_expired(self, message: SweepTimerExpired) -> None:
        # An allowance that is full again is the same as a new one.
        now_ms = self.kernel.clock.now_ms
        self._limits = {
            server_id: limit
            for server_id, limit in self._limits.items()
            if not limit.allowance.is_full(now_ms)
        }
        self.call_after(SWEEP_INTERVAL_MS, SweepTimerExpired())
