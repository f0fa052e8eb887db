"""Draws the faults of a run; the same seed gives the same plan."""

from collections.abc import Mapping, Sequence
from random import Random
from typing import NamedTuple

# No fault is active at the end of a run, so that recovery can be checked.
FAULT_FREE_END_S = 8.0
# Maintenance (graceful stop, server drain, new configuration, and a store that
# loses both) is checked without other faults at the same time.
MAINTENANCE_INTERVAL_S = 4.0


class Fault(NamedTuple):
    """A fault or maintenance operation; ``duration_s`` is 0 for the latter."""

    at_s: float
    kind: str
    target: str
    duration_s: float


# Kinds of faults, by the group of their targets. ``restart`` and the
# maintenance operation ``stop-gateway`` both send SIGTERM and start the
# gateway again; only the latter is checked for interrupted requests.
GATEWAY_FAULTS = ("kill", "pause", "restart", "pause-short")
SERVER_FAULTS = (
    "kill",
    "pause",
    "slow",
    "shed",
    "errors",
    "reset-answers",
    "stale-refusals",
    "endless-answers",
)
LINK_FAULTS = ("delay", "cut-to", "cut-from", "cut-both", "reset", "flood")
STORE_FAULTS = ("busy", "slow", "reply-lost", "restored")
MAINTENANCE_KINDS = ("drain-server", "stop-gateway", "configure", "restore-store")


class Targets(NamedTuple):
    """Names of everything that faults can be injected into."""

    gateways: Sequence[str]
    servers: Sequence[str]
    links: Sequence[str]


def draw_plan(seed: int, seconds: float, targets: Targets) -> list[Fault]:
    """
    Return the faults of a run, ordered by start time.

    Maintenance comes first, then random faults that overlap.

    :param seed: seed of the run.
    :param seconds: length of the run.
    :param targets: possible targets of faults.
    """
    rng = Random(seed)
    maintenance_end_s = MAINTENANCE_INTERVAL_S * len(MAINTENANCE_KINDS)
    faults = [
        Fault(
            1.0 + number * MAINTENANCE_INTERVAL_S,
            kind,
            choose_maintenance_target(kind, targets, rng),
            0.0,
        )
        for number, kind in enumerate(
            rng.sample(MAINTENANCE_KINDS, len(MAINTENANCE_KINDS))
        )
    ]
    at_s = maintenance_end_s
    while True:
        # Some faults start together, most after a pause.
        at_s += rng.choice((0.0, 0.1, 0.5, 1.0, 1.5)) * (0.5 + rng.random())
        if at_s >= seconds - FAULT_FREE_END_S:
            return faults
        faults.append(draw_fault(at_s, seconds - FAULT_FREE_END_S - at_s, targets, rng))


def choose_maintenance_target(kind: str, targets: Targets, rng: Random) -> str:
    """
    Choose the target of a maintenance operation.

    :param kind: the operation.
    :param targets: possible targets of faults.
    :param rng: random source of the plan.
    """
    names = {
        "drain-server": targets.servers,
        "restore-store": targets.servers,
        "stop-gateway": targets.gateways,
    }
    return rng.choice(names.get(kind, ("store",)))


def draw_fault(at_s: float, remaining_s: float, targets: Targets, rng: Random) -> Fault:
    """
    Draw one fault.

    :param at_s: start of the fault, in seconds since the start of the run.
    :param remaining_s: seconds until the end of the run that has no faults.
    :param targets: possible targets of faults.
    :param rng: random source of the plan.
    """
    pools: Mapping[str, tuple[Sequence[str], Sequence[str]]] = {
        "gateway": (GATEWAY_FAULTS, targets.gateways),
        "server": (SERVER_FAULTS, targets.servers),
        "link": (LINK_FAULTS, targets.links),
        "store": (STORE_FAULTS, ("store",)),
    }
    group = rng.choice(list(pools))
    kinds, names = pools[group]
    kind, target = rng.choice(kinds), rng.choice(names)
    duration_s = 0.2 if kind == "pause-short" else rng.uniform(0.5, 4.0)
    return Fault(
        round(at_s, 2), f"{group}:{kind}", target, min(duration_s, remaining_s)
    )
