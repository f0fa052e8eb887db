"""Pulls state that this instance lacks from other instances over HTTP."""

from urllib.parse import urlencode

from cuminhatch.address import Address
from cuminhatch.codecs.catalog_thrift import (
    CatalogMember,
    CatalogNews,
    CatalogReferral,
    CatalogState,
    decode_message,
)
from cuminhatch.codecs.http1 import Header
from cuminhatch.codecs.signing import PeerMessageError
from cuminhatch.decisions.catalog import CatalogChange
from cuminhatch.decisions.pull_retries import pull_pause_ms
from cuminhatch.decisions.reader_selection import should_yield
from cuminhatch.decisions.store_version import NO_VERSION, StoreVersion
from cuminhatch.log import logger
from cuminhatch.messages import HttpFailed, HttpReplied, HttpRequested
from cuminhatch.services.catalog._evacuations import request_missing_evacuation
from cuminhatch.services.catalog._members import (
    ANSWER_PROBABILITY,
    add_members,
    compare_instance_counts,
    make_news,
    send_message,
)
from cuminhatch.services.catalog._pull_responses import (
    answer_deferred_pulls,
    encode_version,
)
from cuminhatch.services.catalog._read_spans import get_reported_span, note_reads
from cuminhatch.services.catalog._store_reads import schedule_read
from cuminhatch.services.catalog._timers import PULL_TIMEOUT_MS, PullRetryDue
from cuminhatch.services.catalog._updates import (
    apply_catalog_change,
    apply_document,
    apply_evacuation,
    apply_whole_catalog,
    is_whole_catalog_needed,
)
from cuminhatch.services.catalog._view import NAME, CatalogView, Pull

STATE_PATH = "/catalog"
# Most referrals that are followed in a row. Each step at least doubles the
# number of instances that have the response, so 12 steps reach 4096 instances.
REFERRALS_MAX = 12


def on_news(view: CatalogView, message: CatalogNews) -> None:
    """Apply an announced change, and pull if more is missing here."""
    sender = message.sender
    add_members(view, (sender,))
    compare_instance_counts(view, message)
    apply_evacuation(view, message.evacuation, sender.instance_id)
    request_missing_evacuation(view)
    now_ms = view.clock.now_ms
    own_id = view.own.instance_id
    is_reader = view.latest_reads.reader_id == own_id
    exchange_read_spans(view, message, is_reader)
    is_current = message.change.version >= view.catalog.version
    if is_current and (not is_reader or should_yield(own_id, sender.instance_id)):
        view.latest_reads = view.latest_reads._replace(
            reader_id=sender.instance_id, last_read_ms=now_ms
        )
        schedule_read(view)
    if message.is_pull_needed:
        is_gap = message.change.version > view.catalog.version
    else:
        is_gap = not apply_catalog_change(view, message.change, sender.instance_id)
    # The reader knows which servers the store names.
    is_gap = is_gap or (is_current and is_whole_catalog_needed(view))
    is_behind = view.is_behind(message.configuration_version)
    if is_behind:
        view.announced_configuration = message.configuration_version, sender
    has_more_instances = message.instances > view.instance_count
    if message.configuration_version.number < view.configuration_version.number:
        announce_configuration(view, sender)
    if is_gap or is_behind or has_more_instances:
        start_pull(view, sender)


def exchange_read_spans(view: CatalogView, news: CatalogNews, is_reader: bool) -> None:
    """
    Note the reads that a message tells of, or tell its sender of earlier ones.

    The sender may have been cut off and have read after a gap of its own. The
    instance that read in its place answers, others with some probability.

    :param view: state of the catalog.
    :param news: message of the other instance.
    :param is_reader: whether this instance was the last one to read.
    """
    if news.change.version.era != view.store_era:
        # Before or after a restore of the store, which other instances may
        # have noticed earlier or later.
        return
    span = get_reported_span(view, news)
    note_reads(view, span, news.sender.instance_id)
    if news.reads is None:
        return
    is_span_shorter = span.since_ms - view.read_span.since_ms > view.read_gap_max_ms
    if is_span_shorter and (is_reader or view.rng.random() < ANSWER_PROBABILITY):
        # With such a version it does not pass for a later read.
        version = StoreVersion(view.store_era, 0)
        change = CatalogChange(NO_VERSION, version, (), ())
        send_notice(view, news.sender, change)


def announce_configuration(view: CatalogView, member: CatalogMember) -> None:
    """
    Tell an instance of a newer configuration, with some probability.

    One that starts soon after the store was restored may have read an older
    configuration, and as the reader it hears of no other one.

    :param view: state of the catalog.
    :param member: the instance whose configuration is older.
    """
    if view.rng.random() < ANSWER_PROBABILITY:
        # Without a version of the store, it does not pass for a later read.
        send_notice(view, member, CatalogChange(NO_VERSION, NO_VERSION, (), ()))


def send_notice(
    view: CatalogView, member: CatalogMember, change: CatalogChange
) -> None:
    """
    Tell an instance what is known here, without a change of the catalog.

    :param view: state of the catalog.
    :param member: the instance to tell.
    :param change: change without content.
    """
    news = make_news(view, change, False)
    send_message(view, Address(member.host, member.port), news)


