"""Stand-in of the platform's metadata store: ``rows-get`` and ``rows-tx``."""

import json
import threading
import time
from base64 import b64encode
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Store:
    """
    A linearizable store of rows.

    Each caller may have an address of its own at the store, from
    :meth:`listen`. The calls of the callers in ``refused`` get 503, and those
    of the callers in ``cut_off`` no answer.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._rows = {}
        self._version = 0
        self._started = time.monotonic()
        self.refused = set()
        self.cut_off = set()
        # When each caller has last read the registrations.
        self.last_reads = {}
        self.address = self.listen("all")

    def listen(self, caller):
        """Return a new address of the store, for one caller."""
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                """Write no log."""

            def do_GET(self):
                store.handle(self, caller, "GET", b"")

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                store.handle(self, caller, "POST", self.rfile.read(length))

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                """Ignore daemons that close their connections."""

        server = Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"127.0.0.1:{server.server_address[1]}"

    def put(self, table, key, document):
        """Write a row as the operator or a backend; return its version."""
        value = b64encode(json.dumps(document).encode()).decode()
        with self._lock:
            self._version += 1
            self._rows[table, "", key] = (value, self._version)
            return self._version

    def remove(self, table, key):
        """Remove a row, as when its backend has left; return the version."""
        with self._lock:
            self._version += 1
            self._rows.pop((table, "", key), None)
            return self._version

    def handle(self, handler, caller, method, body):
        """Answer one call."""
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if caller in self.cut_off:
            while caller in self.cut_off:
                time.sleep(0.01)
            handler.close_connection = True
            return
        if query.get("table") == "servers":
            self.last_reads[caller] = time.monotonic()
        if caller in self.refused:
            self._reply(handler, 503, {})
        elif method == "GET" and url.path == "/rows-get":
            self._reply(handler, 200, self._get_rows(query))
        elif method == "POST" and url.path == "/rows-tx":
            self._reply(handler, *self._run_transaction(json.loads(body)))
        else:
            self._reply(handler, 404, {})

    def _reply(self, handler, status, document):
        data = json.dumps(document).encode()
        handler.send_response(status)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)

    def _now_ms(self):
        return int((time.monotonic() - self._started) * 1000)

    def _get_rows(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first, end = query.get("from", ""), query.get("to")
        limit = int(query.get("limit", 500))
        with self._lock:
            found = sorted(
                (key, value, version)
                for (a_table, a_part, key), (value, version) in self._rows.items()
                if a_table == table
                and a_part == part
                and key >= first
                and (end is None or key < end)
            )
            version = self._version
        rows = [
            {"table": table, "part": part, "key": key, "value": value, "ver": ver}
            for key, value, ver in found[:limit]
        ]
        return {
            "rows": rows,
            "has-more": len(found) > limit,
            "ver": version,
            "now-ms": self._now_ms(),
        }

    def _run_transaction(self, document):
        with self._lock:
            for row in document.get("expected", ()):
                row_id = row["table"], row.get("part", ""), row["key"]
                if self._rows.get(row_id, ("", 0))[1] != row["ver"]:
                    return 412, {"rows": [], "ver": self._version}
            self._version += 1
            for row in document.get("puts", ()):
                row_id = row["table"], row.get("part", ""), row["key"]
                self._rows[row_id] = (row["value"], self._version)
            for row in document.get("remove", ()):
                row_id = row["table"], row.get("part", ""), row["key"]
                self._rows.pop(row_id, None)
            return 200, {"ver": self._version, "now-ms": self._now_ms()}
