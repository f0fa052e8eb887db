"""
The operators' HTTP port, served by ``circuits.web``.

Every path but ``/health`` needs the operators' key. Answers that need
another service are sent when that service has replied.
"""

from collections.abc import Callable
from hmac import compare_digest
from itertools import count
from socket import socket
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import orjson
from circuits.core.components import BaseComponent
from circuits.core.handlers import handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer
from circuits.web.events import response as response_ready
from circuits.web.http import HTTP
from circuits.web.wrappers import Request, Response

from cuminhatch.address import Address
from cuminhatch.codecs.configuration_json import (
    accepted_to_dict,
    encode_configuration,
)
from cuminhatch.codecs.note_toml import parse_note
from cuminhatch.decisions.configuration import EMPTY_CONFIGURATION, Configuration
from cuminhatch.decisions.notes import NoteAccepted, NoteRefused
from cuminhatch.errors import AddressError, CodecError
from cuminhatch.kernel import SUPERVISOR, Kernel, MessageTable, Service
from cuminhatch.messages import (
    ConfigurationChanged,
    DrainRequested,
    MetricsReplied,
    MetricsRequested,
    NoteDecided,
    NotesReplied,
    NotesRequested,
    NoteSubmitted,
    StatusReported,
    TimelineReplied,
    TimelineRequested,
)

WEB_CHANNEL = "web"
JSON_TYPE = "application/json"
MAX_CLIENTS = 64
READ_BYTES = 64 * 1024
# A note of the largest configuration (20,000 backend servers, about 150
# bytes each) takes 3 MB.
MAX_REQUEST_BYTES = 4 * 1024 * 1024
# A request must be complete by then; the parser of circuits.web keeps
# unfinished requests for ever.
REQUEST_LIMIT_MS = 10_000
MAX_EVENTS = 10_000
MAX_NOTES = 500


class ClientTimedOut(NamedTuple):
    """A client has not completed its request in time."""

    sock: socket


class Answer(NamedTuple):
    """A complete answer to an operator."""

    status: int
    content_type: str
    body: bytes


def json_answer(status: int, value: Any) -> Answer:
    """
    Build an answer with a JSON body.

    :param status: HTTP status.
    :param value: JSON-serializable value.
    """
    # NamedTuples are not serialized as tuples unless asked to.
    return Answer(status, JSON_TYPE, orjson.dumps(value, default=tuple) + b"\n")


def error_answer(status: int, reason: str) -> Answer:
    """
    Build an answer that says what is wrong.

    :param status: HTTP status.
    :param reason: one line.
    """
    return json_answer(status, {"error": reason})


class _WebServer(BaseComponent):
    """
    TCP server and HTTP parser, with bounds on clients and bytes.

    The server class of ``circuits.web`` is not used, because it ends the
    process 3 s after a signal, whatever is in flight.
    """

    channel = WEB_CHANNEL

    def __init__(self, kernel: Kernel, address: Address) -> None:
        super().__init__()
        self._kernel = kernel
        self._received: dict[socket, int] = {}
        self._timers: dict[socket, int] = {}
        self.server = TCPServer(
            tuple(address), bufsize=READ_BYTES, channel=WEB_CHANNEL
        ).register(self)
        self.http = HTTP(self, channel=WEB_CHANNEL).register(self)

    @property
    def secure(self) -> bool:
        return False

    @property
    def host(self) -> str:
        return self.server.host

    @property
    def port(self) -> int:
        return self.server.port

    @handler("connect")
    def _on_connect(self, sock: socket, *_: Any) -> None:
        self._received[sock] = 0
        if len(self._received) > MAX_CLIENTS:
            self.fire(close(sock))
        else:
            self._restart(sock)

    def _restart(self, sock: socket) -> None:
        self._kernel.cancel(self._timers.pop(sock, None))
        self._timers[sock] = self._kernel.call_at(
            self._kernel.clock.now_ms + REQUEST_LIMIT_MS,
            "operators",
            ClientTimedOut(sock),
        )

    @handler("read", priority=1)
    def _on_read(self, event: Any, sock: socket, data: bytes) -> None:
        self._received[sock] = self._received.get(sock, 0) + len(data)
        if self._received[sock] > MAX_REQUEST_BYTES:
            event.stop()
            self.fire(close(sock))

    @handler("disconnect")
    def _on_disconnect(self, sock: socket, *_: Any) -> None:
        self._received.pop(sock, None)
        self._kernel.cancel(self._timers.pop(sock, None))
        # The HTTP component forgets whole requests only.
        self.http._buffers.pop(sock, None)

    def begin_answer(self, sock: socket) -> None:
        """Let a complete request wait for its answer without a limit."""
        self._kernel.cancel(self._timers.pop(sock, None))

    def finish_request(self, sock: socket) -> None:
        """Allow the client another request."""
        if sock in self._received:
            self._received[sock] = 0
            self._restart(sock)


