"""Tells before a start which ports are taken, and by whom."""

import os
from collections.abc import Iterable, Mapping
from pathlib import Path
from socket import SO_REUSEADDR, SOL_SOCKET, socket

from cuminhatch.messages import Address

TCP_TABLE = Path("/proc/net/tcp")
LISTENING = "0A"
# Columns of a line of the kernel's table of TCP sockets.
LOCAL_COLUMN, STATE_COLUMN, INODE_COLUMN = 1, 3, 9


def describe_taken(ports: Mapping[str, Address]) -> list[str]:
    """
    Return one line for each port that another program holds.

    :param ports: addresses by what they are for.
    """
    return [
        f"{address.host}:{address.port} ({label}) is held by {find_holder(address)}"
        for label, address in ports.items()
        if is_taken(address)
    ]


def is_taken(address: Address) -> bool:
    """
    Tell whether an address cannot be bound.

    :param address: the address.
    """
    with socket() as probe:
        # Connections of an earlier run that are still closing do no harm.
        probe.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        try:
            probe.bind(address)
        except OSError:
            return True
    return False


def find_holder(address: Address) -> str:
    """
    Return the process that listens on a port, as well as it can be found.

    :param address: the address.
    """
    inodes = list_listening_inodes(address.port)
    for process in Path("/proc").glob("[0-9]*"):
        if inodes & set(list_socket_inodes(process)):
            command = (process / "cmdline").read_text().replace("\0", " ").strip()
            return f"process {process.name}: {command}"
    return "a process that cannot be seen from here"


def list_listening_inodes(port: int) -> set[str]:
    """
    Return the inodes of the sockets that listen on a port.

    :param port: the port.
    """
    inodes = set()
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        columns = line.split()
        local_port = int(columns[LOCAL_COLUMN].rpartition(":")[2], 16)
        if local_port == port and columns[STATE_COLUMN] == LISTENING:
            inodes.add(columns[INODE_COLUMN])
    return inodes


def list_socket_inodes(process: Path) -> Iterable[str]:
    """
    Yield the inodes of the sockets of a process.

    :param process: its directory under ``/proc``.
    """
    try:
        descriptors = os.listdir(process / "fd")
    except OSError:
        # It has ended, or belongs to another user.
        return
    for descriptor in descriptors:
        try:
            target = os.readlink(process / "fd" / descriptor)
        except OSError:
            # Closed meanwhile.
            continue
        if target.startswith("socket:["):
            yield target.removeprefix("socket:[").removesuffix("]")
