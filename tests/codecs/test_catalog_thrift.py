"""Tests of encoding and decoding catalog messages between daemons."""

import pytest

from cuminhatch.codecs.catalog_thrift import (
    CONFIGURATION_MAX_BYTES,
    CatalogMember,
    CatalogNews,
    CatalogReferral,
    CatalogState,
    Greeting,
    ReadReport,
    decode_message,
    encode_message,
)
from cuminhatch.codecs.signing import PeerMessageError
from cuminhatch.decisions.catalog import CatalogChange, Registration
from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.evacuation import Evacuation
from cuminhatch.decisions.store_version import (
    NO_VERSION,
    ConfigurationVersion,
    StoreVersion,
)

KEY = b"key"
MEMBER = CatalogMember("front-1", "10.0.0.1", 7200)
SERVER = BackendServer(
    "i-7", "s", "10.0.0.2", 80, "here", 3, 0, True, 250.0, 7 * 10**12, True
)
REGISTRATION = Registration(SERVER, StoreVersion(2, 41), 17)
CONFIGURATION = ConfigurationVersion(5, 1)
BEFORE, AFTER = StoreVersion(1, 3), StoreVersion(2, 9)
MESSAGES = [
    CatalogNews(
        MEMBER,
        CatalogChange(BEFORE, AFTER, (REGISTRATION,), ("i-8",)),
        CONFIGURATION,
        False,
        7,
        ReadReport(120, 60_000),
    ),
    CatalogNews(
        MEMBER, CatalogChange(BEFORE, AFTER, (), ("i-8",)), CONFIGURATION, True, 7
    ),
    Greeting(MEMBER, (MEMBER,), True),
    CatalogState(
        CatalogChange(NO_VERSION, AFTER, (REGISTRATION,), ()),
        True,
        CONFIGURATION,
        b"{}",
    ),
    CatalogState(
        CatalogChange(BEFORE, AFTER, (REGISTRATION,), ("i-8",)),
        False,
        CONFIGURATION,
        b"",
    ),
    CatalogState(None, False, CONFIGURATION, b"{}", (MEMBER,)),
    CatalogReferral(MEMBER),
    CatalogNews(
        MEMBER,
        CatalogChange(BEFORE, AFTER, (), ()),
        CONFIGURATION,
        False,
        7,
        evacuation=Evacuation(AFTER, frozenset(("north", "söuth"))),
    ),
    CatalogState(
        None, False, CONFIGURATION, b"", evacuation=Evacuation(BEFORE, frozenset())
    ),
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


def test_reads_long_ago_are_encoded():
    """Guards against an error in place of news after weeks without a read."""
    change = CatalogChange(BEFORE, AFTER, (), ())
    reads = ReadReport(5 * 10**9, 5 * 10**9)
    news = CatalogNews(MEMBER, change, CONFIGURATION, False, 7, reads)
    decoded = decode_message(encode_message(news, KEY), KEY)
    assert decoded.reads == ReadReport(2**31 - 1, 2**31 - 1)


@pytest.mark.parametrize("port", [-1, 65_536, 2**31 - 1])
def test_port_out_of_range_is_rejected(port):
    """
    Guards against an instance that ends the sending to all others.

    sendto() raises an error of another kind for such a port.
    """
    member = MEMBER._replace(port=port)
    for message in (
        Greeting(member, (), True),
        Greeting(MEMBER, (member,), False),
        CatalogState(None, False, CONFIGURATION, b"", (member,)),
        CatalogReferral(member),
    ):
        with pytest.raises(PeerMessageError):
            decode_message(encode_message(message, KEY), KEY)


@pytest.mark.parametrize("extra_bytes", [1, 100 * 1024 * 1024])
def test_configuration_that_grows_without_bound_is_rejected(extra_bytes):
    """Guards against a short response that fills the memory."""
    document = b"0" * (CONFIGURATION_MAX_BYTES + extra_bytes)
    data = encode_message(CatalogState(None, False, CONFIGURATION, document), KEY)
    with pytest.raises(PeerMessageError):
        decode_message(data, KEY)


def test_configuration_of_the_greatest_size_is_decoded():
    """Guards against a limit that refuses a proper configuration."""
    state = CatalogState(None, False, CONFIGURATION, b"0" * CONFIGURATION_MAX_BYTES)
    assert decode_message(encode_message(state, KEY), KEY) == state


# Encoded by the version before evacuations were added, with ``KEY``.
OLD_NEWS = bytes.fromhex(
    "82a9c449125d8b4d3ecf7abec290dd2796d288272cd25d5e24028d5b6391950a101c1807"
    "66726f6e742d31180831302e302e302e3115c07018000016061612160a190c191803692d"
    "3811150e16021604160200"
)


def test_message_without_evacuation_is_as_before():
    """Guards against bytes that a deployment without evacuations pays for."""
    news = MESSAGES[1]
    assert encode_message(news, KEY) == OLD_NEWS
    assert decode_message(OLD_NEWS, KEY).evacuation is None
