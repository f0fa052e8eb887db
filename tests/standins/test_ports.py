"""Tests of the port check before a start."""

import os
from socket import socket

from cuminhatch.messages import Address
from cuminhatch_standins.ports import describe_ports_in_use
from tests.support import free_port


def test_process_that_uses_a_port_is_named():
    """Guards against a failed start that does not name the other process."""
    with socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        address = Address(*listening.getsockname())
        (line,) = describe_ports_in_use({"table service": address})
    assert f"{address.port} (table service) is held by process {os.getpid()}:" in line


def test_free_port_is_not_reported():
    """Guards against free ports that are reported as in use."""
    assert describe_ports_in_use({"a": Address("127.0.0.1", free_port())}) == []
