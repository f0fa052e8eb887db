"""
Credentials of teams, of which the daemon only keeps digests.

A digest is looked up in a hash table, so the time of a look-up does not tell
how much of a guessed credential is right. Credentials are random and long
enough that a digest without a salt does not reveal them.
"""

from hashlib import sha256

DIGEST_BYTES = 16


def digest_credential(credential: bytes) -> bytes:
    """
    Return the digest by which a credential is known.

    :param credential: credential as sent by a caller, without surrounding
        white space.
    :returns: ``DIGEST_BYTES`` bytes.
    """
    return sha256(credential).digest()[:DIGEST_BYTES]
