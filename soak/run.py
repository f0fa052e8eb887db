"""Runs one seed: starts processes, injects faults, checks the guarantees."""

import os
import signal
import time
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Event
from typing import NamedTuple

from soak.callers import CALLER_COUNT, Caller
from soak.deployment import Deployment, call_control_port, kill_process
from soak.documents import DRAIN_GRACE_MS, SERVERS, TERMINATION_GRACE_MS
from soak.guarantees import (
    RequestRecord,
    check_drain,
    check_graceful_stop,
    check_invariants,
    check_recovery,
)
from soak.plan import (
    FAULT_FREE_END_S,
    MAINTENANCE_INTERVAL_S,
    MAINTENANCE_KINDS,
    Fault,
    draw_plan,
)

READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
# Time from the last fault until excluded servers are back in use and
# gateways have restarted.
RECOVERY_TIME_S = 5.0
MS_PER_S = 1_000.0
RESTART_DELAY_S = 0.5
# Writes that a restored store loses, and the time after its return in which
# operators and servers write them again.
LOST_MS = 3_000
WRITTEN_AGAIN_S = 1.5
# A drain and a configuration are known to the gateways when the store is lost.
LOST_AFTER_S = 1.0
OUTAGE_S = 0.3
# A configuration is in force this long after it was written.
CONFIGURATION_BOUND_S = 2.0
LINK_FAULT_SETTINGS = {
    "cut-to": {"cut_to": True},
    "cut-from": {"cut_from": True},
    "cut-both": {"cut_to": True, "cut_from": True},
    "flood": {"flood": True},
}


class Result(NamedTuple):
    """Result of a run; ``violations`` is empty if all guarantees held."""

    seed: int
    requests: int
    succeeded: int
    faults: int
    violations: list[str]


