"""Harness for a small deployment of stand-in and daemon processes."""

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from pathlib import Path
from signal import SIGKILL
from tempfile import TemporaryDirectory
from typing import NamedTuple

from cuminhatch.messages import Address
from tests.support import (
    SOURCE,
    Program,
    free_port,
    http_request,
    running_standin,
    start_program,
    stop_process,
    wait_for_port,
    wait_until,
)

KEYS = {"operators": "operators-key", "peers": "peers-key"}
BEARER = {"Authorization": f"Bearer {KEYS['operators']}"}
ANNOUNCE_MS = 2000
SERVICE = '[[service]]\nid = "{0}"\n'
SERVER = """
[[backend_server]]
id = "{0}-{1}"
service_id = "{0}"
host = "127.0.0.1"
port = {2}
failure_domain = "Kingston"
slots = 3
connections = 200
"""
RULE = """
[[rule]]
id = "{0}"
service_id = "{0}"
method = "{1}"
path_prefix = "/{0}"
work_class = "{2}"
idempotent = {3}
deadline_ms = 20000.0
response_timeout_ms = {4}
"""
# ``ledger``, the service with idempotency keys, has one server, so that
# requests cannot avoid its faults.
SERVICES = {"status": (1, 2), "ledger": (1,), "history": (1, 2)}
RULES = (
    ("status", "GET", "short", "true", 1000.0),
    ("ledger", "POST", "short", "false", 5000.0),
    ("history", "GET", "long", "true", 5000.0),
)


class Daemon(NamedTuple):
    """A daemon and its addresses; that of the program is for callers."""

    program: Program
    operators: Address

    @property
    def process(self):
        return self.program.process

    def get(self, target, **headers):
        return self.program.request("GET", target, headers=headers)

    def confirm(self, key, target="/ledger", deadline_ms=20_000):
        headers = {"Idempotency-Key": key, "Request-Deadline-Ms": str(deadline_ms)}
        return self.program.request("POST", target, b"restored", headers)

    def send_operator_request(self, method, target, body=None, headers=BEARER):
        return http_request(self.operators, method, target, body, headers)

    def submit(self, text):
        return self.send_operator_request("POST", "/notes", text)

    @property
    def note_sequence(self):
        return self.send_operator_request("GET", "/status").value["note_sequence"]

    @property
    def is_ready(self):
        return self.send_operator_request("GET", "/health", headers={}).status == 200


class Deployment:
    """Stand-ins for the platform, two backend servers, and daemons."""

    def __init__(self, stack, directory):
        self._stack = stack
        self._directory = Path(directory)
        names = ["table_service", "object_store", "instance_list"]
        names += ["backend_server"] * 2
        with ThreadPoolExecutor() as pool:
            programs = pool.map(
                lambda name: stack.enter_context(running_standin(name)), names
            )
            self.table, self.objects, self.instances, *self.backends = programs
        self.daemons = []
        self.peers = []

    def start_daemon(self):
        """Start another daemon, with the earlier ones as its seeds."""
        number = len(self.daemons) + 1
        callers, operators, peers = (
            Address("127.0.0.1", free_port()) for _ in range(3)
        )
        value = {"address": format_address(callers), "kind": "entry", "state": "live"}
        response = self.instances.request(
            "PUT", f"/instances/entry-{number}", json.dumps(value)
        )
        assert response.status == 200
        file = self._directory / f"entry-{number}.toml"
        file.write_text(self.settings(f"entry-{number}", callers, operators, peers))
        process = start_program("cuminhatch.daemon", f"--settings={file}")
        self._stack.callback(stop_process, process, SIGKILL)
        wait_for_port(operators, process)
        daemon = Daemon(Program(process, callers), operators)
        self.daemons.append(daemon)
        self.peers.append(peers)
        return daemon

    def settings(self, instance_id, callers, operators, peers):
        sections = {
            "instance": {"id": instance_id, "failure_domain": "Kingston"},
            "callers": {"address": format_address(callers)},
            "operators": {
                "address": format_address(operators),
                "key": KEYS["operators"],
            },
            "peers": {
                "address": format_address(peers),
                "key": KEYS["peers"],
                "seeds": [format_address(address) for address in self.peers],
            },
            "platform": {
                "table": format_address(self.table.address),
                "objects": format_address(self.objects.address),
                "list": format_address(self.instances.address),
            },
            "drain": {"announce_ms": ANNOUNCE_MS, "limit_ms": 60000},
            "log": {"level": "WARNING"},
        }
        return "\n".join(
            f"[{section}]\n"
            + "".join(f"{name} = {json.dumps(v)}\n" for name, v in values.items())
            for section, values in sections.items()
        )

    def submit_first_note(self):
        """Submit the configuration and wait until all daemons are ready."""
        text = make_note("first", "".join(SERVICE.format(name) for name in SERVICES))
        for name, numbers in SERVICES.items():
            for number in numbers:
                port = self.backends[number - 1].address.port
                text += SERVER.format(name, number, port)
        text += "".join(RULE.format(*rule) for rule in RULES)
        response = self.daemons[0].submit(text)
        assert response.status == 200, response.body
        self.wait_for_note(1)
        wait_until(lambda: all(d.is_ready for d in self.daemons), "readiness")

    def wait_for_note(self, sequence):
        wait_until(
            lambda: all(d.note_sequence == sequence for d in self.daemons),
            f"note {sequence} on all daemons",
        )

    def runs(self, **fields):
        """Return the runs with these values on all backend servers."""
        runs = [run for b in self.backends for run in b.request("GET", "/runs").value]
        return [run for run in runs if fields.items() <= run.items()]

    def run_cli(self, *arguments, key=KEYS["operators"]):
        """Run the command line tool with the addresses of all daemons."""
        daemons = [f"--daemon={format_address(d.operators)}" for d in self.daemons]
        variables = {"CUMINHATCH_OPERATORS_KEY": key, "PYTHONPATH": str(SOURCE)}
        return subprocess.run(
            [sys.executable, "-m", "cuminhatch.cli", *daemons, *arguments],
            env={**os.environ, **variables},
            capture_output=True,
            text=True,
        )


@contextmanager
def running_deployment(daemon_count=2):
    """Run a deployment whose daemons have applied its first note."""
    with TemporaryDirectory() as directory, ExitStack() as stack:
        deployment = Deployment(stack, directory)
        for _ in range(daemon_count):
            deployment.start_daemon()
        deployment.submit_first_note()
        yield deployment


def format_address(address):
    return f"{address.host}:{address.port}"


def make_note(note_id, items, base=None):
    lines = [f'id = "{note_id}"', 'author = "tests"', 'summary = "For a test."']
    lines += [f"base = {base}"] if base is not None else []
    return "\n".join(lines) + "\n" + items


def make_withdrawal(server_id):
    return f'[[backend_server]]\naction = "withdraw"\nid = "{server_id}"\n'
