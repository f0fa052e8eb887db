"""
Runs the deployment of ``examples/blue-mahoe.toml`` until Ctrl-C.

The demo starts the stand-ins and two daemons as processes on this machine. It
stops only processes that it has started.
"""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import ExitStack
from http.client import HTTPConnection
from pathlib import Path
from socket import create_connection
from tempfile import TemporaryDirectory
from typing import NamedTuple

import orjson

from cuminhatch.arguments import refuse_arguments
from cuminhatch.errors import CuminhatchError
from cuminhatch.messages import Address
from cuminhatch.program_help import ProgramHelp, exit_with_help
from cuminhatch_standins.bound_child import build_child_command
from cuminhatch_standins.ports import describe_ports_in_use

HELP = ProgramHelp(
    "python -m cuminhatch_standins.demo",
    "Runs stand-ins for one deployment and two daemons until Ctrl-C.",
    (),
    "make demo",
    "0 all programs have ended, 1 one has failed, 2 usage error, 130 Ctrl-C",
)
HOST = "127.0.0.1"
TABLE_ADDRESS = Address(HOST, 9001)
OBJECT_STORE_ADDRESS = Address(HOST, 9002)
INSTANCE_LIST_ADDRESS = Address(HOST, 9003)
FIRST_BACKEND_PORT = 9101
SLOTS = 3
# Number of backend servers of each service; see ``docs/design.md``, section
# 1.3.
SERVICES = {"status-board": 10, "dispatch-ledger": 6, "archive-depot": 10}
NOTE_FILE = Path("examples/blue-mahoe.toml")
OPERATORS_KEY = "demo-operators-key"
PEERS_KEY = "demo-peers-key"
OPERATORS_KEY_VARIABLE = "CUMINHATCH_OPERATORS_KEY"
START_TIMEOUT_S = 20.0
POLL_S = 0.05
# A daemon announces its drain for 3 s before it exits.
STOP_TIMEOUT_S = 10.0
REQUEST_TIMEOUT_S = 5.0


class DemoError(CuminhatchError):
    """The demo cannot start."""


class DaemonSpec(NamedTuple):
    """Identity and addresses of a daemon."""

    instance_id: str
    failure_domain: str
    callers: Address
    operators: Address
    peers: Address


class BackendSpec(NamedTuple):
    """Id and address of a backend server."""

    server_id: str
    address: Address


class Child(NamedTuple):
    """A process that the demo has started."""

    label: str
    process: subprocess.Popen


DAEMONS = (
    DaemonSpec(
        "entry-1",
        "Kingston",
        Address(HOST, 8080),
        Address(HOST, 8081),
        Address(HOST, 8082),
    ),
    DaemonSpec(
        "entry-2",
        "Morant",
        Address(HOST, 8180),
        Address(HOST, 8181),
        Address(HOST, 8182),
    ),
)


def list_backends() -> tuple[BackendSpec, ...]:
    """Return all backend servers, on consecutive ports in service order."""
    server_ids = [
        f"{service}-{number}"
        for service, size in SERVICES.items()
        for number in range(1, size + 1)
    ]
    return tuple(
        BackendSpec(server_id, Address(HOST, port))
        for port, server_id in enumerate(server_ids, FIRST_BACKEND_PORT)
    )


def daemon_settings(daemon: DaemonSpec, daemons: tuple[DaemonSpec, ...]) -> str:
    """
    Return the text of the settings file of a daemon.

    :param daemon: the daemon.
    :param daemons: all daemons; the other ones are its seeds (initial contacts
        for heartbeats).
    """
    seeds = [format_address(other.peers) for other in daemons if other != daemon]
    sections = {
        "instance": {
            "id": daemon.instance_id,
            "failure_domain": daemon.failure_domain,
        },
        "callers": {"address": format_address(daemon.callers)},
        "operators": {
            "address": format_address(daemon.operators),
            "key": OPERATORS_KEY,
        },
        "peers": {
            "address": format_address(daemon.peers),
            "key": PEERS_KEY,
            "seeds": seeds,
        },
        "platform": {
            "table": format_address(TABLE_ADDRESS),
            "objects": format_address(OBJECT_STORE_ADDRESS),
            "list": format_address(INSTANCE_LIST_ADDRESS),
        },
        "drain": {"announce_ms": 3000, "limit_ms": 60000},
    }
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        # Strings, numbers and lists of strings are written alike in JSON and
        # TOML.
        lines += [f"{name} = {orjson.dumps(v).decode()}" for name, v in values.items()]
    return "\n".join(lines) + "\n"


def format_address(address: Address) -> str:
    """
    Format an address as ``host:port``.

    :param address: address to format.
    """
    return f"{address.host}:{address.port}"


