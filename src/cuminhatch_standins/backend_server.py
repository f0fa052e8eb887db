"""
Stand-in for a backend server: a number of slots and a bounded queue.

``GET /work?ms=5&bytes=100`` takes a slot for 5 ms and answers 100 bytes; any
other path and method does the same with the defaults of the flags, after
its body has arrived. ``POST /echo`` answers the body of the request. ``GET
/load`` and ``GET /health`` are the probe and the health answer, ``POST
/drain`` starts to drain, ``GET /runs`` lists the work that was started, ``GET
/stats`` lists the times of the last probes in milliseconds.

Faults besides the common ones: ``slow`` (factor), ``stale_load`` (true: the
report stays as it is now; a number: it is that many ms old), ``shed``,
``drain``, ``fail_fast`` (500 at once), ``cut`` (closes after the head).
"""

from collections import deque
from math import isfinite
from typing import NamedTuple

from absl import flags

from cuminhatch.codecs.http1 import Header, find_header
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    CallerLeft,
    CallerResumed,
    CallerStalled,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch_standins._answers import (
    WholeRequest,
    bytes_answer,
    json_answer,
    response_head,
)
from cuminhatch_standins._faults import (
    COMMON_FAULTS,
    FaultSpec,
    faults_off,
    is_flag,
    is_flag_or_number,
    is_number,
)
from cuminhatch_standins._front import LISTENER, FaultsChanged
from cuminhatch_standins._process import run_standin

ECHO_PATH = "/echo"
DEFAULT_BYTES = 20
# Larger answers are made part by part, as fast as the caller reads them.
PART_BYTES = 64 * 1024
# Oldest runs beyond this are forgotten, which bounds memory in long runs.
MAX_RUNS = 100_000
MAX_PROBES = 10_000
NOT_RUN = Header(b"request-outcome", b"not-run")
DRAINING = Header(b"server-state", b"draining")
FAULTS = {
    **COMMON_FAULTS,
    "slow": FaultSpec(1, is_number),
    "stale_load": FaultSpec(False, is_flag_or_number),
    "shed": FaultSpec(False, is_flag),
    "drain": FaultSpec(False, is_flag),
    "fail_fast": FaultSpec(False, is_flag),
    "cut": FaultSpec(False, is_flag),
}

flags.DEFINE_integer("slots", 3, "Requests that run at the same time.")
flags.DEFINE_integer("queue", 100, "Requests that wait for a slot.")
flags.DEFINE_float("work_ms", 5.0, "Time that a request takes by default.")
flags.DEFINE_float("cold_ms", 0.0, "Time after the start with slow work.")
flags.DEFINE_float("cold_factor", 5.0, "How much longer work takes while cold.")


class BackendSettings(NamedTuple):
    """Size and speed of a backend server; times are in milliseconds."""

    slots: int = 3
    queue: int = 100
    work_ms: float = 5.0
    cold_ms: float = 0.0
    cold_factor: float = 5.0


class LoadReport(NamedTuple):
    """What the server tells about its load."""

    in_flight: int
    queued: int
    slots: int


class WorkDone(NamedTuple):
    """A request has held its slot long enough."""

    request_id: int


class PartDue(NamedTuple):
    """The next part of a large answer is to be sent."""

    request_id: int


class StartDeadlinePassed(NamedTuple):
    """A request still waits for a slot at its deadline."""

    request_id: int


class _Work:
    """State of one request that waits, runs or is being answered."""

    def __init__(self, request: WholeRequest, work_ms: float, size: int) -> None:
        self.request = request
        self.work_ms = work_ms
        self.size = size
        self.remaining = size
        self.timer: int | None = None
        self.is_stalled = False
        # At most one message for the next part is under way; a caller that
        # stalls and resumes in between must not start a second series.
        self.is_part_due = False


