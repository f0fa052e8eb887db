"""
Stand-in of a backend server, a process of its own.

Usage: ``backend.py ID PORT RECORD [BREAK_OFF [UNAVAILABLE [ENDLESS]]]``.

It writes a line to RECORD about each request that it runs, works for
``X-Work-Ms`` and answers with ``X-Size`` bytes that belong to the attempt,
without a length. The last three arguments are faults that come with each so
many requests, 0 for none:

- BREAK_OFF: it answers before it has read the request's body, and resets the
  connection in the middle of its answer.
- UNAVAILABLE: it runs the request and then answers with 503, without
  ``Not-Executed``.
- ENDLESS: it sends a body without end, until its peer closes the connection.

After SIGUSR1 its health check says 503 though it is well. After SIGUSR2 it
leaves: its health check says 503, and all its answers say ``Server-Leaving``.
"""

import signal
import socket
import struct
import sys
import threading
import time

from standins.wire import BrokenOffError, Reader, make_body, make_seal

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# How long a backend tries to send an answer that nobody reads.
SEND_TIMEOUT_S = 0.5
# A body without end comes at about 3 MB/s.
ENDLESS_PART = b"x" * 65536
ENDLESS_INTERVAL_S = 0.02


class Backend:
    """Serves connections, one request at a time on each."""

    def __init__(
        self,
        server_id,
        port,
        record,
        break_off_every,
        unavailable_every=0,
        endless_every=0,
    ):
        self._server_id = server_id
        self._record = record
        self._lock = threading.Lock()
        self._break_off_every = break_off_every
        self._unavailable_every = unavailable_every
        self._endless_every = endless_every
        self._requests = 0
        self._is_ill = self._is_leaving = False
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", port))
        self._socket.listen(128)

    def serve_forever(self):
        """Accept connections until the process ends."""
        signal.signal(signal.SIGUSR1, self._on_ill)
        signal.signal(signal.SIGUSR2, self._on_leaving)
        while True:
            connection, _ = self._socket.accept()
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _on_ill(self, number, frame):
        self._is_ill = True

    def _on_leaving(self, number, frame):
        self._is_leaving = True

    def _write(self, text):
        with self._lock, open(self._record, "a", encoding="utf-8") as file:
            file.write(f"{time.time():.3f} {self._server_id} {text}\n")

    def _serve(self, connection):
        reader = Reader(connection)
        try:
            while self._serve_request(connection, reader):
                pass
        except (OSError, BrokenOffError):
            pass
        connection.close()

    def _serve_request(self, connection, reader):
        start, headers = reader.read_head()
        if start.split()[1] == "/health":
            self._answer_health(connection)
            return True
        attempt_id = headers["attempt-id"]
        if headers.get("expected-instance") != self._server_id:
            reader.read_body(headers)
            connection.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                b"Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % self._server_id.encode()
            )
            return True
        with self._lock:
            self._requests += 1
            is_broken_off = is_due(self._requests, self._break_off_every)
            is_unavailable = is_due(self._requests, self._unavailable_every)
            is_endless = is_due(self._requests, self._endless_every)
        if is_broken_off:
            self._break_off(connection, attempt_id, headers)
            return False
        body = reader.read_body(headers)
        order = headers.get("x-order", "none")
        self._write(f"runs {attempt_id}, {len(body)} bytes received, order {order}")
        time.sleep(int(headers.get("x-work-ms", "0")) / 1000)
        if is_unavailable:
            self._answer_unavailable(connection, attempt_id)
            return True
        answer = make_body(attempt_id, int(headers["x-size"]))
        if is_endless:
            self._answer_endlessly(connection, attempt_id, answer)
        connection.sendall(self._make_head(attempt_id, answer) + answer)
        self._write(f"answers {attempt_id} 200, {len(answer)} bytes, closes")
        return False

    def _answer_health(self, connection):
        is_well = not self._is_ill and not self._is_leaving
        status = "200 OK" if is_well else "503 Service Unavailable"
        leaving = "Server-Leaving: 1\r\n" if self._is_leaving else ""
        connection.sendall(
            (
                f"HTTP/1.1 {status}\r\nInstance-Id: {self._server_id}\r\n{leaving}"
                "Backend-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n"
            ).encode()
        )

    def _answer_endlessly(self, connection, attempt_id, answer):
        self._write(f"answers {attempt_id} 200, without end")
        connection.sendall(self._make_head(attempt_id, answer) + answer)
        while True:
            time.sleep(ENDLESS_INTERVAL_S)
            connection.sendall(ENDLESS_PART)

    def _answer_unavailable(self, connection, attempt_id):
        body = b"a dependency failed\n"
        seal = make_seal(attempt_id, 503, body)
        head = (
            "HTTP/1.1 503 Service Unavailable\r\n"
            f"Attempt-Id: {attempt_id}\r\nResponse-Seal: {seal}\r\n"
            f"Backend-Load: 0,0,3,100\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        connection.sendall(head.encode() + body)
        self._write(f"answers {attempt_id} 503 without Not-Executed")

    def _make_head(self, attempt_id, body):
        """Return a head without a length."""
        seal = make_seal(attempt_id, 200, body)
        leaving = "Server-Leaving: 1\r\n" if self._is_leaving else ""
        return (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nResponse-Seal: {seal}\r\n"
            f"{leaving}Backend-Load: 0,0,3,100\r\nConnection: close\r\n\r\n"
        ).encode()

    def _break_off(self, connection, attempt_id, headers):
        """Answer before the body is read, and reset in the middle of it."""
        self._write(f"runs {attempt_id}, its body not read")
        answer = make_body(attempt_id, int(headers["x-size"]))
        part = answer[: len(answer) * 6 // 10]
        connection.settimeout(SEND_TIMEOUT_S)
        try:
            connection.sendall(self._make_head(attempt_id, answer) + part)
        except OSError:
            pass
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._write(
            f"answers {attempt_id} 200, {len(part)} of {len(answer)} bytes, resets"
        )


def is_due(requests, every):
    """Tell whether a fault that comes with each so many requests is due."""
    return bool(every) and requests % every == 0


if __name__ == "__main__":
    server_id, port, record, *every = sys.argv[1:]
    Backend(server_id, int(port), record, *map(int, every)).serve_forever()
