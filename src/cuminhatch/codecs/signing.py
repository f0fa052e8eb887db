"""
Authenticate, by an HMAC, and encode thrift messages between daemons.

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
# Fits into an Ethernet frame, so that datagrams aren't fragmented.
MAX_DATAGRAM_BYTES = 1_400

_FACTORY = TCompactProtocolAcceleratedFactory()

# By message kind: the generated thrift class, and the function that converts
# its struct to a message.
Decoders = Mapping[int, tuple[Callable[[], Any], Callable[[Any], Any]]]


class PeerMessageError(CodecError):
    """A peer's message is malformed, of unknown kind, or its HMAC is wrong."""


def sign_payload(payload: bytes, key: bytes) -> bytes:
    """
    Return a payload with its HMAC in front.

    :param payload: bytes to sign.
    :param key: HMAC key shared by all daemons.
    """
    return digest(key, payload, sha256) + payload


def verify_payload(data: bytes, key: bytes) -> bytes:
    """
    Verify a signed message and return its payload.

    :param data: bytes as received.
    :param key: HMAC key shared by all daemons.
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
    :param struct: instance of a generated thrift class.
    :param key: HMAC key shared by all daemons.
    """
    return sign_payload(bytes([kind]) + serialize(struct, _FACTORY), key)


def decode_struct(decoders: Decoders, data: bytes, key: bytes) -> Any:
    """
    Verify a signed message and decode it.

    :param decoders: known message kinds.
    :param data: bytes as received.
    :param key: HMAC key shared by all daemons.
    :raises PeerMessageError: the HMAC does not match, the kind is unknown or
        the struct is malformed.
    """
    payload = verify_payload(data, key)
    decoder = decoders.get(payload[0])
    if decoder is None:
        raise PeerMessageError(f"unknown message kind {payload[0]}")
    make_struct, convert = decoder
    try:
        struct = deserialize(make_struct(), payload[1:], _FACTORY)
        struct.validate()
        return convert(struct)
    except Exception as error:
        # The thrift classes raise many kinds of errors on malformed input.
        raise PeerMessageError("malformed message") from error
