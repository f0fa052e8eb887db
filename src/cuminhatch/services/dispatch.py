"""Moves each request from its caller to a backend server and back."""

from collections.abc import Callable
from itertools import count

from cuminhatch.codecs.http1 import (
    Header,
    RequestHead,
    ResponseHead,
    find_header,
)
from cuminhatch.decisions.configuration import (
    EMPTY_CONFIGURATION,
    BackendServer,
    Rule,
    servers_of,
)
from cuminhatch.decisions.routing import NoRoute, make_router
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch.messages import (
    Address,
    AttemptBody,
    AttemptBodySent,
    AttemptCancelled,
    AttemptFailed,
    AttemptReadPaused,
    AttemptReadResumed,
    AttemptRequested,
    AttemptResponse,
    AttemptResumed,
    AttemptStalled,
    CallerLeft,
    CallerResumed,
    CallerStalled,
    ConfigurationChanged,
    RequestBody,
    RequestReadPaused,
    RequestReadResumed,
    RequestReceived,
    RequestRefused,
    ResponseAborted,
    ResponseBody,
    ResponseStarted,
)
from cuminhatch.outcomes import OUTCOME_HEADER, Outcome

DEADLINE_HEADER = b"request-deadline-ms"
REQUEST_ID_HEADER = b"x-request-id"


class _Request:
    """State of one request of a caller."""

    def __init__(self, received: RequestReceived, rule: Rule) -> None:
        self.received = received
        self.rule = rule
        self.attempt_id = 0
        self.server: BackendServer | None = None
        self.deadline_ms = received.received_ms + rule.deadline_ms
        self.trace_id = b""
        self.is_response_started = False


