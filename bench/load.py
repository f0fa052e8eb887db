"""
Open-loop load generator: arrivals do not wait for responses.

Latency is measured from the intended start of a request, so that it includes
the delay from a stall of the generator or of the system. Run in its own
process: ``python -m bench.load PLAN.json REPORT.json``.
"""

import sys
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any, NamedTuple, TypedDict

import orjson
from hdrh.histogram import HdrHistogram

from cuminhatch.address import Address
from cuminhatch.clock import MS_PER_SECOND
from cuminhatch.codecs.http1 import Header, RequestHead, find_header
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    AttemptFailed,
    AttemptRequested,
    AttemptResponse,
    AttemptResponseBody,
)
from cuminhatch.outcomes import OUTCOME_HEADER
from cuminhatch.services import BackendConnections

US_PER_MS = 1000.0
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
# Sent requests and useful responses are counted per interval, to show a peak
# load and the recovery from it.
BUCKET_MS = 100.0
# Time after the last arrival in which outstanding responses may arrive.
RESPONSE_WAIT_MS = 2_500.0


class Phase(TypedDict):
    """A period with a constant rate of arrivals, in requests per second."""

    seconds: float
    rate: float


class RequestStream(TypedDict):
    """Requests of one kind; successes within ``deadline_ms`` are useful."""

    name: str
    targets: list[str]
    path: str
    method: str
    deadline_ms: float
    is_keyed: bool
    phases: list[Phase]


class LoadPlan(TypedDict):
    """Streams that run in parallel, and the seed of their arrivals."""

    seed: int
    streams: list[RequestStream]


class Arrival(NamedTuple):
    """The intended start of a request, since the start of the load."""

    at_ms: float
    stream: int


class ArrivalTimerExpired(NamedTuple):
    """The intended start of the next request has come."""


class ResponseWaitExpired(NamedTuple):
    """The wait for outstanding responses has ended."""


class StreamResult:
    """Latencies and outcomes of the requests of one stream."""

    def __init__(self) -> None:
        """Create an empty result."""
        self.latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.refusal = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.outcomes: Counter[str] = Counter()
        self.sent: Counter[int] = Counter()
        self.useful: Counter[int] = Counter()
        self.late_refusals = 0

    def summary(self) -> dict[str, Any]:
        """Return the result as JSON values; latencies in milliseconds."""
        return {
            "outcomes": dict(self.outcomes),
            "p50_ms": self.latency.get_value_at_percentile(50) / US_PER_MS,
            "p99_ms": self.latency.get_value_at_percentile(99) / US_PER_MS,
            "p999_ms": self.latency.get_value_at_percentile(99.9) / US_PER_MS,
            "refusal_p99_ms": self.refusal.get_value_at_percentile(99) / US_PER_MS,
            "late_refusals": self.late_refusals,
            "sent_per_bucket": dict(sorted(self.sent.items())),
            "useful_per_bucket": dict(sorted(self.useful.items())),
        }


def plan_arrivals(plan: LoadPlan) -> list[Arrival]:
    """
    Draw the arrivals of all streams, each a Poisson process.

    :param plan: streams and seed.
    :returns: arrivals ordered by time.
    """
    arrivals = []
    for number, stream in enumerate(plan["streams"]):
        rng = Random(f"{plan['seed']}/{stream['name']}")
        start_ms = 0.0
        for phase in stream["phases"]:
            end_ms = start_ms + phase["seconds"] * MS_PER_SECOND
            at_ms = start_ms
            while phase["rate"] > 0:
                at_ms += rng.expovariate(phase["rate"]) * MS_PER_SECOND
                if at_ms >= end_ms:
                    break
                arrivals.append(Arrival(at_ms, number))
            start_ms = end_ms
    return sorted(arrivals)


class _PendingRequest(NamedTuple):
    stream: int
    start_ms: float


