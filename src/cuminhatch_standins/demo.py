"""
Runs one deployment (Blue Mahoe) on this machine until Ctrl-C.

The demo is no part of the system, so it starts processes: the stand-ins and
two daemons. It ends only those that it has started.
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
from cuminhatch_standins.bound_child import bound_command
from cuminhatch_standins.ports import describe_taken

HOST = "127.0.0.1"
TABLE = Address(HOST, 9001)
OBJECTS = Address(HOST, 9002)
INSTANCES = Address(HOST, 9003)
FIRST_BACKEND_PORT = 9101
SLOTS = 3
# Services and the numbers of their backend servers, from section 1.3 of the
# design page.
SERVICES = {"status-board": 10, "dispatch-ledger": 6, "archive-depot": 10}
NOTE = Path("examples/blue-mahoe.toml")
OPERATORS_KEY = "demo-operators-key"
PEERS_KEY = "demo-peers-key"
OPERATORS_KEY_VARIABLE = "CUMINHATCH_OPERATORS_KEY"
START_LIMIT_S = 20.0
POLL_S = 0.05
# A daemon announces its drain for 3 s before it ends.
STOP_LIMIT_S = 10.0
REQUEST_LIMIT_S = 5.0


class DemoError(CuminhatchError):
    """The demo cannot start."""


class DaemonPlan(NamedTuple):
    """One daemon of the demo."""

    instance_id: str
    failure_domain: str
    callers: Address
    operators: Address
    peers: Address


class BackendPlan(NamedTuple):
    """One backend server of the demo."""

    server_id: str
    address: Address


class Child(NamedTuple):
    """A program that the demo has started."""

    label: str
    process: subprocess.Popen


DAEMONS = (
    DaemonPlan(
        "entry-1",
        "Kingston",
        Address(HOST, 8080),
        Address(HOST, 8081),
        Address(HOST, 8082),
    ),
    DaemonPlan(
        "entry-2",
        "Morant",
        Address(HOST, 8180),
        Address(HOST, 8181),
        Address(HOST, 8182),
    ),
)


def plan_backends() -> tuple[BackendPlan, ...]:
    """Return the backend servers, on ports in the order of the services."""
    server_ids = [
        f"{service}-{number}"
        for service, size in SERVICES.items()
        for number in range(1, size + 1)
    ]
    return tuple(
        BackendPlan(server_id, Address(HOST, port))
        for port, server_id in enumerate(server_ids, FIRST_BACKEND_PORT)
    )


def daemon_settings(daemon: DaemonPlan, daemons: tuple[DaemonPlan, ...]) -> str:
    """
    Return the settings file of a daemon, in TOML.

    :param daemon: the daemon.
    :param daemons: all daemons; the others are its seeds.
    """
    seeds = [text_of(other.peers) for other in daemons if other != daemon]
    sections = {
        "instance": {
            "id": daemon.instance_id,
            "failure_domain": daemon.failure_domain,
        },
        "callers": {"address": text_of(daemon.callers)},
        "operators": {"address": text_of(daemon.operators), "key": OPERATORS_KEY},
        "peers": {
            "address": text_of(daemon.peers),
            "key": PEERS_KEY,
            "seeds": seeds,
        },
        "platform": {
            "table": text_of(TABLE),
            "objects": text_of(OBJECTS),
            "list": text_of(INSTANCES),
        },
        "drain": {"announce_ms": 3000, "limit_ms": 60000},
    }
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        # Strings, numbers and lists of strings look the same in JSON and TOML.
        lines += [f"{name} = {orjson.dumps(v).decode()}" for name, v in values.items()]
    return "\n".join(lines) + "\n"


def text_of(address: Address) -> str:
    """
    Return an address as ``host:port``.

    :param address: the address.
    """
    return f"{address.host}:{address.port}"


def list_ports() -> dict[str, Address]:
    """Return all addresses of the demo by what they are for."""
    ports = {
        "table service": TABLE,
        "object store": OBJECTS,
        "list of instances": INSTANCES,
    }
    ports |= {plan.server_id: plan.address for plan in plan_backends()}
    for daemon in DAEMONS:
        ports[f"{daemon.instance_id} callers"] = daemon.callers
        ports[f"{daemon.instance_id} operators"] = daemon.operators
        ports[f"{daemon.instance_id} peers"] = daemon.peers
    return ports


def check_ports() -> None:
    """
    Check that no other program holds a port of the demo.

    :raises DemoError: one does; the text says which and what to do.
    """
    taken = describe_taken(list_ports())
    if taken:
        raise DemoError(
            "\n  ".join(["ports are taken; end these programs first:", *taken])
        )


def start_child(
    stack: ExitStack, label: str, module: str, *arguments: str, **popen: object
) -> Child:
    """
    Start a program that ends with the demo.

    :param stack: ends the program when it is closed.
    :param label: name for messages.
    :param module: module to run.
    :param arguments: its command line.
    :param popen: further arguments of ``Popen``.
    """
    process = subprocess.Popen(
        bound_command(module, *arguments),
        # Ctrl-C goes to the demo alone, which stops daemons before stand-ins.
        start_new_session=True,
        **popen,
    )
    child = Child(label, process)
    stack.callback(stop_children, [child])
    return child


def stop_children(children: list[Child]) -> None:
    """
    End programs, all at the same time.

    :param children: programs that the demo has started.
    """
    for child in children:
        if child.process.poll() is None:
            child.process.terminate()
    for child in children:
        try:
            child.process.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            child.process.kill()
            child.process.wait()
        if child.process.stdout is not None:
            child.process.stdout.close()


def start_standin(
    stack: ExitStack, label: str, module: str, address: Address, *arguments: str
) -> Child:
    """
    Start a stand-in; it prints a line once it listens.

    :param stack: ends the program when it is closed.
    :param label: name for messages.
    :param module: module in ``cuminhatch_standins``.
    :param address: address to listen on.
    :param arguments: further command line flags.
    """
    flags = (f"--host={address.host}", f"--port={address.port}", *arguments)
    module = f"cuminhatch_standins.{module}"
    return start_child(stack, label, module, *flags, stdout=subprocess.PIPE)


def await_standin(child: Child) -> None:
    """
    Wait until a stand-in listens.

    :param child: the stand-in.
    :raises DemoError: it has ended instead.
    """
    if not child.process.stdout.readline():
        raise DemoError(
            f"{child.label} ended with status {child.process.wait()}; see above"
        )


def await_daemon(child: Child, address: Address) -> None:
    """
    Wait until a daemon accepts connections.

    :param child: the daemon.
    :param address: its operators' port.
    :raises DemoError: it has ended, or takes too long.
    """
    give_up_at = time.monotonic() + START_LIMIT_S
    while True:
        status = child.process.poll()
        if status is not None:
            raise DemoError(f"{child.label} ended with status {status}; see above")
        try:
            create_connection(address, REQUEST_LIMIT_S).close()
            return
        except OSError as error:
            if time.monotonic() > give_up_at:
                raise DemoError(
                    f"{child.label} does not listen on {text_of(address)}: {error}"
                ) from error
        time.sleep(POLL_S)


def register_instance(instance_id: str, address: Address, kind: str) -> None:
    """
    Put an instance on the platform's list.

    :param instance_id: id of the instance.
    :param address: where it is reached.
    :param kind: ``entry`` or ``backend``.
    :raises DemoError: the list refuses it.
    """
    value = {"address": text_of(address), "kind": kind, "state": "live"}
    connection = HTTPConnection(*INSTANCES, timeout=REQUEST_LIMIT_S)
    try:
        connection.request("PUT", f"/instances/{instance_id}", orjson.dumps(value))
        status = connection.getresponse().status
    finally:
        connection.close()
    if status != 200:
        raise DemoError(f"the list answers {status} to instance {instance_id}")


def submit_note() -> None:
    """
    Submit the first note with the command line tool.

    :raises DemoError: the note was not accepted.
    """
    daemons = [f"--daemon={text_of(daemon.operators)}" for daemon in DAEMONS]
    command = [sys.executable, "-m", "cuminhatch.cli", *daemons]
    environment = {**os.environ, OPERATORS_KEY_VARIABLE: OPERATORS_KEY}
    status = subprocess.run(
        [*command, "note", "submit", str(NOTE)], env=environment
    ).returncode
    if status != 0:
        raise DemoError(f"the note {NOTE} was not accepted (status {status})")


def start_platform(stack: ExitStack) -> list[Child]:
    """
    Start the platform's stand-ins and the backend servers.

    :param stack: ends the programs when it is closed.
    """
    children = [
        start_standin(stack, "table service", "table_service", TABLE),
        start_standin(stack, "object store", "object_store", OBJECTS),
        start_standin(stack, "list of instances", "instance_list", INSTANCES),
    ]
    children += [
        start_standin(
            stack,
            f"backend server {plan.server_id}",
            "backend_server",
            plan.address,
            f"--slots={SLOTS}",
        )
        for plan in plan_backends()
    ]
    # Ends them at the same time; the callbacks of each come later.
    stack.callback(stop_children, children)
    for child in children:
        await_standin(child)
    return children


def start_daemons(stack: ExitStack, directory: Path) -> list[Child]:
    """
    Start the daemons.

    :param stack: ends the programs when it is closed.
    :param directory: where the settings files go.
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
        await_daemon(child, daemon.operators)
    return children


