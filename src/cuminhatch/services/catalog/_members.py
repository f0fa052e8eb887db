"""Finds the other instances and tells them what has been read."""

from cuminhatch.address import Address
from cuminhatch.codecs.catalog_thrift import (
    CatalogMember,
    CatalogNews,
    Greeting,
    encode_message,
)
from cuminhatch.codecs.signing import MAX_DATAGRAM_BYTES
from cuminhatch.decisions.catalog import CatalogChange
from cuminhatch.messages.catalog import (
    EnrolledRead,
    EnrolledRequested,
    EnrolmentRequested,
    EnrolmentStored,
    InstancesCounted,
)
from cuminhatch.services.catalog._timers import ENROLMENT_RETRY_MS, EnrolmentDue
from cuminhatch.services.catalog._view import NAME, CatalogView

MAX_MEMBERS_TOLD = 24
# An instance that knows fewer members than others is told by a part of them.
HELP_SHARE = 0.1
# Services that divide something by instances.
COUNTERS = ("forwarding", "loads")


def tell(view: CatalogView, address: Address, message: CatalogNews | Greeting) -> None:
    """
    Send a message to one instance.

    :param view: state of the catalog.
    :param address: where the instance is reached.
    :param message: message to send.
    """
    view.send_bytes(address, encode_message(message, view.key))


def add_members(view: CatalogView, members: tuple[CatalogMember, ...]) -> None:
    """
    Learn of instances, and greet those that are new.

    :param view: state of the catalog.
    :param members: instances as told.
    """
    added = False
    for member in members:
        known = view.members.get(member.instance_id)
        if member.instance_id == view.own.instance_id or known == member:
            continue
        view.members[member.instance_id] = member
        added = True
        tell(view, Address(member.host, member.port), Greeting(view.own, (), False))
    if added:
        for name in COUNTERS:
            view.send(name, InstancesCounted(view.instance_count))


def on_greeting(view: CatalogView, message: Greeting) -> None:
    """Learn of an instance; answer one that looks for others."""
    sender = message.sender
    add_members(view, (sender,))
    add_members(view, message.members)
    if not message.is_reply_wanted:
        return
    address = Address(sender.host, sender.port)
    tell(view, address, Greeting(view.own, some_members(view), False))
    if view.catalog.version and view.document is not None:
        # A new instance may not reach the store.
        tell(view, address, make_news(view, no_change(view), True))


def some_members(view: CatalogView) -> tuple[CatalogMember, ...]:
    """Return as many instances as fit a datagram."""
    members = list(view.members.values())
    wanted = min(len(members), MAX_MEMBERS_TOLD)
    return tuple(view.rng.sample(members, wanted))


def no_change(view: CatalogView) -> CatalogChange:
    """Return the change that tells only which version is known."""
    catalog = view.catalog
    return CatalogChange(catalog.changed_version, catalog.version, (), ())


def make_news(
    view: CatalogView, change: CatalogChange, is_pull_needed: bool
) -> CatalogNews:
    """Return the news of a change."""
    version = view.configuration_version
    return CatalogNews(view.own, change, version, is_pull_needed, view.instance_count)


def tell_all(view: CatalogView, change: CatalogChange) -> None:
    """
    Tell all instances what has been read.

    :param view: state of the catalog.
    :param change: what differs since the last change.
    """
    data = encode_message(make_news(view, change, False), view.key)
    if len(data) > MAX_DATAGRAM_BYTES:
        empty = change._replace(changed=(), removed_ids=())
        data = encode_message(make_news(view, empty, True), view.key)
    for member in view.members.values():
        view.send_bytes(Address(member.host, member.port), data)


def note_fleet(view: CatalogView, told: CatalogNews) -> None:
    """
    Compare how many instances this one and another one know.

    :param view: state of the catalog.
    :param told: news of the other one.
    """
    view.instances_told = max(view.instances_told, told.instances)
    if told.instances < view.instance_count and view.rng.random() < HELP_SHARE:
        sender = told.sender
        greeting = Greeting(view.own, some_members(view), False)
        tell(view, Address(sender.host, sender.port), greeting)


def on_enrolment_due(view: CatalogView, message: EnrolmentDue) -> None:
    """
    Store the record of this instance, unless others are known without it.

    A record serves instances that start when their first contacts are gone;
    the contacts themselves and the reader of the store have one.
    """
    is_reader = view.turn.reader_id == view.own.instance_id
    is_needed = view.is_first_contact or is_reader or not view.members
    if view.is_enrolled or not is_needed:
        return
    own = view.own
    request = EnrolmentRequested(
        NAME, next(view.tokens), own.instance_id, Address(own.host, own.port)
    )
    view.send("store", request)
    view.call_at(view.clock.now_ms + ENROLMENT_RETRY_MS, message)


def on_enrolment_stored(view: CatalogView, message: EnrolmentStored) -> None:
    """Read who else has stored a record."""
    if not view.is_enrolled:
        view.is_enrolled = True
        view.send("store", EnrolledRequested(NAME, next(view.tokens)))


def on_enrolled_read(view: CatalogView, message: EnrolledRead) -> None:
    """Learn of the instances that have stored a record."""
    members = (CatalogMember(id_, *at) for id_, at in message.members.items())
    add_members(view, tuple(members))