class SoakRun:
    """State of one run: its deployment and scheduled actions."""

    def __init__(self, deployment: Deployment) -> None:
        """
        Start without faults.

        :param deployment: the running processes.
        """
        self._deployment = deployment
        self._begun_s = time.monotonic()
        self._sequence = count()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._configuration_version = 1
        # Checks of maintenance operations, made after the run.
        self._maintenance_checks: list[Callable[[list[RequestRecord]], list[str]]] = []

    @property
    def now_s(self) -> float:
        """Return the time since the start of the run."""
        return time.monotonic() - self._begun_s

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """
        Schedule an action.

        :param at_s: seconds since the start of the run.
        :param action: called at that time.
        """
        heappush(self._scheduled, (at_s, next(self._sequence), action))

    def run(self, seconds: float) -> None:
        """
        Carry out scheduled actions until the end of the run.

        :param seconds: length of the run.
        """
        while self.now_s < seconds:
            while self._scheduled and self._scheduled[0][0] <= self.now_s:
                heappop(self._scheduled)[2]()
            time.sleep(POLL_INTERVAL_S)

    def inject(self, fault: Fault) -> None:
        """
        Inject a fault, and schedule its end.

        :param fault: the fault.
        """
        group, _, kind = fault.kind.partition(":")
        injectors: Mapping[str, Callable[[str, Fault], None]] = {
            "gateway": self._inject_gateway_fault,
            "server": self._inject_server_fault,
            "link": self._inject_link_fault,
            "store": self._inject_store_fault,
            "drain-server": self._drain_server,
            "stop-gateway": self._stop_gateway,
            "configure": self._write_configuration,
            "restore-store": self._restore_store,
        }
        injectors[group](kind, fault)

    def list_violations(self, records: list[RequestRecord]) -> list[str]:
        """
        Return the violations found by checks of maintenance.

        :param records: requests of all callers.
        """
        return [line for check in self._maintenance_checks for line in check(records)]

    # Processes

    def _inject_gateway_fault(self, kind: str, fault: Fault) -> None:
        gateway = self._deployment.gateways[fault.target]
        process = gateway.process
        if process.poll() is not None:
            return
        if kind in ("pause", "pause-short"):
            self._pause(process.pid, fault.duration_s)
            return
        gateway.is_exit_expected = True
        if kind == "kill":
            process.kill()
            self.schedule(
                self.now_s + RESTART_DELAY_S,
                lambda: self._restart_gateway(fault.target),
            )
            return
        process.terminate()
        self.schedule(
            self.now_s + TERMINATION_GRACE_MS / MS_PER_S,
            lambda: self._restart_gateway(fault.target),
        )

    def _restart_gateway(self, name: str) -> None:
        # After a kill during a graceful stop, the gateway has been restarted
        # before this restart, which the stop scheduled.
        gateway = self._deployment.gateways[name]
        if gateway.is_exit_expected:
            kill_process(gateway.process)
            self._deployment.start_gateway(name)

    def _inject_server_fault(self, kind: str, fault: Fault) -> None:
        server = self._deployment.servers[fault.target]
        if kind == "kill":
            kill_process(server.process)
            self.schedule(
                self.now_s + fault.duration_s,
                lambda: self._restart_server(fault.target),
            )
            return
        if kind == "pause":
            self._pause(server.process.pid, fault.duration_s)
            return
        faults = {
            "slow": ({"slow": 1_500}, {"slow": 0}),
            "shed": ({"shed": True}, {"shed": False}),
            "errors": ({"errors": 5}, {"errors": 0}),
            "reset-answers": ({"reset": 5}, {"reset": 0}),
            "stale-refusals": ({"stale": True}, {"stale": False}),
            "endless-answers": ({"endless": True}, {"endless": False}),
        }
        begin, end = faults[kind]
        self._set_faults(server.address, begin)
        self.schedule(
            self.now_s + fault.duration_s, lambda: self._set_faults(server.address, end)
        )

    def _restart_server(self, server_id: str) -> None:
        # A server that was killed twice may have been restarted already.
        if self._deployment.servers[server_id].process.poll() is not None:
            self._deployment.start_server(server_id)

    def _pause(self, pid: int, duration_s: float) -> None:
        self._signal(pid, signal.SIGSTOP)
        self.schedule(
            self.now_s + duration_s, lambda: self._signal(pid, signal.SIGCONT)
        )

    def _signal(self, pid: int, number: int) -> None:
        try:
            os.kill(pid, number)
        except ProcessLookupError:
            # The process has exited. Its id can't have been reused, since the
            # run has not waited for the process yet.
            return

    # Links and store

    def _inject_link_fault(self, kind: str, fault: Fault) -> None:
        address = self._deployment.links[fault.target].address
        if kind == "reset":
            self._set_faults(address, {"reset": True})
            self._set_faults(address, {"reset": False})
            return
        begin = LINK_FAULT_SETTINGS.get(kind, {"delay": 300})
        self._set_faults(address, begin)
        end = {"cut_to": False, "cut_from": False, "delay": 0, "flood": False}
        self.schedule(
            self.now_s + fault.duration_s, lambda: self._set_faults(address, end)
        )

    def _inject_store_fault(self, kind: str, fault: Fault) -> None:
        address = self._deployment.store.address
        faults = {
            "busy": ({"busy": True}, {"busy": False}),
            "slow": ({"slow": 700}, {"slow": 0}),
            "reply-lost": ({"reply_lost": 3}, {"reply_lost": 0}),
            "restored": ({"outage": True, "restored": LOST_MS}, {"outage": False}),
        }
        begin, end = faults[kind]
        self._set_faults(address, begin)
        self.schedule(
            self.now_s + fault.duration_s, lambda: self._set_faults(address, end)
        )
        if kind == "restored":
            self.schedule(
                self.now_s + fault.duration_s + WRITTEN_AGAIN_S,
                self._deployment.write_all_again,
            )

    def _set_faults(self, address: tuple[str, int], faults: dict[str, object]) -> None:
        try:
            call_control_port(address, "POST", "/faults", faults)
        except OSError as error:
            # The stand-in itself is paused or has been killed.
            print(f"soak: could not set faults: {error}", flush=True)

    # Maintenance

    def _drain_server(self, kind: str, fault: Fault) -> None:
        self._deployment.write_registration(fault.target, "draining")
        cutoff_s = time.time() + DRAIN_GRACE_MS / MS_PER_S
        drain_duration_s = MAINTENANCE_INTERVAL_S - 1.0
        self.schedule(
            self.now_s + drain_duration_s,
            lambda: self._deployment.write_registration(fault.target),
        )
        until_s = time.time() + drain_duration_s

        def check(records: list[RequestRecord]) -> list[str]:
            runs = [r for r in self._deployment.read_runs() if r.at_s < until_s]
            return check_drain(runs, fault.target, cutoff_s)

        self._maintenance_checks.append(check)

    def _stop_gateway(self, kind: str, fault: Fault) -> None:
        stop_s = time.time()
        self._inject_gateway_fault("restart", fault)
        self._maintenance_checks.append(
            lambda records: check_graceful_stop(records, fault.target, stop_s)
        )

    def _write_configuration(self, kind: str, fault: Fault) -> None:
        self._configuration_version += 1
        self._deployment.write_configuration(self._configuration_version)

    def _restore_store(self, kind: str, fault: Fault) -> None:
        """Drain a server and write a configuration; the store loses both."""
        self._drain_server(kind, fault)
        self._write_configuration(kind, fault)
        version = self._configuration_version
        outdated: list[str] = []
        restored = fault._replace(kind="store:restored", duration_s=OUTAGE_S)
        self.schedule(self.now_s + LOST_AFTER_S, lambda: self.inject(restored))
        written_s = self.now_s + LOST_AFTER_S + OUTAGE_S + WRITTEN_AGAIN_S
        self.schedule(
            written_s + CONFIGURATION_BOUND_S,
            lambda: outdated.extend(self._deployment.list_outdated(version)),
        )
        self._maintenance_checks.append(lambda records: outdated)


