"""Answers pulls of other instances."""

from urllib.parse import parse_qsl

from cuminhatch.codecs.catalog_thrift import CatalogState, encode_message
from cuminhatch.codecs.http1 import ResponseHead
from cuminhatch.messages import RequestReceived, ResponseStarted
from cuminhatch.services.catalog._view import PORT_NAME, CatalogView


def on_pull_requested(view: CatalogView, message: RequestReceived) -> None:
    """Tell another instance what it does not know."""
    _, _, query = message.head.target.partition(b"?")
    known = dict(parse_qsl(query.decode("latin-1")))
    body = encode_state(
        view,
        read_version(known.get("configuration")) < view.configuration_version,
        read_version(known.get("version")) < view.catalog.changed_version,
    )
    head = ResponseHead(200, b"OK", ())
    answer = ResponseStarted(message.request_id, head, len(body), body, True)
    view.send(PORT_NAME, answer)


def encode_state(
    view: CatalogView, has_configuration: bool, has_registrations: bool
) -> bytes:
    """
    Encode what another instance does not know, once for all that ask.

    A new configuration is pulled by all instances at the same moment, so
    it goes without the registrations, which they know.
    """
    catalog = view.catalog
    key = (
        view.configuration_version if has_configuration else 0,
        catalog.changed_version if has_registrations else 0,
    )
    if view.encoded is None or view.encoded[0] != key:
        items = tuple(catalog.registrations.values())
        state = CatalogState(
            catalog.version,
            items if has_registrations else None,
            view.configuration_version,
            view.document_bytes if has_configuration else b"",
        )
        view.encoded = key, encode_message(state, view.key)
    return view.encoded[1]


def read_version(text: str | None) -> int:
    """Read a version in a query; one that is malformed counts as unknown."""
    return int(text) if text is not None and text.isdecimal() else 0
