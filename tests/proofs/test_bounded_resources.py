"""Bounds on connections and buffers for slow or silent peers."""

import socket

from cuminhatch import ManualClock
from cuminhatch.codecs.peers_thrift import NotesPull, encode_message
from cuminhatch.kernel import Kernel
from cuminhatch.messages import Address, NotesRequested
from cuminhatch.services.note_transfer import (
    MAX_CONNECTIONS,
    TRANSFER_TIMEOUT_MS,
    NoteTransfer,
)
from tests.proofs.fake_platform import Recorder
from tests.support import run_ticks


def make_transfer():
    kernel = Kernel(ManualClock())
    notes = kernel.register(Recorder(kernel, "notes", (NotesRequested,)))
    transfer = kernel.register(NoteTransfer(kernel, Address("127.0.0.1", 0), "key"))
    kernel.open()
    return kernel, notes, transfer


def test_silent_peers_hold_a_bounded_number_of_transfers():
    """Guards against silent connections that use up file descriptors."""
    kernel, _, transfer = make_transfer()
    peers = []
    for _ in range(MAX_CONNECTIONS + 10):
        peers.append(socket.create_connection(transfer.address))
        run_ticks(kernel, 2)
    assert len(transfer._transfers) == MAX_CONNECTIONS
    kernel.clock.advance(TRANSFER_TIMEOUT_MS)
    run_ticks(kernel)
    assert not transfer._transfers
    for peer in peers:
        peer.close()


def test_trickle_after_a_pull_is_not_read():
    """Guards against a pull that is repeated for each further byte."""
    kernel, notes, transfer = make_transfer()
    frame = encode_message(NotesPull(0, 5), b"key")
    with socket.create_connection(transfer.address) as peer:
        peer.sendall(len(frame).to_bytes(4, "big") + frame)
        for _ in range(20):
            run_ticks(kernel, 3)
            peer.sendall(b"x")
        assert len(notes.received) == 1
        kernel.clock.advance(TRANSFER_TIMEOUT_MS)
        run_ticks(kernel)
        assert not transfer._transfers
