"""Reports documents and entries that cannot be used, each one once."""

from hashlib import sha256

from cuminhatch.decisions.catalog import ConfigurationDocument
from cuminhatch.errors import CodecError
from cuminhatch.log import logger
from cuminhatch.services.catalog._view import CatalogView

# Documents whose refusal has been logged. Besides the one in the store, other
# instances may send some that they have read before.
REFUSED_DOCUMENTS_MAX = 16


def decode_document(view: CatalogView, data: bytes) -> ConfigurationDocument | None:
    """
    Decode a configuration; log why it cannot be read, once per document.

    The store is read again about once a second, with the same result.

    :param view: state of the catalog.
    :param data: the document.
    :returns: the configuration, None if the document cannot be read.
    """
    # The document itself may hold keys of teams.
    digest = sha256(data).digest()
    if digest in view.refused_documents:
        return None
    try:
        return view.decode_configuration(data)
    except CodecError as error:
        logger.warning("catalog: Configuration refused: {}.", error)
    view.refused_documents[digest] = None
    if len(view.refused_documents) > REFUSED_DOCUMENTS_MAX:
        del view.refused_documents[next(iter(view.refused_documents))]
    return None


def record_refused_entries(view: CatalogView) -> None:
    """
    Record each entry of the configuration in force that cannot be used.

    :param view: state of the catalog, with the new document.
    """
    version = view.configuration_version.number
    if version != view.refused_entries_version:
        view.refused_entries_version = version
        view.refused_entries.clear()
    for entry in view.document.refused:
        # The same version may come into force again, in a later era.
        if entry in view.refused_entries:
            continue
        view.refused_entries.add(entry)
        details = {
            "version": version,
            "kind": entry.kind,
            "name": entry.entry_id,
            "reason": entry.reason,
        }
        view.record("configuration_entry_refused", details)
