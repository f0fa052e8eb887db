"""Lifecycle of the process: readiness, failed handlers, graceful shutdown."""

from signal import SIGINT, SIGTERM
from typing import Any, NamedTuple

from circuits.core.handlers import handler

from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import (
    CounterIncremented,
    DrainAnnounced,
    DrainFinished,
    DrainLimitReached,
    DrainRequested,
    DrainStarted,
    EventRecorded,
    ReadinessChanged,
    RequestFailed,
    StatusReported,
    StopScheduled,
)

# Listeners other than the callers' port, and the services that answer their
# requests. Their request ids are independent of those of callers' requests.
SERVICES_WITH_OWN_REQUEST_IDS = frozenset(
    f"{service}{suffix}"
    for service in ("catalog", "metrics", "readiness")
    for suffix in ("", "_port")
)


# Services that have state of callers' requests. A daemon runs dispatch, a
# gateway forwarding.
REQUEST_SERVICES = ("dispatch", "forwarding")
# Before the end of the process, for the final responses of the requests that
# are left to be written and read.
FINAL_RESPONSES_MS = 100.0
# Part of a stop in which requests are still sent to servers. A server may take
# far longer than usual, and the rest of the stop is left to it.
SERVED_SHARE = 0.5


class AnnouncementEnded(NamedTuple):
    """The platform has had time to list this instance as leaving."""


class DrainTimedOut(NamedTuple):
    """The drain has taken too long; the remaining requests are cut off."""


class RequestsEnded(NamedTuple):
    """The services have sent final responses; the listener sends the rest."""


class StopDue(NamedTuple):
    """The time for final responses is over; the process stops."""


class Supervisor(Service):
    """Tracks whether the process is ready and shuts it down gracefully."""

    name = SUPERVISOR

    def __init__(
        self,
        kernel: Kernel,
        announce_ms: float,
        limit_ms: float,
        draining_parts: tuple[str, ...],
        awaited_part: str = "notes",
    ) -> None:
        """
        Create the supervisor in the state not ready.

        :param kernel: kernel of the process.
        :param announce_ms: time between announcing a drain and closing the
            port, in milliseconds.
        :param limit_ms: longest wait for requests in flight after that, in
            milliseconds.
        :param draining_parts: services to drain, in this order: each starts
            when the one before it has reported that it has finished.
        :param awaited_part: service that must report that it is ready before
            the process is ready.
        """
        super().__init__(kernel)
        self._announce_ms = announce_ms
        self._limit_ms = limit_ms
        self._undrained_parts = list(draining_parts)
        self._not_ready = {awaited_part: "nothing known yet"}
        self._is_draining = False

    def message_handlers(self) -> MessageTable:
        """Return the handlers for the kernel, operators and other services."""
        return {
            HandlerFailed: self._on_handler_failed,
            ReadinessChanged: self._on_readiness_changed,
            DrainRequested: self._on_drain_requested,
            AnnouncementEnded: self._on_announcement_ended,
            DrainFinished: self._on_drain_finished,
            DrainTimedOut: self._on_drain_timed_out,
            RequestsEnded: self._on_requests_ended,
            StopDue: self._on_stop_due,
        }

    @handler("signal", channel="*")
    def _on_signal(self, number: int, _: Any) -> None:
        if number in (SIGINT, SIGTERM):
            self._on_drain_requested(DrainRequested("signal"))

    def _on_handler_failed(self, message: HandlerFailed) -> None:
        self.send(
            "metrics",
            CounterIncremented("handler_failures_total", {"part": message.service}),
        )
        request_id = getattr(message.message, "request_id", None)
        if (
            request_id is not None
            and message.service not in SERVICES_WITH_OWN_REQUEST_IDS
        ):
            for name in REQUEST_SERVICES:
                self.send(name, RequestFailed(request_id, "internal-error"))

    def _on_readiness_changed(self, message: ReadinessChanged) -> None:
        if message.is_ready:
            self._not_ready.pop(message.part, None)
        else:
            self._not_ready[message.part] = message.reason
        self._report_readiness()

    def _report_readiness(self) -> None:
        values = {"ready": not self._not_ready, "not_ready": dict(self._not_ready)}
        for name in ("operators", "readiness"):
            self.send(name, StatusReported("readiness", values))

    def _on_drain_requested(self, message: DrainRequested) -> None:
        if self._is_draining:
            return
        self._is_draining = True
        logger.info("supervisor: Drain announced: {}.", message.reason)
        self._record_event("drain_announced", {"reason": message.reason})
        self._on_readiness_changed(ReadinessChanged(SUPERVISOR, False, "draining"))
        for name in ("peers", "callers"):
            self.send(name, DrainAnnounced())
        self.call_after(self._announce_ms, AnnouncementEnded())
        limit_ms = self._announce_ms + self._limit_ms
        requests_limit_ms = max(0.0, limit_ms - FINAL_RESPONSES_MS)
        now_ms = self.kernel.clock.now_ms
        late_from_ms = now_ms + self._announce_ms
        scheduled = StopScheduled(
            late_from_ms,
            now_ms + requests_limit_ms,
            max(late_from_ms, now_ms + limit_ms * SERVED_SHARE),
        )
        for name in REQUEST_SERVICES:
            self.send(name, scheduled)
        self.call_after(requests_limit_ms, DrainTimedOut())
        self.call_after(limit_ms, StopDue())

    def _on_announcement_ended(self, message: AnnouncementEnded) -> None:
        logger.info("supervisor: Drain started.")
        self._record_event("drain_started", {})
        self._drain_next()

    def _drain_next(self) -> None:
        if self._undrained_parts:
            self.send(self._undrained_parts[0], DrainStarted())
            return
        logger.info("supervisor: Drain finished.")
        self.kernel.stop()

    def _on_drain_finished(self, message: DrainFinished) -> None:
        if message.part in self._undrained_parts:
            self._undrained_parts.remove(message.part)
            self._drain_next()

    def _on_drain_timed_out(self, message: DrainTimedOut) -> None:
        logger.warning(
            "supervisor: Drain timed out; not finished: {}.",
            ", ".join(self._undrained_parts),
        )
        for name in REQUEST_SERVICES:
            self.send(name, DrainLimitReached())
        # The listener gets it behind the final responses of the services.
        self.send(self.name, RequestsEnded())

    def _on_requests_ended(self, message: RequestsEnded) -> None:
        self.send("callers", DrainLimitReached())

    def _on_stop_due(self, message: StopDue) -> None:
        self.kernel.stop()

    def _record_event(self, name: str, details: dict[str, Any]) -> None:
        for service in ("timeline", "event_log"):
            self.send(service, EventRecorded(SUPERVISOR, name, "", 0, details))
