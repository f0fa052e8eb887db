"""Discovers the other instances and sends catalog changes to them."""

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
    InstanceCountChanged,
    InstanceRecordPutRequested,
    InstanceRecordsRead,
    InstanceRecordsRequested,
    InstanceRecordStored,
    InstancesChanged,
)
from cuminhatch.messages.quota import InstanceAddress, InstancesListed
from cuminhatch.services.catalog._read_spans import make_read_report
from cuminhatch.services.catalog._timers import (
    INSTANCE_RECORD_RETRY_MS,
    INSTANCES_DELAY_MS,
    InstanceRecordDue,
    InstancesDue,
)
from cuminhatch.services.catalog._view import NAME, CatalogView

# They fit in a datagram if ids and failure domains are not unusually long.
MAX_MEMBERS_PER_GREETING = 16
# Probability of answering an instance that knows fewer instances or an older
# configuration, so that not all others answer the same datagram.
ANSWER_PROBABILITY = 0.1
# Services that divide a shared budget by the number of instances.
INSTANCE_COUNT_CONSUMERS = ("forwarding", "loads")
QUOTA = "quota"


def send_message(
    view: CatalogView, address: Address, message: CatalogNews | Greeting
) -> None:
    """
    Send a message to one instance.

    :param view: state of the catalog.
    :param address: where the instance is reached.
    :param message: message to send.
    """
    view.send_bytes(address, encode_message(message, view.key))


def add_members(view: CatalogView, members: tuple[CatalogMember, ...]) -> None:
    """
    Add instances to the known ones, and greet those that are new.

    :param view: state of the catalog.
    :param members: instances named by another one or by the store.
    """
    is_added = False
    for member in members:
        if not is_news(view, member):
            continue
        view.members[member.instance_id] = member
        is_added = True
        send_message(
            view, Address(member.host, member.port), Greeting(view.own, (), False)
        )
    if is_added:
        schedule_instances(view)
        # The key of a response that lists the instances holds only their
        # number, which a changed address leaves as it is.
        view.cached_responses = {
            missing: response
            for missing, response in view.cached_responses.items()
            if not missing.instances
        }
        for name in INSTANCE_COUNT_CONSUMERS:
            view.send(
                name,
                InstanceCountChanged(view.instance_count, view.near_instance_count),
            )
        list_instances_for_quotas(view)


def list_instances_for_quotas(view: CatalogView) -> None:
    """Send the known instances to the quota service, if there is one."""
    if view.kernel.has_service(QUOTA):
        instances = {
            id_: InstanceAddress(member.host, member.failure_domain)
            for id_, member in view.members.items()
        }
        view.send(QUOTA, InstancesListed(instances))


def schedule_instances(view: CatalogView) -> None:
    """
    Tell the known instances to forwarding soon, if it has a use for them.

    :param view: state of the catalog.
    """
    if view.has_warmup_limit and not view.is_instances_due:
        view.is_instances_due = True
        view.call_at(view.clock.now_ms + INSTANCES_DELAY_MS, InstancesDue())


def on_instances_due(view: CatalogView, message: InstancesDue) -> None:
    """Tell the known instances and their failure domains to forwarding."""
    view.is_instances_due = False
    domains = {id_: member.failure_domain for id_, member in view.members.items()}
    domains[view.own.instance_id] = view.failure_domain
    known = {Address(member.host, member.port) for member in view.members.values()}
    is_seed_missing = not known.issuperset(view.seeds)
    changed = InstancesChanged(domains, view.instances_reported, is_seed_missing)
    view.send("forwarding", changed)


def is_news(view: CatalogView, member: CatalogMember) -> bool:
    """
    Tell whether an instance is unknown here or has changed.

    :param view: state of the catalog.
    :param member: an instance named by another one or by the store.
    """
    if member.instance_id == view.own.instance_id:
        return False
    known = view.members.get(member.instance_id)
    if known is not None and not member.failure_domain:
        # Records in the store do not name the failure domain.
        member = member._replace(failure_domain=known.failure_domain)
    return known != member


