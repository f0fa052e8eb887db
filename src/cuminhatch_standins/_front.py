"""The part of a stand-in that is the same for all: bodies and faults."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import orjson

from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    CallerLeft,
    CallerResumed,
    CallerStalled,
    RequestBody,
    RequestReadResumed,
    RequestReceived,
    ResponseAborted,
)
from cuminhatch_standins._answers import WholeRequest, json_answer, split_target
from cuminhatch_standins._faults import (
    Faults,
    FaultSpec,
    FaultsRefused,
    change_faults,
    faults_off,
)
from cuminhatch_standins._listener import ConnectionsSilenced, SilentConnectionsClosed

LISTENER = "callers"
FAULTS_PATH = "/faults"
# What tests read and write; no fault applies to it.
CONTROL_PATHS = frozenset({FAULTS_PATH, "/operator", "/runs", "/stats"})
MAX_BODY_BYTES = 64 * 1024 * 1024
# For stand-ins whose answers are short and given at once.
FLOW_IGNORED: MessageTable = {
    CallerLeft: lambda message: None,
    CallerStalled: lambda message: None,
    CallerResumed: lambda message: None,
}


class FaultsChanged(NamedTuple):
    """Faults have been set; names not given have kept their values."""

    names: frozenset[str]
    faults: Faults


class Delayed(NamedTuple):
    """A request has been held back for the time of the fault."""

    request: WholeRequest


class _Unfinished:
    """A request whose body is still arriving."""

    def __init__(self, request: WholeRequest, is_kept: bool) -> None:
        self.request = request
        self.is_kept = is_kept
        self.body = bytearray()


class Front(Service):
    """
    Stands between the listener and the stand-in's own service.

    It collects bodies, serves ``/faults`` and applies the faults that
    concern any HTTP server: ``outage`` (closes without an answer),
    ``freeze`` (accepts and never answers), ``silent`` (the present
    connections are lost track of, new ones work) and a delay.
    """

    name = "front"

    def __init__(
        self,
        kernel: Kernel,
        target: str,
        specs: Mapping[str, FaultSpec],
        is_body_kept: Callable[[str], bool] = lambda path: True,
        delay_ms: Callable[[Faults], float] = lambda faults: 0.0,
    ) -> None:
        """
        Start with all faults off.

        :param kernel: kernel of the process.
        :param target: name of the stand-in's own service.
        :param specs: faults of the stand-in.
        :param is_body_kept: tells for a path whether its body is needed.
        :param delay_ms: tells how long requests are held back.
        """
        super().__init__(kernel)
        self._target = target
        self._specs = specs
        self._is_body_kept = is_body_kept
        self._delay_ms = delay_ms
        self._faults = faults_off(specs)
        self._unfinished: dict[int, _Unfinished] = {}

    def message_handlers(self) -> MessageTable:
        """Return the messages of the listener and the own timer."""
        return {
            RequestReceived: self._on_request_received,
            RequestBody: self._on_request_body,
            Delayed: self._on_delayed,
            CallerLeft: self._on_caller_left,
            CallerStalled: self._pass_on,
            CallerResumed: self._pass_on,
        }

    def _on_request_received(self, message: RequestReceived) -> None:
        path, query = split_target(message.head)
        request = WholeRequest(
            message.request_id,
            message.head.method.decode("latin-1"),
            path,
            query,
            message.head.headers,
            b"",
            message.received_ms,
        )
        is_kept = path == FAULTS_PATH or self._is_body_kept(path)
        self._unfinished[message.request_id] = _Unfinished(request, is_kept)
        if not message.is_complete:
            # Lets a caller with ``Expect: 100-continue`` go on.
            self.send(LISTENER, RequestReadResumed(message.request_id))
        self._add(message.request_id, message.data, message.is_complete)

    def _on_request_body(self, message: RequestBody) -> None:
        self._add(message.request_id, message.data, message.is_complete)

    def _add(self, request_id: int, data: bytes, is_complete: bool) -> None:
        unfinished = self._unfinished.get(request_id)
        if unfinished is None:
            return
        if unfinished.is_kept:
            unfinished.body += data
        if len(unfinished.body) > MAX_BODY_BYTES:
            del self._unfinished[request_id]
            self.send(LISTENER, json_answer(unfinished.request, 413, {}))
        elif is_complete:
            del self._unfinished[request_id]
            self._admit(unfinished.request._replace(body=bytes(unfinished.body)))

    def _admit(self, request: WholeRequest) -> None:
        if request.path == FAULTS_PATH:
            self._serve_faults(request)
        elif request.path in CONTROL_PATHS:
            self.send(self._target, request)
        elif self._faults["outage"]:
            self.send(LISTENER, ResponseAborted(request.request_id))
        elif self._faults["freeze"]:
            pass
        elif delay_ms := self._delay_ms(self._faults):
            self.call_after(delay_ms, Delayed(request))
        else:
            self.send(self._target, request)

    def _on_delayed(self, message: Delayed) -> None:
        self.send(self._target, message.request)

    def _serve_faults(self, request: WholeRequest) -> None:
        if request.method != "POST":
            self.send(LISTENER, json_answer(request, 200, self._faults))
            return
        changed = change_faults(self._specs, self._faults, request.body)
        if isinstance(changed, FaultsRefused):
            self.send(LISTENER, json_answer(request, 400, {"error": changed.reason}))
            return
        self._faults = changed
        names = frozenset(orjson.loads(request.body))
        self.send(self._target, FaultsChanged(names, changed))
        # Answered first: the connection of this request may go silent.
        self.send(LISTENER, json_answer(request, 200, changed))
        if "silent" in names:
            is_silent = changed["silent"]
            self.send(
                LISTENER,
                ConnectionsSilenced() if is_silent else SilentConnectionsClosed(),
            )

    def _on_caller_left(self, message: CallerLeft) -> None:
        self._unfinished.pop(message.request_id, None)
        self._pass_on(message)

    def _pass_on(self, message: Any) -> None:
        self.send(self._target, message)
