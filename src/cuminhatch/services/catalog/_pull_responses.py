"""Responds to pulls of other instances."""

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
from cuminhatch.decisions.store_version import (
    NO_CONFIGURATION,
    NO_VERSION,
    ConfigurationVersion,
    StoreVersion,
)
from cuminhatch.messages import RequestReceived, ResponseStarted
from cuminhatch.services.catalog._view import (
    NOTHING_MISSING,
    PORT_NAME,
    CatalogView,
    MissingParts,
    PullResponse,
)

# Instances that have missed different changes need different responses.
CACHED_RESPONSES_MAX = 8
# Versions fit in 64 bits.
MAX_VERSION_DIGITS = 19


class PullQuery(NamedTuple):
    """
    Query of a pull: the instance that pulls, and the versions it knows.

    ``is_direct`` forbids a referral, because an earlier one has failed or too
    many have been followed.
    """

    configuration_version: ConfigurationVersion
    version: StoreVersion
    instance_id: str
    failure_domain: str
    is_direct: bool
    is_members_wanted: bool


def on_pull_requested(view: CatalogView, message: RequestReceived) -> None:
    """Send what an instance lacks, or refer it to another one that has it."""
    query = parse_query(message.head.target)
    missing = find_missing(view, query)
    if missing == NOTHING_MISSING and view.active_pull is not None:
        # The pull in progress here may bring what that instance asks for.
        view.deferred_pulls.append(message)
        return
    response = get_response(view, missing)
    body = choose_response_body(view, query, response)
    head = ResponseHead(200, b"OK", ())
    view.send(
        PORT_NAME, ResponseStarted(message.request_id, head, len(body), body, True)
    )


def answer_deferred_pulls(view: CatalogView) -> None:
    """Respond to the pulls that waited for the pull of this instance."""
    deferred, view.deferred_pulls = view.deferred_pulls, []
    for message in deferred:
        on_pull_requested(view, message)


def parse_query(target: bytes) -> PullQuery:
    """Parse the query of a pull; a malformed version counts as unknown."""
    _, _, query = target.partition(b"?")
    values = dict(parse_qsl(query.decode("latin-1")))
    return PullQuery(
        ConfigurationVersion(*parse_version(values.get("configuration"))),
        StoreVersion(*parse_version(values.get("version"))),
        values.get("instance", ""),
        values.get("domain", ""),
        values.get("direct") == "1",
        values.get("members") == "1",
    )


def encode_version(version: ConfigurationVersion | StoreVersion) -> str:
    """Encode the two numbers of a version for a query, such as ``3.12``."""
    return "{}.{}".format(*version)


def parse_version(text: str | None) -> tuple[int, int]:
    """Parse a version; a missing or malformed one counts as 0.0, unknown."""
    parts = (text or "").split(".")
    if len(parts) != 2 or not all(is_version_number(part) for part in parts):
        return 0, 0
    return int(parts[0]), int(parts[1])


def is_version_number(text: str) -> bool:
    """Tell whether a text is a number of at most 64 bits."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_VERSION_DIGITS


def find_missing(view: CatalogView, query: PullQuery) -> MissingParts:
    """Return which parts of the state the instance lacks."""
    catalog = view.catalog
    configuration_version = NO_CONFIGURATION
    if query.configuration_version < view.configuration_version:
        configuration_version = view.configuration_version
    instances = view.instance_count if query.is_members_wanted else 0
    missed = None
    # What an instance knows of an earlier era may be unknown here, and lost.
    if query.version.era >= catalog.version.era:
        if query.version >= catalog.changed_version:
            return MissingParts(
                configuration_version, NO_VERSION, NO_VERSION, instances
            )
        missed = view.change_history.merge_since(query.version)
    if missed is None or missed.previous_version == NO_VERSION:
        return MissingParts(
            configuration_version, NO_VERSION, catalog.version, instances
        )
    return MissingParts(
        configuration_version,
        missed.previous_version,
        catalog.changed_version,
        instances,
    )


def get_response(view: CatalogView, missing: MissingParts) -> PullResponse:
    """
    Return the response that holds the missing parts, encoded only once.

    Many instances pull a new configuration at the same moment, so responses
    are cached. Parts that they know already are left out.
    """
    response = view.cached_responses.get(missing)
    if response is None:
        state = CatalogState(
            get_missing_change(view, missing),
            missing.previous_version == NO_VERSION,
            view.configuration_version,
            view.document_bytes
            if missing.configuration_version != NO_CONFIGURATION
            else b"",
            (view.own, *view.members.values()) if missing.instances else (),
            view.evacuation,
        )
        response = PullResponse(encode_message(state, view.key), Referrals())
        if len(view.cached_responses) >= CACHED_RESPONSES_MAX:
            view.cached_responses.pop(next(iter(view.cached_responses)))
        view.cached_responses[missing] = response
    return response


def get_missing_change(
    view: CatalogView, missing: MissingParts
) -> CatalogChange | None:
    """Return the change that brings the registrations up to date."""
    if missing.changed_version == NO_VERSION:
        return None
    if missing.previous_version != NO_VERSION:
        return view.change_history.merge_since(missing.previous_version)
    registrations = tuple(view.catalog.registrations.values())
    return CatalogChange(NO_VERSION, view.catalog.version, registrations, ())


def choose_response_body(
    view: CatalogView, query: PullQuery, response: PullResponse
) -> bytes:
    """Return the state, or a referral to an instance that has it."""
    if len(response.body) <= REFER_ABOVE_BYTES:
        return response.body
    instance_id, domain = query.instance_id, query.failure_domain
    if query.is_direct:
        response.referrals.add_holder(instance_id, domain)
        return response.body
    holder = view.members.get(
        response.referrals.choose_holder(instance_id, domain) or ""
    )
    if holder is None:
        return response.body
    return encode_message(CatalogReferral(holder), view.key)
