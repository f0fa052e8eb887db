"""Small stand-ins of the platform's store, backends and clients, on loopback.

They follow the users' pages: the store answers ``/rows-get`` and ``/rows-tx``,
backends register and renew their entries, repeat ``Attempt-Id``, seal their
answers, reject requests meant for another instance with 421 and stop at the
deadline that they are given. The gateway is the project's own program, started
by the command of the deploy file with settings rendered from its template.
Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
HOST_NAME = "desk.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "downgrade-slack-ms": 250,
    "outer-ms": 5000,
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "retry-budget-extra": 56,
    "recovery-s": 15,
    "probes-per-s": 60,
}


class CannotRunError(Exception):
    """The case could not be played, so it says nothing."""


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, directory):
        self._file = (Path(directory) / "record.txt").open("w", buffering=1)
        self._start = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")


# Each one is given out once; the start differs between scripts.
_GUARDS = {}
_PORTS = itertools.chain(
    range(10_000 + os.getpid() % 12_000, 30_000), range(10_000, 30_000)
)


def free_ports(count, host="127.0.0.1"):
    """
    Return TCP ports that are free also for UDP.

    A socket that does not listen keeps each of them from other scripts.
    """
    found = []
    while len(found) < count:
        port = next(_PORTS)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
        guard = socket.socket()
        guard.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            guard.bind((host, port))
        except OSError:
            guard.close()
            continue
        _GUARDS[host, port] = guard
        found.append(port)
    return found


async def read_message(reader):
    """Read an HTTP message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                body += part[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def make_answer(status, headers, body=b""):
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store: rows with versions."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.port = 0
        self.is_down = False
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Write a row as the operator or a backend does."""
        self.version += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[table, "", key] = (data, self.version)

    def remove(self, table, key):
        """Drop a row."""
        self.version += 1
        self.rows.pop((table, "", key), None)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                await asyncio.sleep(0.004)
                status, body = self._answer(*message)
                writer.write(
                    make_answer(
                        status,
                        {"Content-Type": "application/json"},
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    def _answer(self, start, headers, body):
        method, target, _ = start.split(" ")
        parts = urlsplit(target)
        query = {
            k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()
        }
        about = {"ver": self.version, "now-ms": int(time.monotonic() * 1000)}
        if self.is_down:
            return 503, {}
        if (method, parts.path) == ("GET", "/rows-get"):
            wanted = query["table"], query.get("part", "")
            first, end = query.get("from", ""), query.get("to")
            limit = min(500, int(query.get("limit", 500)))
            keys = sorted(
                (
                    row
                    for row in self.rows
                    if row[:2] == wanted
                    and row[2].encode() >= first.encode()
                    and (end is None or row[2].encode() < end.encode())
                ),
                key=lambda row: row[2].encode(),
            )
            rows = [
                {
                    "table": row[0],
                    "part": row[1],
                    "key": row[2],
                    "value": self.rows[row][0],
                    "ver": self.rows[row][1],
                }
                for row in keys[:limit]
            ]
            return 200, {"rows": rows, "has-more": len(keys) > limit, **about}
        if (method, parts.path) == ("POST", "/rows-tx"):
            change = json.loads(body)
            for row in change.get("expected", ()):
                key = row["table"], row.get("part", ""), row["key"]
                if self.rows.get(key, ("", 0))[1] != row["ver"]:
                    return 412, {"rows": [], **about}
            self.version += 1
            for row in change.get("puts", ()):
                key = row["table"], row.get("part", ""), row["key"]
                self.rows[key] = (row["value"], self.version)
            for row in change.get("remove", ()):
                self.rows.pop((row["table"], row.get("part", ""), row["key"]), None)
            return 200, {**about, "ver": self.version}
        return 404, {}


class Backend:
    """A backend: registers, runs requests in slots, answers health checks."""

    def __init__(self, store, record, server_id, service, slots=3, zone="here"):
        self.store = store
        self.record = record
        self.server_id = server_id
        self.service = service
        self.slots = slots
        self.zone = zone
        self.state = "ready"
        self.is_leaving = False
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.port = 0
        # Attempt ids of the requests that it began to work on, with the time.
        self.runs = []
        # Attempt ids of the requests that arrived, with the time.
        self.arrivals = []
        # Attempt ids of the requests that it has answered after a run.
        self.finished = set()
        # Reader of each open connection, by its writer.
        self.readers = {}
        self.running = 0
        self.usual_ms = 60.0
        # Work of single requests in ms, by attempt id.
        self.work_ms = {}
        self.extra_headers = {}
        self._server = None
        self._beat = None
        self._writers = set()
        self._free = asyncio.Semaphore(slots)
        self.waiting = 0

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beat = asyncio.create_task(self._renew())

    async def _renew(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        """Write its entry, unless the store is down."""
        if self.store.is_down:
            return
        self.sequence += 1
        self.store.put(
            "servers",
            self.server_id,
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmup-left-ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    def end(self):
        """End the process: its sockets close, its entry is not renewed."""
        self._beat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def stop_beats(self):
        """Write the entry no more."""
        self._beat.cancel()

    def _headers(self):
        load = f"{self.running},{self.waiting},{self.slots},100"
        headers = {"Backend-Load": load, "Instance-Id": self.server_id}
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers | self.extra_headers

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self.readers[writer] = reader
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self._answer(reader, *message)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            self.readers.pop(writer)
            writer.close()

    async def _answer(self, reader, start, headers, body):
        if " /health " in start:
            status = 503 if self.is_leaving else 200
            return make_answer(status, self._headers())
        attempt_id = headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt_id}
        self.arrivals.append((attempt_id, time.monotonic()))
        if headers.get("expected-instance", self.server_id) != self.server_id:
            return make_answer(421, self._headers() | echo)
        if self.running >= self.slots and self.waiting >= 2 * self.slots:
            return make_answer(503, self._headers() | echo | {"Not-Executed": "1"})
        until = time.monotonic() + int(headers.get("request-deadline", 30_000)) / 1000
        self.waiting += 1
        async with self._free:
            self.waiting -= 1
            self.running += 1
            try:
                return await self._run(reader, attempt_id, until, echo)
            finally:
                self.running -= 1

    async def _run(self, reader, attempt_id, until, echo):
        self.runs.append((attempt_id, time.monotonic()))
        self.record(f"{self.server_id} runs {attempt_id}")
        work_s = self.work_ms.get(attempt_id, self.usual_ms) / 1000
        ends = min(time.monotonic() + work_s, until)
        is_late = time.monotonic() + work_s > until
        while (left := ends - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 0.02))
            if reader.at_eof() or reader.exception():
                self.record(f"{self.server_id} drops {attempt_id}: connection closed")
                return None
        body = f"answer to {attempt_id}".encode()
        seal = {"Response-Seal": f"seal.{attempt_id}"}
        status = 504 if is_late else 200
        self.finished.add(attempt_id)
        self.record(f"{self.server_id} answers {attempt_id} with {status}")
        return make_answer(status, self._headers() | echo | seal, body)


class Reply:
    """What a client got: a status (0 for none), headers and a body."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Client:
    """One connection of a client."""

    def __init__(self, record, port, host="127.0.0.1"):
        self.record, self.port, self.host = record, port, host
        self._reader = self._writer = None

    async def connect(self):
        self._reader, self._writer = await asyncio.open_connection(self.host, self.port)

    async def send(self, method, path, attempt_id, deadline_ms, body=b""):
        """Send a request and wait for its answer."""
        if self._writer is None:
            await self.connect()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Attempt-Id: {attempt_id}",
            f"Request-Deadline: {deadline_ms}",
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.record(f"client sends {attempt_id}: {method} {path}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        try:
            message = await asyncio.wait_for(
                read_message(self._reader), deadline_ms / 1000 + 1
            )
        except TimeoutError:
            message = None
        if message is None:
            self.record(f"client gets no answer to {attempt_id}")
            self.close()
            return Reply(0, {}, b"")
        start, headers, data = message
        status = int(start.split(" ")[1])
        reason = headers.get("cuminhatch-reason", "")
        own = "" if "response-seal" in headers else f" (own answer: {reason})"
        self.record(f"client gets {status} to {attempt_id}{own}")
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Reply(status, headers, data)

    @property
    def is_open(self):
        """Tell whether the connection may be used again."""
        return self._writer is not None and not self._reader.at_eof()

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._writer = None


def render_settings(values):
    """Render the settings template of the deploy file, as its page tells."""
    text = (ROOT / "deploy/settings.toml.tmpl").read_text()

    def find(path):
        found = values
        for part in path.split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return found

    def render_list(match):
        items = find(match[1])
        parts = []
        for index, item in enumerate(items):
            part = match[2].replace("{{.}}", str(item))
            parts.append(part.replace("{{,}}", "," if index + 1 < len(items) else ""))
        return "".join(parts)

    def render_value(match):
        path, _, form = match[1].partition("|")
        value = find(path)
        return json.dumps(value) if form == "json" else str(value)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", render_list, text)
    return re.sub(r"\{\{([\w.|-]+)\}\}", render_value, text)


class Gateway:
    """The project's gateway as a process."""

    def __init__(self, record, store_port, number=1, peers_port=0, seeds=(), **bounds):
        self.record = record
        self.name = f"front-{number}"
        self.host = f"127.0.{number // 250}.{number % 250}"
        self.port, self.ready_port, metrics_port = free_ports(3, self.host)
        self.peers_port = peers_port or free_ports(1, "0.0.0.0")[0]
        self._directory = tempfile.TemporaryDirectory()
        self._settings = Path(self._directory.name) / "boot.toml"
        self._log = Path(self._directory.name) / "log.txt"
        self.process = None
        self.values = {
            "node": self.name,
            "zone": "here",
            "ip": self.host,
            "listen": {
                "front": f"{self.host}:{self.port}",
                "ready": f"{self.host}:{self.ready_port}",
            },
            "internal-ports": [self.peers_port, metrics_port],
            "seeds": list(seeds),
            "bootstrap": False,
            "platform": {"address": f"127.0.0.1:{store_port}"},
            "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS | bounds,
        }

    async def start(self):
        """Start the program with the command of the deploy file."""
        self._settings.write_text(render_settings(self.values))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": self._directory.name,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CUMINHATCH_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "-m",
                "cuminhatch.gateway",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record(f"{self.name} starts")

    async def wait_ready(self, timeout_s=15):
        """Wait until it counts as ready."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRunError(f"{self.name} ended: {self.log_text()[-500:]}")
            if await self.is_ready():
                self.record(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready: {self.log_text()[-500:]}")

    async def is_ready(self):
        """Ask for its readiness, as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        message = await read_message(reader)
        writer.close()
        return message is not None and " 200 " in message[0]

    def signal(self, number):
        """Send a signal to the process."""
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log_text(self):
        """Return what it has written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    async def end(self):
        """End the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for address in [key for key in _GUARDS if key[0] == self.host]:
            _GUARDS.pop(address).close()


def make_route(name, service, kind="safe", timeout_ms=None, target_ms=1000, **more):
    """Return a route of the configuration."""
    route = {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "target-latency-ms": target_ms,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
    }
    if timeout_ms is not None:
        route["timeout-ms"] = timeout_ms
    return route | more


def make_configuration(number, routes, services, **limits):
    """Return a configuration as the operator writes it."""
    return {
        "version": f"r{number}",
        "routes": routes,
        "services": [
            {"name": name, "health-path": "/health", "max-conns": 220}
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1_000_000,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        }
        | limits,
    }


def run_case(play, directory):
    """Play a case and exit with 1 if a rule was broken, 0 if not, else 2."""
    record = Record(directory)
    record(f"TROUBLE={int(TROUBLE)}")

    def note(loop, context):
        record(f"stand-in: {context.get('exception')!r}")

    async def main():
        # Connections that end with the case are no fault of it.
        asyncio.get_running_loop().set_exception_handler(note)
        async with contextlib.AsyncExitStack() as stack:
            return await asyncio.wait_for(play(record, stack), 110)

    try:
        broken = asyncio.run(main())
    except (CannotRunError, OSError, TimeoutError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record(f"BROKEN {line}")
        print(line)
    record(f"result: {'broken' if broken else 'held'}")
    sys.exit(1 if broken else 0)
