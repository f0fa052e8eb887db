"""Checks before a start which ports are in use, and by which process."""

import os
from collections.abc import Iterable, Mapping
from pathlib import Path
from socket import SO_REUSEADDR, SOL_SOCKET, socket

from cuminhatch.messages import Address

TCP_TABLE = Path("/proc/net/tcp")
LISTENING = "0A"
# Columns of ``/proc/net/tcp``.
LOCAL_COLUMN, STATE_COLUMN, INODE_COLUMN = 1, 3, 9


def describe_ports_in_use(ports: Mapping[str, Address]) -> list[str]:
    """
    Return one line for each port that is in use.

    :param ports: addresses by label.
    """
    return [
        f"{address.host}:{address.port} ({label}) is held by {describe_listening_process(address)}"
        for label, address in ports.items()
        if is_port_in_use(address)
    ]


def is_port_in_use(address: Address) -> bool:
    """
    Tell whether an address cannot be bound.

    :param address: address to check.
    """
    with socket() as probe:
        # Connections in TIME_WAIT of an earlier run do not prevent a bind.
        probe.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        try:
            probe.bind(address)
        except OSError:
            return True
    return False


def describe_listening_process(address: Address) -> str:
    """
    Describe the process that listens on a port, if it can be found.

    :param address: address to check.
    """
    inodes = find_listening_inodes(address.port)
    for process in Path("/proc").glob("[0-9]*"):
        if inodes & set(find_socket_inodes(process)):
            command = (process / "cmdline").read_text().replace("\0", " ").strip()
            return f"process {process.name}: {command}"
    return "a process that cannot be seen from here"


def find_listening_inodes(port: int) -> set[str]:
    """
    Return the inodes of the sockets that listen on a port.

    :param port: TCP port.
    """
    inodes = set()
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        columns = line.split()
        local_port = int(columns[LOCAL_COLUMN].rpartition(":")[2], 16)
        if local_port == port and columns[STATE_COLUMN] == LISTENING:
            inodes.add(columns[INODE_COLUMN])
    return inodes


def find_socket_inodes(process: Path) -> Iterable[str]:
    """
    Yield the inodes of the sockets of a process.

    :param process: directory of the process under ``/proc``.
    """
    try:
        descriptors = os.listdir(process / "fd")
    except OSError:
        # The process has exited or belongs to another user.
        return
    for descriptor in descriptors:
        try:
            target = os.readlink(process / "fd" / descriptor)
        except OSError:
            # The descriptor was closed meanwhile.
            continue
        if target.startswith("socket:["):
            yield target.removeprefix("socket:[").removesuffix("]")
