"""Life cycle of the daemon: readiness, failures, graceful stop."""

from signal import SIGINT, SIGTERM
from typing import Any, NamedTuple

from circuits.core.handlers import handler

from cuminhatch.kernel import SUPERVISOR, HandlerFailed, Kernel, MessageTable, Service
from cuminhatch.log import logger
from cuminhatch.messages import (
    CounterIncremented,
    DrainAnnounced,
    DrainFinished,
    DrainRequested,
    DrainStarted,
    EventRecorded,
    ReadinessChanged,
    RequestFailed,
    StatusReported,
)

# Ports other than that of the callers, and the services that answer there.
# Their requests have ids of their own.
OTHER_PORTS = frozenset(
    f"{service}{suffix}"
    for service in ("catalog", "metrics", "readiness")
    for suffix in ("", "_port")
)


class AnnouncementEnded(NamedTuple):
    """The platform's list has had time to show this instance as leaving."""


class DrainLimitReached(NamedTuple):
    """Requests still in flight are not waited for any longer."""


class Supervisor(Service):
    """Knows whether the daemon is ready and ends it gracefully."""

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
        Start not ready until every part that reports is ready.

        :param kernel: kernel of the process.
        :param announce_ms: time between announcing a drain and closing the
            port, in milliseconds.
        :param limit_ms: longest wait for requests in flight, in
            milliseconds.
        :param draining_parts: services that report when they have finished.
            Each starts to drain when the one before it has finished.
        :param awaited_part: service without which the daemon is not ready.
        """
        super().__init__(kernel)
        self._announce_ms = announce_ms
        self._limit_ms = limit_ms
        self._unfinished = list(draining_parts)
        self._not_ready = {awaited_part: "nothing known yet"}
        self._is_draining = False

    def message_handlers(self) -> MessageTable:
        """Return the messages of the kernel, operators and other parts."""
        return {
            HandlerFailed: self._on_handler_failed,
            ReadinessChanged: self._on_readiness_changed,
            DrainRequested: self._on_drain_requested,
            AnnouncementEnded: self._on_announcement_ended,
            DrainFinished: self._on_drain_finished,
            DrainLimitReached: self._on_drain_limit_reached,
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
        if request_id is not None and message.service not in OTHER_PORTS:
            # A daemon has one of the two.
            for name in ("dispatch", "forwarding"):
                self.send(name, RequestFailed(request_id, "internal-error"))

    def _on_readiness_changed(self, message: ReadinessChanged) -> None:
        if message.is_ready:
            self._not_ready.pop(message.part, None)
        else:
            self._not_ready[message.part] = message.reason
        self._report()

    def _report(self) -> None:
        values = {"ready": not self._not_ready, "not_ready": dict(self._not_ready)}
        for name in ("operators", "readiness"):
            self.send(name, StatusReported("readiness", values))

    def _on_drain_requested(self, message: DrainRequested) -> None:
        if self._is_draining:
            return
        self._is_draining = True
        logger.info("supervisor: Drain announced: {}.", message.reason)
        self._record("drain_announced", {"reason": message.reason})
        self._on_readiness_changed(ReadinessChanged(SUPERVISOR, False, "draining"))
        self.send("peers", DrainAnnounced())
        self.call_after(self._announce_ms, AnnouncementEnded())
        self.call_after(self._announce_ms + self._limit_ms, DrainLimitReached())

    def _on_announcement_ended(self, message: AnnouncementEnded) -> None:
        logger.info("supervisor: Drain started.")
        self._record("drain_started", {})
        self._drain_next()

    def _drain_next(self) -> None:
        if self._unfinished:
            self.send(self._unfinished[0], DrainStarted())
            return
        logger.info("supervisor: Drain finished.")
        self.kernel.stop()

    def _on_drain_finished(self, message: DrainFinished) -> None:
        if message.part in self._unfinished:
            self._unfinished.remove(message.part)
            self._drain_next()

    def _on_drain_limit_reached(self, message: DrainLimitReached) -> None:
        logger.warning(
            "supervisor: Drain limit reached; not finished: {}.",
            ", ".join(self._unfinished),
        )
        self.kernel.stop()

    def _record(self, name: str, details: dict[str, Any]) -> None:
        for log in ("timeline", "event_log"):
            self.send(log, EventRecorded(SUPERVISOR, name, "", 0, details))
