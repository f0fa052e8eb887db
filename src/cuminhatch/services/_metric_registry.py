"""The registry of metrics; the only module that imports ``aioprometheus``."""

from math import inf

from aioprometheus import Counter, Gauge, Histogram, Registry, render

PREFIX = "cuminhatch_"
BUCKETS_MS = (0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, inf)


class MetricRegistry:
    """All metrics; each is registered with its first sample."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    def add(self, name: str, labels: dict[str, str], amount: float) -> None:
        """
        Increment a counter.

        :param name: name of the metric.
        :param labels: its labels.
        :param amount: amount to add.
        """
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(PREFIX + name, _describe(name), registry=self._registry)
            self._counters[name] = counter
        counter.add(labels, amount)

    def set(self, name: str, labels: dict[str, str], value: float) -> None:
        """
        Set a gauge.

        :param name: name of the metric.
        :param labels: its labels.
        :param value: its current value.
        """
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(PREFIX + name, _describe(name), registry=self._registry)
            self._gauges[name] = gauge
        gauge.set(labels, value)

    def observe(self, name: str, labels: dict[str, str], value: float) -> None:
        """
        Add a sample to a histogram.

        :param name: name of the metric.
        :param labels: its labels.
        :param value: the sample, in the unit given by the end of the name; the
            buckets are in milliseconds.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                PREFIX + name,
                _describe(name),
                registry=self._registry,
                buckets=BUCKETS_MS,
            )
            self._histograms[name] = histogram
        histogram.observe(labels, value)

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the text of all metrics."""
        data, headers = render(self._registry, ["text/plain"])
        return headers["Content-Type"], data


def _describe(name: str) -> str:
    return name.replace("_", " ")