def run_seed(seed: int, seconds: float, base_port: int) -> Result:
    """
    Run one seed.

    :param seed: seed of the faults and of the callers.
    :param seconds: length of the run.
    :param base_port: first of 100 free ports.
    """
    with TemporaryDirectory() as folder, ExitStack() as stack:
        deployment = Deployment(Path(folder), stack, base_port)
        for server_id in SERVERS:
            deployment.write_registration(server_id)
        deployment.write_configuration(1)
        for name in deployment.gateways:
            deployment.start_gateway(name)
        wait_until_ready(deployment)
        stop_event = Event()
        callers = [
            Caller(
                f"{seed}-{n}", seed, lambda: list_open_gateways(deployment), stop_event
            )
            for n in range(CALLER_COUNT)
        ]
        for caller in callers:
            caller.thread.start()
        soak_run = SoakRun(deployment)
        plan = draw_plan(seed, seconds, deployment.targets)
        for fault in plan:
            soak_run.schedule(fault.at_s, lambda fault=fault: soak_run.inject(fault))
        soak_run.run(seconds)
        from_s = time.time() - FAULT_FREE_END_S + RECOVERY_TIME_S
        stop_event.set()
        for caller in callers:
            caller.thread.join()
        records = [record for caller in callers for record in caller.records]
        violations = [
            *check_invariants(records, deployment.read_runs()),
            *soak_run.list_violations(records),
            *check_recovery(records, from_s),
            *deployment.list_unexpected_exits(),
        ]
        succeeded = sum(record.status == 200 for record in records)
        return Result(seed, len(records), succeeded, len(plan), violations)


def list_open_gateways(deployment: Deployment) -> list[tuple[str, int]]:
    """
    Return name and port of the gateways that are not being stopped.

    :param deployment: the running processes.
    """
    return [
        (gateway.name, gateway.ports["callers"])
        for gateway in deployment.gateways.values()
        if not gateway.is_exit_expected
    ]


def wait_until_ready(deployment: Deployment) -> None:
    """
    Wait until all gateways are ready.

    :param deployment: the running processes.
    :raises TimeoutError: a gateway has not become ready.
    """
    ready_by_s = time.monotonic() + READY_TIMEOUT_S
    for name in deployment.gateways:
        while not deployment.is_ready(name):
            if time.monotonic() > ready_by_s:
                raise TimeoutError(f"{name} did not become ready")
            time.sleep(POLL_INTERVAL_S)


__all__ = ["MAINTENANCE_KINDS", "Result", "run_seed"]
