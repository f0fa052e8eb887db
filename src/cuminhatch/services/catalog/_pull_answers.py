"""Answers pulls of other instances."""

from typing import NamedTuple
from urllib.parse import parse_qsl

from cuminhatch.codecs.catalog_thrift import (
    CatalogReferral,
    CatalogState,
    encode_message,
)
from cuminhatch.codecs.http1 import ResponseHead
from cuminhatch.decisions.catalog import CatalogChange
from cuminhatch.decisions.referrals import REFER_ABOVE_BYTES, Referrals
from cuminhatch.messages import RequestReceived, ResponseStarted
from cuminhatch.services.catalog._view import (
    NOTHING_NEEDED,
    PORT_NAME,
    CatalogView,
    PullAnswer,
    PullNeed,
)

# Instances that have missed different changes need different answers.
ANSWERS_MAX = 8


class PullQuery(NamedTuple):
    """
    Who pulls, and what is known there.

    ``is_direct`` tells that a referral has led nowhere.
    """

    configuration_version: int
    version: int
    instance_id: str
    failure_domain: str
    is_direct: bool
    is_members_wanted: bool


def on_pull_requested(view: CatalogView, message: RequestReceived) -> None:
    """Tell another instance what it does not know, or who can."""
    query = read_query(message.head.target)
    need = find_need(view, query)
    if need == NOTHING_NEEDED and view.pull is not None:
        # What it asks for may be on its way here.
        view.held_pulls.append(message)
        return
    answer = find_answer(view, need)
    body = choose_body(view, query, answer)
    head = ResponseHead(200, b"OK", ())
    view.send(
        PORT_NAME, ResponseStarted(message.request_id, head, len(body), body, True)
    )


def answer_held_pulls(view: CatalogView) -> None:
    """Answer the instances that have waited for a pull of this one."""
    held, view.held_pulls = view.held_pulls, []
    for message in held:
        on_pull_requested(view, message)


def read_query(target: bytes) -> PullQuery:
    """Read who pulls; what is malformed counts as unknown."""
    _, _, query = target.partition(b"?")
    values = dict(parse_qsl(query.decode("latin-1")))
    return PullQuery(
        read_version(values.get("configuration")),
        read_version(values.get("version")),
        values.get("instance", ""),
        values.get("domain", ""),
        values.get("direct") == "1",
        values.get("members") == "1",
    )


def read_version(text: str | None) -> int:
    """Read a version in a query; one that is malformed counts as unknown."""
    return int(text) if text is not None and text.isdecimal() else 0


def find_need(view: CatalogView, query: PullQuery) -> PullNeed:
    """Return what an instance lacks."""
    catalog = view.catalog
    configuration_version = 0
    if query.configuration_version < view.configuration_version:
        configuration_version = view.configuration_version
    instances = view.instance_count if query.is_members_wanted else 0
    if query.version >= catalog.changed_version:
        return PullNeed(configuration_version, 0, 0, instances)
    missed = view.history.since(query.version)
    previous_version = missed.previous_version if missed is not None else 0
    return PullNeed(
        configuration_version, previous_version, catalog.changed_version, instances
    )


def find_answer(view: CatalogView, need: PullNeed) -> PullAnswer:
    """
    Return the answer to a need, encoded once for all that have it.

    A new configuration is pulled by all instances at the same moment, so
    it goes without the registrations, which they know.
    """
    answer = view.answers.get(need)
    if answer is None:
        state = CatalogState(
            find_change(view, need),
            need.previous_version == 0,
            view.configuration_version,
            view.document_bytes if need.configuration_version else b"",
            (view.own, *view.members.values()) if need.instances else (),
        )
        answer = PullAnswer(encode_message(state, view.key), Referrals())
        if len(view.answers) >= ANSWERS_MAX:
            view.answers.pop(next(iter(view.answers)))
        view.answers[need] = answer
    return answer


def find_change(view: CatalogView, need: PullNeed) -> CatalogChange | None:
    """Return the registrations that answer a need."""
    if not need.changed_version:
        return None
    if need.previous_version:
        return view.history.since(need.previous_version)
    registrations = tuple(view.catalog.registrations.values())
    return CatalogChange(0, view.catalog.version, registrations, ())


def choose_body(view: CatalogView, query: PullQuery, answer: PullAnswer) -> bytes:
    """Return the answer, or a referral to an instance that has it."""
    if len(answer.body) <= REFER_ABOVE_BYTES:
        return answer.body
    asker, domain = query.instance_id, query.failure_domain
    if query.is_direct:
        answer.referrals.note_holder(asker, domain)
        return answer.body
    holder = view.members.get(answer.referrals.choose_holder(asker, domain) or "")
    if holder is None:
        return answer.body
    return encode_message(CatalogReferral(holder), view.key)
