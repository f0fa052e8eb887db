"""HTTP/1.1 as the stand-ins of clients and backends speak it."""

import socket
import threading
import zlib


class BrokenOffError(Exception):
    """The peer has closed or reset the connection."""


class Reader:
    """Reads lines and bytes from a socket."""

    def __init__(self, sock):
        self._sock = sock
        self._buffer = b""

    def read_line(self):
        """Return the next line without its end."""
        while b"\r\n" not in self._buffer:
            self._fill()
        line, _, self._buffer = self._buffer.partition(b"\r\n")
        return line

    def read_bytes(self, size):
        """Return exactly so many bytes."""
        while len(self._buffer) < size:
            self._fill()
        data, self._buffer = self._buffer[:size], self._buffer[size:]
        return data

    def read_to_end(self):
        """Return all bytes up to the end of the stream."""
        data, self._buffer = self._buffer, b""
        while True:
            part = self._sock.recv(65536)
            if not part:
                return data
            data += part

    def read_head(self):
        """Return the start line and the headers, names in lower case."""
        start = self.read_line()
        headers = {}
        while line := self.read_line():
            name, _, value = line.partition(b":")
            headers[name.strip().lower().decode()] = value.strip().decode("latin-1")
        return start.decode("latin-1"), headers

    def read_body(self, headers, is_response=False):
        """Return the body that the headers announce."""
        if headers.get("transfer-encoding") == "chunked":
            parts = []
            while size := int(self.read_line().partition(b";")[0], 16):
                parts.append(self.read_bytes(size))
                self.read_line()
            while self.read_line():
                pass
            return b"".join(parts)
        if "content-length" in headers:
            return self.read_bytes(int(headers["content-length"]))
        return self.read_to_end() if is_response else b""

    def _fill(self):
        data = self._sock.recv(65536)
        if not data:
            raise BrokenOffError("end of stream")
        self._buffer += data


def make_body(attempt_id, size):
    """Return a body that belongs to an attempt."""
    unit = f"<{attempt_id}>".encode()
    return (unit * (size // len(unit) + 1))[:size]


def make_seal(attempt_id, status, body):
    """Return a seal by which a client can check status and body."""
    return f"{attempt_id}.{status}.{len(body)}.{zlib.crc32(body):08x}"


class Answer:
    """What a client has seen: ``status`` is None if there was no answer."""

    def __init__(self, status=None, headers=None, body=b"", error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error

    def find_fault(self, attempt_id):
        """Return how the answer breaks MIXED, or an empty string."""
        if self.status is None or self.error:
            return ""
        seal = self.headers.get("response-seal")
        if seal is None:
            return "success without a seal" if self.status < 300 else ""
        sealed_id, status, size, crc = seal.split(".")
        if sealed_id != attempt_id:
            return f"the answer of attempt {sealed_id}"
        if int(status) != self.status:
            return f"status {self.status}, its backend gave {status}"
        if int(size) != len(self.body) or int(crc, 16) != zlib.crc32(self.body):
            return (
                f"complete with {len(self.body)} bytes, its backend's body has {size}"
            )
        return ""


def call(address, method, target, host, attempt_id, deadline_ms, body=None, extra=()):
    """Send one request on a new connection; return what comes back."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        f"Attempt-Id: {attempt_id}",
        f"Request-Deadline: {deadline_ms}",
        *extra,
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    answer = Answer()
    timer = None
    try:
        with socket.create_connection(address, 1.0) as sock:
            sock.settimeout(deadline_ms / 1000)
            # The client leaves at its deadline, whatever still arrives.
            timer = threading.Timer(deadline_ms / 1000, leave, (sock,))
            timer.daemon = True
            timer.start()
            try:
                sock.sendall(head + (body or b""))
            except (BrokenPipeError, ConnectionResetError):
                # An early answer may be there all the same.
                pass
            reader = Reader(sock)
            start, answer.headers = reader.read_head()
            answer.status = int(start.split()[1])
            answer.body = reader.read_body(answer.headers, is_response=True)
    except (OSError, BrokenOffError, ValueError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    if timer is not None:
        timer.cancel()
    return answer


def leave(sock):
    """Close a connection that another thread reads."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The answer was complete just then.
        pass
