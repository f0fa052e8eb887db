"""Plays one seed: starts all, injects faults, and checks the promises."""

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

from soak.callers import CALLERS, Caller
from soak.deployment import Deployment, ask, end_process
from soak.documents import DRAIN_GRACE_MS, GRACE_MS, SERVERS
from soak.plan import CALM_S, PLANNED, PLANNED_S, Fault, draw_plan
from soak.promises import (
    Attempt,
    check_all,
    check_drain,
    check_recovery,
    check_stop,
)

READY_LIMIT_S = 20.0
POLL_S = 0.05
# After the last fault: servers are trusted again, gateways have restarted.
RECOVERY_S = 5.0
MS_PER_S = 1_000.0
RESTART_S = 0.5
LINK_CUTS = {
    "cut-to": {"cut_to": True},
    "cut-from": {"cut_from": True},
    "cut-both": {"cut_to": True, "cut_from": True},
}


class Result(NamedTuple):
    """What a run has shown; ``violations`` is empty if all promises held."""

    seed: int
    attempts: int
    answered: int
    faults: int
    violations: list[str]


class SoakRun:
    """State of one run: its deployment, and what ends when."""

    def __init__(self, deployment: Deployment) -> None:
        """
        Start without faults.

        :param deployment: the running processes.
        """
        self._deployment = deployment
        self._begun_s = time.monotonic()
        self._order = count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._version = 1
        # Planned work, as checks of what was seen afterwards.
        self._checks: list[Callable[[list[Attempt]], list[str]]] = []

    @property
    def now_s(self) -> float:
        """Return the time since the begin of the run."""
        return time.monotonic() - self._begun_s

    def at(self, at_s: float, act: Callable[[], None]) -> None:
        """
        Do something at a time of the run.

        :param at_s: seconds since its begin.
        :param act: what is done.
        """
        heappush(self._due, (at_s, next(self._order), act))

    def play(self, seconds: float) -> None:
        """
        Do what is due until the end of the run.

        :param seconds: length of the run.
        """
        while self.now_s < seconds:
            while self._due and self._due[0][0] <= self.now_s:
                heappop(self._due)[2]()
            time.sleep(POLL_S)

    def inject(self, fault: Fault) -> None:
        """
        Inject a fault, and plan its end.

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
            "configure": self._configure,
        }
        injectors[group](kind, fault)

    def list_violations(self, attempts: list[Attempt]) -> list[str]:
        """
        Return what planned work has broken.

        :param attempts: what callers saw.
        """
        return [line for check in self._checks for line in check(attempts)]

    # Processes

    def _inject_gateway_fault(self, kind: str, fault: Fault) -> None:
        gateway = self._deployment.gateways[fault.target]
        process = gateway.process
        if process.poll() is not None:
            return
        if kind in ("pause", "pause-short"):
            self._pause(process.pid, fault.for_s)
            return
        gateway.is_end_expected = True
        if kind == "kill":
            process.kill()
            self.at(self.now_s + RESTART_S, lambda: self._restart(fault.target))
            return
        process.terminate()
        self.at(self.now_s + GRACE_MS / MS_PER_S, lambda: self._restart(fault.target))

    def _restart(self, name: str) -> None:
        # A kill during a gentle stop starts it before the stop's time is over.
        gateway = self._deployment.gateways[name]
        if gateway.is_end_expected:
            end_process(gateway.process)
            self._deployment.start_gateway(name)

    def _inject_server_fault(self, kind: str, fault: Fault) -> None:
        server = self._deployment.servers[fault.target]
        if kind == "kill":
            end_process(server.process)
            self.at(
                self.now_s + fault.for_s, lambda: self._restart_server(fault.target)
            )
            return
        if kind == "pause":
            self._pause(server.process.pid, fault.for_s)
            return
        faults = {
            "slow": ({"slow": 1_500}, {"slow": 0}),
            "shed": ({"shed": True}, {"shed": False}),
            "errors": ({"errors": 5}, {"errors": 0}),
            "reset-answers": ({"reset": 5}, {"reset": 0}),
        }
        begin, end = faults[kind]
        self._set(server.address, begin)
        self.at(self.now_s + fault.for_s, lambda: self._set(server.address, end))

    def _restart_server(self, server_id: str) -> None:
        # It may have been killed twice, and run again already.
        if self._deployment.servers[server_id].process.poll() is not None:
            self._deployment.start_server(server_id)

    def _pause(self, pid: int, for_s: float) -> None:
        self._signal(pid, signal.SIGSTOP)
        self.at(self.now_s + for_s, lambda: self._signal(pid, signal.SIGCONT))

    def _signal(self, pid: int, number: int) -> None:
        try:
            os.kill(pid, number)
        except ProcessLookupError:
            # It has ended meanwhile, and nothing else has taken its id: the
            # soak has not waited for it yet.
            return

    # Links and store

    def _inject_link_fault(self, kind: str, fault: Fault) -> None:
        address = self._deployment.links[fault.target].address
        if kind == "reset":
            self._set(address, {"reset": True})
            self._set(address, {"reset": False})
            return
        begin = LINK_CUTS.get(kind, {"delay": 300})
        self._set(address, begin)
        end = {"cut_to": False, "cut_from": False, "delay": 0}
        self.at(self.now_s + fault.for_s, lambda: self._set(address, end))

    def _inject_store_fault(self, kind: str, fault: Fault) -> None:
        address = self._deployment.store.address
        faults = {
            "busy": ({"busy": True}, {"busy": False}),
            "slow": ({"slow": 700}, {"slow": 0}),
            "reply-lost": ({"reply_lost": 3}, {"reply_lost": 0}),
        }
        begin, end = faults[kind]
        self._set(address, begin)
        self.at(self.now_s + fault.for_s, lambda: self._set(address, end))

    def _set(self, address: tuple[str, int], faults: dict[str, object]) -> None:
        try:
            ask(address, "POST", "/faults", faults)
        except OSError as error:
            # The stand-in itself is paused or has been killed.
            print(f"soak: faults not set: {error}", flush=True)

    # Planned work

    def _drain_server(self, kind: str, fault: Fault) -> None:
        self._deployment.register(fault.target, "draining")
        bound_s = time.time() + DRAIN_GRACE_MS / MS_PER_S
        back_s = PLANNED_S - 1.0
        self.at(self.now_s + back_s, lambda: self._deployment.register(fault.target))
        until_s = time.time() + back_s

        def check(attempts: list[Attempt]) -> list[str]:
            runs = [r for r in self._deployment.read_runs() if r.at_s < until_s]
            return check_drain(runs, fault.target, bound_s)

        self._checks.append(check)

    def _stop_gateway(self, kind: str, fault: Fault) -> None:
        stop_s = time.time()
        self._inject_gateway_fault("restart", fault)
        self._checks.append(lambda attempts: check_stop(attempts, fault.target, stop_s))

    def _configure(self, kind: str, fault: Fault) -> None:
        self._version += 1
        self._deployment.configure(self._version)


def run_seed(seed: int, seconds: float, base_port: int) -> Result:
    """
    Play one seed.

    :param seed: seed of plan and callers.
    :param seconds: length of the run.
    :param base_port: first of some hundred free ports.
    """
    with TemporaryDirectory() as folder, ExitStack() as stack:
        deployment = Deployment(Path(folder), stack, base_port)
        for server_id in SERVERS:
            deployment.register(server_id)
        deployment.configure(1)
        for name in deployment.gateways:
            deployment.start_gateway(name)
        await_ready(deployment)
        is_over = Event()
        callers = [
            Caller(f"{seed}-{n}", seed, lambda: list_ports(deployment), is_over)
            for n in range(CALLERS)
        ]
        for caller in callers:
            caller.thread.start()
        soak_run = SoakRun(deployment)
        plan = draw_plan(seed, seconds, deployment.targets)
        for fault in plan:
            soak_run.at(fault.at_s, lambda fault=fault: soak_run.inject(fault))
        soak_run.play(seconds)
        from_s = time.time() - CALM_S + RECOVERY_S
        is_over.set()
        for caller in callers:
            caller.thread.join()
        attempts = [attempt for caller in callers for attempt in caller.attempts]
        violations = [
            *check_all(attempts, deployment.read_runs()),
            *soak_run.list_violations(attempts),
            *check_recovery(attempts, from_s),
            *deployment.list_own_ends(),
        ]
        answered = sum(attempt.status == 200 for attempt in attempts)
        return Result(seed, len(attempts), answered, len(plan), violations)


def list_ports(deployment: Deployment) -> list[tuple[str, int]]:
    """
    Return the gateways that new connections may go to.

    :param deployment: the running processes.
    """
    return [
        (gateway.name, gateway.ports["callers"])
        for gateway in deployment.gateways.values()
        if not gateway.is_end_expected
    ]


def await_ready(deployment: Deployment) -> None:
    """
    Wait until all gateways are ready.

    :param deployment: the running processes.
    :raises TimeoutError: one does not become ready.
    """
    give_up_s = time.monotonic() + READY_LIMIT_S
    for name in deployment.gateways:
        while not deployment.is_ready(name):
            if time.monotonic() > give_up_s:
                raise TimeoutError(f"{name} does not become ready")
            time.sleep(POLL_S)


__all__ = ["PLANNED", "Result", "run_seed"]
