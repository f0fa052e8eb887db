"""
Stand-in for a backend server: a number of slots and a queue.

``GET /work?ms=5&bytes=100`` takes a slot for 5 ms and answers 100 bytes; any
other path does the same with the defaults of the flags.
"""

from collections import deque
from typing import NamedTuple
from urllib.parse import parse_qs

from absl import flags

from cuminhatch.codecs.http1 import Header
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import CallerLeft, RequestReceived
from cuminhatch_standins._process import LISTENER, bytes_answer, run_standin

flags.DEFINE_integer("slots", 3, "Requests that run at the same time.")
flags.DEFINE_float("work_ms", 5.0, "Time that a request takes by default.")


class WorkDone(NamedTuple):
    """A request has held its slot long enough."""

    request: RequestReceived


class BackendServerStandin(Service):
    """Answers requests after they have held a slot for their time."""

    name = "backend_server"

    def __init__(self, kernel: Kernel, slots: int, work_ms: float) -> None:
        """
        Start with all slots free.

        :param kernel: kernel of the process.
        :param slots: requests that run at the same time.
        :param work_ms: default time of a request, in milliseconds.
        """
        super().__init__(kernel)
        self._slots = slots
        self._work_ms = work_ms
        self._served: dict[int, RequestReceived] = {}
        self._waiting: deque[RequestReceived] = deque()

    def message_handlers(self) -> MessageTable:
        """Return the messages of the listener and the own timer."""
        return {
            RequestReceived: self._on_request_received,
            CallerLeft: self._on_caller_left,
            WorkDone: self._on_work_done,
        }

    def _on_request_received(self, message: RequestReceived) -> None:
        if len(self._served) < self._slots:
            self._start(message)
        else:
            self._waiting.append(message)

    def _start(self, request: RequestReceived) -> None:
        self._served[request.request_id] = request
        work_ms = float(self._parameter(request, "ms", self._work_ms))
        if work_ms <= 0:
            self._on_work_done(WorkDone(request))
        else:
            self.call_after(work_ms, WorkDone(request))

    def _parameter(self, request: RequestReceived, name: str, default: float) -> str:
        query = request.head.target.partition(b"?")[2].decode("latin-1")
        return parse_qs(query).get(name, [str(default)])[0]

    def _on_work_done(self, message: WorkDone) -> None:
        request = message.request
        if self._served.pop(request.request_id, None) is not None:
            size = int(self._parameter(request, "bytes", 20))
            self.send(LISTENER, bytes_answer(request, 200, b"x" * size, self._report()))
        while self._waiting and len(self._served) < self._slots:
            self._start(self._waiting.popleft())

    def _report(self) -> tuple[Header, ...]:
        report = (
            f"in_flight={len(self._served)}, queued={len(self._waiting)}, "
            f"slots={self._slots}"
        )
        return (Header(b"load-report", report.encode()),)

    def _on_caller_left(self, message: CallerLeft) -> None:
        self._waiting = deque(
            request
            for request in self._waiting
            if request.request_id != message.request_id
        )
        # A running request that is cancelled frees its slot at once.
        self._served.pop(message.request_id, None)
        while self._waiting and len(self._served) < self._slots:
            self._start(self._waiting.popleft())


def main() -> None:
    """Run the stand-in."""
    run_standin(
        lambda kernel: BackendServerStandin(
            kernel, flags.FLAGS.slots, flags.FLAGS.work_ms
        )
    )


if __name__ == "__main__":
    main()
