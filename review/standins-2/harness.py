"""
Stand-ins of a small deployment, and the gateways as processes.

Only the standard library is used. The store, the backend servers and the
clients follow the users' protocol page; every address is a loopback address.
The gateways are started with the command of the deploy file.
"""

import base64
import json
import os
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import deque
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-S", "-m", "cuminhatch.gateway"]
HOST_NAME = "desk.example"
HEARTBEAT_S = 1.5
READY_TIMEOUT_S = 30.0
PACKET_BYTES = 1_460
WINDOW_BYTES = 64 * 1024
HELD, BROKEN, NOT_RUN = 0, 1, 2
# False when the case is played without the disruption.
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not be played."""


def free_port(host="127.0.0.1"):
    """Return a TCP port that is free at this moment."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Record:
    """What was sent, answered and run, for ``record.txt``."""

    def __init__(self):
        self._lines = []
        self._lock = threading.Lock()
        self._begun = time.monotonic()

    def add(self, text):
        """Add a line with the time since the start."""
        with self._lock:
            self._lines.append(f"{time.monotonic() - self._begun:8.3f} {text}")

    def write(self, folder):
        """Write the record beside the script."""
        with self._lock:
            text = "\n".join(self._lines) + "\n"
        (Path(folder) / "record.txt").write_text(text)


