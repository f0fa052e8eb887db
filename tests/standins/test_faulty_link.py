"""Tests of the TCP proxy with network faults."""

import json
import socket
import time

import pytest

from tests.support import free_port, running_standin


@pytest.fixture
def link():
    """Run a link; return its program, its port and its target socket."""
    with socket.create_server(("127.0.0.1", 0)) as target:
        port = free_port()
        target_port = target.getsockname()[1]
        with running_standin(
            "faulty_link", link_port=port, target_port=target_port
        ) as program:
            yield program, port, target


def set_faults(program, **faults):
    assert program.request("POST", "/faults", json.dumps(faults))


def open_connection(link):
    _, port, target = link
    client = socket.create_connection(("127.0.0.1", port))
    server, _ = target.accept()
    client.settimeout(5)
    server.settimeout(5)
    return client, server


def test_bytes_are_forwarded_in_both_directions(link):
    """Guards against a link that changes bytes without a fault."""
    client, server = open_connection(link)
    client.sendall(b"question")
    assert server.recv(99) == b"question"
    server.sendall(b"answer")
    assert client.recv(99) == b"answer"


def test_cut_drops_bytes_in_one_direction_silently(link):
    """Guards against a cut that closes the connection."""
    client, server = open_connection(link)
    set_faults(link[0], cut_to=True)
    client.sendall(b"lost")
    server.sendall(b"answer")
    assert client.recv(99) == b"answer"
    server.settimeout(0.2)
    with pytest.raises(TimeoutError):
        server.recv(99)


def test_delay_applies_to_forwarded_bytes(link):
    """Guards against a delay without effect."""
    client, server = open_connection(link)
    set_faults(link[0], delay=200)
    started = time.monotonic()
    client.sendall(b"late")
    assert server.recv(99) == b"late"
    assert time.monotonic() - started >= 0.2


def test_reset_closes_current_connections_only(link):
    """Guards against a link that accepts no connection after a reset."""
    client, _ = open_connection(link)
    set_faults(link[0], reset=True)
    set_faults(link[0], reset=False)
    with pytest.raises(ConnectionResetError):
        client.recv(99)
    client, server = open_connection(link)
    client.sendall(b"new")
    assert server.recv(99) == b"new"


def test_flood_sends_bytes_until_it_ends(link):
    """Guards against a flood without effect, or without end."""
    client, server = open_connection(link)
    set_faults(link[0], flood=True)
    assert len(client.recv(99)) == 99
    set_faults(link[0], flood=False)
    client.settimeout(0.3)
    with pytest.raises(TimeoutError):
        while client.recv(65_536):
            pass
    server.sendall(b"answer")
    assert client.recv(99) == b"answer"
