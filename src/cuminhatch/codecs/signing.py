"""An HMAC in front of each message between daemons."""

from hashlib import sha256
from hmac import compare_digest, digest

from cuminhatch.errors import CodecError

MAC_BYTES = 32


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
