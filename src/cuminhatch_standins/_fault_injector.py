"""Buffering of request bodies and injection of the common faults."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import orjson

from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    CallerDisconnected,
    CallerResumed,
    CallerStalled,
    RequestBody,
    RequestReadResumed,
    RequestReceived,
    ResponseAborted,
)
from cuminhatch_standins._faults import (
    Faults,
    FaultSpec,
    InvalidFaults,
    change_faults,
    make_disabled_faults,
)
from cuminhatch_standins._listener import SilentFaultDisabled, SilentFaultEnabled
from cuminhatch_standins._responses import (
    CompleteRequest,
    make_json_response,
    split_target,
)

LISTENER = "callers"
FAULTS_PATH = "/faults"
# Paths for tests, exempt from ``outage``, ``freeze`` and the delay.
CONTROL_PATHS = frozenset({FAULTS_PATH, "/operator", "/runs", "/stats"})
MAX_BODY_BYTES = 64 * 1024 * 1024
# Handlers that ignore events of the caller's connection, for stand-ins that
# send each response in one message.
IGNORED_CALLER_EVENTS: MessageTable = {
    CallerDisconnected: lambda message: None,
    CallerStalled: lambda message: None,
    CallerResumed: lambda message: None,
}


class FaultsChanged(NamedTuple):
    """Some faults were set; ``faults`` has the values of all of them."""

    names: frozenset[str]
    faults: Faults


class DelayExpired(NamedTuple):
    """The delay of a request expired."""

    request: CompleteRequest


class _IncompleteRequest:
    """A request whose body has not been received completely."""

    def __init__(self, request: CompleteRequest, is_body_needed: bool) -> None:
        self.request = request
        self.is_body_needed = is_body_needed
        self.body = bytearray()


class FaultInjector(Service):
    """
    Forwards requests from the listener to the stand-in's own service.

    It buffers request bodies, serves ``/faults`` and injects the faults that
    all stand-ins have: ``outage`` (closes connections without a response),
    ``freeze`` (accepts requests and never responds) and ``silent`` (nothing
    more is read from or written to the connections that are open when it is
    set; they stay open, and new ones work). Stand-ins that
    pass ``get_delay_ms`` also delay requests.
    """

    name = "front"

    def __init__(
        self,
        kernel: Kernel,
        target: str,
        specs: Mapping[str, FaultSpec],
        is_body_needed: Callable[[str], bool] = lambda path: True,
        get_delay_ms: Callable[[Faults], float] = lambda faults: 0.0,
    ) -> None:
        """
        Start with all faults off.

        :param kernel: kernel of the process.
        :param target: name of the stand-in's own service.
        :param specs: faults of the stand-in.
        :param is_body_needed: tells whether the bodies of requests for a path
            are needed.
        :param get_delay_ms: returns the delay of requests in milliseconds
            for the current values of the faults.
        """
        super().__init__(kernel)
        self._target = target
        self._specs = specs
        self._is_body_needed = is_body_needed
        self._get_delay_ms = get_delay_ms
        self._faults = make_disabled_faults(specs)
        self._incomplete: dict[int, _IncompleteRequest] = {}

    def message_handlers(self) -> MessageTable:
        """Return the handlers for listener messages and for the timer."""
        return {
            RequestReceived: self._on_request_received,
            RequestBody: self._on_request_body,
            DelayExpired: self._on_delay_expired,
            CallerDisconnected: self._on_caller_disconnected,
            CallerStalled: self._forward,
            CallerResumed: self._forward,
        }

    def _on_request_received(self, message: RequestReceived) -> None:
        path, query = split_target(message.head)
        request = CompleteRequest(
            message.request_id,
            message.head.method.decode("latin-1"),
            path,
            query,
            message.head.headers,
            b"",
            message.received_ms,
        )
        is_body_needed = path == FAULTS_PATH or self._is_body_needed(path)
        self._incomplete[message.request_id] = _IncompleteRequest(
            request, is_body_needed
        )
        if not message.is_complete:
            # The listener sends 100 Continue to callers that expect it.
            self.send(LISTENER, RequestReadResumed(message.request_id))
        self._append_body(message.request_id, message.data, message.is_complete)

    def _on_request_body(self, message: RequestBody) -> None:
        self._append_body(message.request_id, message.data, message.is_complete)

    def _append_body(self, request_id: int, data: bytes, is_complete: bool) -> None:
        incomplete = self._incomplete.get(request_id)
        if incomplete is None:
            return
        if incomplete.is_body_needed:
            incomplete.body += data
        if len(incomplete.body) > MAX_BODY_BYTES:
            del self._incomplete[request_id]
            self.send(LISTENER, make_json_response(incomplete.request, 413, {}))
        elif is_complete:
            del self._incomplete[request_id]
            self._admit(incomplete.request._replace(body=bytes(incomplete.body)))

    def _admit(self, request: CompleteRequest) -> None:
        if request.path == FAULTS_PATH:
            self._serve_faults(request)
        elif request.path in CONTROL_PATHS:
            self.send(self._target, request)
        elif self._faults["outage"]:
            self.send(LISTENER, ResponseAborted(request.request_id))
        elif self._faults["freeze"]:
            pass
        elif delay_ms := self._get_delay_ms(self._faults):
            self.call_after(delay_ms, DelayExpired(request))
        else:
            self.send(self._target, request)

    def _on_delay_expired(self, message: DelayExpired) -> None:
        self.send(self._target, message.request)

    def _serve_faults(self, request: CompleteRequest) -> None:
        if request.method != "POST":
            self.send(LISTENER, make_json_response(request, 200, self._faults))
            return
        changed = change_faults(self._specs, self._faults, request.body)
        if isinstance(changed, InvalidFaults):
            self.send(
                LISTENER, make_json_response(request, 400, {"error": changed.reason})
            )
            return
        self._faults = changed
        names = frozenset(orjson.loads(request.body))
        self.send(self._target, FaultsChanged(names, changed))
        # Sent first, since the connection of this request may become silent.
        self.send(LISTENER, make_json_response(request, 200, changed))
        if "silent" in names:
            is_silent = changed["silent"]
            self.send(
                LISTENER,
                SilentFaultEnabled() if is_silent else SilentFaultDisabled(),
            )

    def _on_caller_disconnected(self, message: CallerDisconnected) -> None:
        self._incomplete.pop(message.request_id, None)
        self._forward(message)

    def _forward(self, message: Any) -> None:
        self.send(self._target, message)
