"""
Load-balancing policies.

Each policy is a closure that chooses one of the candidate servers; all
closures have the same signature.
"""

from collections.abc import Callable, Mapping, Sequence
from itertools import count
from random import Random
from types import MappingProxyType
from typing import NamedTuple

from cuminhatch.decisions.servers import ServerView, load_score

# The score of a server in another failure domain is multiplied by this
# factor. It is about as large as the random variation of the score, so a near
# server with clearly more load is still not chosen.
FAR_FACTOR = 1.1


class NotChosen(NamedTuple):
    """No backend server can take a request now; ``reason`` says why."""

    reason: str


NO_OPEN_SERVER = NotChosen("no-server-open")

Choose = Callable[[Sequence[ServerView], float], ServerView | NotChosen]


def power_of_d(d: int, rng: Random) -> Choose:
    """
    Choose the server with the lowest score of ``d`` drawn at random.

    Instances that see the same stale reports do not all choose the same
    server, and the cost does not grow with the number of servers.

    :param d: number of servers to compare.
    :param rng: source of randomness.
    :returns: a function of the candidates and the current time in
        milliseconds.
    """
    random = rng.random

    def choose(
        candidates: Sequence[ServerView], now_ms: float
    ) -> ServerView | NotChosen:
        total = len(candidates)
        if total == 0:
            return NO_OPEN_SERVER
        # Indices stay in the order drawn: ties go to the first one drawn, not
        # to the first one in the list.
        drawn: list[int] = []
        wanted = min(d, total)
        while len(drawn) < wanted:
            index = int(random() * total)
            if index not in drawn:
                drawn.append(index)
        if wanted == 1:
            return candidates[drawn[0]]
        best = candidates[drawn[0]]
        best_score = float("inf")
        for index in drawn:
            view = candidates[index]
            score = load_score(view, now_ms)
            if not view.is_near:
                score *= FAR_FACTOR
            if score < best_score:
                best, best_score = view, score
        return best

    return choose


def random_choice(rng: Random) -> Choose:
    """
    Choose a server at random.

    :param rng: source of randomness.
    :returns: a function of the candidates and the current time in
        milliseconds.
    """

    def choose(
        candidates: Sequence[ServerView], now_ms: float
    ) -> ServerView | NotChosen:
        if not candidates:
            return NO_OPEN_SERVER
        return candidates[int(rng.random() * len(candidates))]

    return choose


def round_robin() -> Choose:
    """
    Choose the servers in turn.

    :returns: a function of the candidates and the current time in
        milliseconds.
    """
    turn = count()

    def choose(
        candidates: Sequence[ServerView], now_ms: float
    ) -> ServerView | NotChosen:
        if not candidates:
            return NO_OPEN_SERVER
        return candidates[next(turn) % len(candidates)]

    return choose


def least_in_flight(rng: Random) -> Choose:
    """
    Choose the server with the fewest requests of this instance in flight.

    :param rng: source of randomness, breaks ties.
    :returns: a function of the candidates and the current time in
        milliseconds.
    """

    def choose(
        candidates: Sequence[ServerView], now_ms: float
    ) -> ServerView | NotChosen:
        if not candidates:
            return NO_OPEN_SERVER
        return min(candidates, key=lambda view: (view.in_flight, rng.random()))

    return choose


POWER_OF_D = "power-of-d"
# Policies that power-of-d is compared with, by their names in the settings.
BASELINES: Mapping[str, Callable[[Random], Choose]] = MappingProxyType(
    {
        "random": random_choice,
        "round-robin": lambda rng: round_robin(),
        "least-in-flight": least_in_flight,
    }
)