class Server:
    """A TCP server with a thread for each connection."""

    def __init__(self, host="127.0.0.1", port=0):
        self._listener = socket.create_server((host, port), backlog=256)
        self.address = self._listener.getsockname()
        self._connections = set()
        self._lock = threading.Lock()
        self.is_open = True
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def place(self):
        """Return host and port as one text."""
        return "{}:{}".format(*self.address)

    def _accept(self):
        while self.is_open:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            self.handle(sock)
        except OSError:
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            sock.close()

    def handle(self, sock):
        """Serve one connection until it ends."""
        raise NotImplementedError

    def close(self):
        """Close the listener and all connections."""
        self.is_open = False
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for sock in connections:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def read_head(file):
    """Return the start line and the headers of a message, None at the end."""
    line = file.readline()
    if not line:
        return None
    headers = {}
    while True:
        text = file.readline()
        if not text:
            return None
        if text in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        name, _, value = text.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_body(file, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int(file.readline().split(b";")[0], 16)
            data = file.read(size)
            if len(data) < size:
                raise OSError("cut off")
            file.readline()
            if not size:
                return b"".join(parts)
            parts.append(data)
    size = int(headers.get("content-length", 0))
    data = file.read(size)
    if len(data) < size:
        raise OSError("cut off")
    return data


class Store(Server):
    """The platform's store: rows, range reads and transactions."""

    def __init__(self):
        self._rows = {}
        self._version = 0
        self._rows_lock = threading.Lock()
        self._begun = time.monotonic()
        # Callable that returns whether a call gets no answer.
        self.is_down = lambda: False
        super().__init__()

    def write(self, table, key, value):
        """Write a row; None removes it."""
        with self._rows_lock:
            self._version += 1
            if value is None:
                self._rows.pop((table, "", key), None)
            else:
                self._rows[table, "", key] = (value, self._version)

    def write_json(self, table, key, document):
        """Write a row that holds a JSON document."""
        self.write(table, key, json.dumps(document).encode())

    def handle(self, sock):
        file = sock.makefile("rb")
        while True:
            head = read_head(file)
            if head is None:
                return
            line, headers = head
            body = read_body(file, headers)
            if self.is_down():
                reply(sock, 503, {})
                continue
            method, target, _ = line.split()
            parts = urlsplit(target)
            query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
            if (method, parts.path) == ("GET", "/rows-get"):
                reply(sock, 200, self._read(query))
            elif (method, parts.path) == ("POST", "/rows-tx"):
                reply(sock, *self._transact(json.loads(body)))
            else:
                reply(sock, 404, {})

    def _answer(self, rows, **more):
        rows = [
            {
                "table": table,
                "part": part,
                "key": key,
                "value": base64.b64encode(value).decode(),
                "ver": version,
            }
            for (table, part, key), (value, version) in rows
        ]
        now_ms = int((time.monotonic() - self._begun) * 1000) + 1
        return {"rows": rows, "ver": self._version, "now-ms": now_ms, **more}

    def _read(self, query):
        limit = min(500, int(query.get("limit", 500)))
        first, end = query.get("from", ""), query.get("to")
        with self._rows_lock:
            rows = sorted(
                (row_id, row)
                for row_id, row in self._rows.items()
                if row_id[:2] == (query["table"], query.get("part", ""))
                and row_id[2] >= first
                and (end is None or row_id[2] < end)
            )
            return self._answer(rows[:limit], **{"has-more": len(rows) > limit})

    def _transact(self, call):
        with self._rows_lock:
            for row in call.get("expected", []):
                row_id = (row["table"], row.get("part", ""), row["key"])
                if self._rows.get(row_id, (b"", 0))[1] != row["ver"]:
                    return 412, self._answer([])
            self._version += 1
            for row in call.get("puts", []):
                row_id = (row["table"], row.get("part", ""), row["key"])
                value = base64.b64decode(row["value"])
                self._rows[row_id] = (value, self._version)
            for row in call.get("remove", []):
                row_id = (row["table"], row.get("part", ""), row["key"])
                self._rows.pop(row_id, None)
            return 200, self._answer([])


def reply(sock, status, document):
    """Send a JSON answer."""
    body = json.dumps(document).encode()
    head = (
        f"HTTP/1.1 {status} x\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    sock.sendall(head.encode() + body)


class SlowLink(Server):
    """
    The link of one machine, with a bandwidth that all connections share.

    Each direction is a queue: what was sent first arrives first, the end of a
    connection included. A sender has at most a window of bytes on its way.
    """

    def __init__(self, target, host="127.0.0.1", mbps=5.0, delay_s=0.008):
        self._target = target
        self._bytes_per_s = mbps * 1e6 / 8
        self._delay_s = delay_s
        self._free_s = {"up": 0.0, "down": 0.0}
        self._free_lock = threading.Lock()
        # The longest wait of a byte for the link so far.
        self.longest_wait_s = 0.0
        super().__init__(host)

    def handle(self, sock):
        with socket.create_connection(self._target) as other:
            other.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            ways = [("up", sock, other), ("down", other, sock)]
            threads = [
                threading.Thread(target=self._carry, args=way, daemon=True)
                for way in ways
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def _reserve(self, way, size):
        """Return when bytes that are sent now have passed the link."""
        with self._free_lock:
            now_s = time.monotonic()
            begins_s = max(now_s, self._free_s[way])
            self.longest_wait_s = max(self.longest_wait_s, begins_s - now_s)
            self._free_s[way] = begins_s + size / self._bytes_per_s
            return self._free_s[way] + self._delay_s

    def _carry(self, way, source, target):
        queue = deque()
        changed = threading.Condition()
        deliver = threading.Thread(
            target=self._deliver, args=(queue, changed, target), daemon=True
        )
        deliver.start()
        data = b"-"
        while data:
            with changed:
                changed.wait_for(
                    lambda: sum(len(part) for _, part in queue) < WINDOW_BYTES
                )
            try:
                data = source.recv(PACKET_BYTES)
            except OSError:
                data = b""
            with changed:
                queue.append((self._reserve(way, len(data)), data))
                changed.notify_all()
        deliver.join()

    def _deliver(self, queue, changed, target):
        while True:
            with changed:
                changed.wait_for(lambda: queue)
                due_s, data = queue[0]
            time.sleep(max(0.0, due_s - time.monotonic()))
            try:
                if data:
                    target.sendall(data)
                else:
                    target.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            with changed:
                queue.popleft()
                changed.notify_all()
            if not data:
                return


class Request:
    """A request at a backend server."""

    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split()
        self.headers = headers
        self.body = body
        self.request_id = headers.get("attempt-id", "")

    @property
    def path(self):
        """Return the target without the query."""
        return self.target.partition("?")[0]


class Backend(Server):
    """
    A backend server.

    ``answer(backend, sock, request)`` may answer a request in place of
    ``respond``; it returns whether the connection is kept.
    """

    def __init__(self, server_id, service, record, answer=None, slots=20, port=0):
        self.server_id = server_id
        self.service = service
        self.record = record
        self.answer = answer
        self.slots = slots
        self.running = 0
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.work_s = 0.01
        self.runs = []
        self._count_lock = threading.Lock()
        super().__init__(port=port)

    @property
    def load_headers(self):
        """Return the headers that tell id and load."""
        return {
            "Instance-Id": self.server_id,
            "Backend-Load": f"{self.running},0,{self.slots},100",
        }

    def handle(self, sock):
        file = sock.makefile("rb")
        while True:
            head = read_head(file)
            if head is None:
                return
            line, headers = head
            request = Request(line, headers, read_body(file, headers))
            if request.path == "/health":
                send_answer(sock, 200, self.load_headers, b"")
                continue
            expected = headers.get("expected-instance")
            if expected not in (None, self.server_id):
                self.record.add(f"{self.server_id}: 421 to {request.request_id}")
                echo = {"Attempt-Id": request.request_id}
                send_answer(sock, 421, echo | self.load_headers, b"")
                continue
            if not self._run(sock, request):
                return

    def _run(self, sock, request):
        with self._count_lock:
            self.running += 1
            self.runs.append(request)
        self.record.add(
            f"{self.server_id}: runs {request.request_id} {request.method}"
            f" {request.target} body {len(request.body)}"
        )
        try:
            answer = self.answer or Backend.respond
            return answer(self, sock, request)
        finally:
            with self._count_lock:
                self.running -= 1

    def respond(self, sock, request):
        """Answer with a success and the body of that request."""
        time.sleep(self.work_s)
        send_answer(sock, 200, self.headers_of(request), body_of(request.request_id))
        return True

    def headers_of(self, request):
        """Return the headers of a response to a request that has run."""
        return {
            "Attempt-Id": request.request_id,
            "Response-Seal": f"seal.{request.request_id}",
        }

    def registration(self):
        """Return the entry in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.place,
            "zone": "kingston",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup-left-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }


def body_of(request_id, size=400):
    """Return the body that a backend server gives for a request."""
    text = f"answer to {request_id} ".encode()
    return (text * (size // len(text) + 1))[:size]


def send_answer(sock, status, headers, body):
    """Send a whole answer with a length."""
    sock.sendall(make_answer(status, headers, body))


def make_answer(status, headers, body):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'No'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def make_route(name, kind, service, **more):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 10_000,
        "target-latency-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": 3,
        **more,
    }


def make_configuration(version, routes, services, **more):
    """Return the operator's configuration."""
    return {
        "version": f"r{version}",
        "routes": routes,
        "services": [
            {"name": name, "health-path": "/health", "max-conns": 220}
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4_000_000,
            "header-timeout-ms": 5_000,
            "idle-timeout-ms": 15_000,
        },
        **more,
    }


class Gateway:
    """A gateway process; it has a loopback address of its own."""

    def __init__(self, number, store_place, folder, internal_ports, ports, **options):
        self.number = number
        self.name = f"front-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.front = (self.ip, ports[0])
        self.ready = (self.ip, ports[1])
        self.process = None
        self._settings = Path(folder) / f"{self.name}.toml"
        self._log = Path(folder) / f"{self.name}.log"
        self._folder = folder
        self._values = (store_place, internal_ports, ports, options)
        self.write_settings(is_first=True)

    def write_settings(self, is_first):
        """Write what the settings template of the deploy file results in."""
        store_place, internal, ports, options = self._values
        bounds = {"probes-per-s": 60, "grace-s": 6} | options.get("bounds", {})
        self._settings.write_text(
            f"""[instance]
id = "{self.name}"
failure_domain = "kingston"

[callers]
address = "{self.ip}:{ports[0]}"
pipelined = 8

[readiness]
address = "{self.ip}:{ports[1]}"

[metrics]
address = "{self.ip}:{internal[1]}"

[peers]
address = "{self.ip}:{internal[0]}"
key = "cuminhatch"
seeds = ["127.0.0.11:{ports[2]}","127.0.0.12:{ports[2]}"]

[start]
is_first = {"true" if is_first else "false"}

[store]
address = "{store_place}"
heartbeat_ms = 1500

[resends]
ratio = 0.2
extra = 56
window_s = 10

[placement]
probes_per_s = 60
candidates = 4
far_charge_ms_per_kb = 6
active_connection_ms = 50

[drain]
announce_ms = 2300
total_s = 6

[quota]
address = "{self.ip}:{internal[1]}"

[platform]
bounds = '{json.dumps(bounds)}'
"""
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CUMINHATCH_NODE_FILE"] = str(self._settings)
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def is_ready(self):
        """Tell whether the readiness check gets 200."""
        connection = HTTPConnection(*self.ready, timeout=1.0)
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self):
        """Wait until the gateway is ready."""
        end = time.monotonic() + READY_TIMEOUT_S
        while not self.is_ready:
            if self.process.poll() is not None:
                raise CaseError(f"{self.name} ended: {self.process.returncode}")
            if time.monotonic() > end:
                raise CaseError(f"{self.name} is not ready")
            time.sleep(0.05)

    def signal(self, number):
        """Send a signal to the process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def log_text(self):
        """Return what the process has written so far."""
        return self._log.read_text(errors="replace")

    def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """A store, backend servers and gateways."""

    def __init__(self, record, gateways=2, **options):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.backends = []
        internal = [free_port("127.0.0.11"), free_port("127.0.0.11")]
        ports = [free_port("127.0.0.11") for _ in range(3)]
        self.gateways = [
            Gateway(n, self.store.place, self.folder, internal, ports, **options)
            for n in range(1, gateways + 1)
        ]
        self._is_open = True
        threading.Thread(target=self._beat, daemon=True).start()

    def __enter__(self):
        """Return the deployment."""
        return self

    def __exit__(self, *_):
        """End all processes and threads, and remove the folder."""
        self._is_open = False
        for gateway in self.gateways:
            gateway.end()
        for backend in self.backends:
            backend.close()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def add_backend(self, server_id, service, answer=None, **options):
        """Start a backend server that registers itself."""
        backend = Backend(server_id, service, self.record, answer, **options)
        self.backends.append(backend)
        self.register(backend)
        return backend

    def register(self, backend):
        """Write the entry of a backend server."""
        self.store.write_json("servers", backend.server_id, backend.registration())

    def _beat(self):
        while self._is_open:
            time.sleep(HEARTBEAT_S)
            for backend in list(self.backends):
                if backend.is_open and backend.state != "gone":
                    self.register(backend)

    def configure(self, document):
        """Write the operator's configuration."""
        self.record.add(f"operator: configuration {document['version']}")
        self.store.write_json("op", "config", document)

    def start(self):
        """Start all gateways and wait until they are ready."""
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready()
        self.record.add("all gateways are ready")

    def runs_of(self, request_id):
        """Return on which backend servers a request has run."""
        return [
            backend.server_id
            for backend in self.backends
            for request in backend.runs
            if request.request_id == request_id
        ]


class Answer:
    """An answer as a client has read it; ``error`` tells why there is none."""

    def __init__(self, status=0, headers=None, body=b"", error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error

    def __str__(self):
        """Return what a record tells of the answer."""
        if self.error:
            return f"no answer ({self.error})"
        seal = self.headers.get("response-seal")
        return f"{self.status}, seal {seal}, body {len(self.body)} bytes"


def make_request(route, request_id, deadline_ms=5_000, method="GET", body=b"", **more):
    """Return the bytes of a request as clients send it."""
    headers = {
        "Host": HOST_NAME,
        "Attempt-Id": request_id,
        "Request-Deadline": str(deadline_ms),
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    if body:
        headers["Content-Length"] = str(len(body))
    lines = [f"{method} /{route}/x HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Client:
    """A client with one connection, on which it may send several requests."""

    def __init__(self, gateway, timeout_s=15.0, address=None):
        self.sock = socket.create_connection(
            address or gateway.front, timeout=timeout_s
        )
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = self.sock.makefile("rb")

    def send(self, data):
        """Send bytes."""
        self.sock.sendall(data)

    def read_answer(self):
        """Read the next answer."""
        try:
            head = read_head(self._file)
            if head is None:
                return Answer(error="the connection was closed")
            line, headers = head
            body = read_body(self._file, headers)
        except (OSError, ValueError) as error:
            return Answer(error=f"{type(error).__name__}: {error}")
        return Answer(int(line.split()[1]), headers, body)

    @property
    def is_ended(self):
        """Tell whether the other side has closed the connection."""
        readable, _, _ = select.select([self.sock], [], [], 0)
        return bool(readable)

    def close(self):
        """Close the connection."""
        self.sock.close()


def run_case(folder, play):
    """
    Play a case and exit with its result.

    :param folder: folder of the case, for ``record.txt``.
    :param play: takes a record, and returns a line for each break of the rule.
    """
    record = Record()
    try:
        broken = play(record)
    except Exception as error:
        record.add(f"the case could not be played: {error!r}")
        record.write(folder)
        print(f"could not be played: {error!r}")
        sys.exit(NOT_RUN)
    for line in broken:
        record.add(f"BROKEN {line}")
    record.add(f"result: {'broken' if broken else 'held'}")
    record.write(folder)
    print("\n".join(broken) or "held")
    sys.exit(BROKEN if broken else HELD)
