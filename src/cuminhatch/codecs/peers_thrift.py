"""
Heartbeats and pulls of notes between daemons, encoded with thrift.

Messages carry an HMAC, see :mod:`cuminhatch.codecs.signing`. Those with a
wrong HMAC are rejected, so hosts without the key cannot change the state of a
daemon.
"""

from typing import Any, NamedTuple

from cuminhatch.codecs.gen.peers.ttypes import (
    Heartbeat as ThriftHeartbeat,
    LoadSample as ThriftLoadSample,
    MemberEntry as ThriftMemberEntry,
    NotesPull as ThriftNotesPull,
    NotesReply as ThriftNotesReply,
    PermitWish as ThriftPermitWish,
)
from cuminhatch.codecs.signing import PeerMessageError, decode_struct, encode_struct
from cuminhatch.decisions.hybrid_clock import Stamp
from cuminhatch.decisions.membership import HeartbeatEntry

US_PER_MS = 1000.0
MAX_PORT = 65535


class LoadSample(NamedTuple):
    """Load of a backend server, measured ``age_ms`` ago by a probe."""

    server_id: str
    in_flight: int
    queued: int
    slots: int
    latency_ms: float
    is_leaving: bool
    age_ms: float


class PermitWish(NamedTuple):
    """Request to the holder of a backend server's permit to release it."""

    instance_id: str
    kind: str
    server_id: str


class Heartbeat(NamedTuple):
    """State that an instance sends to other instances at regular intervals."""

    sender: HeartbeatEntry
    head_sequence: int
    stamp: Stamp
    members: tuple[HeartbeatEntry, ...]
    samples: tuple[LoadSample, ...]
    wishes: tuple[PermitWish, ...]


class NotesPull(NamedTuple):
    """Request for the accepted notes after a sequence number."""

    after: int
    limit: int


class NotesReply(NamedTuple):
    """Accepted notes in sequence order, each encoded as JSON."""

    notes: tuple[bytes, ...]


PeerMessage = Heartbeat | NotesPull | NotesReply


def _heartbeat_to_thrift(message: Heartbeat) -> ThriftHeartbeat:
    return ThriftHeartbeat(
        ThriftMemberEntry(*message.sender),
        message.head_sequence,
        message.stamp.wall_ms,
        message.stamp.counter,
        [ThriftMemberEntry(*entry) for entry in message.members],
        [
            ThriftLoadSample(
                sample.server_id,
                sample.in_flight,
                sample.queued,
                sample.slots,
                int(sample.latency_ms * US_PER_MS),
                sample.is_leaving,
                int(sample.age_ms),
            )
            for sample in message.samples
        ],
        [ThriftPermitWish(*wish) for wish in message.wishes],
    )


def _entry_from_thrift(entry: ThriftMemberEntry) -> HeartbeatEntry:
    # sendto() raises OverflowError for other ports.
    if not 0 <= entry.port <= MAX_PORT:
        raise PeerMessageError(f"port {entry.port} of an instance is out of range")
    return HeartbeatEntry(
        entry.instance_id,
        entry.host,
        entry.port,
        entry.incarnation,
        entry.heartbeat,
        entry.is_leaving,
    )


def _heartbeat_from_thrift(message: ThriftHeartbeat) -> Heartbeat:
    return Heartbeat(
        _entry_from_thrift(message.sender),
        message.head_sequence,
        Stamp(message.stamp_wall_ms, message.stamp_counter),
        tuple(_entry_from_thrift(entry) for entry in message.members),
        tuple(
            LoadSample(
                sample.server_id,
                sample.in_flight,
                sample.queued,
                sample.slots,
                sample.latency_us / US_PER_MS,
                sample.is_leaving,
                float(sample.age_ms),
            )
            for sample in message.samples
        ),
        tuple(
            PermitWish(wish.instance_id, wish.kind, wish.server_id)
            for wish in message.wishes
        ),
    )


_ENCODERS: dict[type, tuple[int, Any, Any]] = {
    Heartbeat: (1, _heartbeat_to_thrift, ThriftHeartbeat),
    NotesPull: (2, lambda message: ThriftNotesPull(*message), ThriftNotesPull),
    NotesReply: (
        3,
        lambda message: ThriftNotesReply(list(message.notes)),
        ThriftNotesReply,
    ),
}
_DECODERS: dict[int, tuple[Any, Any]] = {
    1: (ThriftHeartbeat, _heartbeat_from_thrift),
    2: (ThriftNotesPull, lambda pull: NotesPull(pull.after, pull.limit)),
    3: (ThriftNotesReply, lambda reply: NotesReply(tuple(reply.notes))),
}


def encode_message(message: PeerMessage, key: bytes) -> bytes:
    """
    Encode and sign a message.

    :param message: message to encode.
    :param key: HMAC key shared by all daemons.
    """
    kind, convert, _ = _ENCODERS[type(message)]
    return encode_struct(kind, convert(message), key)


def decode_message(data: bytes, key: bytes) -> PeerMessage:
    """
    Verify and decode a message.

    :param data: bytes as received.
    :param key: HMAC key shared by all daemons.
    :raises PeerMessageError: the HMAC does not match, the kind is unknown or
        the struct is malformed.
    """
    return decode_struct(_DECODERS, data, key)
