"""Callers that reuse their connections and record each request."""

import time
from collections.abc import Callable, Sequence
from http.client import HTTPConnection, HTTPException
from random import Random
from threading import Event, Thread

from soak.documents import HOST
from soak.guarantees import RequestRecord

CALLER_COUNT = 8
REQUEST_DEADLINE_MS = 3_000
# Well above the request deadline, so that the gateway times out first.
SOCKET_TIMEOUT_S = 6.0
REQUEST_PAUSE_S = 0.02
CONFIRM_SHARE = 0.4
# A caller changes to another gateway after this many requests.
REQUESTS_PER_GATEWAY = 20


class Caller:
    """State of one caller, which runs in its own thread."""

    def __init__(
        self,
        name: str,
        seed: int,
        list_gateways: Callable[[], Sequence[tuple[str, int]]],
        stop_event: Event,
    ) -> None:
        """
        Create a caller without starting its thread.

        :param name: prefix of its request ids.
        :param seed: seed of its choice of gateways and requests.
        :param list_gateways: returns name and port of the gateways in use.
        :param stop_event: set when the caller must stop.
        """
        self._name = name
        self._rng = Random(f"{seed}-{name}")
        self._list_gateways = list_gateways
        self._stop_event = stop_event
        self.records: list[RequestRecord] = []
        self.thread = Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self._stop_event.is_set():
            gateways = self._list_gateways()
            if gateways:
                self._send_requests(*self._rng.choice(gateways))
            self._stop_event.wait(REQUEST_PAUSE_S)

    def _send_requests(self, gateway: str, port: int) -> None:
        """Send some requests on one connection, until it is closed."""
        connection = HTTPConnection(HOST, port, timeout=SOCKET_TIMEOUT_S)
        for _ in range(REQUESTS_PER_GATEWAY):
            if self._stop_event.is_set() or not self._send_request(gateway, connection):
                break
            self._stop_event.wait(REQUEST_PAUSE_S)
        connection.close()

    def _send_request(self, gateway: str, connection: HTTPConnection) -> bool:
        """Send one request; return whether the connection can be reused."""
        kind = "confirm" if self._rng.random() < CONFIRM_SHARE else "status"
        request_id = f"{self._name}-{len(self.records)}"
        headers = {
            "Host": "desk.example",
            "Attempt-Id": request_id,
            "Request-Deadline": str(REQUEST_DEADLINE_MS),
        }
        started_s = time.time()
        status, response_id, seal, body = 0, "", "", b""
        is_closing = True
        try:
            if kind == "confirm":
                connection.request("POST", f"/{kind}/1", b"{}", headers)
            else:
                connection.request("GET", f"/{kind}/1", None, headers)
            response = connection.getresponse()
            body = response.read()
            status = response.status
            response_id = response.getheader("Attempt-Id") or ""
            seal = response.getheader("Response-Seal") or ""
            is_closing = response.will_close
        except (OSError, HTTPException):
            # No complete response: the status stays 0.
            connection.close()
        self.records.append(
            RequestRecord(
                request_id,
                kind,
                gateway,
                started_s,
                time.time(),
                status,
                response_id,
                seal,
                body,
            )
        )
        return not is_closing
