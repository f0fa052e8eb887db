"""Checks of the guarantees to callers, on records of requests and runs."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# These statuses guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
OK_STATUS = 200
# Share of the requests after recovery that must succeed.
RECOVERED_SUCCESS_SHARE = 0.9


class RequestRecord(NamedTuple):
    """
    One request, as recorded by its caller.

    ``status`` is 0 if the caller got no complete response. Times are
    wall-clock seconds.
    """

    request_id: str
    kind: str
    gateway: str
    started_s: float
    ended_s: float
    status: int
    response_id: str
    seal: str
    body: bytes


class RequestRun(NamedTuple):
    """One run of a request at a backend server."""

    at_s: float
    server_id: str
    request_id: str


def check_invariants(
    records: Sequence[RequestRecord], runs: Sequence[RequestRun]
) -> list[str]:
    """
    Return violations of the guarantees that hold at all times.

    :param records: requests of all callers.
    :param runs: runs at all backend servers.
    """
    counts = Counter(run.request_id for run in runs)
    return [
        *check_at_most_once(records, counts),
        *check_refusals(records, counts),
        *check_responses(records),
        *check_run_origin(records, counts),
    ]


def check_at_most_once(
    records: Iterable[RequestRecord], counts: Counter[str]
) -> Iterable[str]:
    """Yield confirmations that ran more than once."""
    for record in records:
        if record.kind == "confirm" and counts[record.request_id] > 1:
            yield f"ran {counts[record.request_id]} times: {record}"


def check_refusals(
    records: Iterable[RequestRecord], counts: Counter[str]
) -> Iterable[str]:
    """Yield confirmations that ran although they were refused."""
    for record in records:
        if record.kind == "confirm" and record.status in NOT_RUN_STATUSES:
            if counts[record.request_id]:
                yield f"refused, but ran: {record}"


def check_responses(records: Iterable[RequestRecord]) -> Iterable[str]:
    """Yield successes without the complete response to their own request."""
    for record in records:
        if record.status != OK_STATUS:
            continue
        request_id = record.request_id
        expected = (request_id, f"seal.{request_id}", f"answer to {request_id}")
        if (record.response_id, record.seal, record.body.decode()) != expected:
            yield f"not the complete response to this request: {record}"


def check_run_origin(
    records: Iterable[RequestRecord], counts: Counter[str]
) -> Iterable[str]:
    """Yield runs of requests that no caller has sent."""
    sent_ids = {record.request_id for record in records}
    for request_id in counts.keys() - sent_ids:
        yield f"ran, but no caller sent it: {request_id}"


def check_drain(
    runs: Iterable[RequestRun], server_id: str, cutoff_s: float
) -> list[str]:
    """
    Return runs that began at a server after it had drained.

    :param runs: runs at all backend servers.
    :param server_id: the draining server.
    :param cutoff_s: wall-clock time after which no run may begin there.
    """
    late = [r for r in runs if r.server_id == server_id and r.at_s > cutoff_s]
    return [f"new request at a draining server: {run}" for run in late]


def check_graceful_stop(
    records: Iterable[RequestRecord], gateway: str, stop_s: float
) -> list[str]:
    """
    Return requests that a graceful stop has interrupted.

    A request that was in progress before the stop must get a response. One
    sent after the stop is not checked, since the gateway may close its
    connection without having read it.

    :param records: requests of all callers.
    :param gateway: the gateway that was stopped.
    :param stop_s: wall-clock time of the stop.
    """
    return [
        f"interrupted by a graceful stop: {record}"
        for record in records
        if record.gateway == gateway
        and record.started_s < stop_s < record.ended_s
        and record.status == 0
    ]


def check_recovery(records: Iterable[RequestRecord], from_s: float) -> list[str]:
    """
    Return a violation if too few requests succeed after the last fault.

    :param records: requests of all callers.
    :param from_s: wall-clock time when the system must have recovered.
    """
    late = [record for record in records if record.started_s >= from_s]
    succeeded = sum(record.status == OK_STATUS for record in late)
    if late and succeeded >= len(late) * RECOVERED_SUCCESS_SHARE:
        return []
    return [f"not recovered: {succeeded} of {len(late)} requests succeeded"]
