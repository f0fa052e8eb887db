"""
Stand-in for a backend server of the users' platform.

It speaks the headers of the platform: each request has an id, names the
server that it expects, and is answered with a seal. ``GET /health`` tells
its load; ``GET /runs`` lists the ids of the requests that ran, in order.

Faults besides the common ones: ``slow`` (ms that work takes longer), ``shed``
(says that it has not run the request), ``reset`` (the next N requests run and
lose their answer), ``foreign`` (the next N answers name another request),
``unsealed`` (the next N answers have no seal), ``errors`` (the next N requests
run and fail), ``drain`` (its health check says that it leaves).
"""

from typing import Any, NamedTuple

from absl import flags

from cuminhatch.clock import MS_PER_SECOND
from cuminhatch.codecs.http1 import Header, find_header
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import CallerLeft, ResponseAborted
from cuminhatch_standins._answers import WholeRequest, bytes_answer, json_answer
from cuminhatch_standins._faults import (
    COMMON_FAULTS,
    FaultSpec,
    is_count,
    is_flag,
    is_number,
)
from cuminhatch_standins._front import FLOW_IGNORED, LISTENER, FaultsChanged
from cuminhatch_standins._process import run_standin

FAULTS = {
    **COMMON_FAULTS,
    "slow": FaultSpec(0, is_number),
    "shed": FaultSpec(False, is_flag),
    "reset": FaultSpec(0, is_count),
    "foreign": FaultSpec(0, is_count),
    "unsealed": FaultSpec(0, is_count),
    "errors": FaultSpec(0, is_count),
    "drain": FaultSpec(False, is_flag),
}

flags.DEFINE_string("server_id", "i-1", "Id under which the server is registered.")
flags.DEFINE_integer("slots", 3, "Requests that run at the same time.")
flags.DEFINE_float("work_ms", 5.0, "Time that a request takes.")
flags.DEFINE_string("runs_file", None, "File that gets a line for each run.")


class WorkDone(NamedTuple):
    """The work of a request has ended."""

    request: WholeRequest


class RegisteredServer(Service):
    """Runs requests, and counts each run."""

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
        Start idle.

        :param kernel: kernel of the process.
        :param server_id: id under which it is registered.
        :param slots: requests that run at the same time.
        :param work_ms: time that a request takes, in milliseconds.
        :param runs_file: gets a line for each run, so that the runs of a
            server that is killed are known.
        """
        super().__init__(kernel)
        self._server_id = server_id
        self._slots = slots
        self._work_ms = work_ms
        self._faults: dict[str, Any] = {name: spec.off for name, spec in FAULTS.items()}
        self._in_work: dict[int, WholeRequest] = {}
        self._waiting: list[WholeRequest] = []
        self._runs: list[dict[str, str]] = []
        self._runs_file = runs_file

    def message_handlers(self) -> MessageTable:
        """Return the messages of the front and the own timer."""
        return {
            **FLOW_IGNORED,
            WholeRequest: self._on_whole_request,
            FaultsChanged: self._on_faults_changed,
            CallerLeft: self._on_caller_left,
            WorkDone: self._on_work_done,
        }

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        self._faults |= {name: message.faults[name] for name in message.names}

    def _on_whole_request(self, request: WholeRequest) -> None:
        if request.path == "/runs":
            self.send(LISTENER, json_answer(request, 200, self._runs))
        elif request.path == "/health":
            status = 503 if self._faults["drain"] else 200
            answer = bytes_answer(request, status, b"", self._own_headers())
            self.send(LISTENER, answer)
        else:
            self._admit(request)

    def _own_headers(self) -> tuple[Header, ...]:
        load = f"{len(self._in_work)},{len(self._waiting)},{self._slots},100"
        return (
            Header(b"instance-id", self._server_id.encode()),
            Header(b"backend-load", load.encode()),
        )

    def _admit(self, request: WholeRequest) -> None:
        expected = find_header(request.headers, b"expected-instance")
        if expected is not None and expected.decode() != self._server_id:
            answer = bytes_answer(request, 421, b"", self._own_headers())
            self.send(LISTENER, answer)
        elif self._faults["shed"]:
            headers = (Header(b"not-executed", b"1"), *self._own_headers())
            self.send(LISTENER, bytes_answer(request, 503, b"", headers))
        elif len(self._in_work) < self._slots:
            self._start(request)
        else:
            self._waiting.append(request)

    def _start(self, request: WholeRequest) -> None:
        attempt = find_header(request.headers, b"attempt-id") or b""
        run = {
            "id": attempt.decode(),
            "method": request.method,
            "path": request.path,
            "body": request.body.decode("latin-1"),
        }
        self._runs.append(run)
        if self._runs_file is not None:
            with open(self._runs_file, "a") as file:
                wall_s = self.kernel.clock.wall_ms / MS_PER_SECOND
                file.write(f"{wall_s:.3f} {self._server_id} {run['id']}\n")
        self._in_work[request.request_id] = request
        self.call_after(self._work_ms + self._faults["slow"], WorkDone(request))

    def _on_work_done(self, message: WorkDone) -> None:
        request = message.request
        if self._in_work.pop(request.request_id, None) is not None:
            self._answer(request)
        while self._waiting and len(self._in_work) < self._slots:
            self._start(self._waiting.pop(0))

    def _answer(self, request: WholeRequest) -> None:
        if self._take("reset"):
            self.send(LISTENER, ResponseAborted(request.request_id))
            return
        attempt = find_header(request.headers, b"attempt-id") or b""
        headers = [Header(b"response-seal", b"seal." + attempt)]
        if self._take("unsealed"):
            headers.clear()
        if self._take("foreign"):
            attempt = b"other"
        headers.append(Header(b"attempt-id", attempt))
        status = 500 if self._take("errors") else 200
        body = b"answer to " + attempt
        all_headers = (*headers, *self._own_headers())
        self.send(LISTENER, bytes_answer(request, status, body, all_headers))

    def _take(self, name: str) -> bool:
        """Use up one occasion of a fault, if any is left."""
        if not self._faults[name]:
            return False
        self._faults[name] -= 1
        return True

    def _on_caller_left(self, message: CallerLeft) -> None:
        # The request has run as far as it has; its end tells nobody.
        self._in_work.pop(message.request_id, None)
        self._waiting = [
            request
            for request in self._waiting
            if request.request_id != message.request_id
        ]


def main() -> None:
    """Run the stand-in."""
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
