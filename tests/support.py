"""Helpers for tests with kernels, sockets and child processes."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any, NamedTuple

from cuminhatch.kernel import Service
from cuminhatch.messages import Address

SOURCE = Path(__file__).parent.parent / "src"
# Upper bound of every wait, reached only by a test that fails.
WAIT_TIMEOUT_S = 30.0
POLL_S = 0.01
# Ports of test programs; the soak and the benches use those from 23,000 up.
FIRST_PORT = 10_000
LAST_PORT = 22_900
PORTS_PER_BLOCK = 100


class Response(NamedTuple):
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def value(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


class Program(NamedTuple):
    """A program started by a test, and the address it listens on."""

    process: subprocess.Popen
    address: Address

    def request(self, method, target, body=None, headers=None) -> Response:
        """Send one request to the program on a new connection."""
        return http_request(self.address, method, target, body, headers)

    def set_faults(self, **faults) -> None:
        """Switch faults of a stand-in on or off."""
        response = self.request("POST", "/faults", json.dumps(faults))
        assert response.status == 200, response.body


class Recorder(Service):
    """
    Stands in for a named service: records or replies to its messages.

    :param message_types: types of the messages to record.
    :param replies: function that makes the reply, by message type.
    """

    def __init__(self, kernel, name, *message_types, replies=None):
        super().__init__(kernel, name)
        self.message_types = message_types
        self.replies = dict(replies or {})
        self.received = []

    def message_handlers(self):
        handlers = dict.fromkeys(self.message_types, self.received.append)
        return handlers | dict.fromkeys(self.replies, self._reply)

    def _reply(self, message):
        self.send(message.reply_to, self.replies[type(message)](message))


def _claim_ports():
    """
    Yield ports that no other test process yields, each one once.

    They lie below the range of outgoing connections, which would take them at
    any moment. A socket on the first port of a block claims the block for this
    process.
    """
    blocks = range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK)
    first = os.getpid() % len(blocks)
    for base in (*blocks[first:], *blocks[:first]):
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", base))
            guard.listen()
        except OSError:
            guard.close()
            continue
        _PORT_GUARDS.append(guard)
        yield from range(base + 1, base + PORTS_PER_BLOCK)


_PORT_GUARDS = []
_PORTS = _claim_ports()


def free_port() -> int:
    """Return a port that is free for TCP and UDP and is not returned again."""
    for port in _PORTS:
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
        ):
            try:
                stream.bind(("0.0.0.0", port))
                datagrams.bind(("0.0.0.0", port))
            except OSError:
                continue
            return port
    raise AssertionError("no port is free")


@contextmanager
def refusing_address():
    """Reserve an address that refuses connections."""
    with socket.socket() as sock:
        # A bound socket that does not listen refuses connections and keeps
        # other programs from taking the port.
        sock.bind(("127.0.0.1", 0))
        yield Address(*sock.getsockname())


def wait_until(is_reached, what="the condition", timeout_s=WAIT_TIMEOUT_S):
    """
    Wait until a condition holds, and return its value.

    :param is_reached: called until it returns a true value.
    :param what: description of the condition, for the error message.
    :param timeout_s: longest wait, in seconds.
    """
    timeout_at = time.monotonic() + timeout_s
    while True:
        value = is_reached()
        if value:
            return value
        assert time.monotonic() < timeout_at, f"timed out waiting for {what}"
        time.sleep(POLL_S)


def wait_for_port(address, process=None):
    """Wait until a program listens on an address."""

    def is_listening():
        assert process is None or process.poll() is None, (
            f"the program exited with status {process.poll()}"
        )
        with socket.socket() as sock:
            return sock.connect_ex(address) == 0

    wait_until(is_listening, f"a listener on {address.host}:{address.port}")


def start_program(module, *arguments, environment=None, **popen):
    """
    Start a module of this repository as a child process.

    :param module: name of the module.
    :param arguments: command-line arguments.
    :param environment: additional environment variables.
    :param popen: keyword arguments of :class:`subprocess.Popen`.
    """
    variables = {**os.environ, **(environment or {}), "PYTHONPATH": str(SOURCE)}
    command = [sys.executable, "-m", module, *map(str, arguments)]
    return subprocess.Popen(command, env=variables, **popen)


def stop_process(process, signal_number=signal.SIGTERM):
    """
    Stop a process of :func:`start_program`, by SIGKILL if it times out.

    :returns: exit status.
    """
    if process.poll() is None:
        process.send_signal(signal_number)
        try:
            process.wait(WAIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
    return process.returncode


@contextmanager
def running_standin(name, **flag_values):
    """
    Run a stand-in until the end of the context.

    :param name: name of its module, such as ``table_service``.
    :param flag_values: values of its command-line flags.
    """
    arguments = [f"--{flag}={value}" for flag, value in flag_values.items()]
    process = start_program(
        f"cuminhatch_standins.{name}", *arguments, stdout=subprocess.PIPE, text=True
    )
    try:
        host, _, port = process.stdout.readline().split()[-1].partition(":")
        yield Program(process, Address(host, int(port)))
    finally:
        stop_process(process)
        process.stdout.close()


def http_request(address, method, target, body=None, headers=None) -> Response:
    """
    Send one request on a new connection.

    :raises HTTPException: the connection was closed without a response.
    """
    connection = HTTPConnection(*address, timeout=WAIT_TIMEOUT_S)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Response(response.status, names, response.read())
    finally:
        connection.close()


def is_closed_without_response(address, method, target, body=None) -> bool:
    """Return whether the connection is closed without a response."""
    try:
        http_request(address, method, target, body)
    except (HTTPException, ConnectionError):
        return True
    return False


def run_ticks(kernel, count=10):
    """Run a number of kernel ticks that do not wait for I/O."""
    for _ in range(count):
        kernel.tick(0)


def run_until(kernel, is_reached):
    """
    Run ticks of a kernel until a condition holds.

    :param kernel: kernel whose services are open.
    :param is_reached: called after each tick.
    """

    def tick():
        kernel.tick(POLL_S)
        return is_reached()

    timeout_at = time.monotonic() + WAIT_TIMEOUT_S
    while not tick():
        assert time.monotonic() < timeout_at, "timed out waiting for the condition"
