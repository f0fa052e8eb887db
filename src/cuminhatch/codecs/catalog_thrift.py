"""
Messages that daemons exchange about the catalog, encoded with thrift.

The catalog is the set of registered backend servers with the configuration.
"""

import zlib
from typing import Any, NamedTuple

from cuminhatch.codecs.gen.catalog.ttypes import (
    CatalogMember as ThriftMember,
    CatalogNews as ThriftNews,
    CatalogReferral as ThriftReferral,
    CatalogState as ThriftState,
    Greeting as ThriftGreeting,
    ServerRegistration as ThriftRegistration,
)
from cuminhatch.codecs.signing import PeerMessageError, decode_struct, encode_struct
from cuminhatch.decisions.catalog import CatalogChange, Registration
from cuminhatch.decisions.configuration import BackendServer
from cuminhatch.decisions.evacuation import Evacuation
from cuminhatch.decisions.store_version import ConfigurationVersion, StoreVersion

MAX_PORT = 65535
# Longer spans of time are cut off, as their field is an i32.
MAX_REPORTED_MS = 2**31 - 1
# The same as the longest response of the store, which the document comes from.
CONFIGURATION_MAX_BYTES = 16 * 1024 * 1024


class CatalogMember(NamedTuple):
    """
    Id, address and failure domain of an instance.

    The failure domain is empty if it is unknown.
    """

    instance_id: str
    host: str
    port: int
    failure_domain: str = ""


class ReadReport(NamedTuple):
    """
    What an instance knows of the reads of the store by any instance.

    The latest read is ``latest_age_ms`` old, and ended a span of ``span_ms``
    in which the store was read without a gap.
    """

    latest_age_ms: int
    span_ms: int


class CatalogNews(NamedTuple):
    """
    Change of the catalog that the sender has read from the metadata store.

    ``is_pull_needed`` is set if the change is too long for a datagram, so that
    the receiver has to pull it. ``instances`` is the number of instances that
    the sender knows, including itself. ``reads`` is None if the sender knows
    of none, or is of an earlier version. ``evacuation`` is None if it knows of
    no read of the evacuated failure domains.
    """

    sender: CatalogMember
    change: CatalogChange
    configuration_version: ConfigurationVersion
    is_pull_needed: bool
    instances: int
    reads: ReadReport | None = None
    evacuation: Evacuation | None = None


class Greeting(NamedTuple):
    """Announcement of the sender and of the other instances it knows."""

    sender: CatalogMember
    members: tuple[CatalogMember, ...]
    is_reply_wanted: bool


class CatalogState(NamedTuple):
    """
    Response to a pull: the part of the catalog that the receiver lacks.

    ``change`` is None if the receiver has the current registrations;
    ``is_whole`` is set if ``change`` lists all registrations and replaces
    those of the receiver. ``configuration`` is the JSON document from the
    store, unchanged, and empty if the receiver has that version. ``members``
    are the instances that the sender knows, empty if the receiver has not
    asked for them. ``evacuation`` is as in :class:`CatalogNews`.
    """

    change: CatalogChange | None
    is_whole: bool
    configuration_version: ConfigurationVersion
    configuration: bytes
    members: tuple[CatalogMember, ...] = ()
    evacuation: Evacuation | None = None


class CatalogReferral(NamedTuple):
    """Reference to another instance that has the requested data."""

    holder: CatalogMember


CatalogMessage = CatalogNews | Greeting | CatalogState | CatalogReferral


def _registration_to_thrift(registration: Registration) -> ThriftRegistration:
    server = registration.server
    return ThriftRegistration(
        server.server_id,
        server.service_id,
        server.host,
        server.port,
        server.failure_domain,
        server.slots,
        server.connections,
        server.is_draining,
        int(server.warmup_left_ms),
        server.started_ms,
        registration.row_version.number,
        registration.row_version.era,
        registration.sequence,
        server.is_unlisted,
    )


def _registration_from_thrift(data: ThriftRegistration) -> Registration:
    server = BackendServer(
        data.server_id,
        data.service_id,
        data.host,
        data.port,
        data.failure_domain,
        data.slots,
        data.connections,
        data.is_draining,
        float(data.warmup_left_ms),
        data.started_ms,
        bool(data.is_unlisted),
    )
    row_version = StoreVersion(data.row_era or 0, data.row_version)
    return Registration(server, row_version, data.sequence or 0)


def _member_from_thrift(data: ThriftMember) -> CatalogMember:
    # sendto() raises OverflowError for other ports.
    if not 0 <= data.port <= MAX_PORT:
        raise PeerMessageError(f"port {data.port} of an instance is out of range")
    return CatalogMember(
        data.instance_id, data.host, data.port, data.failure_domain or ""
    )


def _news_to_thrift(message: CatalogNews) -> ThriftNews:
    change = message.change
    age_ms = span_ms = None
    if message.reads is not None:
        age_ms, span_ms = (min(ms, MAX_REPORTED_MS) for ms in message.reads)
    news = ThriftNews(
        ThriftMember(*message.sender),
        change.previous_version.number,
        change.version.number,
        message.configuration_version.number,
        [_registration_to_thrift(item) for item in change.changed],
        list(change.removed_ids),
        message.is_pull_needed,
        message.instances,
        change.previous_version.era,
        change.version.era,
        message.configuration_version.era,
        age_ms,
        span_ms,
    )
    _add_evacuation(news, message.evacuation)
    return news


