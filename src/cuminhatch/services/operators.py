"""
The operators' HTTP port, served by ``circuits.web``.

Every path but ``/health`` requires the operators' key. A response that needs
another service is sent once that service has replied.
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
    accepted_note_to_dict,
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
READ_BUFFER_BYTES = 64 * 1024
# A release note with the largest configuration (20,000 backend servers of
# about 150 bytes each) takes 3 MB.
MAX_REQUEST_BYTES = 4 * 1024 * 1024
# Time for a client to complete a request; the parser of circuits.web keeps
# incomplete requests forever.
REQUEST_TIMEOUT_MS = 10_000
MAX_EVENTS = 10_000
MAX_NOTES = 500


class ClientTimedOut(NamedTuple):
    """A client did not complete its request in time."""

    sock: socket


class ResponseContent(NamedTuple):
    """Status and body of a response to an operator."""

    status: int
    content_type: str
    body: bytes


def json_content(status: int, value: Any) -> ResponseContent:
    """
    Build a response with a JSON body.

    :param status: HTTP status.
    :param value: JSON-serializable value.
    """
    # orjson serializes NamedTuples only through ``default``.
    return ResponseContent(
        status, JSON_TYPE, orjson.dumps(value, default=tuple) + b"\n"
    )


def error_content(status: int, reason: str) -> ResponseContent:
    """
    Build a response for a failed request.

    :param status: HTTP status.
    :param reason: error message of one line.
    """
    return json_content(status, {"error": reason})


class _WebServer(BaseComponent):
    """
    TCP server and HTTP parser with limits on connections and request size.

    The server class of ``circuits.web`` is not used, because it ends the
    process 3 s after a signal even while requests are in flight.
    """

    channel = WEB_CHANNEL

    def __init__(self, kernel: Kernel, address: Address) -> None:
        super().__init__()
        self._kernel = kernel
        self._received_bytes: dict[socket, int] = {}
        self._timers: dict[socket, int] = {}
        self.server = TCPServer(
            tuple(address), bufsize=READ_BUFFER_BYTES, channel=WEB_CHANNEL
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
        self._received_bytes[sock] = 0
        if len(self._received_bytes) > MAX_CLIENTS:
            self.fire(close(sock))
        else:
            self._restart_timeout(sock)

    def _restart_timeout(self, sock: socket) -> None:
        self._kernel.cancel(self._timers.pop(sock, None))
        self._timers[sock] = self._kernel.call_at(
            self._kernel.clock.now_ms + REQUEST_TIMEOUT_MS,
            "operators",
            ClientTimedOut(sock),
        )

    @handler("read", priority=1)
    def _on_read(self, event: Any, sock: socket, data: bytes) -> None:
        self._received_bytes[sock] = self._received_bytes.get(sock, 0) + len(data)
        if self._received_bytes[sock] > MAX_REQUEST_BYTES:
            event.stop()
            self.fire(close(sock))

    @handler("disconnect")
    def _on_disconnect(self, sock: socket, *_: Any) -> None:
        self._received_bytes.pop(sock, None)
        self._kernel.cancel(self._timers.pop(sock, None))
        # The HTTP component drops its buffer only for complete requests.
        self.http._buffers.pop(sock, None)

    def cancel_timeout(self, sock: socket) -> None:
        """Stop the timeout of a request that has been received completely."""
        self._kernel.cancel(self._timers.pop(sock, None))

    def finish_request(self, sock: socket) -> None:
        """Reset size and timeout for the next request of the connection."""
        if sock in self._received_bytes:
            self._received_bytes[sock] = 0
            self._restart_timeout(sock)


class _PendingRequest(NamedTuple):
    """A request that has not been answered yet."""

    request: Request
    response: Response


# Returns None if the response follows when another service has replied.
Route = Callable[[_PendingRequest], ResponseContent | None]


class Operators(Service):
    """Serves operators, Prometheus and health checks of a load balancer."""

    name = "operators"

    def __init__(
        self, kernel: Kernel, address: Address, key: str, instance_id: str
    ) -> None:
        """
        Create the service without opening its port.

        :param kernel: kernel of the process.
        :param address: address to listen on; port 0 picks a free port.
        :param key: key that operators send as a bearer token.
        :param instance_id: id of this instance, shown by ``/status``.
        """
        super().__init__(kernel)
        self._address = address
        self._authorization = f"Bearer {key}".encode()
        self._instance_id = instance_id
        self._web_server: _WebServer | None = None
        self._tokens = count(1)
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._configuration: Configuration = EMPTY_CONFIGURATION
        self._status: dict[str, dict[str, Any]] = {
            "readiness": {
                "ready": False,
                "not_ready": {"notes": "no note known yet"},
            }
        }
        self._routes: dict[tuple[str, str], Route] = {
            ("GET", "/health"): self._show_health,
            ("GET", "/status"): self._show_status,
            ("GET", "/metrics"): self._request_metrics,
            ("GET", "/timeline"): self._request_timeline,
            ("GET", "/notes"): self._request_notes,
            ("GET", "/configuration"): self._show_configuration,
            ("POST", "/notes"): self._submit_note,
            ("POST", "/drain"): self._request_drain,
        }

    def message_handlers(self) -> MessageTable:
        """Return the handlers for other services and for client timeouts."""
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
        """Return the address, with the actual port once open."""
        if self._web_server is not None:
            return Address(self._web_server.host, self._web_server.port)
        return self._address

    def open(self) -> None:
        """
        Start listening.

        :raises AddressError: the address cannot be bound.
        """
        try:
            self._web_server = _WebServer(self.kernel, self._address)
        except OSError as error:
            raise AddressError(self._address, error.strerror) from error
        self._web_server.register(self)

    # Requests

    @handler("request", channel=WEB_CHANNEL, priority=1)
    def _on_request(self, event: Any, request: Request, response: Response) -> bool:
        event.stop()
        # The request is complete. The services that handle it limit the time
        # until their replies.
        self._web_server.cancel_timeout(request.sock)
        pending = _PendingRequest(request, response)
        try:
            content = self._route_request(pending)
        except Exception as error:
            self.kernel.report_failure(self.name, None, error)
            content = error_content(500, "internal error; see the daemon's log")
        if content is not None:
            self._send_response(pending, content)
        # True tells circuits.web that the response is sent separately.
        return True

    def _route_request(self, pending: _PendingRequest) -> ResponseContent | None:
        request = pending.request
        path = request.path.rstrip("/") or "/"
        route = self._routes.get((request.method, path))
        if path != "/health" and not self._is_authorized(request):
            return error_content(
                401, "send the operators' key as Authorization: Bearer KEY"
            )
        if route is None:
            known = sorted(f"{method} {path}" for method, path in self._routes)
            return error_content(404, f"unknown request; known are {', '.join(known)}")
        return route(pending)

    def _is_authorized(self, request: Request) -> bool:
        given = request.headers.get("Authorization", "").encode("utf-8", "replace")
        return compare_digest(given, self._authorization)

    def _query_parameters(self, pending: _PendingRequest) -> dict[str, str]:
        return {
            name: values[-1] for name, values in parse_qs(pending.request.qs).items()
        }

    def _integer_parameter(
        self, parameters: dict[str, str], name: str, default: int, limit: int
    ) -> int:
        text = parameters.get(name, "")
        return min(int(text), limit) if text.isdigit() else default

    def _add_pending(self, pending: _PendingRequest) -> int:
        token = next(self._tokens)
        self._pending_requests[token] = pending
        return token

    def _show_health(self, pending: _PendingRequest) -> ResponseContent:
        readiness = self._status["readiness"]
        return json_content(200 if readiness["ready"] else 503, readiness)

    def _show_status(self, pending: _PendingRequest) -> ResponseContent:
        configuration = self._configuration
        return json_content(
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

    def _show_configuration(self, pending: _PendingRequest) -> ResponseContent:
        return ResponseContent(
            200, JSON_TYPE, encode_configuration(self._configuration) + b"\n"
        )

    def _request_metrics(self, pending: _PendingRequest) -> None:
        self.send("metrics", MetricsRequested(self.name, self._add_pending(pending)))

    def _request_timeline(self, pending: _PendingRequest) -> None:
        parameters = self._query_parameters(pending)
        self.send(
            "timeline",
            TimelineRequested(
                self.name,
                self._add_pending(pending),
                parameters.get("request_id", ""),
                self._integer_parameter(parameters, "note", 0, 2**53),
                self._integer_parameter(parameters, "limit", 1000, MAX_EVENTS),
            ),
        )

    def _request_notes(self, pending: _PendingRequest) -> None:
        parameters = self._query_parameters(pending)
        self.send(
            "notes",
            NotesRequested(
                self.name,
                self._add_pending(pending),
                self._integer_parameter(parameters, "after", 0, 2**53),
                self._integer_parameter(parameters, "limit", 100, MAX_NOTES),
            ),
        )

    def _submit_note(self, pending: _PendingRequest) -> ResponseContent | None:
        try:
            text = pending.request.body.read().decode()
            note = parse_note(text, "note")
        except UnicodeDecodeError:
            return error_content(400, "the note is not UTF-8 text")
        except CodecError as error:
            return error_content(400, str(error))
        self.send("notes", NoteSubmitted(self.name, self._add_pending(pending), note))
        return None

    def _request_drain(self, pending: _PendingRequest) -> ResponseContent:
        self.send(SUPERVISOR, DrainRequested("operator"))
        return json_content(200, {"draining": True})

    # Messages from other services, and client timeouts

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
        self._complete_request(message.token, json_content(status, value))

    def _on_notes_replied(self, message: NotesReplied) -> None:
        notes = [accepted_note_to_dict(accepted) for accepted in message.notes]
        self._complete_request(message.token, json_content(200, {"notes": notes}))

    def _on_timeline_replied(self, message: TimelineReplied) -> None:
        events = [event._asdict() for event in message.events]
        self._complete_request(message.token, json_content(200, {"events": events}))

    def _on_metrics_replied(self, message: MetricsReplied) -> None:
        self._complete_request(
            message.token, ResponseContent(200, message.content_type, message.data)
        )

    def _on_client_timed_out(self, message: ClientTimedOut) -> None:
        self.fire(close(message.sock), WEB_CHANNEL)

    def _complete_request(self, token: int, content: ResponseContent) -> None:
        pending = self._pending_requests.pop(token, None)
        if pending is not None:
            self._send_response(pending, content)

    def _send_response(
        self, pending: _PendingRequest, content: ResponseContent
    ) -> None:
        response = pending.response
        response.status = content.status
        response.headers["Content-Type"] = content.content_type
        response.body = content.body
        self.fire(response_ready(response), WEB_CHANNEL)
        self._web_server.finish_request(pending.request.sock)
