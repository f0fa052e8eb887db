"""
Failure domains that the operators evacuate.

An operator evacuates a failure domain by a row in the store. All servers of
the domain then get no new requests until the row is removed. One instance
reads the rows for all; the set that it has read replaces any set of an earlier
version of the store.

Load that this module handles: one set for each read of the configuration, that
is about one a second, and the same set in each message about the catalog.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cuminhatch.decisions.store_version import StoreVersion

# Far more failure domains than a deployment has; the set is part of a message
# that should fit in one datagram.
DOMAINS_MAX = 32


class Evacuation(NamedTuple):
    """
    The evacuated failure domains, and the version of the store at their read.

    In a paged read it is the version of the first page, so a row that was
    written before the last page may be missing or present.
    """

    version: StoreVersion
    domains: frozenset[str]


def make_evacuation(version: StoreVersion, domains: Iterable[str]) -> Evacuation:
    """
    Return the evacuation as read from the store.

    :param version: version of the store at the read.
    :param domains: failure domains named by rows, in the order of the rows;
        those beyond ``DOMAINS_MAX`` are left out.
    """
    return Evacuation(version, frozenset(list(domains)[:DOMAINS_MAX]))


def choose_later(known: Evacuation | None, other: Evacuation | None) -> Evacuation:
    """
    Return the evacuation that was read later.

    A restored store has a later era, so what it holds replaces what was known
    before, even if it is older.

    :param known: what this instance knows, None if it knows of no read.
    :param other: what was read or received, None if a message does not tell.
    """
    if known is None or (other is not None and other.version > known.version):
        return other
    return known