class Dispatch(Service):
    """Owns one record per request in progress."""

    name = "dispatch"

    def __init__(self, kernel: Kernel, instance_id: str) -> None:
        """
        Start without a configuration; requests are refused until one comes.

        :param kernel: kernel of the process.
        :param instance_id: id of this instance, part of request ids.
        """
        super().__init__(kernel)
        self._instance_id = instance_id
        self._configuration = EMPTY_CONFIGURATION
        self._match_rule: Callable[[str, str], Rule | NoRoute] = make_router(
            EMPTY_CONFIGURATION
        )
        self._requests: dict[int, _Request] = {}
        self._by_attempt: dict[int, _Request] = {}
        self._attempt_ids = count(1)
        self._turn = count()

    def message_handlers(self) -> MessageTable:
        """Return the messages of listener, backends and notes."""
        return {
            ConfigurationChanged: self._on_configuration_changed,
            RequestReceived: self._on_request_received,
            RequestBody: self._on_request_body,
            CallerLeft: self._on_caller_left,
            CallerStalled: self._on_caller_stalled,
            CallerResumed: self._on_caller_resumed,
            AttemptResponse: self._on_attempt_response,
            AttemptBody: self._on_attempt_body,
            AttemptFailed: self._on_attempt_failed,
            AttemptStalled: self._on_attempt_stalled,
            AttemptResumed: self._on_attempt_resumed,
        }

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        self._configuration = message.configuration
        self._match_rule = make_router(message.configuration)

    # From the callers

    def _on_request_received(self, message: RequestReceived) -> None:
        head = message.head
        path = head.target.partition(b"?")[0].decode("latin-1")
        rule = self._match_rule(head.method.decode("latin-1"), path)
        if isinstance(rule, NoRoute):
            self._refuse(message.request_id, 404, rule.reason)
            return
        request = _Request(message, rule)
        request.trace_id = self._trace_id(message)
        self._requests[message.request_id] = request
        servers = servers_of(self._configuration, rule.service_id)
        if not servers:
            self._requests.pop(message.request_id)
            self._refuse(message.request_id, 503, "no-backend-server")
            return
        self._start_attempt(request, servers[next(self._turn) % len(servers)])

    def _trace_id(self, message: RequestReceived) -> bytes:
        given = find_header(message.head.headers, REQUEST_ID_HEADER)
        return given or f"{self._instance_id}-{message.request_id}".encode()

    def _refuse(self, request_id: int, status: int, reason: str) -> None:
        self.send(
            "callers", RequestRefused(request_id, status, Outcome.NOT_RUN, reason)
        )

    def _start_attempt(self, request: _Request, server: BackendServer) -> None:
        received = request.received
        request.server = server
        request.attempt_id = next(self._attempt_ids)
        self._by_attempt[request.attempt_id] = request
        self.send(
            "backends",
            AttemptRequested(
                request.attempt_id,
                server.server_id,
                Address(server.host, server.port),
                self._request_head(request),
                received.body_length,
                received.data,
                received.is_complete,
                request.rule.response_timeout_ms,
                False,
            ),
        )
        if not received.is_complete:
            self.send("callers", RequestReadResumed(received.request_id))

    def _request_head(self, request: _Request) -> RequestHead:
        head = request.received.head
        left_ms = max(0, int(request.deadline_ms - self.kernel.clock.now_ms))
        kept = tuple(
            header
            for header in head.headers
            if header.name not in (DEADLINE_HEADER, REQUEST_ID_HEADER, b"expect")
        )
        added = (
            Header(DEADLINE_HEADER, b"%d" % left_ms),
            Header(REQUEST_ID_HEADER, request.trace_id),
        )
        return RequestHead(head.method, head.target, kept + added)

    def _on_request_body(self, message: RequestBody) -> None:
        request = self._requests.get(message.request_id)
        if request is not None:
            self.send(
                "backends",
                AttemptBodySent(request.attempt_id, message.data, message.is_complete),
            )

    def _on_caller_left(self, message: CallerLeft) -> None:
        request = self._requests.pop(message.request_id, None)
        if request is not None:
            self._by_attempt.pop(request.attempt_id, None)
            self.send("backends", AttemptCancelled(request.attempt_id))

    def _on_caller_stalled(self, message: CallerStalled) -> None:
        request = self._requests.get(message.request_id)
        if request is not None:
            self.send("backends", AttemptReadPaused(request.attempt_id))

    def _on_caller_resumed(self, message: CallerResumed) -> None:
        request = self._requests.get(message.request_id)
        if request is not None:
            self.send("backends", AttemptReadResumed(request.attempt_id))

    # From the backend servers

    def _on_attempt_response(self, message: AttemptResponse) -> None:
        request = self._by_attempt.get(message.attempt_id)
        if request is None:
            return
        request.is_response_started = True
        head = message.head
        added = (
            Header(OUTCOME_HEADER, Outcome.RAN.encode()),
            Header(REQUEST_ID_HEADER, request.trace_id),
        )
        self.send(
            "callers",
            ResponseStarted(
                request.received.request_id,
                ResponseHead(head.status, head.phrase, head.headers + added),
                message.body_length,
                message.data,
                message.is_complete,
            ),
        )
        if message.is_complete:
            self._finish(request)

    def _on_attempt_body(self, message: AttemptBody) -> None:
        request = self._by_attempt.get(message.attempt_id)
        if request is None:
            return
        self.send(
            "callers",
            ResponseBody(
                request.received.request_id, message.data, message.is_complete
            ),
        )
        if message.is_complete:
            self._finish(request)

    def _on_attempt_failed(self, message: AttemptFailed) -> None:
        request = self._by_attempt.get(message.attempt_id)
        if request is None:
            return
        self._finish(request)
        request_id = request.received.request_id
        if request.is_response_started:
            self.send("callers", ResponseAborted(request_id))
        elif message.is_sent:
            self.send(
                "callers",
                RequestRefused(
                    request_id, 504, Outcome.UNKNOWN, message.reason.replace(" ", "-")
                ),
            )
        else:
            self._refuse(request_id, 503, "no-connection")

    def _on_attempt_stalled(self, message: AttemptStalled) -> None:
        request = self._by_attempt.get(message.attempt_id)
        if request is not None:
            self.send("callers", RequestReadPaused(request.received.request_id))

    def _on_attempt_resumed(self, message: AttemptResumed) -> None:
        request = self._by_attempt.get(message.attempt_id)
        if request is not None:
            self.send("callers", RequestReadResumed(request.received.request_id))

    def _finish(self, request: _Request) -> None:
        self._requests.pop(request.received.request_id, None)
        self._by_attempt.pop(request.attempt_id, None)
