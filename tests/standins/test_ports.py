"""Tests of the port check before a start."""

import os
import subprocess
import sys
from pathlib import Path
from socket import socket

from cuminhatch.messages import Address
from cuminhatch_standins.ports import describe_ports_in_use
from tests.support import PORTS_PER_BLOCK, free_port

OUTGOING_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_process_that_uses_a_port_is_named():
    """Guards against a failed start that does not name the other process."""
    with socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        address = Address(*listening.getsockname())
        (line,) = describe_ports_in_use({"table service": address})
    assert f"{address.port} (table service) is held by process {os.getpid()}:" in line


def test_free_ports_are_distinct_and_not_of_outgoing_connections():
    """Guards against two programs of a test that are given the same port."""
    ports = [free_port() for _ in range(3 * PORTS_PER_BLOCK)]
    assert len(set(ports)) == len(ports)
    first_outgoing = int(OUTGOING_PORTS.read_text().split()[0])
    assert max(ports) < first_outgoing


def test_another_process_gets_other_ports():
    """Guards against two runs of the tests that take each other's ports."""
    code = (
        "from tests import support\n"
        f"support._PORTS = support._claim_ports()\n"
        f"support.os.getpid = lambda: {os.getpid()}\n"
        "print(*[support.free_port() for _ in range(150)])"
    )
    own_ports = {free_port() for _ in range(150)}
    root = Path(__file__).parent.parent.parent
    printed = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        check=True,
        cwd=root,
        env=os.environ | {"PYTHONPATH": f"{root / 'src'}:{root}"},
    ).stdout
    assert not own_ports & {int(port) for port in printed.split()}


def test_free_port_is_not_reported():
    """Guards against free ports that are reported as in use."""
    assert describe_ports_in_use({"a": Address("127.0.0.1", free_port())}) == []