def describe() -> str:
    """Return one line per address and some commands to try."""
    lines = [
        f"table service          {text_of(TABLE)}",
        f"object store           {text_of(OBJECTS)}",
        f"list of instances      {text_of(INSTANCES)}",
    ]
    lines += [
        f"{plan.server_id:<22} {text_of(plan.address)}" for plan in plan_backends()
    ]
    for daemon in DAEMONS:
        lines += [
            f"{daemon.instance_id} callers        {text_of(daemon.callers)}",
            f"{daemon.instance_id} operators      {text_of(daemon.operators)}",
            f"{daemon.instance_id} peers          {text_of(daemon.peers)}",
        ]
    first, second = (text_of(daemon.callers) for daemon in DAEMONS)
    backend = text_of(plan_backends()[0].address)
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
        f"  curl -X POST -d '{{\"drain\": true}}' http://{backend}/faults",
        "the state of the daemons:",
        f"  {OPERATORS_KEY_VARIABLE}={OPERATORS_KEY} python -m cuminhatch.cli "
        f"--daemon {text_of(DAEMONS[0].operators)} status",
        "",
        "Ctrl-C ends the demo.",
    ]
    return "\n".join(lines)


def wait_for_end(children: list[Child], report: Callable[[str], None]) -> None:
    """
    Block until Ctrl-C, and report programs that end on their own.

    :param children: programs that the demo has started.
    :param report: called with one line per program that has ended.
    """
    # Blocked after the children have started, which would inherit it.
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
    refuse_arguments("demo", sys.argv)
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        check_ports()
        with TemporaryDirectory() as directory, ExitStack() as stack:
            children = start_platform(stack)
            for plan in plan_backends():
                register_instance(plan.server_id, plan.address, "backend")
            for daemon in DAEMONS:
                register_instance(daemon.instance_id, daemon.callers, "entry")
            children += start_daemons(stack, Path(directory))
            submit_note()
            print(describe(), flush=True)
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
