"""
Thrift structs between daemons, with an HMAC in front.

A message is ``HMAC-SHA256 (32 bytes) || kind (1 byte) || thrift struct``.
"""

from collections.abc import Callable, Mapping
from hashlib import sha256
from hmac import compare_digest, digest
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from cuminhatch.errors import CodecError

MAC_BYTES = 32
# Fits an Ethernet frame, so that datagrams are not fragmented.
MAX_DATAGRAM_BYTES = 1_400

_FACTORY = TCompactProtocolAcceleratedFactory()

# By kind: the generated class, and what makes the message from its struct.
Readers = Mapping[int, tuple[Callable[[], Any], Callable[[Any], Any]]]


class PeerMessageError(CodecError):
    """A message of another daemon is forged, broken or of another kind."""


def sign_payload(payload: bytes, key: bytes) -> bytes:
    """
    Put the HMAC in front of a payload.

    :param payload: bytes to send.
    :param key: key shared by all daemons.
    """
    return digest(key, payload, sha256) + payload


def check_payload(data: bytes, key: bytes) -> bytes:
    """
    Return the payload of a signed message.

    :param data: bytes as received.
    :param key: key shared by all daemons.
    :raises PeerMessageError: the HMAC does not match.
    """
    payload = data[MAC_BYTES:]
    if not payload or not compare_digest(
        digest(key, payload, sha256), data[:MAC_BYTES]
    ):
        raise PeerMessageError("HMAC does not match")
    return payload


def encode_struct(kind: int, struct: Any, key: bytes) -> bytes:
    """
    Encode a thrift struct and sign it.

    :param kind: kind of the message.
    :param struct: instance of a generated class.
    :param key: key shared by all daemons.
    """
    return sign_payload(bytes([kind]) + serialize(struct, _FACTORY), key)


def decode_struct(readers: Readers, data: bytes, key: bytes) -> Any:
    """
    Check a signed message and decode it.

    :param readers: kinds that are understood.
    :param data: bytes as received.
    :param key: key shared by all daemons.
    :raises PeerMessageError: the HMAC does not match or the rest is broken.
    """
    payload = check_payload(data, key)
    reader = readers.get(payload[0])
    if reader is None:
        raise PeerMessageError(f"unknown kind of message {payload[0]}")
    make, convert = reader
    try:
        struct = deserialize(make(), payload[1:], _FACTORY)
        struct.validate()
        return convert(struct)
    except Exception as error:
        # The protocol classes raise many kinds of errors on broken input.
        raise PeerMessageError("malformed message") from error
