"""
Open-loop load: arrivals do not wait for answers.

Latency counts from the intended start of a request, so that a stall of the
load tool or of the system delays the requests behind it visibly. Run as a
process of its own: ``python -m bench.load PLAN.json REPORT.json``.
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
    AttemptBody,
    AttemptFailed,
    AttemptRequested,
    AttemptResponse,
)
from cuminhatch.outcomes import OUTCOME_HEADER
from cuminhatch.services import BackendConnections

US_PER_MS = 1000.0
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
# Good answers are counted per interval, to show a crest and its recovery.
BUCKET_MS = 100.0
DRAIN_MS = 2_500.0


class Phase(TypedDict):
    """A time with a constant rate of arrivals."""

    seconds: float
    rate: float


class Stream(TypedDict):
    """Requests of one kind; ``deadline_ms`` decides what is useful."""

    name: str
    targets: list[str]
    path: str
    method: str
    deadline_ms: float
    is_keyed: bool
    phases: list[Phase]


class LoadPlan(TypedDict):
    """Streams that run side by side, from one seed."""

    seed: int
    streams: list[Stream]


class Arrival(NamedTuple):
    """An intended start, in milliseconds since the start of the load."""

    at_ms: float
    stream: int


class ArrivalDue(NamedTuple):
    """The next request is to be sent."""


class LoadEnded(NamedTuple):
    """Answers that have not come by now are not waited for."""


class StreamResult:
    """What became of the requests of one stream."""

    def __init__(self) -> None:
        """Start without answers."""
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
    Draw the arrivals of all streams, as Poisson processes.

    :param plan: streams and seed.
    :returns: arrivals in order of time.
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


class _Sent(NamedTuple):
    stream: int
    start_ms: float


class Load(Service):
    """Sends planned requests at their times and records the answers."""

    name = "load"

    def __init__(self, kernel: Kernel, plan: LoadPlan) -> None:
        """
        Draw the arrivals.

        :param kernel: kernel of the process.
        :param plan: streams and seed.
        """
        super().__init__(kernel)
        self._plan = plan
        self._arrivals = plan_arrivals(plan)
        self._position = 0
        self._begin_ms = 0.0
        self._sent: dict[int, _Sent] = {}
        self._good: set[int] = set()
        self._results = [StreamResult() for _ in plan["streams"]]

    def message_handlers(self) -> MessageTable:
        """Return the messages of the connections and the own timer."""
        return {
            ArrivalDue: self._on_arrival_due,
            AttemptResponse: self._on_response,
            AttemptBody: self._on_body,
            AttemptFailed: self._on_failed,
            LoadEnded: self._on_load_ended,
        }

    def open(self) -> None:
        """Start the load."""
        self._begin_ms = self.kernel.clock.now_ms + 100.0
        self._schedule()

    def report(self) -> dict[str, Any]:
        """Return the results by the name of the stream."""
        return {
            stream["name"]: result.summary()
            for stream, result in zip(self._plan["streams"], self._results, strict=True)
        }

    def _schedule(self) -> None:
        if self._position < len(self._arrivals):
            at_ms = self._begin_ms + self._arrivals[self._position].at_ms
            self.kernel.call_at(at_ms, self.name, ArrivalDue())
        else:
            self.call_after(DRAIN_MS, LoadEnded())

    def _on_arrival_due(self, message: ArrivalDue) -> None:
        elapsed_ms = self.kernel.clock.now_ms - self._begin_ms
        arrivals = self._arrivals
        while (
            self._position < len(arrivals)
            and arrivals[self._position].at_ms <= elapsed_ms
        ):
            self._send_request(self._position, arrivals[self._position])
            self._position += 1
        self._schedule()

    def _send_request(self, number: int, arrival: Arrival) -> None:
        stream = self._plan["streams"][arrival.stream]
        target = stream["targets"][number % len(stream["targets"])]
        host, _, port = target.rpartition(":")
        self._sent[number] = _Sent(arrival.stream, self._begin_ms + arrival.at_ms)
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
                DRAIN_MS + stream["deadline_ms"],
                False,
            ),
        )

    def _bucket(self, at_ms: float) -> int:
        return int(at_ms // BUCKET_MS)

    def _on_response(self, message: AttemptResponse) -> None:
        sent = self._sent.get(message.attempt_id)
        if sent is None:
            return
        outcome = find_header(message.head.headers, OUTCOME_HEADER)
        name = outcome.decode() if outcome else "direct"
        if message.head.status == 200:
            self._good.add(message.attempt_id)
        else:
            self._count_refusal(sent, f"{name} {message.head.status}")
        if message.is_complete:
            self._finish(message.attempt_id)

    def _count_refusal(self, sent: _Sent, outcome: str) -> None:
        result = self._results[sent.stream]
        result.outcomes[outcome] += 1
        elapsed_ms = self.kernel.clock.now_ms - sent.start_ms
        result.refusal.record_value(max(1, int(elapsed_ms * US_PER_MS)))
        if elapsed_ms > self._plan["streams"][sent.stream]["deadline_ms"]:
            result.late_refusals += 1

    def _on_body(self, message: AttemptBody) -> None:
        if message.is_complete:
            self._finish(message.attempt_id)

    def _finish(self, number: int) -> None:
        sent = self._sent.pop(number, None)
        self._stop_if_done()
        if sent is None or number not in self._good:
            return
        self._good.discard(number)
        result = self._results[sent.stream]
        now_ms = self.kernel.clock.now_ms
        latency_ms = now_ms - sent.start_ms
        result.latency.record_value(max(1, int(latency_ms * US_PER_MS)))
        if latency_ms <= self._plan["streams"][sent.stream]["deadline_ms"]:
            result.outcomes["useful"] += 1
            result.useful[self._bucket(now_ms - self._begin_ms)] += 1
        else:
            result.outcomes["late"] += 1

    def _on_failed(self, message: AttemptFailed) -> None:
        sent = self._sent.pop(message.attempt_id, None)
        if sent is not None:
            self._results[sent.stream].outcomes[f"failed: {message.reason}"] += 1
        self._stop_if_done()

    def _stop_if_done(self) -> None:
        if not self._sent and self._position == len(self._arrivals):
            self.kernel.stop()

    def _on_load_ended(self, message: LoadEnded) -> None:
        for sent in self._sent.values():
            self._results[sent.stream].outcomes["no answer"] += 1
        self.kernel.stop()


def main() -> None:
    """Run a plan and write the report."""
    plan = orjson.loads(Path(sys.argv[1]).read_bytes())
    kernel = Kernel()
    kernel.register(BackendConnections(kernel, target="load"))
    load = Load(kernel, plan)
    kernel.register(load)
    kernel.open()
    kernel.run()
    Path(sys.argv[2]).write_bytes(
        orjson.dumps(load.report(), option=orjson.OPT_NON_STR_KEYS)
    )


if __name__ == "__main__":
    main()
