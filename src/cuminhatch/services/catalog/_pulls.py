"""Pulls from other instances what their news show to be missing here."""

from loguru import logger

from cuminhatch.address import Address
from cuminhatch.codecs.catalog_thrift import (
    CatalogMember,
    CatalogNews,
    CatalogState,
    decode_message,
)
from cuminhatch.codecs.http1 import Header
from cuminhatch.codecs.signing import PeerMessageError
from cuminhatch.decisions.catalog import Catalog, VersionGap, apply_change
from cuminhatch.decisions.reading_turns import should_yield
from cuminhatch.messages import HttpFailed, HttpReplied, HttpRequested
from cuminhatch.services.catalog._beliefs import adopt_catalog, take_document
from cuminhatch.services.catalog._members import add_members
from cuminhatch.services.catalog._readings import schedule_turn
from cuminhatch.services.catalog._timers import PULL_TIMEOUT_MS
from cuminhatch.services.catalog._view import NAME, CatalogView

STATE_PATH = "/catalog"


def on_news(view: CatalogView, message: CatalogNews) -> None:
    """Take what another instance has read."""
    sender = message.sender
    add_members(view, (sender,))
    now_ms = view.clock.now_ms
    own_id = view.own.instance_id
    is_current = message.change.version >= view.catalog.version
    is_reader = view.turn.reader_id == own_id
    if is_current and (not is_reader or should_yield(own_id, sender.instance_id)):
        view.turn = view.turn._replace(reader_id=sender.instance_id, heard_ms=now_ms)
        schedule_turn(view)
    applied = apply_change(view.catalog, message.change)
    is_gap = isinstance(applied, VersionGap)
    if message.is_pull_needed:
        is_gap = message.change.version > view.catalog.version
    elif not is_gap:
        adopt_catalog(view, applied, sender.instance_id)
    is_behind = message.configuration_version > view.configuration_version
    if is_gap or is_behind:
        pull(view, sender)


def pull(view: CatalogView, member: CatalogMember) -> None:
    """
    Ask an instance for what is not known here, unless a pull is under way.

    :param view: state of the catalog.
    :param member: the instance to ask.
    """
    if view.pull_token:
        return
    view.pull_token = next(view.tokens)
    target = (
        f"{STATE_PATH}?configuration={view.configuration_version}"
        f"&version={view.catalog.version}"
    )
    request = HttpRequested(
        NAME,
        view.pull_token,
        Address(member.host, member.port),
        b"GET",
        target.encode(),
        (Header(b"host", member.host.encode()),),
        b"",
        PULL_TIMEOUT_MS,
    )
    view.send("http_client", request)


def on_pulled(view: CatalogView, message: HttpReplied) -> None:
    """Take the state of another instance."""
    view.pull_token = 0
    try:
        state = decode_message(message.body, view.key)
    except PeerMessageError as error:
        logger.warning("catalog: Pulled state refused: {}.", error)
        return
    if not isinstance(state, CatalogState):
        logger.warning("catalog: Pulled state is of another kind.")
        return
    take_document(view, state.configuration, "peer")
    if state.registrations is not None and state.version >= view.catalog.version:
        registrations = {item.server.server_id: item for item in state.registrations}
        # All that the sender knows replaces all that is known here.
        catalog = Catalog(state.version, state.version, registrations, {})
        adopt_catalog(view, catalog, "peer")


def on_pull_failed(view: CatalogView, message: HttpFailed) -> None:
    """Ask another instance."""
    view.pull_token = 0
    view.record("pull_failed", {"reason": message.reason})
    # The sender may be overrun by pulls of all; another instance may have
    # pulled meanwhile. If not, the next news starts the next pull.
    if view.members:
        pull(view, view.rng.choice(list(view.members.values())))
