"""Draws which faults come when; the same seed gives the same plan."""

from collections.abc import Mapping, Sequence
from random import Random
from typing import NamedTuple

# The end of a run is left without faults, so that recovery can be seen.
CALM_S = 8.0
# A gentle stop or a leaving server is watched without other faults beside it.
PLANNED_S = 4.0


class Fault(NamedTuple):
    """A fault of a run; ``for_s`` is 0 for what ends by itself."""

    at_s: float
    kind: str
    target: str
    for_s: float


# Faults by what they concern.
GATEWAY_FAULTS = ("kill", "pause", "restart", "pause-short")
SERVER_FAULTS = ("kill", "pause", "slow", "shed", "errors", "reset-answers")
LINK_FAULTS = ("delay", "cut-to", "cut-from", "cut-both", "reset")
STORE_FAULTS = ("busy", "slow", "reply-lost")
PLANNED = ("drain-server", "stop-gateway", "configure")


class Targets(NamedTuple):
    """What faults can concern, by name."""

    gateways: Sequence[str]
    servers: Sequence[str]
    links: Sequence[str]


def draw_plan(seed: int, seconds: float, targets: Targets) -> list[Fault]:
    """
    Return the faults of a run in the order of time.

    Planned work comes first, then faults in series that overlap.

    :param seed: seed of the run.
    :param seconds: length of the run.
    :param targets: what faults can concern.
    """
    rng = Random(seed)
    begin_s = PLANNED_S * len(PLANNED)
    faults = [
        Fault(1.0 + number * PLANNED_S, kind, pick_planned(kind, targets, rng), 0.0)
        for number, kind in enumerate(rng.sample(PLANNED, len(PLANNED)))
    ]
    at_s = begin_s
    while True:
        # Some come at the same moment, most after a while.
        at_s += rng.choice((0.0, 0.1, 0.5, 1.0, 1.5)) * (0.5 + rng.random())
        if at_s >= seconds - CALM_S:
            return faults
        faults.append(draw_fault(at_s, seconds - CALM_S - at_s, targets, rng))


def pick_planned(kind: str, targets: Targets, rng: Random) -> str:
    """
    Choose what planned work concerns.

    :param kind: the work.
    :param targets: what faults can concern.
    :param rng: source of randomness.
    """
    names = {"drain-server": targets.servers, "stop-gateway": targets.gateways}
    return rng.choice(names.get(kind, ("store",)))


def draw_fault(at_s: float, left_s: float, targets: Targets, rng: Random) -> Fault:
    """
    Draw one fault.

    :param at_s: when it begins.
    :param left_s: time until the calm end.
    :param targets: what faults can concern.
    :param rng: source of randomness.
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
    for_s = 0.2 if kind == "pause-short" else rng.uniform(0.5, 4.0)
    return Fault(round(at_s, 2), f"{group}:{kind}", target, min(for_s, left_s))
