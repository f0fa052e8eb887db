"""Helpers for tests with real processes on loopback."""

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
# Only ends a test that has no chance to pass any more.
GIVE_UP_S = 30.0
POLL_S = 0.01


class Answer(NamedTuple):
    """A whole HTTP answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def value(self) -> Any:
        """Return the body, read as JSON."""
        return json.loads(self.body)


class Program(NamedTuple):
    """A program that a test has started."""

    process: subprocess.Popen
    address: Address

    def request(self, method, target, body=None, headers=None) -> Answer:
        """Send one request to the program on a connection of its own."""
        return http_request(self.address, method, target, body, headers)

    def set_faults(self, **faults) -> None:
        """Switch faults on or off."""
        answer = self.request("POST", "/faults", json.dumps(faults))
        assert answer.status == 200, answer.body


class Recorder(Service):
    """
    Keeps messages and replies to others, in place of a named service.

    :param kinds: types of the messages to keep.
    :param replies: functions that make the reply, by type of the message.
    """

    def __init__(self, kernel, name, *kinds, replies=None):
        super().__init__(kernel, name)
        self.kinds = kinds
        self.replies = dict(replies or {})
        self.received = []

    def message_handlers(self):
        handlers = dict.fromkeys(self.kinds, self.received.append)
        return handlers | dict.fromkeys(self.replies, self._reply)

    def _reply(self, message):
        self.send(message.reply_to, self.replies[type(message)](message))


def free_port() -> int:
    """Return a TCP port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@contextmanager
def refusing_address():
    """Hold an address at which connections are refused."""
    with socket.socket() as sock:
        # Bound but not listening, so that no other program can take it.
        sock.bind(("127.0.0.1", 0))
        yield Address(*sock.getsockname())


def wait_until(is_reached, what="the condition"):
    """
    Wait until a condition holds, and return its value.

    :param is_reached: called until it returns a true value.
    :param what: named if the condition is never reached.
    """
    give_up_at = time.monotonic() + GIVE_UP_S
    while True:
        value = is_reached()
        if value:
            return value
        assert time.monotonic() < give_up_at, f"{what} was not reached"
        time.sleep(POLL_S)


def wait_for_port(address, process=None):
    """Wait until something listens on an address."""

    def is_listening():
        assert process is None or process.poll() is None, (
            f"the program ended with status {process.poll()}"
        )
        with socket.socket() as sock:
            return sock.connect_ex(address) == 0

    wait_until(is_listening, f"a listener on {address.host}:{address.port}")


def start_program(module, *arguments, environment=None, **popen):
    """
    Start a module of this repository as a program.

    :param module: name of the module.
    :param arguments: its command line.
    :param environment: further environment variables.
    """
    variables = {**os.environ, **(environment or {}), "PYTHONPATH": str(SOURCE)}
    command = [sys.executable, "-m", module, *map(str, arguments)]
    return subprocess.Popen(command, env=variables, **popen)


def stop_process(process, signal_number=signal.SIGTERM):
    """End a process that :func:`start_program` has started."""
    if process.poll() is None:
        process.send_signal(signal_number)
        try:
            process.wait(GIVE_UP_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
    return process.returncode


@contextmanager
def running_standin(name, **flag_values):
    """
    Run a stand-in on a free port.

    :param name: name of its module, such as ``table_service``.
    :param flag_values: its command line flags.
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


def http_request(address, method, target, body=None, headers=None) -> Answer:
    """
    Send one request on a connection of its own.

    :raises HTTPException: the connection was closed without an answer.
    """
    connection = HTTPConnection(*address, timeout=GIVE_UP_S)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, names, response.read())
    finally:
        connection.close()


def is_closed_without_answer(address, method, target, body=None) -> bool:
    """Tell whether a request ends with the connection and no answer."""
    try:
        http_request(address, method, target, body)
    except (HTTPException, ConnectionError):
        return True
    return False


def settle(kernel, count=10):
    """Tick without waiting."""
    for _ in range(count):
        kernel.tick(0)


def run_until(kernel, is_reached):
    """
    Run a kernel of this process until a condition holds.

    :param kernel: kernel whose services are open.
    :param is_reached: called after each tick.
    """

    def tick():
        kernel.tick(POLL_S)
        return is_reached()

    give_up_at = time.monotonic() + GIVE_UP_S
    while not tick():
        assert time.monotonic() < give_up_at, "the condition was not reached"
