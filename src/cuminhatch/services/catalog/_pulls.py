"""Pulls from other instances what their news show to be missing here."""

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
from cuminhatch.decisions.reading_turns import should_yield
from cuminhatch.log import logger
from cuminhatch.messages import HttpFailed, HttpReplied, HttpRequested
from cuminhatch.services.catalog._beliefs import (
    adopt_change,
    adopt_whole,
    take_document,
)
from cuminhatch.services.catalog._members import add_members, note_fleet
from cuminhatch.services.catalog._pull_answers import answer_held_pulls
from cuminhatch.services.catalog._readings import schedule_turn
from cuminhatch.services.catalog._timers import PULL_TIMEOUT_MS
from cuminhatch.services.catalog._view import NAME, CatalogView, Pull

STATE_PATH = "/catalog"
# Each step at least doubles the instances that have an answer.
REFERRALS_MAX = 12


def on_news(view: CatalogView, message: CatalogNews) -> None:
    """Take what another instance has read."""
    sender = message.sender
    add_members(view, (sender,))
    note_fleet(view, message)
    now_ms = view.clock.now_ms
    own_id = view.own.instance_id
    is_current = message.change.version >= view.catalog.version
    is_reader = view.turn.reader_id == own_id
    if is_current and (not is_reader or should_yield(own_id, sender.instance_id)):
        view.turn = view.turn._replace(reader_id=sender.instance_id, heard_ms=now_ms)
        schedule_turn(view)
    if message.is_pull_needed:
        is_gap = message.change.version > view.catalog.version
    else:
        is_gap = not adopt_change(view, message.change, sender.instance_id)
    is_behind = message.configuration_version > view.configuration_version
    if is_behind:
        view.heard = message.configuration_version, sender
    is_fleet_larger = message.instances > view.instance_count
    if is_gap or is_behind or is_fleet_larger:
        pull(view, sender)


def pull(view: CatalogView, origin: CatalogMember) -> None:
    """
    Ask an instance for what is not known here, unless a pull is under way.

    :param view: state of the catalog.
    :param origin: the instance to ask.
    """
    if view.pull is None:
        start_pull(view, Pull(origin, 0), origin)


def start_pull(
    view: CatalogView, started: Pull, member: CatalogMember, is_direct: bool = False
) -> None:
    """
    Send a pull.

    :param view: state of the catalog.
    :param started: the pull.
    :param member: the instance to ask, the origin or one that was named.
    :param is_direct: whether the instance must answer itself.
    """
    view.pull = started
    query = {
        "configuration": view.configuration_version,
        "version": view.catalog.version,
        "instance": view.own.instance_id,
        "domain": view.failure_domain,
        "direct": int(is_direct),
        "members": int(view.instances_told > view.instance_count),
    }
    request = HttpRequested(
        NAME,
        next(view.tokens),
        Address(member.host, member.port),
        b"GET",
        f"{STATE_PATH}?{urlencode(query)}".encode(),
        (Header(b"host", member.host.encode()),),
        b"",
        PULL_TIMEOUT_MS,
    )
    view.send("http_client", request)


def on_pulled(view: CatalogView, message: HttpReplied) -> None:
    """Take the state of another instance, or ask the one that it names."""
    running = view.pull
    try:
        reply = decode_message(message.body, view.key)
    except PeerMessageError as error:
        logger.warning("catalog: Pulled state refused: {}.", error)
        end_pull(view)
        return
    if isinstance(reply, CatalogReferral):
        follow_referral(view, running, reply.holder)
    elif isinstance(reply, CatalogState):
        if running.referrals and not has_news(reply):
            return_to_origin(view, running)
            return
        take_state(view, reply)
        end_pull(view)
    else:
        logger.warning("catalog: Pulled state is of another kind.")
        end_pull(view)


def follow_referral(view: CatalogView, running: Pull, holder: CatalogMember) -> None:
    """Ask the instance that another one has named."""
    referrals = running.referrals + 1
    is_direct = referrals >= REFERRALS_MAX
    start_pull(view, running._replace(referrals=referrals), holder, is_direct)


def return_to_origin(view: CatalogView, running: Pull) -> None:
    """Ask the origin itself, since a referral has led nowhere."""
    origin = running.origin
    start_pull(view, Pull(origin, 0), origin, is_direct=True)


def has_news(state: CatalogState) -> bool:
    """Tell whether a state holds anything."""
    return state.change is not None or bool(state.configuration or state.members)


def take_state(view: CatalogView, state: CatalogState) -> None:
    """Believe what another instance knows."""
    add_members(view, state.members)
    take_document(view, state.configuration, "peer")
    if state.change is None:
        return
    if state.is_whole:
        adopt_whole(view, state.change, "peer")
    else:
        adopt_change(view, state.change, "peer")


def end_pull(view: CatalogView) -> None:
    """Answer those that have waited; pull what has been heard of meanwhile."""
    view.pull = None
    answer_held_pulls(view)
    if view.heard is None:
        return
    version, origin = view.heard
    view.heard = None
    if version > view.configuration_version:
        pull(view, origin)


def on_pull_failed(view: CatalogView, message: HttpFailed) -> None:
    """Ask the origin itself, or else another instance."""
    failed = view.pull
    view.record("pull_failed", {"reason": message.reason})
    if failed.referrals:
        return_to_origin(view, failed)
        return
    view.pull = None
    # Those that have waited here ask the origin themselves.
    answer_held_pulls(view)
    # The sender may be overrun by pulls of all; another instance may have
    # pulled meanwhile. If not, the next news starts the next pull.
    if view.members:
        pull(view, view.rng.choice(list(view.members.values())))
