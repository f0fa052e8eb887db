"""Messages between daemons about registered servers and the configuration."""

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
from cuminhatch.codecs.signing import decode_struct, encode_struct
from cuminhatch.decisions.catalog import CatalogChange, Registration
from cuminhatch.decisions.configuration import BackendServer


class CatalogMember(NamedTuple):
    """An instance, and where the others reach it."""

    instance_id: str
    host: str
    port: int


class CatalogNews(NamedTuple):
    """
    What a reading of the store has shown.

    ``is_pull_needed`` tells that the change is too long for a datagram and
    has to be pulled as a whole. ``instances`` is how many instances the
    sender knows, itself included.
    """

    sender: CatalogMember
    change: CatalogChange
    configuration_version: int
    is_pull_needed: bool
    instances: int


class Greeting(NamedTuple):
    """An instance introduces itself and the others that it knows."""

    sender: CatalogMember
    members: tuple[CatalogMember, ...]
    is_reply_wanted: bool


class CatalogState(NamedTuple):
    """
    What an instance knows of the catalog and another one does not.

    ``change`` is None where the receiver knows all registrations;
    ``is_whole`` tells that it lists all that there are and replaces what the
    receiver knows. ``configuration`` is the document as stored, empty where
    the receiver knows that version. ``members`` are the instances that the
    sender knows, empty where the receiver has not asked for them.
    """

    change: CatalogChange | None
    is_whole: bool
    configuration_version: int
    configuration: bytes
    members: tuple[CatalogMember, ...] = ()


class CatalogReferral(NamedTuple):
    """Another instance has what was asked for."""

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
        registration.row_version,
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
    )
    return Registration(server, data.row_version)


def _member_from_thrift(data: ThriftMember) -> CatalogMember:
    return CatalogMember(data.instance_id, data.host, data.port)


def _news_to_thrift(message: CatalogNews) -> ThriftNews:
    change = message.change
    return ThriftNews(
        ThriftMember(*message.sender),
        change.previous_version,
        change.version,
        message.configuration_version,
        [_registration_to_thrift(item) for item in change.changed],
        list(change.removed_ids),
        message.is_pull_needed,
        message.instances,
    )


def _news_from_thrift(data: ThriftNews) -> CatalogNews:
    change = CatalogChange(
        data.previous_version,
        data.version,
        tuple(_registration_from_thrift(item) for item in data.changed),
        tuple(data.removed_ids),
    )
    return CatalogNews(
        _member_from_thrift(data.sender),
        change,
        data.configuration_version,
        data.is_pull_needed,
        data.instances or 0,
    )


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
    # All instances pull at the same moment, from one with a narrow link.
    configuration = zlib.compress(message.configuration)
    state = ThriftState(
        configuration_version=message.configuration_version,
        configuration=configuration,
        members=[ThriftMember(*member) for member in message.members],
    )
    change = message.change
    if change is not None:
        state.version = change.version
        state.registrations = [_registration_to_thrift(r) for r in change.changed]
        state.previous_version = change.previous_version
        state.removed_ids = list(change.removed_ids)
        state.is_whole = message.is_whole
    return state


def _state_from_thrift(data: ThriftState) -> CatalogState:
    change = None
    if data.registrations is not None:
        change = CatalogChange(
            data.previous_version,
            data.version,
            tuple(_registration_from_thrift(item) for item in data.registrations),
            tuple(data.removed_ids),
        )
    return CatalogState(
        change,
        bool(data.is_whole),
        data.configuration_version,
        zlib.decompress(data.configuration),
        tuple(_member_from_thrift(member) for member in data.members or ()),
    )


def _referral_to_thrift(message: CatalogReferral) -> ThriftReferral:
    return ThriftReferral(ThriftMember(*message.holder))


def _referral_from_thrift(data: ThriftReferral) -> CatalogReferral:
    return CatalogReferral(_member_from_thrift(data.holder))


_WRITERS: dict[type, tuple[int, Any]] = {
    CatalogNews: (16, _news_to_thrift),
    Greeting: (17, _greeting_to_thrift),
    CatalogState: (18, _state_to_thrift),
    CatalogReferral: (19, _referral_to_thrift),
}
_READERS: dict[int, tuple[Any, Any]] = {
    16: (ThriftNews, _news_from_thrift),
    17: (ThriftGreeting, _greeting_from_thrift),
    18: (ThriftState, _state_from_thrift),
    19: (ThriftReferral, _referral_from_thrift),
}


def encode_message(message: CatalogMessage, key: bytes) -> bytes:
    """
    Encode a message and put its HMAC in front.

    :param message: message to encode.
    :param key: key shared by all daemons.
    """
    kind, convert = _WRITERS[type(message)]
    return encode_struct(kind, convert(message), key)


def decode_message(data: bytes, key: bytes) -> CatalogMessage:
    """
    Check the HMAC and decode a message.

    :param data: bytes as received.
    :param key: key shared by all daemons.
    :raises PeerMessageError: the HMAC does not match or the rest is broken.
    """
    return decode_struct(_READERS, data, key)