class LoadGenerator(Service):
    """Sends requests at their planned times and records the responses."""

    name = "load"

    def __init__(self, kernel: Kernel, plan: LoadPlan) -> None:
        """
        Draw the arrivals of a plan.

        :param kernel: kernel of the process.
        :param plan: streams and seed.
        """
        super().__init__(kernel)
        self._plan = plan
        self._arrivals = plan_arrivals(plan)
        self._next_index = 0
        self._start_ms = 0.0
        self._pending: dict[int, _PendingRequest] = {}
        self._successful: set[int] = set()
        self._results = [StreamResult() for _ in plan["streams"]]

    def message_handlers(self) -> MessageTable:
        """Return the handlers for connections and timers."""
        return {
            ArrivalTimerExpired: self._on_arrival_timer_expired,
            AttemptResponse: self._on_response,
            AttemptResponseBody: self._on_body,
            AttemptFailed: self._on_failed,
            ResponseWaitExpired: self._on_response_wait_expired,
        }

    def open(self) -> None:
        """Schedule the first arrival."""
        self._start_ms = self.kernel.clock.now_ms + 100.0
        self._schedule()

    def report(self) -> dict[str, Any]:
        """Return the results by stream name."""
        return {
            stream["name"]: result.summary()
            for stream, result in zip(self._plan["streams"], self._results, strict=True)
        }

    def _schedule(self) -> None:
        if self._next_index < len(self._arrivals):
            at_ms = self._start_ms + self._arrivals[self._next_index].at_ms
            self.kernel.call_at(at_ms, self.name, ArrivalTimerExpired())
        else:
            self.call_after(RESPONSE_WAIT_MS, ResponseWaitExpired())

    def _on_arrival_timer_expired(self, message: ArrivalTimerExpired) -> None:
        elapsed_ms = self.kernel.clock.now_ms - self._start_ms
        arrivals = self._arrivals
        while (
            self._next_index < len(arrivals)
            and arrivals[self._next_index].at_ms <= elapsed_ms
        ):
            self._send_request(self._next_index, arrivals[self._next_index])
            self._next_index += 1
        self._schedule()

    def _send_request(self, number: int, arrival: Arrival) -> None:
        stream = self._plan["streams"][arrival.stream]
        target = stream["targets"][number % len(stream["targets"])]
        host, _, port = target.rpartition(":")
        self._pending[number] = _PendingRequest(
            arrival.stream, self._start_ms + arrival.at_ms
        )
        self._results[arrival.stream].sent[self._bucket(arrival.at_ms)] += 1
        headers = [
            Header(b"host", target.encode()),
            Header(b"request-deadline-ms", b"%d" % stream["deadline_ms"]),
        ]
        if stream["is_keyed"]:
            key = f"{self._plan['seed']}-{number}".encode()
            headers.append(Header(b"idempotency-key", key))
        method = stream["method"].encode()
        self.send(
            "backends",
            AttemptRequested(
                number,
                target,
                Address(host, int(port)),
                RequestHead(method, stream["path"].encode(), tuple(headers)),
                0,
                b"",
                True,
                RESPONSE_WAIT_MS + stream["deadline_ms"],
                False,
            ),
        )

    def _bucket(self, at_ms: float) -> int:
        return int(at_ms // BUCKET_MS)

    def _on_response(self, message: AttemptResponse) -> None:
        request = self._pending.get(message.attempt_id)
        if request is None:
            return
        outcome = find_header(message.head.headers, OUTCOME_HEADER)
        name = outcome.decode() if outcome else "direct"
        if message.head.status == 200:
            self._successful.add(message.attempt_id)
        else:
            self._record_error_response(request, f"{name} {message.head.status}")
        if message.is_complete:
            self._record_completion(message.attempt_id)

    def _record_error_response(self, request: _PendingRequest, outcome: str) -> None:
        result = self._results[request.stream]
        result.outcomes[outcome] += 1
        elapsed_ms = self.kernel.clock.now_ms - request.start_ms
        result.refusal.record_value(max(1, int(elapsed_ms * US_PER_MS)))
        if elapsed_ms > self._plan["streams"][request.stream]["deadline_ms"]:
            result.late_refusals += 1

    def _on_body(self, message: AttemptResponseBody) -> None:
        if message.is_complete:
            self._record_completion(message.attempt_id)

    def _record_completion(self, number: int) -> None:
        request = self._pending.pop(number, None)
        self._stop_if_done()
        if request is None or number not in self._successful:
            return
        self._successful.discard(number)
        result = self._results[request.stream]
        now_ms = self.kernel.clock.now_ms
        latency_ms = now_ms - request.start_ms
        result.latency.record_value(max(1, int(latency_ms * US_PER_MS)))
        if latency_ms <= self._plan["streams"][request.stream]["deadline_ms"]:
            result.outcomes["useful"] += 1
            result.useful[self._bucket(now_ms - self._start_ms)] += 1
        else:
            result.outcomes["late"] += 1

    def _on_failed(self, message: AttemptFailed) -> None:
        request = self._pending.pop(message.attempt_id, None)
        if request is not None:
            self._results[request.stream].outcomes[f"failed: {message.reason}"] += 1
        self._stop_if_done()

    def _stop_if_done(self) -> None:
        if not self._pending and self._next_index == len(self._arrivals):
            self.kernel.stop()

    def _on_response_wait_expired(self, message: ResponseWaitExpired) -> None:
        for request in self._pending.values():
            self._results[request.stream].outcomes["no answer"] += 1
        self.kernel.stop()


def main() -> None:
    """Run a plan and write the report."""
    plan = orjson.loads(Path(sys.argv[1]).read_bytes())
    kernel = Kernel()
    kernel.register(BackendConnections(kernel, target="load"))
    load = LoadGenerator(kernel, plan)
    kernel.register(load)
    kernel.open()
    kernel.run()
    Path(sys.argv[2]).write_bytes(
        orjson.dumps(load.report(), option=orjson.OPT_NON_STR_KEYS)
    )


if __name__ == "__main__":
    main()
