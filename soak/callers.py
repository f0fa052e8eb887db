"""Callers that keep using their connections, and note what they see."""

import time
from collections.abc import Callable, Sequence
from http.client import HTTPConnection, HTTPException
from random import Random
from threading import Event, Thread

from soak.documents import HOST
from soak.promises import Attempt

CALLERS = 8
WAIT_MS = 3_000
# A caller gives up well after the time that it has named.
LIMIT_S = 6.0
PAUSE_S = 0.02
CONFIRM_SHARE = 0.4
# Requests after which a caller takes another gateway.
REQUESTS_PER_GATEWAY = 20


class Caller:
    """State of one caller, which runs in a thread of its own."""

    def __init__(
        self,
        name: str,
        seed: int,
        ports: Callable[[], Sequence[tuple[str, int]]],
        is_over: Event,
    ) -> None:
        """
        Prepare a caller.

        :param name: part of the ids of its requests.
        :param seed: seed of what it asks for.
        :param ports: returns the gateways that may be asked, with their ports.
        :param is_over: tells that it is to end.
        """
        self._name = name
        self._rng = Random(f"{seed}-{name}")
        self._ports = ports
        self._is_over = is_over
        self.attempts: list[Attempt] = []
        self.thread = Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self._is_over.is_set():
            gateways = self._ports()
            if gateways:
                self._use(*self._rng.choice(gateways))
            self._is_over.wait(PAUSE_S)

    def _use(self, gateway: str, port: int) -> None:
        """Send some requests on one connection, as long as it lasts."""
        connection = HTTPConnection(HOST, port, timeout=LIMIT_S)
        for _ in range(REQUESTS_PER_GATEWAY):
            if self._is_over.is_set() or not self._ask(gateway, connection):
                break
            self._is_over.wait(PAUSE_S)
        connection.close()

    def _ask(self, gateway: str, connection: HTTPConnection) -> bool:
        """Send one request; tell whether the connection is still good."""
        kind = "confirm" if self._rng.random() < CONFIRM_SHARE else "status"
        request_id = f"{self._name}-{len(self.attempts)}"
        headers = {
            "Host": "desk.example",
            "Attempt-Id": request_id,
            "Request-Deadline": str(WAIT_MS),
        }
        begun_s = time.time()
        status, answer_id, seal, body = 0, "", "", b""
        is_closing = True
        try:
            if kind == "confirm":
                connection.request("POST", f"/{kind}/1", b"{}", headers)
            else:
                connection.request("GET", f"/{kind}/1", None, headers)
            response = connection.getresponse()
            body = response.read()
            status = response.status
            answer_id = response.getheader("Attempt-Id") or ""
            seal = response.getheader("Response-Seal") or ""
            is_closing = response.will_close
        except (OSError, HTTPException):
            # No whole answer; the record says so by its status.
            connection.close()
        self.attempts.append(
            Attempt(
                request_id,
                kind,
                gateway,
                begun_s,
                time.time(),
                status,
                answer_id,
                seal,
                body,
            )
        )
        return not is_closing
