"""
Stand-in for a backend server of the users' platform.

It uses the headers of the platform's protocol: a request carries an attempt
id and the id of the expected server, and its response carries a seal. ``GET
/health`` reports the load. ``GET /runs`` lists the requests that ran, in
order.

Faults besides the common ones: ``slow`` (ms added to the run time), ``shed``
(refuses requests as not executed), ``reset`` (the next N requests run, and
their connections are closed without a response), ``foreign`` (the next N
responses carry another attempt id), ``unsealed`` (the next N responses have no
seal), ``errors`` (the next N requests run and get a 500), ``drain`` (health
checks get a 503).
"""

from typing import Any, NamedTuple

from absl import flags

from cuminhatch.clock import MS_PER_SECOND
from cuminhatch.codecs.http1 import Header, find_header
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import CallerDisconnected, ResponseAborted
from cuminhatch_standins._fault_injector import (
    IGNORED_CALLER_EVENTS,
    LISTENER,
    FaultsChanged,
)
from cuminhatch_standins._faults import (
    COMMON_FAULTS,
    FaultSpec,
    is_count,
    is_flag,
    is_non_negative_number,
)
from cuminhatch_standins._process import run_standin
from cuminhatch_standins._responses import (
    CompleteRequest,
    make_json_response,
    make_response,
)

FAULTS = {
    **COMMON_FAULTS,
    "slow": FaultSpec(0, is_non_negative_number),
    "shed": FaultSpec(False, is_flag),
    "reset": FaultSpec(0, is_count),
    "foreign": FaultSpec(0, is_count),
    "unsealed": FaultSpec(0, is_count),
    "errors": FaultSpec(0, is_count),
    "drain": FaultSpec(False, is_flag),
}

flags.DEFINE_string("server_id", "i-1", "Id under which the server is registered.")
flags.DEFINE_integer("slots", 3, "Number of requests that run concurrently.")
flags.DEFINE_float("work_ms", 5.0, "Run time of a request.")
flags.DEFINE_string("runs_file", None, "File that gets a line for each run.")


class WorkTimerExpired(NamedTuple):
    """The run time of a request expired."""

    request: CompleteRequest


class RegisteredServer(Service):
    """Runs requests in slots and records each run."""

    name = "registered_server"

    def __init__(
        self,
        kernel: Kernel,
        server_id: str,
        slots: int,
        work_ms: float,
        runs_file: str | None = None,
    ) -> None:
        """
        Create a server without requests.

        :param kernel: kernel of the process.
        :param server_id: id under which the server is registered.
        :param slots: number of requests that run concurrently.
        :param work_ms: run time of a request, in milliseconds.
        :param runs_file: file that gets a line for each run, so that the runs
            of a killed server are known.
        """
        super().__init__(kernel)
        self._server_id = server_id
        self._slots = slots
        self._work_ms = work_ms
        self._faults: dict[str, Any] = {
            name: spec.off_value for name, spec in FAULTS.items()
        }
        self._in_progress: dict[int, CompleteRequest] = {}
        self._queued: list[CompleteRequest] = []
        self._runs: list[dict[str, str]] = []
        self._runs_file = runs_file

    def message_handlers(self) -> MessageTable:
        """Return the handlers for requests, fault changes and the timer."""
        return {
            **IGNORED_CALLER_EVENTS,
            CompleteRequest: self._on_complete_request,
            FaultsChanged: self._on_faults_changed,
            CallerDisconnected: self._on_caller_disconnected,
            WorkTimerExpired: self._on_work_timer_expired,
        }

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        self._faults |= {name: message.faults[name] for name in message.names}

    def _on_complete_request(self, request: CompleteRequest) -> None:
        if request.path == "/runs":
            self.send(LISTENER, make_json_response(request, 200, self._runs))
        elif request.path == "/health":
            status = 503 if self._faults["drain"] else 200
            response = make_response(request, status, b"", self._server_headers())
            self.send(LISTENER, response)
        else:
            self._admit(request)

    def _server_headers(self) -> tuple[Header, ...]:
        load = f"{len(self._in_progress)},{len(self._queued)},{self._slots},100"
        return (
            Header(b"instance-id", self._server_id.encode()),
            Header(b"backend-load", load.encode()),
        )

    def _admit(self, request: CompleteRequest) -> None:
        expected = find_header(request.headers, b"expected-instance")
        if expected is not None and expected.decode() != self._server_id:
            response = make_response(request, 421, b"", self._server_headers())
            self.send(LISTENER, response)
        elif self._faults["shed"]:
            headers = (Header(b"not-executed", b"1"), *self._server_headers())
            self.send(LISTENER, make_response(request, 503, b"", headers))
        elif len(self._in_progress) < self._slots:
            self._start(request)
        else:
            self._queued.append(request)

    def _start(self, request: CompleteRequest) -> None:
        attempt_id = find_header(request.headers, b"attempt-id") or b""
        run = {
            "id": attempt_id.decode(),
            "method": request.method,
            "path": request.path,
            "body": request.body.decode("latin-1"),
        }
        self._runs.append(run)
        if self._runs_file is not None:
            with open(self._runs_file, "a") as file:
                wall_s = self.kernel.clock.wall_ms / MS_PER_SECOND
                file.write(f"{wall_s:.3f} {self._server_id} {run['id']}\n")
        self._in_progress[request.request_id] = request
        self.call_after(self._work_ms + self._faults["slow"], WorkTimerExpired(request))

    def _on_work_timer_expired(self, message: WorkTimerExpired) -> None:
        request = message.request
        if self._in_progress.pop(request.request_id, None) is not None:
            self._respond(request)
        while self._queued and len(self._in_progress) < self._slots:
            self._start(self._queued.pop(0))

    def _respond(self, request: CompleteRequest) -> None:
        if self._consume_fault("reset"):
            self.send(LISTENER, ResponseAborted(request.request_id))
            return
        attempt_id = find_header(request.headers, b"attempt-id") or b""
        headers = [Header(b"response-seal", b"seal." + attempt_id)]
        if self._consume_fault("unsealed"):
            headers.clear()
        if self._consume_fault("foreign"):
            attempt_id = b"other"
        headers.append(Header(b"attempt-id", attempt_id))
        status = 500 if self._consume_fault("errors") else 200
        body = b"answer to " + attempt_id
        all_headers = (*headers, *self._server_headers())
        self.send(LISTENER, make_response(request, status, body, all_headers))

    def _consume_fault(self, name: str) -> bool:
        """Consume one occurrence of a fault; tell whether one was left."""
        if not self._faults[name]:
            return False
        self._faults[name] -= 1
        return True

    def _on_caller_disconnected(self, message: CallerDisconnected) -> None:
        # A started run is on record already; only its response is dropped.
        self._in_progress.pop(message.request_id, None)
        self._queued = [
            request
            for request in self._queued
            if request.request_id != message.request_id
        ]


def main() -> None:
    """Run the stand-in for a registered backend server."""
    values = flags.FLAGS
    run_standin(
        lambda kernel: RegisteredServer(
            kernel,
            values.server_id,
            values.slots,
            values.work_ms,
            values.runs_file,
        ),
        FAULTS,
    )


if __name__ == "__main__":
    main()
