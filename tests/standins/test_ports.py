"""Tests of the check of ports before a start."""

import os
from socket import socket

from cuminhatch.messages import Address
from cuminhatch_standins.ports import describe_taken
from tests.support import free_port


def test_holder_of_a_taken_port_is_named():
    """Guards against a failed start that does not say what is in its way."""
    with socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        address = Address(*listening.getsockname())
        (line,) = describe_taken({"table service": address})
    assert f"{address.port} (table service) is held by process {os.getpid()}:" in line


def test_free_ports_are_not_named():
    """Guards against a demo that never starts."""
    assert describe_taken({"a": Address("127.0.0.1", free_port())}) == []