def list_ports() -> dict[str, Address]:
    """Return all addresses of the demo by label."""
    ports = {
        "table service": TABLE_ADDRESS,
        "object store": OBJECT_STORE_ADDRESS,
        "list of instances": INSTANCE_LIST_ADDRESS,
    }
    ports |= {backend.server_id: backend.address for backend in list_backends()}
    for daemon in DAEMONS:
        ports[f"{daemon.instance_id} callers"] = daemon.callers
        ports[f"{daemon.instance_id} operators"] = daemon.operators
        ports[f"{daemon.instance_id} peers"] = daemon.peers
    return ports


def check_ports() -> None:
    """
    Check that all ports of the demo are free.

    :raises DemoError: a port is in use; the message names its process.
    """
    in_use = describe_ports_in_use(list_ports())
    if in_use:
        raise DemoError(
            "\n  ".join(["ports are taken; end these programs first:", *in_use])
        )


def start_child(
    stack: ExitStack, label: str, module: str, *arguments: str, **popen: object
) -> Child:
    """
    Start a process that exits with the demo.

    :param stack: stops the process when it is closed.
    :param label: name used in messages.
    :param module: module to run.
    :param arguments: command line arguments of the module.
    :param popen: additional arguments of ``Popen``.
    """
    process = subprocess.Popen(
        build_child_command(module, *arguments),
        # Ctrl-C must reach the demo alone: it stops daemons before stand-ins.
        start_new_session=True,
        **popen,
    )
    child = Child(label, process)
    stack.callback(stop_children, [child])
    return child


def stop_children(children: list[Child]) -> None:
    """
    Stop processes concurrently.

    :param children: processes that the demo has started.
    """
    for child in children:
        if child.process.poll() is None:
            child.process.terminate()
    for child in children:
        try:
            child.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            child.process.kill()
            child.process.wait()
        if child.process.stdout is not None:
            child.process.stdout.close()


def start_standin(
    stack: ExitStack, label: str, module: str, address: Address, *arguments: str
) -> Child:
    """
    Start a stand-in, which prints a line once it listens.

    :param stack: stops the process when it is closed.
    :param label: name used in messages.
    :param module: module in ``cuminhatch_standins``.
    :param address: address to listen on.
    :param arguments: additional command line flags.
    """
    flags = (f"--host={address.host}", f"--port={address.port}", *arguments)
    module = f"cuminhatch_standins.{module}"
    return start_child(stack, label, module, *flags, stdout=subprocess.PIPE)


def wait_for_standin(child: Child) -> None:
    """
    Wait until a stand-in listens.

    :param child: the stand-in.
    :raises DemoError: the stand-in has exited.
    """
    if not child.process.stdout.readline():
        raise DemoError(
            f"{child.label} ended with status {child.process.wait()}; see above"
        )