class _Waiting(NamedTuple):
    """A request that waits for the reply of another service."""

    request: Request
    response: Response


Route = Callable[[_Waiting], Answer | None]


class Operators(Service):
    """Answers operators, the platform's balancer and Prometheus."""

    name = "operators"

    def __init__(
        self, kernel: Kernel, address: Address, key: str, instance_id: str
    ) -> None:
        """
        Create the port without opening it.

        :param kernel: kernel of the process.
        :param address: address to listen on; port 0 takes any.
        :param key: key that operators send as a bearer token.
        :param instance_id: id of this instance, shown in the status.
        """
        super().__init__(kernel)
        self._address = address
        self._authorization = f"Bearer {key}".encode()
        self._instance_id = instance_id
        self._web: _WebServer | None = None
        self._tokens = count(1)
        self._pending: dict[int, _Waiting] = {}
        self._configuration: Configuration = EMPTY_CONFIGURATION
        self._status: dict[str, dict[str, Any]] = {
            "readiness": {"ready": False, "not_ready": {"notes": "no note known yet"}}
        }
        self._routes: dict[tuple[str, str], Route] = {
            ("GET", "/health"): self._show_health,
            ("GET", "/status"): self._show_status,
            ("GET", "/metrics"): self._ask_metrics,
            ("GET", "/timeline"): self._ask_timeline,
            ("GET", "/notes"): self._ask_notes,
            ("GET", "/configuration"): self._show_configuration,
            ("POST", "/notes"): self._submit_note,
            ("POST", "/drain"): self._request_drain,
        }

    def message_handlers(self) -> MessageTable:
        """Return the replies of the services behind this port."""
        return {
            ConfigurationChanged: self._on_configuration_changed,
            StatusReported: self._on_status_reported,
            NoteDecided: self._on_note_decided,
            NotesReplied: self._on_notes_replied,
            TimelineReplied: self._on_timeline_replied,
            MetricsReplied: self._on_metrics_replied,
            ClientTimedOut: self._on_client_timed_out,
        }

    @property
    def address(self) -> Address:
        """Return the address in use, with the real port once open."""
        if self._web is not None:
            return Address(self._web.host, self._web.port)
        return self._address

    def open(self) -> None:
        """
        Start to listen.

        :raises AddressError: the address cannot be bound.
        """
        try:
            self._web = _WebServer(self.kernel, self._address)
        except OSError as error:
            raise AddressError(self._address, error.strerror) from error
        self._web.register(self)

    # Requests

    @handler("request", channel=WEB_CHANNEL, priority=1)
    def _on_request(self, event: Any, request: Request, response: Response) -> bool:
        event.stop()
        # Other services bound the time of their replies.
        self._web.begin_answer(request.sock)
        waiting = _Waiting(request, response)
        try:
            answer = self._route(waiting)
        except Exception as error:
            self.kernel.report_failure(self.name, None, error)
            answer = error_answer(500, "internal error; see the daemon's log")
        if answer is not None:
            self._send_answer(waiting, answer)
        # A bool tells circuits.web that the response comes later.
        return True

    def _route(self, waiting: _Waiting) -> Answer | None:
        request = waiting.request
        path = request.path.rstrip("/") or "/"
        route = self._routes.get((request.method, path))
        if path != "/health" and not self._is_authorized(request):
            return error_answer(
                401, "send the operators' key as Authorization: Bearer KEY"
            )
        if route is None:
            known = sorted(f"{method} {path}" for method, path in self._routes)
            return error_answer(404, f"unknown request; known are {', '.join(known)}")
        return route(waiting)

    def _is_authorized(self, request: Request) -> bool:
        given = request.headers.get("Authorization", "").encode("utf-8", "replace")
        return compare_digest(given, self._authorization)

    def _parameters(self, waiting: _Waiting) -> dict[str, str]:
        return {
            name: values[-1] for name, values in parse_qs(waiting.request.qs).items()
        }

    def _number(
        self, parameters: dict[str, str], name: str, default: int, limit: int
    ) -> int:
        text = parameters.get(name, "")
        return min(int(text), limit) if text.isdigit() else default

    def _wait(self, waiting: _Waiting) -> int:
        token = next(self._tokens)
        self._pending[token] = waiting
        return token

    def _show_health(self, waiting: _Waiting) -> Answer:
        readiness = self._status["readiness"]
        return json_answer(200 if readiness["ready"] else 503, readiness)

    def _show_status(self, waiting: _Waiting) -> Answer:
        configuration = self._configuration
        return json_answer(
            200,
            {
                "instance": self._instance_id,
                "note_sequence": configuration.sequence,
                "services": len(configuration.services),
                "backend_servers": len(configuration.servers),
                "rules": len(configuration.rules),
                "parts": self._status,
            },
        )

    def _show_configuration(self, waiting: _Waiting) -> Answer:
        return Answer(200, JSON_TYPE, encode_configuration(self._configuration) + b"\n")

    def _ask_metrics(self, waiting: _Waiting) -> None:
        self.send("metrics", MetricsRequested(self.name, self._wait(waiting)))

    def _ask_timeline(self, waiting: _Waiting) -> None:
        parameters = self._parameters(waiting)
        self.send(
            "timeline",
            TimelineRequested(
                self.name,
                self._wait(waiting),
                parameters.get("request_id", ""),
                self._number(parameters, "note", 0, 2**53),
                self._number(parameters, "limit", 1000, MAX_EVENTS),
            ),
        )

    def _ask_notes(self, waiting: _Waiting) -> None:
        parameters = self._parameters(waiting)
        self.send(
            "notes",
            NotesRequested(
                self.name,
                self._wait(waiting),
                self._number(parameters, "after", 0, 2**53),
                self._number(parameters, "limit", 100, MAX_NOTES),
            ),
        )

    def _submit_note(self, waiting: _Waiting) -> Answer | None:
        try:
            text = waiting.request.body.read().decode()
            note = parse_note(text, "note")
        except UnicodeDecodeError:
            return error_answer(400, "the note is not UTF-8 text")
        except CodecError as error:
            return error_answer(400, str(error))
        self.send("notes", NoteSubmitted(self.name, self._wait(waiting), note))
        return None

    def _request_drain(self, waiting: _Waiting) -> Answer:
        self.send(SUPERVISOR, DrainRequested("operator"))
        return json_answer(200, {"draining": True})

    # Replies of other services

    def _on_configuration_changed(self, message: ConfigurationChanged) -> None:
        self._configuration = message.configuration

    def _on_status_reported(self, message: StatusReported) -> None:
        self._status[message.part] = message.values

    def _on_note_decided(self, message: NoteDecided) -> None:
        result = message.result
        if isinstance(result, NoteAccepted):
            value = {
                "outcome": "accepted",
                "sequence": result.sequence,
                "repeated": result.is_repeated,
            }
            status = 200
        elif isinstance(result, NoteRefused):
            value, status = {"outcome": "refused", "reason": result.reason}, 409
        else:
            value, status = {"outcome": "unknown", "reason": result.reason}, 504
        self._answer(message.token, json_answer(status, value))

    def _on_notes_replied(self, message: NotesReplied) -> None:
        notes = [accepted_to_dict(accepted) for accepted in message.notes]
        self._answer(message.token, json_answer(200, {"notes": notes}))

    def _on_timeline_replied(self, message: TimelineReplied) -> None:
        events = [event._asdict() for event in message.events]
        self._answer(message.token, json_answer(200, {"events": events}))

    def _on_metrics_replied(self, message: MetricsReplied) -> None:
        self._answer(message.token, Answer(200, message.content_type, message.data))

    def _on_client_timed_out(self, message: ClientTimedOut) -> None:
        self.fire(close(message.sock), WEB_CHANNEL)

    def _answer(self, token: int, answer: Answer) -> None:
        waiting = self._pending.pop(token, None)
        if waiting is not None:
            self._send_answer(waiting, answer)

    def _send_answer(self, waiting: _Waiting, answer: Answer) -> None:
        response = waiting.response
        response.status = answer.status
        response.headers["Content-Type"] = answer.content_type
        response.body = answer.body
        self.fire(response_ready(response), WEB_CHANNEL)
        self._web.finish_request(waiting.request.sock)
