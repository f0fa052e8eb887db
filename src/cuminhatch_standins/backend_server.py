"""
Stand-in for a backend server behind daemons, with slots and a bounded queue.

``registered_server`` is the stand-in for those that the gateways use.

``GET /work?ms=5&bytes=100`` occupies a slot for 5 ms and returns 100 bytes.
Any other path and method does the same, with the same parameters; without
them the defaults apply. A request starts once its body has been received.
``POST /echo`` returns the body of the request. ``GET /load`` serves load
probes and ``GET /health`` health checks. ``POST /drain`` makes the server
drain, ``GET /runs`` lists the requests that were started, and ``GET /stats``
lists the times of the last probes in milliseconds.

Faults besides the common ones: ``slow`` (factor of the run time),
``stale_load`` (true: the load report stays as it is now; a number: it is that
many ms old), ``shed`` (refuses requests as not run), ``drain`` (drains while
on), ``fail_fast`` (500 at once), ``cut`` (closes the connection after the
response head).
"""

from collections import deque
from math import isfinite
from typing import NamedTuple

from absl import flags

from cuminhatch.codecs.http1 import Header, find_header
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    CallerDisconnected,
    CallerResumed,
    CallerStalled,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.outcomes import ATTEMPT_HEADER
from cuminhatch_standins._fault_injector import LISTENER, FaultsChanged
from cuminhatch_standins._faults import (
    COMMON_FAULTS,
    FaultSpec,
    is_flag,
    is_flag_or_non_negative_number,
    is_non_negative_number,
    make_disabled_faults,
)
from cuminhatch_standins._process import run_standin
from cuminhatch_standins._responses import (
    CompleteRequest,
    make_json_response,
    make_response,
    make_response_head,
)

ECHO_PATH = "/echo"
DEFAULT_BYTES = 20
# Larger responses are sent in chunks, as fast as the caller reads them.
CHUNK_BYTES = 64 * 1024
# Only the latest runs are kept, which bounds memory in long tests.
MAX_RUNS = 100_000
MAX_PROBES = 10_000
NOT_RUN = Header(b"request-outcome", b"not-run")
DRAINING = Header(b"server-state", b"draining")
FAULTS = {
    **COMMON_FAULTS,
    "slow": FaultSpec(1, is_non_negative_number),
    "stale_load": FaultSpec(False, is_flag_or_non_negative_number),
    "shed": FaultSpec(False, is_flag),
    "drain": FaultSpec(False, is_flag),
    "fail_fast": FaultSpec(False, is_flag),
    "cut": FaultSpec(False, is_flag),
}

flags.DEFINE_integer("slots", 3, "Number of requests that run concurrently.")
flags.DEFINE_integer("queue", 100, "Maximum number of requests that wait for a slot.")
flags.DEFINE_float("work_ms", 5.0, "Default run time of a request.")
flags.DEFINE_float("cold_ms", 0.0, "Time after the start in which requests are slower.")
flags.DEFINE_float(
    "cold_factor", 5.0, "Factor of the run time in the time after the start."
)


class BackendSettings(NamedTuple):
    """Size and speed of a backend server; times are in milliseconds."""

    slots: int = 3
    queue: int = 100
    work_ms: float = 5.0
    cold_ms: float = 0.0
    cold_factor: float = 5.0


class LoadReport(NamedTuple):
    """Load of the server, as it reports it."""

    in_flight: int
    queued: int
    slots: int


class WorkTimerExpired(NamedTuple):
    """The run time of a request expired."""

    request_id: int


class NextChunkRequested(NamedTuple):
    """The next chunk of a large response is to be sent."""

    request_id: int


class StartDeadlineExpired(NamedTuple):
    """The deadline of a queued request expired."""

    request_id: int


class _RequestState:
    """State of a request until its response has been sent completely."""

    def __init__(self, request: CompleteRequest, work_ms: float, size: int) -> None:
        self.request = request
        self.work_ms = work_ms
        self.size = size
        self.remaining = size
        self.timer: int | None = None
        self.is_stalled = False
        # At most one ``NextChunkRequested`` is pending: a caller that stalls
        # and resumes meanwhile must not start a second sequence of chunks.
        self.is_chunk_requested = False


