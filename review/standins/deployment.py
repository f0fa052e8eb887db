"""Starts daemons with the command of the deploy file, on loopback."""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DRAIN_MS = 2000
GRACE_S = 6


def find_free_port(host="127.0.0.1"):
    """Return a TCP port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Daemon:
    """One daemon, with the settings template of the deploy file, filled in."""

    def __init__(self, name, host, zone, store_address, seeds, peer_port, folder):
        self.name = name
        self.host = host
        self.callers_port = find_free_port(host)
        self.readiness_port = find_free_port(host)
        self._folder = folder
        self._process = None
        self._settings = folder / f"{name}.toml"
        fields = {
            "node": name,
            "zone": zone,
            "ip": host,
            "listen": {
                "front": f"{host}:{self.callers_port}",
                "ready": f"{host}:{self.readiness_port}",
            },
            "internal-ports": [peer_port, find_free_port(host)],
            "seeds": [f"{seed}:1" for seed in seeds],
            "bootstrap": False,
            "platform": {"address": store_address},
            "heartbeat-ms": 1500,
            "bounds": {
                "retry-budget-ratio": 0.2,
                "retry-budget-extra": 56,
                "retry-window-s": 10,
                "probes-per-s": 60,
                "grace-s": GRACE_S,
            },
        }
        self._settings.write_text(fill_template(fields), encoding="utf-8")

    @property
    def address(self):
        """Return the address that clients connect to."""
        return self.host, self.callers_port

    @property
    def pid(self):
        """Return the id of the process."""
        return self._process.pid

    def start(self):
        """Start the process as the platform does."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CUMINHATCH_NODE_FILE"] = str(self._settings)
        self._process = subprocess.Popen(
            deploy["roles"]["gateway"]["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=(self._folder / f"{self.name}.log").open("ab"),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def wait(self, timeout_s):
        """Wait for the process to end."""
        return self._process.wait(timeout_s)

    def is_ready(self):
        """Tell whether the readiness address answers 200."""
        try:
            with socket.create_connection((self.host, self.readiness_port), 1) as sock:
                sock.sendall(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_until_ready(self, timeout_s=15):
        """Wait for readiness; raise TimeoutError if it does not come."""
        until = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f"{self.name} is not ready")
            time.sleep(0.05)

    def stop(self):
        """End the process at once."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def read_log(self):
        """Return what the process has written."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


def fill_template(fields):
    """Fill in the template of the deploy file; only the forms that it uses."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    text = (ROOT / deploy["roles"]["gateway"]["template"]).read_text()

    def look_up(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def fill_section(match):
        values = look_up(match[1])
        parts = [match[2].replace("{{.}}", str(value)) for value in values]
        return ",".join(part.replace("{{,}}", "") for part in parts)

    def fill_value(match):
        path, _, form = match[1].partition("|")
        value = look_up(path)
        return json.dumps(value) if form == "json" else str(value)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", fill_section, text)
    return re.sub(r"\{\{([\w.|-]+)\}\}", fill_value, text)


def make_folder():
    """Return a new temporary folder."""
    return Path(tempfile.mkdtemp(prefix="review-"))


def remove_folder(folder):
    """Remove a temporary folder."""
    shutil.rmtree(folder, ignore_errors=True)


def make_configuration(version, routes, services, idle_timeout_ms=15000):
    """Return the operator's configuration."""
    return {
        "version": f"r{version}",
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-conns": 220,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": idle_timeout_ms,
        },
    }


def make_route(name, host, prefix, kind, service, timeout_ms, target_ms):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": host,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": target_ms,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
    }


def make_registration(service, address, zone, slots=3, state="ready", sequence=1):
    """Return the entry of a backend in the store."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": state,
        "warmup-left-ms": 0,
        "sequence": sequence,
    }
