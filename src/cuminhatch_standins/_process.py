"""What the stand-in programs share: flags, port, faults, answers."""

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote

import orjson
from absl import app, flags

from cuminhatch.codecs.http1 import Header, RequestHead, ResponseHead
from cuminhatch.errors import CuminhatchError
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    Address,
    CallerLeft,
    CallerResumed,
    CallerStalled,
    RequestBody,
    RequestReadResumed,
    RequestReceived,
    ResponseAborted,
    ResponseStarted,
)
from cuminhatch_standins._faults import (
    Faults,
    FaultSpec,
    FaultsRefused,
    change_faults,
    faults_off,
)
from cuminhatch_standins._listener import (
    ConnectionsSilenced,
    SilentConnectionsClosed,
    StandinListener,
)

LISTENER = "callers"
FRONT = "front"
FAULTS_PATH = "/faults"
# What tests read and write; no fault applies to it.
CONTROL_PATHS = frozenset({FAULTS_PATH, "/runs", "/stats"})
MAX_BODY_BYTES = 64 * 1024 * 1024
JSON_TYPE = Header(b"content-type", b"application/json")

# For stand-ins whose answers are short and given at once.
FLOW_IGNORED: MessageTable = {
    CallerLeft: lambda message: None,
    CallerStalled: lambda message: None,
    CallerResumed: lambda message: None,
}

flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
flags.DEFINE_integer("port", 0, "TCP port to listen on.")


class WholeRequest(NamedTuple):
    """
    A request whose body has arrived to its end.

    ``path`` is without the query and still has its escapes; ``body`` is
    empty where the stand-in does not need it.
    """

    request_id: int
    method: str
    path: str
    query: Mapping[str, str]
    headers: tuple[Header, ...]
    body: bytes
    received_ms: float


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
    concern any HTTP server: ``outage``, ``freeze``, ``silent`` and a delay.
    """

    name = FRONT

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
        elif self._faults.get("outage"):
            self.send(LISTENER, ResponseAborted(request.request_id))
        elif self._faults.get("freeze"):
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


def split_target(head: RequestHead) -> tuple[str, dict[str, str]]:
    """
    Return the path, with its escapes, and the query of a request.

    :param head: head of the request.
    """
    path, _, query = head.target.decode("latin-1").partition("?")
    return path, dict(parse_qsl(query, keep_blank_values=True))


def name_in_path(request: WholeRequest, prefix: str) -> str | None:
    """
    Return the unescaped rest of a path.

    :param request: request.
    :param prefix: start of the path, with the last slash.
    :returns: the rest, None if the path has another start or no rest.
    """
    if not request.path.startswith(prefix):
        return None
    return unquote(request.path.removeprefix(prefix)) or None


def json_answer(
    request: WholeRequest,
    status: int,
    value: Any,
    headers: tuple[Header, ...] = (),
) -> ResponseStarted:
    """
    Build a complete answer with a JSON body.

    :param request: request to answer.
    :param status: HTTP status.
    :param value: JSON-serializable value.
    :param headers: further headers.
    """
    body = orjson.dumps(value)
    return bytes_answer(request, status, body, (JSON_TYPE, *headers))


def bytes_answer(
    request: WholeRequest,
    status: int,
    body: bytes,
    headers: tuple[Header, ...] = (),
) -> ResponseStarted:
    """
    Build a complete answer.

    :param request: request to answer.
    :param status: HTTP status.
    :param body: body of the answer.
    :param headers: further headers.
    """
    head = response_head(status, headers)
    return ResponseStarted(request.request_id, head, len(body), body, True)


def response_head(status: int, headers: tuple[Header, ...] = ()) -> ResponseHead:
    """
    Build the head of an answer.

    :param status: HTTP status.
    :param headers: its headers.
    """
    return ResponseHead(status, HTTPStatus(status).phrase.encode(), headers)


def run_standin(
    make_service: Callable[[Kernel], Service],
    specs: Mapping[str, FaultSpec],
    is_body_kept: Callable[[str], bool] = lambda path: True,
    delay_ms: Callable[[Faults], float] = lambda faults: 0.0,
) -> None:
    """
    Run a stand-in program until it is stopped.

    :param make_service: builds the service that answers requests.
    :param specs: faults of the stand-in.
    :param is_body_kept: tells for a path whether its body is needed.
    :param delay_ms: tells how long requests are held back.
    """

    def main(_: list[str]) -> None:
        kernel = Kernel()
        service = kernel.register(make_service(kernel))
        front = Front(kernel, service.name, specs, is_body_kept, delay_ms)
        kernel.register(front)
        address = Address(flags.FLAGS.host, flags.FLAGS.port)
        kernel.register(StandinListener(kernel, address, front.name))
        try:
            kernel.open()
            kernel.run()
        except CuminhatchError as error:
            raise SystemExit(f"{service.name}: {error}") from error

    app.run(main)
