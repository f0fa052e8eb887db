"""Tests of the link that is disturbed from outside."""

import json
import socket
import time

import pytest

from tests.support import free_port, running_standin


@pytest.fixture
def link():
    """Return a link's control program, its port, and what it leads to."""
    with socket.create_server(("127.0.0.1", 0)) as target:
        port = free_port()
        target_port = target.getsockname()[1]
        with running_standin(
            "faulty_link", link_port=port, target_port=target_port
        ) as program:
            yield program, port, target


def set_faults(program, **faults):
    assert program.request("POST", "/faults", json.dumps(faults))


def open_pair(link):
    _, port, target = link
    near = socket.create_connection(("127.0.0.1", port))
    far, _ = target.accept()
    near.settimeout(5)
    far.settimeout(5)
    return near, far


def test_bytes_pass_both_ways(link):
    """Guards against a link that disturbs without a fault."""
    near, far = open_pair(link)
    near.sendall(b"question")
    assert far.recv(99) == b"question"
    far.sendall(b"answer")
    assert near.recv(99) == b"answer"


def test_cut_loses_bytes_one_way_without_a_sign(link):
    """Guards against a cut that shows as a closed connection."""
    near, far = open_pair(link)
    set_faults(link[0], cut_to=True)
    near.sendall(b"lost")
    far.sendall(b"answer")
    assert near.recv(99) == b"answer"
    far.settimeout(0.2)
    with pytest.raises(TimeoutError):
        far.recv(99)


def test_delay_holds_bytes_back(link):
    """Guards against a delay that does nothing."""
    near, far = open_pair(link)
    set_faults(link[0], delay=200)
    begun = time.monotonic()
    near.sendall(b"late")
    assert far.recv(99) == b"late"
    assert time.monotonic() - begun >= 0.2


def test_reset_ends_present_connections_only(link):
    """Guards against a link that is down for good after a reset."""
    near, _ = open_pair(link)
    set_faults(link[0], reset=True)
    set_faults(link[0], reset=False)
    with pytest.raises(ConnectionResetError):
        near.recv(99)
    near, far = open_pair(link)
    near.sendall(b"new")
    assert far.recv(99) == b"new"
