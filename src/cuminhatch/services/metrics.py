"""Counters and histograms for Prometheus."""

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING

from cuminhatch.codecs.http1 import Header, ResponseHead
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    CallerLeft,
    CounterIncremented,
    GaugesReported,
    GaugesRequested,
    MetricsReplied,
    MetricsRequested,
    RequestBody,
    RequestReceived,
    ResponseStarted,
    ValueObserved,
)

if TYPE_CHECKING:
    from cuminhatch.services._metric_registry import MetricRegistry

PORT_NAME = "metrics_port"
# Samples that wait for the registry; 200 bytes each.
SAMPLES_MAX = 1_000

Labels = tuple[tuple[str, str], ...]


Reply = Callable[[str, bytes], None]


class _Reading:
    """State of one reading: the parts whose gauges are missing."""

    def __init__(self, reply: Reply, missing: int) -> None:
        self.reply = reply
        self.missing = missing


class Metrics(Service):
    """Collects samples and renders them on request."""

    name = "metrics"

    def __init__(self, kernel: Kernel, gauge_parts: tuple[str, ...] = ()) -> None:
        """
        Start without metrics; each appears with its first sample.

        :param kernel: kernel of the process.
        :param gauge_parts: services that are asked for gauges at each reading.
        """
        super().__init__(kernel)
        self._gauge_parts = gauge_parts
        self._readings: dict[int, _Reading] = {}
        self._tokens = count(1)
        self._loaded: MetricRegistry | None = None
        # Samples wait here until the metrics are read: an update of a
        # Counter costs 7 microseconds, an addition in a dict well under one.
        self._samples: list[ValueObserved] = []
        self._increments: dict[tuple[str, Labels], float] = {}

    def message_handlers(self) -> MessageTable:
        """Return the messages of all parts and of operators."""
        return {
            CounterIncremented: self._on_counter_incremented,
            ValueObserved: self._on_value_observed,
            MetricsRequested: self._on_metrics_requested,
            GaugesReported: self._on_gauges_reported,
            RequestReceived: self._on_request_received,
            RequestBody: self._on_nothing_due,
            CallerLeft: self._on_nothing_due,
        }

    def _on_counter_incremented(self, message: CounterIncremented) -> None:
        key = (message.name, tuple(message.labels.items()))
        self._increments[key] = self._increments.get(key, 0.0) + message.amount

    def _on_value_observed(self, message: ValueObserved) -> None:
        self._samples.append(message)
        if len(self._samples) >= SAMPLES_MAX:
            self._take_samples()

    def _on_metrics_requested(self, message: MetricsRequested) -> None:
        def reply(content_type: str, data: bytes) -> None:
            replied = MetricsReplied(message.token, content_type, data)
            self.send(message.reply_to, replied)

        self._start_reading(reply)

    def _on_request_received(self, message: RequestReceived) -> None:
        """Answer a request on the metrics port, where there is one."""

        def reply(content_type: str, data: bytes) -> None:
            headers = (Header(b"content-type", content_type.encode()),)
            head = ResponseHead(200, b"OK", headers)
            answer = ResponseStarted(message.request_id, head, len(data), data, True)
            self.send(PORT_NAME, answer)

        self._start_reading(reply)

    def _start_reading(self, reply: Reply) -> None:
        """Ask all parts for their gauges; the last report ends the reading."""
        if not self._gauge_parts:
            reply(*self._render())
            return
        token = next(self._tokens)
        self._readings[token] = _Reading(reply, len(self._gauge_parts))
        for part in self._gauge_parts:
            self.send(part, GaugesRequested(self.name, token))

    def _on_gauges_reported(self, message: GaugesReported) -> None:
        for gauge in message.gauges:
            self._registry.set(gauge.name, gauge.labels, gauge.value)
        reading = self._readings[message.token]
        reading.missing -= 1
        if reading.missing == 0:
            del self._readings[message.token]
            reading.reply(*self._render())

    def _on_nothing_due(self, message: RequestBody | CallerLeft) -> None:
        """Ignore what follows a request that is answered at once."""

    def _render(self) -> tuple[str, bytes]:
        """Return content type and text of all metrics."""
        registry = self._registry
        for (name, labels), amount in self._increments.items():
            registry.add(name, dict(labels), amount)
        self._increments.clear()
        self._take_samples()
        return registry.render()

    def _take_samples(self) -> None:
        """Put the samples that wait into their histograms."""
        registry = self._registry
        for sample in self._samples:
            registry.observe(sample.name, sample.labels, sample.value)
        self._samples.clear()

    @property
    def _registry(self) -> "MetricRegistry":
        """Return the registry; its library is loaded when first needed."""
        if self._loaded is None:
            from cuminhatch.services._metric_registry import MetricRegistry

            self._loaded = MetricRegistry()
        return self._loaded