def start_pull(view: CatalogView, member: CatalogMember) -> None:
    """
    Pull from an instance unless another pull is in progress.

    :param view: state of the catalog.
    :param member: the instance to ask.
    """
    if view.active_pull is None:
        send_pull(view, Pull(member, 0), member)


def send_pull(
    view: CatalogView, pull: Pull, member: CatalogMember, is_direct: bool = False
) -> None:
    """
    Send the HTTP request of a pull.

    :param view: state of the catalog.
    :param pull: the pull, which becomes the one in progress.
    :param member: the instance to ask, the first one or one from a referral.
    :param is_direct: whether the instance must not refer to another one.
    """
    view.active_pull = pull
    # An unknown version is answered with the whole catalog.
    version = NO_VERSION if is_whole_catalog_needed(view) else view.catalog.version
    query = {
        "configuration": encode_version(view.configuration_version),
        "version": encode_version(version),
        "instance": view.own.instance_id,
        "domain": view.failure_domain,
        "direct": int(is_direct),
        "members": int(view.instances_reported > view.instance_count),
    }
    request = HttpRequested(
        NAME,
        next(view.request_tokens),
        Address(member.host, member.port),
        b"GET",
        f"{STATE_PATH}?{urlencode(query)}".encode(),
        (Header(b"host", member.host.encode()),),
        b"",
        PULL_TIMEOUT_MS,
    )
    view.send("http_client", request)


def on_pull_replied(view: CatalogView, message: HttpReplied) -> None:
    """Apply the state that has arrived, or follow the referral."""
    pull = view.active_pull
    view.pull_failures = 0
    view.kernel.cancel(view.pull_retry_timer)
    view.pull_retry_timer = None
    try:
        reply = decode_message(message.body, view.key)
    except PeerMessageError as error:
        logger.warning("catalog: Response to a pull refused: {}.", error)
        finish_pull(view)
        return
    if isinstance(reply, CatalogReferral):
        follow_referral(view, pull, reply.holder)
    elif isinstance(reply, CatalogState):
        if pull.referrals and not has_content(reply):
            return_to_first_instance(view, pull)
            return
        apply_state(view, reply)
        finish_pull(view)
    else:
        logger.warning("catalog: Response to a pull has an unexpected type.")
        finish_pull(view)


def follow_referral(view: CatalogView, pull: Pull, holder: CatalogMember) -> None:
    """Pull from the instance that a referral names."""
    referrals = pull.referrals + 1
    is_direct = referrals >= REFERRALS_MAX
    send_pull(view, pull._replace(referrals=referrals), holder, is_direct)


def return_to_first_instance(view: CatalogView, pull: Pull) -> None:
    """Pull from the first instance again, without referrals."""
    member = pull.first_instance
    send_pull(view, Pull(member, 0), member, is_direct=True)


def has_content(state: CatalogState) -> bool:
    """Tell if a state has registrations, a configuration or members."""
    return state.change is not None or bool(state.configuration or state.members)


def apply_state(view: CatalogView, state: CatalogState) -> None:
    """Apply the state of another instance."""
    add_members(view, state.members)
    apply_evacuation(view, state.evacuation, "peer")
    version = state.configuration_version
    # An instance of an earlier release sends the document as it is stored.
    document = view.redact_configuration(state.configuration)
    apply_document(view, document, "peer", version.era)
    if document and version > view.configuration_version:
        # Pulled again, it would be no better.
        view.unusable_version = version
    if state.change is None:
        return
    if state.is_whole:
        apply_whole_catalog(view, state.change, "peer")
    else:
        apply_catalog_change(view, state.change, "peer")


def finish_pull(view: CatalogView) -> None:
    """Answer deferred pulls, and pull a newer announced configuration."""
    view.active_pull = None
    answer_deferred_pulls(view)
    if view.announced_configuration is None:
        return
    version, sender = view.announced_configuration
    view.announced_configuration = None
    if view.is_behind(version):
        start_pull(view, sender)


def on_pull_failed(view: CatalogView, message: HttpFailed) -> None:
    """Retry at the first instance after a referral, else at another one."""
    failed = view.active_pull
    view.record("pull_failed", {"reason": message.reason})
    if failed.referrals:
        return_to_first_instance(view, failed)
        return
    view.active_pull = None
    # Instances whose pulls were deferred ask the first instance themselves.
    answer_deferred_pulls(view)
    view.pull_failures += 1
    pause_ms = pull_pause_ms(view.pull_failures, view.rng.random())
    if pause_ms:
        view.kernel.cancel(view.pull_retry_timer)
        due_ms = view.clock.now_ms + pause_ms
        view.pull_retry_timer = view.call_at(due_ms, PullRetryDue())
    else:
        retry_pull(view)


def on_pull_retry_due(view: CatalogView, message: PullRetryDue) -> None:
    """Send a pull again unless one that news has started is in progress."""
    view.pull_retry_timer = None
    retry_pull(view)


def retry_pull(view: CatalogView) -> None:
    """
    Pull from any instance.

    The first instance may be overloaded by pulls of all, and another instance
    may have the state by now.
    """
    if view.members:
        start_pull(view, view.rng.choice(list(view.members.values())))