class BackendServer(Service):
    """Responds to requests after they have occupied a slot."""

    name = "backend_server"

    def __init__(self, kernel: Kernel, settings: BackendSettings) -> None:
        """
        Create a server with all slots free.

        :param kernel: kernel of the process.
        :param settings: size and speed.
        """
        super().__init__(kernel)
        self._settings = settings
        self._faults = make_disabled_faults(FAULTS)
        self._cold_until_ms = kernel.clock.now_ms + settings.cold_ms
        self._is_drain_requested = False
        self._in_progress: dict[int, _RequestState] = {}
        self._queued: dict[int, _RequestState] = {}
        self._runs: deque[dict[str, str | None]] = deque(maxlen=MAX_RUNS)
        self._probe_times_ms: deque[float] = deque(maxlen=MAX_PROBES)
        self._frozen_report: LoadReport | None = None
        self._report_history: deque[tuple[float, LoadReport]] = deque()

    def message_handlers(self) -> MessageTable:
        """Return the handlers for requests, fault changes and timers."""
        return {
            CompleteRequest: self._on_complete_request,
            FaultsChanged: self._on_faults_changed,
            CallerDisconnected: self._on_caller_disconnected,
            CallerStalled: self._on_caller_stalled,
            CallerResumed: self._on_caller_resumed,
            WorkTimerExpired: self._on_work_timer_expired,
            NextChunkRequested: self._on_next_chunk_requested,
            StartDeadlineExpired: self._on_start_deadline_expired,
        }

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        self._faults = message.faults
        if "stale_load" in message.names:
            is_frozen = message.faults["stale_load"] is True
            self._frozen_report = self._make_report() if is_frozen else None
            self._report_history.clear()
            self._record_report()

    @property
    def _is_draining(self) -> bool:
        return self._is_drain_requested or self._faults["drain"]

    # Requests

    def _on_complete_request(self, request: CompleteRequest) -> None:
        if request.path == "/load":
            self._probe_times_ms.append(self.kernel.clock.now_ms)
            response = make_json_response(
                request,
                200,
                self._get_report()._asdict(),
                self._response_headers(request),
            )
            self.send(LISTENER, response)
        elif request.path == "/health":
            status, state = (503, "draining") if self._is_draining else (200, "live")
            response = make_json_response(
                request, status, {"state": state}, self._response_headers(request)
            )
            self.send(LISTENER, response)
        elif request.path == "/runs":
            self.send(LISTENER, make_json_response(request, 200, list(self._runs)))
        elif request.path == "/stats":
            stats = {"probes_ms": list(self._probe_times_ms)}
            self.send(LISTENER, make_json_response(request, 200, stats))
        elif (request.method, request.path) == ("POST", "/drain"):
            self._is_drain_requested = True
            self.send(
                LISTENER,
                make_json_response(request, 200, {}, self._response_headers(request)),
            )
        else:
            self._admit(request)

    def _admit(self, request: CompleteRequest) -> None:
        try:
            work_ms = float(request.query.get("ms", self._settings.work_ms))
            size = int(request.query.get("bytes", DEFAULT_BYTES))
        except ValueError:
            work_ms, size = -1.0, -1
        if not isfinite(work_ms) or work_ms < 0 or size < 0:
            error = {"error": "ms and bytes must be numbers that are not negative"}
            self.send(
                LISTENER,
                make_json_response(
                    request, 400, error, self._response_headers(request)
                ),
            )
        elif self._faults["fail_fast"]:
            self.send(
                LISTENER,
                make_json_response(request, 500, {}, self._response_headers(request)),
            )
        elif self._is_draining:
            self._refuse(request, "draining")
        elif self._faults["shed"]:
            self._refuse(request, "shedding load")
        elif self._remaining_ms(request) <= 0:
            self._refuse(request, "deadline passed")
        else:
            if request.path == ECHO_PATH:
                size = len(request.body)
            self._start_or_queue(_RequestState(request, work_ms, size))

    def _start_or_queue(self, state: _RequestState) -> None:
        request = state.request
        if len(self._in_progress) < self._settings.slots:
            self._start(state)
        elif len(self._queued) >= self._settings.queue:
            self._refuse(request, "queue full")
        else:
            self._queued[request.request_id] = state
            remaining_ms = self._remaining_ms(request)
            if isfinite(remaining_ms):
                state.timer = self.call_after(
                    remaining_ms, StartDeadlineExpired(request.request_id)
                )
            self._record_report()

    def _remaining_ms(self, request: CompleteRequest) -> float:
        """Return the time until the deadline, infinite if there is none."""
        value = find_header(request.headers, b"request-deadline-ms")
        try:
            deadline_ms = float("inf") if value is None else float(value)
        except ValueError:
            deadline_ms = float("inf")
        return request.received_ms + deadline_ms - self.kernel.clock.now_ms

    def _refuse(self, request: CompleteRequest, reason: str) -> None:
        headers = (NOT_RUN, *self._response_headers(request))
        self.send(
            LISTENER, make_json_response(request, 503, {"reason": reason}, headers)
        )

    def _on_start_deadline_expired(self, message: StartDeadlineExpired) -> None:
        state = self._queued.pop(message.request_id, None)
        if state is not None:
            self._record_report()
            self._refuse(state.request, "deadline passed")

    # Running requests

    def _start(self, state: _RequestState) -> None:
        request = state.request
        self._in_progress[request.request_id] = state
        self._runs.append(
            {
                "key": _get_text_header(request, b"idempotency-key"),
                "request_id": _get_text_header(request, b"x-request-id"),
                "path": request.path,
            }
        )
        self._record_report()
        work_ms = state.work_ms * self._faults["slow"]
        if self.kernel.clock.now_ms < self._cold_until_ms:
            work_ms *= self._settings.cold_factor
        state.timer = self.call_after(work_ms, WorkTimerExpired(request.request_id))

    def _on_work_timer_expired(self, message: WorkTimerExpired) -> None:
        state = self._in_progress.get(message.request_id)
        if state is None:
            return
        request = state.request
        if self._faults["freeze"]:
            self._release_slot(message.request_id)
        elif self._faults["cut"]:
            head = make_response_head(200, self._response_headers(request))
            started = ResponseStarted(
                request.request_id, head, max(state.size, 1), b"", False
            )
            self.send(LISTENER, started)
            self.send(LISTENER, ResponseAborted(request.request_id))
            self._release_slot(message.request_id)
        elif state.size <= CHUNK_BYTES:
            self._release_slot(message.request_id)
            body = self._take_chunk(state)
            self.send(
                LISTENER,
                make_response(request, 200, body, self._response_headers(request)),
            )
        else:
            head = make_response_head(200, self._response_headers(request))
            chunk = self._take_chunk(state)
            started = ResponseStarted(
                request.request_id, head, state.size, chunk, False
            )
            self.send(LISTENER, started)
            self._request_next_chunk(state)

    def _take_chunk(self, state: _RequestState) -> bytes:
        start = state.size - state.remaining
        length = min(state.remaining, CHUNK_BYTES)
        state.remaining -= length
        if state.request.path == ECHO_PATH:
            return state.request.body[start : start + length]
        return b"x" * length

    def _request_next_chunk(self, state: _RequestState) -> None:
        if not state.is_chunk_requested:
            state.is_chunk_requested = True
            self.send(self.name, NextChunkRequested(state.request.request_id))

    def _on_next_chunk_requested(self, message: NextChunkRequested) -> None:
        state = self._in_progress.get(message.request_id)
        if state is None:
            return
        state.is_chunk_requested = False
        if state.is_stalled or self._faults["freeze"]:
            return
        chunk = self._take_chunk(state)
        is_complete = state.remaining == 0
        self.send(LISTENER, ResponseBody(message.request_id, chunk, is_complete))
        if is_complete:
            self._release_slot(message.request_id)
        else:
            self._request_next_chunk(state)

    def _release_slot(self, request_id: int) -> None:
        self._in_progress.pop(request_id, None)
        while self._queued and len(self._in_progress) < self._settings.slots:
            state = self._queued.pop(next(iter(self._queued)))
            self.kernel.cancel(state.timer)
            if self._remaining_ms(state.request) <= 0:
                self._refuse(state.request, "deadline passed")
            else:
                self._start(state)
        self._record_report()

    # Callers

    def _on_caller_disconnected(self, message: CallerDisconnected) -> None:
        state = self._queued.pop(message.request_id, None)
        if state is None:
            state = self._in_progress.get(message.request_id)
        if state is not None:
            # A running request is cancelled and frees its slot at once.
            self.kernel.cancel(state.timer)
            self._release_slot(message.request_id)

    def _on_caller_stalled(self, message: CallerStalled) -> None:
        state = self._in_progress.get(message.request_id)
        if state is not None:
            state.is_stalled = True

    def _on_caller_resumed(self, message: CallerResumed) -> None:
        state = self._in_progress.get(message.request_id)
        if state is not None and state.is_stalled:
            state.is_stalled = False
            self._request_next_chunk(state)

    # Reports

    def _response_headers(self, request: CompleteRequest) -> tuple[Header, ...]:
        report = ", ".join(f"{k}={v}" for k, v in self._get_report()._asdict().items())
        headers = [Header(b"load-report", report.encode())]
        attempt_id = find_header(request.headers, ATTEMPT_HEADER)
        if attempt_id is not None:
            headers.append(Header(ATTEMPT_HEADER, attempt_id))
        if self._is_draining:
            headers.append(DRAINING)
        return tuple(headers)

    def _make_report(self) -> LoadReport:
        return LoadReport(
            len(self._in_progress), len(self._queued), self._settings.slots
        )

    def _get_report(self) -> LoadReport:
        if self._frozen_report is not None:
            return self._frozen_report
        age_ms = self._faults["stale_load"]
        if not age_ms:
            return self._make_report()
        self._discard_old_reports(age_ms)
        return self._report_history[0][1]

    def _record_report(self) -> None:
        # Reports are recorded only while ``stale_load`` is a positive number.
        age_ms = self._faults["stale_load"]
        if age_ms and self._frozen_report is None:
            self._report_history.append((self.kernel.clock.now_ms, self._make_report()))
            self._discard_old_reports(age_ms)

    def _discard_old_reports(self, age_ms: float) -> None:
        cutoff_ms = self.kernel.clock.now_ms - age_ms
        while len(self._report_history) > 1 and self._report_history[1][0] <= cutoff_ms:
            self._report_history.popleft()


def _get_text_header(request: CompleteRequest, name: bytes) -> str | None:
    value = find_header(request.headers, name)
    return None if value is None else value.decode("latin-1")


def main() -> None:
    """Run the stand-in for a backend server."""

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

    run_standin(make_service, FAULTS, is_body_needed=lambda path: path == ECHO_PATH)


if __name__ == "__main__":
    main()