def wait_for_daemon(child: Child, address: Address) -> None:
    """
    Wait until a daemon accepts connections.

    :param child: the daemon.
    :param address: address of its operators' port.
    :raises DemoError: the daemon has exited, or timed out.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        status = child.process.poll()
        if status is not None:
            raise DemoError(f"{child.label} ended with status {status}; see above")
        try:
            create_connection(address, REQUEST_TIMEOUT_S).close()
            return
        except OSError as error:
            if time.monotonic() > deadline:
                raise DemoError(
                    f"{child.label} does not listen on {format_address(address)}: {error}"
                ) from error
        time.sleep(POLL_S)


def register_instance(instance_id: str, address: Address, kind: str) -> None:
    """
    Add an instance to the platform's instance list.

    :param instance_id: id of the instance.
    :param address: address of the instance.
    :param kind: ``entry`` or ``backend``.
    :raises DemoError: the instance list refused the request.
    """
    value = {"address": format_address(address), "kind": kind, "state": "live"}
    connection = HTTPConnection(*INSTANCE_LIST_ADDRESS, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request("PUT", f"/instances/{instance_id}", orjson.dumps(value))
        status = connection.getresponse().status
    finally:
        connection.close()
    if status != 200:
        raise DemoError(
            f"instance list returned status {status} for instance {instance_id}"
        )


def submit_note() -> None:
    """
    Submit the first note through the command line tool.

    :raises DemoError: the note was not accepted.
    """
    daemons = [f"--daemon={format_address(daemon.operators)}" for daemon in DAEMONS]
    command = [sys.executable, "-m", "cuminhatch.cli", *daemons]
    environment = {**os.environ, OPERATORS_KEY_VARIABLE: OPERATORS_KEY}
    status = subprocess.run(
        [*command, "note", "submit", str(NOTE_FILE)], env=environment
    ).returncode
    if status != 0:
        raise DemoError(f"the note {NOTE_FILE} was not accepted (status {status})")


def start_platform(stack: ExitStack) -> list[Child]:
    """
    Start the platform's stand-ins and the backend servers.

    :param stack: stops the processes when it is closed.
    """
    children = [
        start_standin(stack, "table service", "table_service", TABLE_ADDRESS),
        start_standin(stack, "object store", "object_store", OBJECT_STORE_ADDRESS),
        start_standin(
            stack, "list of instances", "instance_list", INSTANCE_LIST_ADDRESS
        ),
    ]
    children += [
        start_standin(
            stack,
            f"backend server {backend.server_id}",
            "backend_server",
            backend.address,
            f"--slots={SLOTS}",
        )
        for backend in list_backends()
    ]
    # The stack calls this before the callbacks of the single processes, so
    # that all processes are stopped concurrently.
    stack.callback(stop_children, children)
    for child in children:
        wait_for_standin(child)
    return children


def start_daemons(stack: ExitStack, directory: Path) -> list[Child]:
    """
    Start the daemons.

    :param stack: stops the processes when it is closed.
    :param directory: directory for the settings files.
    """
    children = []
    for daemon in DAEMONS:
        settings = directory / f"{daemon.instance_id}.toml"
        settings.write_text(daemon_settings(daemon, DAEMONS))
        label = f"daemon {daemon.instance_id}"
        arguments = ("--settings", str(settings))
        children.append(start_child(stack, label, "cuminhatch.daemon", *arguments))
    stack.callback(stop_children, children)
    for child, daemon in zip(children, DAEMONS, strict=True):
        wait_for_daemon(child, daemon.operators)
    return children


def describe_deployment() -> str:
    """Return the addresses of the demo and some example commands."""
    lines = [
        f"table service          {format_address(TABLE_ADDRESS)}",
        f"object store           {format_address(OBJECT_STORE_ADDRESS)}",
        f"list of instances      {format_address(INSTANCE_LIST_ADDRESS)}",
    ]
    lines += [
        f"{backend.server_id:<22} {format_address(backend.address)}"
        for backend in list_backends()
    ]
    for daemon in DAEMONS:
        lines += [
            f"{daemon.instance_id} callers        {format_address(daemon.callers)}",
            f"{daemon.instance_id} operators      {format_address(daemon.operators)}",
            f"{daemon.instance_id} peers          {format_address(daemon.peers)}",
        ]
    first, second = (format_address(daemon.callers) for daemon in DAEMONS)
    backend_address = format_address(list_backends()[0].address)
    lines += [
        "",
        "a status refresh:",
        f"  curl -i http://{first}/status/feeder-12",
        "a confirmation, which runs at most once per key:",
        f"  curl -i -X POST -H 'Idempotency-Key: feeder-12-restored' "
        f"-d '{{}}' http://{second}/confirmations",
        "a long history pull:",
        f"  curl -o history.out 'http://{first}/history?ms=2000&bytes=50000000'",
        "a backend server that drains:",
        f"  curl -X POST -d '{{\"drain\": true}}' http://{backend_address}/faults",
        "the state of the daemons:",
        f"  {OPERATORS_KEY_VARIABLE}={OPERATORS_KEY} python -m cuminhatch.cli "
        f"--daemon {format_address(DAEMONS[0].operators)} status",
        "",
        "Ctrl-C ends the demo.",
    ]
    return "\n".join(lines)


def wait_for_end(children: list[Child], report: Callable[[str], None]) -> None:
    """
    Block until Ctrl-C, and report processes that exit on their own.

    :param children: processes that the demo has started.
    :param report: called with a line for each process that has exited.
    """
    # Block the signals only after all children have been started, since
    # children inherit the signal mask.
    signals = {signal.SIGINT, signal.SIGTERM, signal.SIGCHLD}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    running = list(children)
    while True:
        for child in [c for c in running if c.process.poll() is not None]:
            running.remove(child)
            report(f"{child.label} ended with status {child.process.returncode}.")
        if signal.sigwait(signals) != signal.SIGCHLD:
            return


def _interrupt(signal_number: int, frame: object) -> None:
    raise KeyboardInterrupt


def main() -> int:
    """
    Run the demo.

    :returns: exit status.
    """
    exit_with_help(HELP)
    refuse_arguments("demo", sys.argv)
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        check_ports()
        with TemporaryDirectory() as directory, ExitStack() as stack:
            children = start_platform(stack)
            for backend in list_backends():
                register_instance(backend.server_id, backend.address, "backend")
            # Daemons also send heartbeats to listed addresses. Those sent to
            # these TCP addresses are lost; the daemons find each other by
            # their seeds.
            for daemon in DAEMONS:
                register_instance(daemon.instance_id, daemon.callers, "entry")
            children += start_daemons(stack, Path(directory))
            submit_note()
            print(describe_deployment(), flush=True)
            wait_for_end(children, lambda line: print(line, flush=True))
            print("Ending the demo.", flush=True)
    except DemoError as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
