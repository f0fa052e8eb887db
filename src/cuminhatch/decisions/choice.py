"""Closures that choose a backend server; all have one signature."""

from collections.abc import Callable, Mapping, Sequence
from itertools import count
from random import Random
from types import MappingProxyType
from typing import NamedTuple

from cuminhatch.decisions.servers import ServerView, load_score

# A server in another failure domain has to be better by this factor. It is
# about the noise of the score, so a near server that is truly more loaded
# is passed over.
FAR_FACTOR = 1.1


class NotChosen(NamedTuple):
    """Sentinel: no backend server may take a request now."""

    reason: str


NONE_OPEN = NotChosen("no-server-open")

Choose = Callable[[Sequence[ServerView], float], ServerView | NotChosen]


def power_of_d(d: int, rng: Random) -> Choose:
    """
    Choose the best of ``d`` servers drawn at random.

    Instances that share stale reports do not all pick the same server, and
    the cost does not grow with the number of servers.

    :param d: servers to compare.
    :param rng: source of randomness.
    :returns: a function of candidates and current time in milliseconds.
    """
    random = rng.random

    def choose(
        candidates: Sequence[ServerView], now_ms: float
    ) -> ServerView | NotChosen:
        total = len(candidates)
        if total == 0:
            return NONE_OPEN
        # In the order drawn, so that ties do not favour a place in the list.
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
    Choose any server.

    :param rng: source of randomness.
    :returns: a function of candidates and current time in milliseconds.
    """

    def choose(
        candidates: Sequence[ServerView], now_ms: float
    ) -> ServerView | NotChosen:
        if not candidates:
            return NONE_OPEN
        return candidates[int(rng.random() * len(candidates))]

    return choose


def round_robin() -> Choose:
    """
    Choose the servers in turn.

    :returns: a function of candidates and current time in milliseconds.
    """
    turn = count()

    def choose(
        candidates: Sequence[ServerView], now_ms: float
    ) -> ServerView | NotChosen:
        if not candidates:
            return NONE_OPEN
        return candidates[next(turn) % len(candidates)]

    return choose


def least_in_flight(rng: Random) -> Choose:
    """
    Choose the server with the fewest own requests in flight.

    :param rng: source of randomness, breaks ties.
    :returns: a function of candidates and current time in milliseconds.
    """

    def choose(
        candidates: Sequence[ServerView], now_ms: float
    ) -> ServerView | NotChosen:
        if not candidates:
            return NONE_OPEN
        return min(candidates, key=lambda view: (view.in_flight, rng.random()))

    return choose


POWER_OF_D = "power-of-d"
# Choices that power-of-d is compared with, by their names in the settings.
BASELINES: Mapping[str, Callable[[Random], Choose]] = MappingProxyType(
    {
        "random": random_choice,
        "round-robin": lambda rng: round_robin(),
        "least-in-flight": least_in_flight,
    }
)
