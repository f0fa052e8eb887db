"""Tests of encoding and decoding heartbeats and note transfers."""

import pytest

from cuminhatch.codecs.peers_thrift import (
    Heartbeat,
    LoadSample,
    NotesPull,
    NotesReply,
    PermitWish,
    decode_message,
    encode_message,
)
from cuminhatch.codecs.signing import MAX_DATAGRAM_BYTES, PeerMessageError
from cuminhatch.decisions.hybrid_clock import Stamp
from cuminhatch.decisions.membership import HeartbeatEntry

KEY = b"peers-key"


def make_heartbeat(members=8, samples=8):
    def make_entry(n):
        return HeartbeatEntry(
            f"entry-{n}", "10.11.12.13", 8082, 1_780_000_000_000, n, False
        )

    load = (2, 1, 3, 1.5, False, 200.0)
    return Heartbeat(
        make_entry(0),
        28_000,
        Stamp(1_780_000_000_123, 4),
        tuple(make_entry(n) for n in range(1, members + 1)),
        tuple(LoadSample(f"status-board-{n}", *load) for n in range(samples)),
        (PermitWish("entry-0", "long", "archive-depot-1"),),
    )


@pytest.mark.parametrize(
    "message", [make_heartbeat(), NotesPull(7, 200), NotesReply((b"{}", b"[]"))]
)
def test_round_trip(message):
    """Guards against fields that are lost or swapped on the wire."""
    assert decode_message(encode_message(message, KEY), KEY) == message


def test_heartbeat_fits_one_datagram():
    """Guards against fragmentation, where one lost fragment loses all."""
    assert len(encode_message(make_heartbeat(), KEY)) < MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("cut", [0, 10, 32, 33, 60])
def test_forged_or_malformed_message_is_rejected(cut):
    """Guards against forged or truncated datagrams that are accepted."""
    data = encode_message(make_heartbeat(), KEY)
    with pytest.raises(PeerMessageError):
        decode_message(data[:cut], KEY)
    with pytest.raises(PeerMessageError):
        decode_message(data, b"another key")
    flipped = bytearray(data)
    flipped[-1] ^= 1
    with pytest.raises(PeerMessageError):
        decode_message(bytes(flipped), KEY)


@pytest.mark.parametrize("port", [-1, 65_536, 2**31 - 1])
def test_port_out_of_range_is_rejected(port):
    """Guards against an instance whose address sendto() fails on."""
    heartbeat = make_heartbeat()
    odd = heartbeat.sender._replace(port=port)
    for message in (
        heartbeat._replace(sender=odd),
        heartbeat._replace(members=(odd,)),
    ):
        with pytest.raises(PeerMessageError):
            decode_message(encode_message(message, KEY), KEY)
