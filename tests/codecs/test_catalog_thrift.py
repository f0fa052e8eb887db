"""Tests of encoding and decoding catalog messages between daemons."""

import pytest

from cuminhatch.codecs.catalog_thrift import (
    CatalogMember,
    CatalogNews,
    CatalogReferral,
    CatalogState,
    Greeting,
    decode_message,
    encode_message,
)
from cuminhatch.codecs.signing import PeerMessageError
from cuminhatch.decisions.catalog import CatalogChange, Registration
from cuminhatch.decisions.configuration import BackendServer

KEY = b"key"
MEMBER = CatalogMember("front-1", "10.0.0.1", 7200)
SERVER = BackendServer(
    "i-7", "s", "10.0.0.2", 80, "here", 3, 0, True, 250.0, 7 * 10**12
)
REGISTRATION = Registration(SERVER, 41)
MESSAGES = [
    CatalogNews(MEMBER, CatalogChange(3, 9, (REGISTRATION,), ("i-8",)), 5, False, 7),
    Greeting(MEMBER, (MEMBER,), True),
    CatalogState(CatalogChange(0, 9, (REGISTRATION,), ()), True, 5, b"{}"),
    CatalogState(CatalogChange(3, 9, (REGISTRATION,), ("i-8",)), False, 5, b""),
    CatalogState(None, False, 5, b"{}", (MEMBER,)),
    CatalogReferral(MEMBER),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_round_trip(message):
    """Guards against fields that are lost or swapped on the wire."""
    assert decode_message(encode_message(message, KEY), KEY) == message


@pytest.mark.parametrize("message", MESSAGES)
def test_forged_or_malformed_message_is_rejected(message):
    """Guards against server registrations sent by a host without the key."""
    data = encode_message(message, KEY)
    for broken in (b"", data[:-3], data[:40], data[:32] + b"\x00" + data[33:]):
        with pytest.raises(PeerMessageError):
            decode_message(broken, KEY)
    with pytest.raises(PeerMessageError):
        decode_message(data, b"other key")
