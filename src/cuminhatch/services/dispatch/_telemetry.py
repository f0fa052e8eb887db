"""Timeline events and metrics of dispatch."""

from cuminhatch.kernel import Kernel
from cuminhatch.messages import CounterIncremented, EventRecorded, ValueObserved
from cuminhatch.services.dispatch._request import RequestRecord

COMPONENT = "dispatch"


class Telemetry:
    """
    Sends events and samples to ``timeline`` and ``metrics``.

    The timeline keeps the latest events in memory, whereas the ``event_log``
    service of the gateway writes them to standard output.

    Each is skipped if its service is not registered. A request causes one
    event, and one more per retry.
    """

    def __init__(self, kernel: Kernel) -> None:
        """
        Store the kernel.

        :param kernel: kernel that runs the service.
        """
        self._kernel = kernel

    def count(self, name: str, labels: dict[str, str]) -> None:
        """
        Increment a counter by one.

        :param name: name of the metric.
        :param labels: its labels.
        """
        if self._kernel.has_service("metrics"):
            self._kernel.send("metrics", CounterIncremented(name, labels))

    def observe(self, name: str, labels: dict[str, str], value: float) -> None:
        """
        Add a sample to a histogram.

        :param name: name of the metric.
        :param labels: its labels.
        :param value: the sample.
        """
        if self._kernel.has_service("metrics"):
            self._kernel.send("metrics", ValueObserved(name, labels, value))

    def record_retry(self, record: RequestRecord) -> None:
        """
        Record a retry, as a counter and an event.

        :param record: the request.
        """
        service_id = record.rule.service_id
        self.count("retries_total", {"service": service_id})
        if self._kernel.has_service("timeline"):
            details = {
                "note_sequence": record.note_sequence,
                "number": record.attempts,
                "server": record.view.server.server_id,
            }
            self._record("attempt", record.trace_id, details)

    def record_refusal(self, trace_id: bytes, reason: str, sequence: int) -> None:
        """
        Record a request that was refused before its record was created.

        :param trace_id: value of ``X-Request-Id``.
        :param reason: short reason code.
        :param sequence: sequence number of the configuration in force.
        """
        if self._kernel.has_service("timeline"):
            self._record(
                "refused", trace_id, {"reason": reason, "note_sequence": sequence}
            )

    def record_end(self, record: RequestRecord, reason: str) -> None:
        """
        Record the end of a request, as metrics and an event.

        :param record: the request.
        :param reason: ``answered``, or a reason code for the failure.
        """
        service_id = record.rule.service_id
        has_metrics = self._kernel.has_service("metrics")
        has_timeline = self._kernel.has_service("timeline")
        if not has_metrics and not has_timeline:
            return
        duration_ms = self._kernel.clock.now_ms - record.received_ms
        if has_metrics:
            labels = {"service": service_id, "end": reason}
            self.count("requests_total", labels)
            self.observe("request_duration_ms", {"service": service_id}, duration_ms)
        if has_timeline:
            view = record.view
            details = {
                "reason": reason,
                "note_sequence": record.note_sequence,
                "rule": record.rule.rule_id,
                "received_ms": record.received_ms,
                "duration_ms": duration_ms,
                "attempts": record.attempts,
                "server": view.server.server_id if view is not None else "",
            }
            name = "answered" if reason == "answered" else "refused"
            self._record(name, record.trace_id, details)

    def _record(self, name: str, trace_id: bytes, details: dict) -> None:
        # EventRecorded.note_sequence is 0 for events about a request; the
        # details hold the sequence instead.
        event = EventRecorded(COMPONENT, name, trace_id.decode("latin-1"), 0, details)
        self._kernel.send("timeline", event)
