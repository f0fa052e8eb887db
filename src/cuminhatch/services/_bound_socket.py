"""Bound sockets: UDP, and TCP that listens."""

from socket import (
    AF_INET,
    SO_REUSEADDR,
    SOCK_DGRAM,
    SOCK_STREAM,
    SOL_SOCKET,
    SocketKind,
    socket,
)

from cuminhatch.address import Address
from cuminhatch.errors import AddressError


def _bind(kind: SocketKind, address: Address) -> socket:
    sock = socket(AF_INET, kind)
    sock.setblocking(False)
    sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise AddressError(address, error.strerror) from error
    return sock


def bind_datagram_socket(address: Address) -> socket:
    """
    Open a UDP socket and bind it.

    :param address: address to bind; port 0 takes any free port.
    :returns: a non-blocking socket.
    :raises AddressError: the address cannot be bound.
    """
    return _bind(SOCK_DGRAM, address)


def bind_listening_socket(address: Address, backlog: int) -> socket:
    """
    Open a TCP socket that listens for connections.

    :param address: address to bind; port 0 takes any free port.
    :param backlog: maximum number of connections that wait to be accepted.
    :returns: a non-blocking socket.
    :raises AddressError: the address cannot be bound.
    """
    sock = _bind(SOCK_STREAM, address)
    try:
        sock.listen(backlog)
    except OSError as error:
        sock.close()
        raise AddressError(address, error.strerror) from error
    return sock


def get_bound_address(sock: socket) -> Address:
    """
    Return the address that a socket is bound to, with its actual port.

    :param sock: a bound socket.
    """
    return Address(*sock.getsockname()[:2])