def on_greeting(view: CatalogView, message: Greeting) -> None:
    """Add the sender and the members it lists; reply if it asks for one."""
    sender = message.sender
    add_members(view, (sender,))
    add_members(view, message.members)
    if not message.is_reply_wanted:
        return
    address = Address(sender.host, sender.port)
    send_message(view, address, Greeting(view.own, sample_members(view), False))
    if view.catalog.is_known and view.document is not None:
        # A new instance may be unable to reach the store.
        send_message(view, address, make_news(view, make_empty_change(view), True))


def sample_members(view: CatalogView) -> tuple[CatalogMember, ...]:
    """Return a random sample of the known instances that fits a datagram."""
    members = list(view.members.values())
    wanted = min(len(members), MAX_MEMBERS_PER_GREETING)
    return tuple(view.rng.sample(members, wanted))


def make_empty_change(view: CatalogView) -> CatalogChange:
    """Return a change without content that carries the known version."""
    catalog = view.catalog
    return CatalogChange(catalog.changed_version, catalog.version, (), ())


def make_news(
    view: CatalogView, change: CatalogChange, is_pull_needed: bool
) -> CatalogNews:
    """Return the message that announces a change."""
    return CatalogNews(
        view.own,
        change,
        view.configuration_version,
        is_pull_needed,
        view.instance_count,
        make_read_report(view),
        view.evacuation,
    )


def broadcast_change(view: CatalogView, change: CatalogChange) -> None:
    """
    Send a change to all known instances.

    A change that does not fit a datagram is only announced, and the others
    pull it.

    :param view: state of the catalog.
    :param change: difference from the previous catalog.
    """
    data = encode_message(make_news(view, change, False), view.key)
    if len(data) > MAX_DATAGRAM_BYTES:
        empty = change._replace(changed=(), removed_ids=())
        data = encode_message(make_news(view, empty, True), view.key)
    for member in view.members.values():
        view.send_bytes(Address(member.host, member.port), data)


def compare_instance_counts(view: CatalogView, news: CatalogNews) -> None:
    """
    Compare the number of instances known here and by the sender.

    The highest number reported decides whether pulls ask for members. A
    sender that knows fewer instances may be sent some of those known here.

    :param view: state of the catalog.
    :param news: message of the other instance.
    """
    if news.instances > view.instances_reported:
        view.instances_reported = news.instances
        schedule_instances(view)
    if news.instances < view.instance_count and view.rng.random() < ANSWER_PROBABILITY:
        sender = news.sender
        greeting = Greeting(view.own, sample_members(view), False)
        send_message(view, Address(sender.host, sender.port), greeting)


def on_instance_record_due(view: CatalogView, message: InstanceRecordDue) -> None:
    """
    Store the record of this instance if other instances depend on it.

    Instances that start while no seed is running find others through these
    records. Seeds, the reader of the store, and an instance that knows no
    other one store a record.
    """
    is_reader = view.latest_reads.reader_id == view.own.instance_id
    is_needed = view.is_seed or is_reader or not view.members
    if view.is_instance_record_stored or not is_needed:
        return
    own = view.own
    request = InstanceRecordPutRequested(
        NAME, next(view.request_tokens), own.instance_id, Address(own.host, own.port)
    )
    view.send("store", request)
    view.call_at(view.clock.now_ms + INSTANCE_RECORD_RETRY_MS, message)


def on_instance_record_stored(view: CatalogView, message: InstanceRecordStored) -> None:
    """Read the records of the other instances."""
    if not view.is_instance_record_stored:
        view.is_instance_record_stored = True
        view.send("store", InstanceRecordsRequested(NAME, next(view.request_tokens)))


def on_instance_records_read(view: CatalogView, message: InstanceRecordsRead) -> None:
    """Add the instances whose records are in the store."""
    members = (CatalogMember(id_, *address) for id_, address in message.members.items())
    add_members(view, tuple(members))