def _add_evacuation(
    data: ThriftNews | ThriftState, evacuation: Evacuation | None
) -> None:
    if evacuation is not None:
        data.evacuated_domains = sorted(evacuation.domains)
        data.evacuation_version = evacuation.version.number
        data.evacuation_era = evacuation.version.era


def _evacuation_from_thrift(data: ThriftNews | ThriftState) -> Evacuation | None:
    if data.evacuation_version is None:
        return None
    version = StoreVersion(data.evacuation_era or 0, data.evacuation_version)
    return Evacuation(version, frozenset(data.evacuated_domains or ()))


def _change_from_thrift(
    data: ThriftNews | ThriftState, changed: list[ThriftRegistration]
) -> CatalogChange:
    return CatalogChange(
        StoreVersion(data.previous_era or 0, data.previous_version),
        StoreVersion(data.era or 0, data.version),
        tuple(_registration_from_thrift(item) for item in changed),
        tuple(data.removed_ids),
    )


def _news_from_thrift(data: ThriftNews) -> CatalogNews:
    return CatalogNews(
        _member_from_thrift(data.sender),
        _change_from_thrift(data, data.changed),
        ConfigurationVersion(data.configuration_version, data.configuration_era or 0),
        data.is_pull_needed,
        data.instances or 0,
        _reads_from_thrift(data),
        _evacuation_from_thrift(data),
    )


def _reads_from_thrift(data: ThriftNews) -> ReadReport | None:
    age_ms, span_ms = data.latest_read_age_ms, data.read_span_ms
    if age_ms is None or span_ms is None:
        return None
    return ReadReport(max(0, age_ms), max(0, span_ms))


def _greeting_to_thrift(message: Greeting) -> ThriftGreeting:
    return ThriftGreeting(
        ThriftMember(*message.sender),
        [ThriftMember(*member) for member in message.members],
        message.is_reply_wanted,
    )


def _greeting_from_thrift(data: ThriftGreeting) -> Greeting:
    return Greeting(
        _member_from_thrift(data.sender),
        tuple(_member_from_thrift(member) for member in data.members),
        data.is_reply_wanted,
    )


def _state_to_thrift(message: CatalogState) -> ThriftState:
    # Compressed because all instances pull a new configuration at the same
    # time, from a sender whose bandwidth may be low.
    configuration = zlib.compress(message.configuration)
    state = ThriftState(
        configuration_version=message.configuration_version.number,
        configuration_era=message.configuration_version.era,
        configuration=configuration,
        members=[ThriftMember(*member) for member in message.members],
    )
    change = message.change
    if change is not None:
        state.version = change.version.number
        state.era = change.version.era
        state.registrations = [_registration_to_thrift(r) for r in change.changed]
        state.previous_version = change.previous_version.number
        state.previous_era = change.previous_version.era
        state.removed_ids = list(change.removed_ids)
        state.is_whole = message.is_whole
    _add_evacuation(state, message.evacuation)
    return state


def _state_from_thrift(data: ThriftState) -> CatalogState:
    change = None
    if data.registrations is not None:
        change = _change_from_thrift(data, data.registrations)
    return CatalogState(
        change,
        bool(data.is_whole),
        ConfigurationVersion(data.configuration_version, data.configuration_era or 0),
        _decompress_configuration(data.configuration),
        tuple(_member_from_thrift(member) for member in data.members or ()),
        _evacuation_from_thrift(data),
    )


def _decompress_configuration(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    document = decompressor.decompress(data, CONFIGURATION_MAX_BYTES)
    if not decompressor.eof:
        raise PeerMessageError("configuration is truncated or too large")
    return document


def _referral_to_thrift(message: CatalogReferral) -> ThriftReferral:
    return ThriftReferral(ThriftMember(*message.holder))


def _referral_from_thrift(data: ThriftReferral) -> CatalogReferral:
    return CatalogReferral(_member_from_thrift(data.holder))


_ENCODERS: dict[type, tuple[int, Any]] = {
    CatalogNews: (16, _news_to_thrift),
    Greeting: (17, _greeting_to_thrift),
    CatalogState: (18, _state_to_thrift),
    CatalogReferral: (19, _referral_to_thrift),
}
_DECODERS: dict[int, tuple[Any, Any]] = {
    16: (ThriftNews, _news_from_thrift),
    17: (ThriftGreeting, _greeting_from_thrift),
    18: (ThriftState, _state_from_thrift),
    19: (ThriftReferral, _referral_from_thrift),
}


def encode_message(message: CatalogMessage, key: bytes) -> bytes:
    """
    Encode and sign a message.

    :param message: message to encode.
    :param key: HMAC key shared by all daemons.
    """
    kind, convert = _ENCODERS[type(message)]
    return encode_struct(kind, convert(message), key)


def decode_message(data: bytes, key: bytes) -> CatalogMessage:
    """
    Verify and decode a message.

    :param data: bytes as received.
    :param key: HMAC key shared by all daemons.
    :raises PeerMessageError: the HMAC does not match, the kind is unknown or
        the struct is malformed.
    """
    return decode_struct(_DECODERS, data, key)