class BackendServer(Service):
    """Answers requests after they have held a slot for their time."""

    name = "backend_server"

    def __init__(self, kernel: Kernel, settings: BackendSettings) -> None:
        """
        Start with all slots free.

        :param kernel: kernel of the process.
        :param settings: size and speed.
        """
        super().__init__(kernel)
        self._settings = settings
        self._faults = faults_off(FAULTS)
        self._warm_at_ms = kernel.clock.now_ms + settings.cold_ms
        self._is_drain_requested = False
        self._serving: dict[int, _Work] = {}
        self._waiting: dict[int, _Work] = {}
        self._runs: deque[dict[str, str | None]] = deque(maxlen=MAX_RUNS)
        self._probes_ms: deque[float] = deque(maxlen=MAX_PROBES)
        self._frozen_report: LoadReport | None = None
        self._old_reports: deque[tuple[float, LoadReport]] = deque()

    def message_handlers(self) -> MessageTable:
        """Return the messages of the front and the own timers."""
        return {
            WholeRequest: self._on_whole_request,
            FaultsChanged: self._on_faults_changed,
            CallerLeft: self._on_caller_left,
            CallerStalled: self._on_caller_stalled,
            CallerResumed: self._on_caller_resumed,
            WorkDone: self._on_work_done,
            PartDue: self._on_part_due,
            StartDeadlinePassed: self._on_start_deadline_passed,
        }

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        self._faults = message.faults
        if "stale_load" in message.names:
            is_frozen = message.faults["stale_load"] is True
            self._frozen_report = self._current_report() if is_frozen else None
            self._old_reports.clear()
            self._note_load()

    @property
    def _is_draining(self) -> bool:
        return self._is_drain_requested or self._faults["drain"]

    # Requests

    def _on_whole_request(self, request: WholeRequest) -> None:
        if request.path == "/load":
            self._probes_ms.append(self.kernel.clock.now_ms)
            answer = json_answer(request, 200, self._report()._asdict(), self._state())
            self.send(LISTENER, answer)
        elif request.path == "/health":
            status, state = (503, "draining") if self._is_draining else (200, "live")
            answer = json_answer(request, status, {"state": state}, self._state())
            self.send(LISTENER, answer)
        elif request.path == "/runs":
            self.send(LISTENER, json_answer(request, 200, list(self._runs)))
        elif request.path == "/stats":
            stats = {"probes_ms": list(self._probes_ms)}
            self.send(LISTENER, json_answer(request, 200, stats))
        elif (request.method, request.path) == ("POST", "/drain"):
            self._is_drain_requested = True
            self.send(LISTENER, json_answer(request, 200, {}, self._state()))
        else:
            self._admit(request)

    def _admit(self, request: WholeRequest) -> None:
        try:
            work_ms = float(request.query.get("ms", self._settings.work_ms))
            size = int(request.query.get("bytes", DEFAULT_BYTES))
        except ValueError:
            work_ms, size = -1.0, -1
        if not isfinite(work_ms) or work_ms < 0 or size < 0:
            error = {"error": "ms and bytes must be numbers that are not negative"}
            self.send(LISTENER, json_answer(request, 400, error, self._state()))
        elif self._faults["fail_fast"]:
            self.send(LISTENER, json_answer(request, 500, {}, self._state()))
        elif self._is_draining:
            self._refuse(request, "draining")
        elif self._faults["shed"]:
            self._refuse(request, "shedding load")
        elif self._remaining_ms(request) <= 0:
            self._refuse(request, "deadline passed")
        else:
            if request.path == ECHO_PATH:
                size = len(request.body)
            self._start_or_queue(_Work(request, work_ms, size))

    def _start_or_queue(self, work: _Work) -> None:
        request = work.request
        if len(self._serving) < self._settings.slots:
            self._start(work)
        elif len(self._waiting) >= self._settings.queue:
            self._refuse(request, "queue full")
        else:
            self._waiting[request.request_id] = work
            remaining_ms = self._remaining_ms(request)
            if isfinite(remaining_ms):
                work.timer = self.call_after(
                    remaining_ms, StartDeadlinePassed(request.request_id)
                )
            self._note_load()

    def _remaining_ms(self, request: WholeRequest) -> float:
        """Return the time left until the deadline, infinite without one."""
        value = find_header(request.headers, b"request-deadline-ms")
        try:
            deadline_ms = float("inf") if value is None else float(value)
        except ValueError:
            deadline_ms = float("inf")
        return request.received_ms + deadline_ms - self.kernel.clock.now_ms

    def _refuse(self, request: WholeRequest, reason: str) -> None:
        headers = (NOT_RUN, *self._state())
        self.send(LISTENER, json_answer(request, 503, {"reason": reason}, headers))

    def _on_start_deadline_passed(self, message: StartDeadlinePassed) -> None:
        work = self._waiting.pop(message.request_id, None)
        if work is not None:
            self._note_load()
            self._refuse(work.request, "deadline passed")

    # Work

    def _start(self, work: _Work) -> None:
        request = work.request
        self._serving[request.request_id] = work
        self._runs.append(
            {
                "key": _text_header(request, b"idempotency-key"),
                "request_id": _text_header(request, b"x-request-id"),
                "path": request.path,
            }
        )
        self._note_load()
        work_ms = work.work_ms * self._faults["slow"]
        if self.kernel.clock.now_ms < self._warm_at_ms:
            work_ms *= self._settings.cold_factor
        work.timer = self.call_after(work_ms, WorkDone(request.request_id))

    def _on_work_done(self, message: WorkDone) -> None:
        work = self._serving.get(message.request_id)
        if work is None:
            return
        request = work.request
        if self._faults["freeze"]:
            self._leave_slot(message.request_id)
        elif self._faults["cut"]:
            head = response_head(200, self._state())
            started = ResponseStarted(
                request.request_id, head, max(work.size, 1), b"", False
            )
            self.send(LISTENER, started)
            self.send(LISTENER, ResponseAborted(request.request_id))
            self._leave_slot(message.request_id)
        elif work.size <= PART_BYTES:
            self._leave_slot(message.request_id)
            body = self._make_part(work)
            self.send(LISTENER, bytes_answer(request, 200, body, self._state()))
        else:
            head = response_head(200, self._state())
            part = self._make_part(work)
            started = ResponseStarted(request.request_id, head, work.size, part, False)
            self.send(LISTENER, started)
            self._request_part(work)

    def _make_part(self, work: _Work) -> bytes:
        start = work.size - work.remaining
        length = min(work.remaining, PART_BYTES)
        work.remaining -= length
        if work.request.path == ECHO_PATH:
            return work.request.body[start : start + length]
        return b"x" * length

    def _request_part(self, work: _Work) -> None:
        if not work.is_part_due:
            work.is_part_due = True
            self.send(self.name, PartDue(work.request.request_id))

    def _on_part_due(self, message: PartDue) -> None:
        work = self._serving.get(message.request_id)
        if work is None:
            return
        work.is_part_due = False
        if work.is_stalled or self._faults["freeze"]:
            return
        part = self._make_part(work)
        is_complete = work.remaining == 0
        self.send(LISTENER, ResponseBody(message.request_id, part, is_complete))
        if is_complete:
            self._leave_slot(message.request_id)
        else:
            self._request_part(work)

    def _leave_slot(self, request_id: int) -> None:
        self._serving.pop(request_id, None)
        while self._waiting and len(self._serving) < self._settings.slots:
            work = self._waiting.pop(next(iter(self._waiting)))
            self.kernel.cancel(work.timer)
            if self._remaining_ms(work.request) <= 0:
                self._refuse(work.request, "deadline passed")
            else:
                self._start(work)
        self._note_load()

    # Callers

    def _on_caller_left(self, message: CallerLeft) -> None:
        work = self._waiting.pop(message.request_id, None)
        if work is None:
            work = self._serving.get(message.request_id)
        if work is not None:
            # A running request that is cancelled frees its slot at once.
            self.kernel.cancel(work.timer)
            self._leave_slot(message.request_id)

    def _on_caller_stalled(self, message: CallerStalled) -> None:
        work = self._serving.get(message.request_id)
        if work is not None:
            work.is_stalled = True

    def _on_caller_resumed(self, message: CallerResumed) -> None:
        work = self._serving.get(message.request_id)
        if work is not None and work.is_stalled:
            work.is_stalled = False
            self._request_part(work)

    # Reports

    def _state(self) -> tuple[Header, ...]:
        report = ", ".join(f"{k}={v}" for k, v in self._report()._asdict().items())
        header = Header(b"load-report", report.encode())
        return (header, DRAINING) if self._is_draining else (header,)

    def _current_report(self) -> LoadReport:
        return LoadReport(len(self._serving), len(self._waiting), self._settings.slots)

    def _report(self) -> LoadReport:
        if self._frozen_report is not None:
            return self._frozen_report
        age_ms = self._faults["stale_load"]
        if not age_ms:
            return self._current_report()
        self._forget_old_reports(age_ms)
        return self._old_reports[0][1]

    def _note_load(self) -> None:
        # Reports are kept only while old ones are asked for.
        age_ms = self._faults["stale_load"]
        if age_ms and self._frozen_report is None:
            self._old_reports.append((self.kernel.clock.now_ms, self._current_report()))
            self._forget_old_reports(age_ms)

    def _forget_old_reports(self, age_ms: float) -> None:
        shown_ms = self.kernel.clock.now_ms - age_ms
        while len(self._old_reports) > 1 and self._old_reports[1][0] <= shown_ms:
            self._old_reports.popleft()


def _text_header(request: WholeRequest, name: bytes) -> str | None:
    value = find_header(request.headers, name)
    return None if value is None else value.decode("latin-1")


def main() -> None:
    """Run the stand-in."""

    def make_service(kernel: Kernel) -> BackendServer:
        values = flags.FLAGS
        return BackendServer(
            kernel,
            BackendSettings(
                values.slots,
                values.queue,
                values.work_ms,
                values.cold_ms,
                values.cold_factor,
            ),
        )

    run_standin(make_service, FAULTS, is_body_kept=lambda path: path == ECHO_PATH)


if __name__ == "__main__":
    main()
