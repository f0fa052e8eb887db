"""What callers and backend servers must never see, as checks of records."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# These statuses promise that the request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
OK = 200
# Part of the requests of the calm end that must be answered.
RECOVERED_SHARE = 0.9


class Attempt(NamedTuple):
    """
    One request as its caller saw it.

    ``status`` is 0 where the connection ended without an answer. Times are
    wall-clock seconds.
    """

    request_id: str
    kind: str
    gateway: str
    begun_s: float
    ended_s: float
    status: int
    answer_id: str
    seal: str
    body: bytes


class Run(NamedTuple):
    """One run of a request at a backend server."""

    at_s: float
    server_id: str
    request_id: str


def check_all(attempts: Sequence[Attempt], runs: Sequence[Run]) -> list[str]:
    """
    Return what breaks a promise that holds at all times.

    :param attempts: what callers saw.
    :param runs: what backend servers ran.
    """
    counts = Counter(run.request_id for run in runs)
    return [
        *check_at_most_once(attempts, counts),
        *check_refusals(attempts, counts),
        *check_answers(attempts),
        *check_origin(attempts, counts),
    ]


def check_at_most_once(
    attempts: Iterable[Attempt], counts: Counter[str]
) -> Iterable[str]:
    """Yield confirmations that ran more than once."""
    for attempt in attempts:
        if attempt.kind == "confirm" and counts[attempt.request_id] > 1:
            yield f"ran {counts[attempt.request_id]} times: {attempt}"


def check_refusals(attempts: Iterable[Attempt], counts: Counter[str]) -> Iterable[str]:
    """Yield confirmations that ran although they were refused."""
    for attempt in attempts:
        if attempt.kind == "confirm" and attempt.status in NOT_RUN:
            if counts[attempt.request_id]:
                yield f"refused and ran: {attempt}"


def check_answers(attempts: Iterable[Attempt]) -> Iterable[str]:
    """Yield successes that are not the whole answer to the own request."""
    for attempt in attempts:
        if attempt.status != OK:
            continue
        request_id = attempt.request_id
        expected = (request_id, f"seal.{request_id}", f"answer to {request_id}")
        if (attempt.answer_id, attempt.seal, attempt.body.decode()) != expected:
            yield f"not the whole own answer: {attempt}"


def check_origin(attempts: Iterable[Attempt], counts: Counter[str]) -> Iterable[str]:
    """Yield runs that no caller has asked for."""
    asked = {attempt.request_id for attempt in attempts}
    for request_id in counts.keys() - asked:
        yield f"ran, but no caller sent it: {request_id}"


def check_drain(runs: Iterable[Run], server_id: str, bound_s: float) -> list[str]:
    """
    Return runs at a server that had to get nothing new any more.

    :param runs: what backend servers ran.
    :param server_id: the server that leaves.
    :param bound_s: wall-clock time from which on nothing may begin there.
    """
    late = [r for r in runs if r.server_id == server_id and r.at_s > bound_s]
    return [f"new work for a leaving server: {run}" for run in late]


def check_stop(attempts: Iterable[Attempt], gateway: str, stop_s: float) -> list[str]:
    """
    Return requests that a gentle stop has cut off.

    A request that is sent while the connection is being closed counts as not
    read; one that was under way before the stop must be answered.

    :param attempts: what callers saw.
    :param gateway: the gateway that was stopped.
    :param stop_s: when.
    """
    return [
        f"cut off by a gentle stop: {attempt}"
        for attempt in attempts
        if attempt.gateway == gateway
        and attempt.begun_s < stop_s < attempt.ended_s
        and attempt.status == 0
    ]


def check_recovery(attempts: Iterable[Attempt], from_s: float) -> list[str]:
    """
    Return a line if too few requests are answered after the last fault.

    :param attempts: what callers saw.
    :param from_s: when the system must have recovered.
    """
    late = [attempt for attempt in attempts if attempt.begun_s >= from_s]
    answered = sum(attempt.status == OK for attempt in late)
    if late and answered >= len(late) * RECOVERED_SHARE:
        return []
    return [f"not recovered: {answered} of {len(late)} requests answered"]
