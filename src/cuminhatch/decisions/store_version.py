"""
Versions of the metadata store and of the configuration in it.

The store may be restored from a copy. Its version numbers then go back and
are given out again, so a number only orders what was read within one era.
"""

from typing import NamedTuple


class StoreVersion(NamedTuple):
    """
    Version of the store or of one of its rows; a later one is greater.

    ``era`` rises each time the store is restored.
    """

    era: int
    number: int


class ConfigurationVersion(NamedTuple):
    """
    Version of the operator's configuration, and the era it was read in.

    A restored store may hold an older configuration until the operator has
    written the newest one again, so the number decides. Of two configurations
    with the same number the one of the later era is greater.
    """

    number: int
    era: int


# Nothing has been read.
NO_VERSION = StoreVersion(0, 0)
NO_CONFIGURATION = ConfigurationVersion(0, 0)
