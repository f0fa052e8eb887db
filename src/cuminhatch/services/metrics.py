"""Counters, gauges and histograms for Prometheus."""

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING

from cuminhatch.codecs.http1 import Header, ResponseHead
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    CallerDisconnected,
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

# Name of the listener whose requests this service answers.
PORT_NAME = "metrics_port"
# Samples buffered before they go to the registry, 200 bytes each.
MAX_BUFFERED_SAMPLES = 1_000

Labels = tuple[tuple[str, str], ...]
# Called with the content type and the text of all metrics.
Reply = Callable[[str, bytes], None]


class _Scrape:
    """A scrape that waits for the gauges of other services."""

    def __init__(self, reply: Reply, missing_count: int) -> None:
        self.reply = reply
        self.missing_count = missing_count


class Metrics(Service):
    """Collects samples and renders them on request."""

    name = "metrics"

    def __init__(self, kernel: Kernel, gauge_parts: tuple[str, ...] = ()) -> None:
        """
        Create the service; each metric is registered with its first sample.

        :param kernel: kernel of the process.
        :param gauge_parts: services asked for their gauges at each scrape.
        """
        super().__init__(kernel)
        self._gauge_parts = gauge_parts
        self._scrapes: dict[int, _Scrape] = {}
        self._tokens = count(1)
        self._loaded_registry: MetricRegistry | None = None
        # Buffered until the next scrape, samples at most
        # MAX_BUFFERED_SAMPLES: updating a Counter of the registry takes 7
        # microseconds, adding to a dict value well under one.
        self._samples: list[ValueObserved] = []
        self._increments: dict[tuple[str, Labels], float] = {}

    def message_handlers(self) -> MessageTable:
        """Return the handlers for samples, gauges and scrapes."""
        return {
            CounterIncremented: self._on_counter_incremented,
            ValueObserved: self._on_value_observed,
            MetricsRequested: self._on_metrics_requested,
            GaugesReported: self._on_gauges_reported,
            RequestReceived: self._on_request_received,
            RequestBody: self._ignore_message,
            CallerDisconnected: self._ignore_message,
        }

    def _on_counter_incremented(self, message: CounterIncremented) -> None:
        key = (message.name, tuple(message.labels.items()))
        self._increments[key] = self._increments.get(key, 0.0) + message.amount

    def _on_value_observed(self, message: ValueObserved) -> None:
        self._samples.append(message)
        if len(self._samples) >= MAX_BUFFERED_SAMPLES:
            self._flush_samples()

    def _on_metrics_requested(self, message: MetricsRequested) -> None:
        def reply(content_type: str, data: bytes) -> None:
            replied = MetricsReplied(message.token, content_type, data)
            self.send(message.reply_to, replied)

        self._start_scrape(reply)

    def _on_request_received(self, message: RequestReceived) -> None:
        """Answer a scrape on the metrics port, if the process has one."""

        def reply(content_type: str, data: bytes) -> None:
            headers = (Header(b"content-type", content_type.encode()),)
            head = ResponseHead(200, b"OK", headers)
            response = ResponseStarted(message.request_id, head, len(data), data, True)
            self.send(PORT_NAME, response)

        self._start_scrape(reply)

    def _start_scrape(self, reply: Reply) -> None:
        """Request gauges from services; the last report ends the scrape."""
        if not self._gauge_parts:
            reply(*self._render())
            return
        token = next(self._tokens)
        self._scrapes[token] = _Scrape(reply, len(self._gauge_parts))
        for part in self._gauge_parts:
            self.send(part, GaugesRequested(self.name, token))

    def _on_gauges_reported(self, message: GaugesReported) -> None:
        for gauge in message.gauges:
            self._registry.set(gauge.name, gauge.labels, gauge.value)
        scrape = self._scrapes[message.token]
        scrape.missing_count -= 1
        if scrape.missing_count == 0:
            del self._scrapes[message.token]
            scrape.reply(*self._render())

    def _ignore_message(self, message: RequestBody | CallerDisconnected) -> None:
        """Ignore a message about a request that is already answered."""

    def _render(self) -> tuple[str, bytes]:
        """Return the content type and the text of all metrics."""
        registry = self._registry
        for (name, labels), amount in self._increments.items():
            registry.add(name, dict(labels), amount)
        self._increments.clear()
        self._flush_samples()
        return registry.render()

    def _flush_samples(self) -> None:
        """Add the buffered samples to their histograms."""
        registry = self._registry
        for sample in self._samples:
            registry.observe(sample.name, sample.labels, sample.value)
        self._samples.clear()

    @property
    def _registry(self) -> "MetricRegistry":
        """Return the registry; its module is imported on first use."""
        if self._loaded_registry is None:
            from cuminhatch.services._metric_registry import MetricRegistry

            self._loaded_registry = MetricRegistry()
        return self._loaded_registry
